#include "configuration.h"

#include <algorithm>

namespace persimmon::control {

namespace {

// Applies the parser's checks, because tables from a program have not passed through the parser.
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

configuration::configuration(context &shared, entries &leasedEntries)
    : shared_(shared)
    , entries_(leasedEntries)
{
}

void configuration::reset()
{
    started_ = false;
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto &request : pending)
        request.done(error {result_code::NotLeader, {}, {}, {}});
}

void configuration::apply(const tables &next, std::uint64_t expectedVersion,
                          const std::string &changeId, bool dryRun,
                          coordinator::completion<apply_outcome> done)
{
    change request {next, expectedVersion, changeId, dryRun, std::move(done)};
    if (started_)
        check(std::move(request));
    else
        pending_.push_back(std::move(request));
}

void configuration::start()
{
    started_ = true;
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto &request : pending)
        check(std::move(request));
}

void configuration::preview(const change &request)
{
    const auto &current = shared_.data().current;
    if (request.expectedVersion != current.version)
        return request.done(error {
                result_code::VersionConflict, std::to_string(current.version), "version", {}});
    request.done(apply_outcome {current.version, diffTables(current, request.next)});
}

void configuration::check(change request)
{
    // A repeated change id returns the first answer again, even if the tables would now be refused.
    const bool repeated = !request.changeId.empty() && shared_.data().findChange(request.changeId);
    if (!repeated || request.dryRun) {
        if (const auto rows = checkRows(request.next); failed(rows))
            return request.done(errorOf(rows));
        const auto validation
                = shared_.scheduler().validate(request.next.pools, request.next.workspaces);
        if (failed(validation))
            return request.done(errorOf(validation));
    }
    if (request.dryRun)
        return preview(request);
    shared_.commitAndAnswer<apply_outcome>(
            apply_tables {std::move(request.next), request.expectedVersion, request.changeId},
            std::move(request.done), [](const reply &answer) {
                return apply_outcome {answer.value, answer.changes};
            });
}

std::vector<entry_status> configuration::entryStatus() const
{
    std::vector<entry_status> list;
    for (const auto &[id, record] : entries_.records()) {
        const auto remaining
                = std::chrono::duration_cast<milliseconds>(record.leaseUntil - shared_.now());
        list.push_back({id, record.address, record.place, record.appliedVersion,
                        std::max(remaining, milliseconds {0}), record.stopping});
    }
    return list;
}

rollout configuration::currentRollout() const
{
    rollout progress;
    progress.version = shared_.data().current.version;
    progress.entries = entryStatus();
    const auto inForce = [&](const entry_status &entry) {
        return entry.leaseLeft == milliseconds {0} || entry.appliedVersion >= progress.version;
    };
    // Entries that have not called this leader yet may serve an older version under a lease from an
    // earlier leader.
    progress.complete = shared_.leading() && shared_.earlierLeasesEnded()
            && std::ranges::all_of(progress.entries, inForce);
    return progress;
}

} // namespace persimmon::control
