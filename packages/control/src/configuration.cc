#include "configuration.h"

#include <algorithm>

namespace persimmon::control {

namespace {

// Checks the tables as the parser does, because they may come from a program.
status checkRows(const tables &next)
{
    const auto mistakes = parseTables(formatTables(next)).mistakes;
    if (mistakes.empty())
        return {};
    return error {result_code::InvalidTable,
                  toText(mistakes.front(), "tables"),
                  mistakes.front().key,
                  {}};
}

} // namespace

configuration::configuration(context &shared, entries &known)
    : shared_(shared)
    , entries_(known)
{
}

void configuration::reset()
{
    started_ = false;
    auto held = std::move(held_);
    held_.clear();
    for (auto &asked : held)
        asked.done(error {result_code::NotLeader, {}, {}, {}});
}

void configuration::apply(const tables &next, std::uint64_t expectedVersion,
                          const std::string &changeId, bool dryRun,
                          coordinator::completion<apply_outcome> done)
{
    change asked {next, expectedVersion, changeId, dryRun, std::move(done)};
    if (started_)
        check(std::move(asked));
    else
        held_.push_back(std::move(asked));
}

void configuration::start()
{
    started_ = true;
    auto held = std::move(held_);
    held_.clear();
    for (auto &asked : held)
        check(std::move(asked));
}

void configuration::preview(const change &asked)
{
    const auto &current = shared_.data().current;
    if (asked.expectedVersion != current.version)
        return asked.done(error {
                result_code::VersionConflict, std::to_string(current.version), "version", {}});
    asked.done(apply_outcome {current.version, diffTables(current, asked.next)});
}

void configuration::check(change asked)
{
    // A repeated change id gets its first answer even if the tables would not pass today.
    const bool repeated = !asked.changeId.empty() && shared_.data().findChange(asked.changeId);
    if (!repeated || asked.dryRun) {
        if (const auto rows = checkRows(asked.next); failed(rows))
            return asked.done(errorOf(rows));
        const auto bound = shared_.scheduler().validate(asked.next.pools, asked.next.workspaces);
        if (failed(bound))
            return asked.done(errorOf(bound));
    }
    if (asked.dryRun)
        return preview(asked);
    shared_.commitFor<apply_outcome>(
            apply_tables {std::move(asked.next), asked.expectedVersion, asked.changeId},
            std::move(asked.done), [](const reply &answer) {
                return apply_outcome {answer.value, answer.changes};
            });
}

std::vector<entry_status> configuration::entryStatus() const
{
    std::vector<entry_status> list;
    for (const auto &[id, record] : entries_.records()) {
        const auto left
                = std::chrono::duration_cast<milliseconds>(record.leaseUntil - shared_.now());
        list.push_back({id, record.address, record.place, record.appliedVersion,
                        std::max(left, milliseconds {0}), record.stopping});
    }
    return list;
}

rollout configuration::currentRollout() const
{
    rollout shown;
    shown.version = shared_.data().current.version;
    shown.entries = entryStatus();
    const auto inForce = [&](const entry_status &entry) {
        return entry.leaseLeft == milliseconds {0} || entry.appliedVersion >= shown.version;
    };
    // Entries that this leader has not heard may serve an older version under an earlier lease.
    shown.complete = shared_.leading() && shared_.earlierLeasesEnded()
            && std::ranges::all_of(shown.entries, inForce);
    return shown;
}

} // namespace persimmon::control
