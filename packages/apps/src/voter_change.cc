#include "apps/voter_change.h"

#include <cpprest/json.h>

namespace persimmon::apps {

namespace {

error makeError(result_code code, std::string detail, std::string field)
{
    return {code, std::move(detail), std::move(field), {}};
}

} // namespace

result<voter_change> readVoterChange(std::string_view body)
{
    std::error_code failure;
    const auto json = web::json::value::parse(std::string(body), failure);
    if (failure || !json.is_object())
        return makeError(result_code::MalformedRequest, "a JSON object", {});
    for (const auto &[name, value] : json.as_object()) {
        if (name != "action" && name != "id")
            return makeError(result_code::UnknownField, "action or id", name);
    }
    if (!json.has_field("action") || !json.has_field("id"))
        return makeError(result_code::MissingField, "action and id", {});
    const auto &id = json.at("id");
    if (!id.is_number() || !id.as_number().is_uint32() || id.as_number().to_uint32() == 0
        || id.as_number().to_uint32() > 1000)
        return makeError(result_code::InvalidValue, "a number from 1 to 1000", "id");
    const auto &action = json.at("action");
    if (!action.is_string() || (action.as_string() != "add" && action.as_string() != "remove"))
        return makeError(result_code::InvalidValue, "add or remove", "action");
    return voter_change {id.as_number().to_uint32(), action.as_string() == "add"};
}

} // namespace persimmon::apps
