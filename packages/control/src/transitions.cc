#include "transitions.h"

#include <algorithm>

namespace persimmon::control {

namespace detail {

namespace {

constexpr std::size_t maxHistory = 100;
// Operators resend a change within minutes; at 49,000 changes a day, 1024 ids cover half an hour.
constexpr std::size_t maxChangeIds = 1024;
// Five times the 3,300 restarts of a day at the target size.
constexpr std::size_t maxLeavingMarks = 16384;

reply storeFirstAnswer(ledger_data &data, const std::string &changeId, reply answer)
{
    if (changeId.empty())
        return answer;
    data.changes.emplace_back(changeId, answer);
    if (data.changes.size() > maxChangeIds)
        data.changes.pop_front();
    return answer;
}

std::string summarize(const std::vector<table_change> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        if (!text.empty())
            text += ' ';
        text += change.sign + change.row;
    }
    return text;
}

} // namespace

reply refuse(result_code code, std::string detail, std::string field)
{
    return {{code, std::move(detail), std::move(field), {}}, 0, {}, {}};
}

reply applyBody(ledger_data &data, log_position at, const apply_tables &body)
{
    if (const auto *first = data.findChange(body.changeId); first && !body.changeId.empty())
        return *first;
    if (body.expectedVersion != data.current.version)
        return storeFirstAnswer(data, body.changeId,
                                refuse(result_code::VersionConflict,
                                       std::to_string(data.current.version), "version"));
    auto next = body.next;
    next.version = data.current.version + 1;
    const reply answer {
            {result_code::Ok, {}, {}, {}}, next.version, diffTables(data.current, next), {}};
    data.current = std::move(next);
    data.history.push_back({data.current.version, body.changeId, at.at, summarize(answer.changes)});
    if (data.history.size() > maxHistory)
        data.history.pop_front();
    return storeFirstAnswer(data, body.changeId, answer);
}

reply applyBody(ledger_data &data, log_position at, const mark_leaving &body)
{
    auto &mark = data.leaving[body.upstream];
    if (mark.index != 0) {
        if (body.incarnation <= mark.incarnation)
            return {};
        data.leavingOrder.erase(mark.index);
    }
    mark = {body.incarnation, at.index};
    data.leavingOrder[at.index] = body.upstream;
    if (data.leavingOrder.size() > maxLeavingMarks) {
        data.leaving.erase(data.leavingOrder.begin()->second);
        data.leavingOrder.erase(data.leavingOrder.begin());
    }
    return {};
}

} // namespace detail

reply applyCommand(ledger_data &data, std::uint64_t index, const command &source)
{
    // The clocks of successive leaders may differ, but the ledger's time must never go back.
    data.wall = std::max(data.wall, source.at);
    const detail::log_position at {index, data.wall};
    return std::visit([&](const auto &body) { return detail::applyBody(data, at, body); },
                      source.body);
}

} // namespace persimmon::control
