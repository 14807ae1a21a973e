#include "http/server.h"

#include "listener.h"

#include <cpprest/base_uri.h>
#include <cpprest/json.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <cctype>
#include <mutex>

namespace persimmon::http {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto same = [](char a, char b) { return std::tolower(a) == std::tolower(b); };
    return std::ranges::equal(left, right, same);
}

} // namespace

void startThreads(std::size_t count)
{
    static std::once_flag once;
    std::call_once(once, [count] { crossplat::threadpool::initialize_with_threads(count); });
}

server_options serverOptions(const settings &values)
{
    server_options options;
    options.address = values.httpListen;
    options.threads = values.httpThreads;
    options.maxHeaderBytes = values.maxHeaderBytes;
    options.maxBodyBytes = values.maxBodyBytes;
    options.timeout = values.httpTimeout;
    options.idleTimeout = values.httpIdleTimeout;
    options.clients = {values.maxConnections, values.maxHeldBytes};
    return options;
}

std::string_view request::find(std::string_view name) const
{
    const auto matches
            = [name](const header &field) { return equalsIgnoringCase(field.name, name); };
    const auto found = std::ranges::find_if(headers, matches);
    return found == headers.end() ? std::string_view {} : std::string_view(found->value);
}

response refusal(const error &reason)
{
    const auto &info = describe(reason.code);
    auto body = web::json::value::object();
    body["code"] = web::json::value::number(static_cast<std::uint32_t>(reason.code));
    body["name"] = web::json::value::string(std::string(info.name));
    body["detail"] = web::json::value::string(reason.detail);
    body["field"] = web::json::value::string(reason.field);
    response answer;
    answer.status = info.httpStatus;
    if (info.retryable) {
        const auto wait = std::max(reason.retryAfter, milliseconds {100});
        body["retry_after_ms"] = web::json::value::number(wait.count());
        answer.headers.push_back({"Retry-After", std::to_string((wait.count() + 999) / 1000)});
    }
    answer.body = body.serialize();
    return answer;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    const auto values = web::uri::split_query(std::string(query));
    const auto found = values.find(std::string(name));
    return found == values.end() ? std::string {} : web::uri::decode(found->second);
}

result<std::unique_ptr<server>> server::listen(wire::event_loop &loop,
                                               const server_options &options, handler onRequest)
{
    startThreads(options.threads);
    return openListener(loop, options, std::move(onRequest));
}

} // namespace persimmon::http
