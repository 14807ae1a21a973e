#include "ledger_data.h"

#include "codec.h"

#include <algorithm>

namespace persimmon::control {

const job_entry *ledger_data::find(job_id id) const
{
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

const reply *ledger_data::findChange(const std::string &changeId) const
{
    const auto matches = [&](const auto &item) { return item.first == changeId; };
    const auto found = std::ranges::find_if(changes, matches);
    return found == changes.end() ? nullptr : &found->second;
}

bool ledger_data::isLeaving(const std::string &upstream, std::uint64_t incarnation) const
{
    const auto found = leaving.find(upstream);
    return found != leaving.end() && incarnation <= found->second.incarnation;
}

void ledger_data::rebuildDerived()
{
    for (const auto &[id, entry] : jobs) {
        if (!entry.key.empty())
            jobKeys[{entry.spec.workspace, entry.key}] = id;
        if (entry.endIndex == 0)
            openJobs.insert(id);
        else
            endedJobs[entry.endIndex] = id;
    }
    for (const auto &[key, entry] : intents) {
        if (entry.open)
            openIntents[{entry.entryId, entry.entryIncarnation}].insert(key);
        else
            closedIntents[entry.endIndex].insert(key);
        storedBytes += entry.stored.body.size();
    }
    for (const auto &[upstream, mark] : leaving)
        leavingOrder[mark.index] = upstream;
}

job_view toView(const job_entry &entry)
{
    return {entry.id,      entry.state, entry.attempt, entry.spec,
            entry.results, entry.code,  entry.records};
}

namespace detail {

namespace {

using wire::toString;
using wire::toText;

void write(schema::HistoryItem::Builder target, const history_item &source)
{
    target.setVersion(source.version);
    target.setChangeId(toText(source.changeId));
    target.setAtMs(source.at.count());
    target.setSummary(toText(source.summary));
}

history_item read(schema::HistoryItem::Reader source)
{
    return {source.getVersion(), toString(source.getChangeId()), wall_ms {source.getAtMs()},
            toString(source.getSummary())};
}

void write(schema::ChangeAnswer::Builder target, const std::pair<std::string, reply> &source)
{
    target.setChangeId(toText(source.first));
    detail::write(target.initReply(), source.second);
}

std::pair<std::string, reply> read(schema::ChangeAnswer::Reader source)
{
    return {toString(source.getChangeId()), detail::read(source.getReply())};
}

void write(schema::JobEntry::Builder target, const std::pair<const job_id, job_entry> &item)
{
    const auto &source = item.second;
    target.setId(toNumber(source.id));
    target.setKey(toText(source.key));
    wire::write(target.initSpec(), source.spec);
    target.setState(static_cast<std::uint8_t>(source.state));
    target.setAttempt(source.attempt);
    target.setToken(source.token);
    auto workers = target.initWorkers(source.workers.size());
    for (unsigned i = 0; i < workers.size(); ++i)
        detail::write(workers[i], source.workers[i]);
    target.setReleased(source.released);
    target.setCancelRequested(source.cancelRequested);
    target.setStopReason(static_cast<std::uint8_t>(source.stopReason));
    target.setStopWorker(toText(source.stopWorker));
    target.setStopDeadlineMs(static_cast<std::uint32_t>(source.stopDeadline.count()));
    writeTexts(target.initResults(source.results.size()), source.results);
    target.setCode(static_cast<std::uint16_t>(source.code));
    target.setEndedAtMs(source.endedAt.count());
    target.setEndIndex(source.endIndex);
    auto records = target.initRecords(source.records.size());
    for (unsigned i = 0; i < records.size(); ++i)
        wire::write(records[i], source.records[i]);
}

job_entry read(schema::JobEntry::Reader source)
{
    job_entry entry;
    entry.id = toJob(source.getId());
    entry.key = toString(source.getKey());
    entry.spec = wire::read(source.getSpec());
    entry.state = static_cast<job_state>(source.getState());
    entry.attempt = source.getAttempt();
    entry.token = source.getToken();
    for (const auto &worker : source.getWorkers())
        entry.workers.push_back(detail::read(worker));
    entry.released = source.getReleased();
    entry.cancelRequested = source.getCancelRequested();
    entry.stopReason = static_cast<placement::attempt_end>(source.getStopReason());
    entry.stopWorker = toString(source.getStopWorker());
    entry.stopDeadline = milliseconds {source.getStopDeadlineMs()};
    entry.results = readTexts(source.getResults());
    entry.code = static_cast<result_code>(source.getCode());
    entry.endedAt = wall_ms {source.getEndedAtMs()};
    entry.endIndex = source.getEndIndex();
    for (const auto &record : source.getRecords())
        entry.records.push_back(wire::read(record));
    return entry;
}

void write(schema::IntentEntry::Builder target,
           const std::pair<const request_key, intent_entry> &item)
{
    const auto &[key, source] = item;
    target.setWorkspace(toText(key.workspace));
    target.setKey(toText(key.key));
    target.setDigest(source.digest);
    target.setEntryId(toText(source.entryId));
    target.setEntryIncarnation(source.entryIncarnation);
    target.setAttempt(source.attempt);
    target.setOpen(source.open);
    target.setOutcome(static_cast<std::uint8_t>(source.outcome));
    wire::write(target.initAnswer(), source.stored);
    target.setEndedAtMs(source.endedAt.count());
    target.setEndIndex(source.endIndex);
}

std::pair<request_key, intent_entry> read(schema::IntentEntry::Reader source)
{
    return {{toString(source.getWorkspace()), toString(source.getKey())},
            {source.getDigest(), toString(source.getEntryId()), source.getEntryIncarnation(),
             source.getAttempt(), source.getOpen(),
             static_cast<request_outcome>(source.getOutcome()), wire::read(source.getAnswer()),
             wall_ms {source.getEndedAtMs()}, source.getEndIndex()}};
}

void write(schema::LeavingMark::Builder target,
           const std::pair<const std::string, leaving_mark> &source)
{
    target.setUpstream(toText(source.first));
    target.setIncarnation(source.second.incarnation);
    target.setIndex(source.second.index);
}

template <typename ListBuilder, typename Items>
void writeItems(ListBuilder list, const Items &items)
{
    unsigned position = 0;
    for (const auto &item : items)
        write(list[position++], item);
}

ledger_data readSnapshot(schema::Snapshot::Reader root)
{
    ledger_data data;
    data.wall = wall_ms {root.getWallMs()};
    data.current = wire::read(root.getTables());
    for (const auto &item : root.getHistory())
        data.history.push_back(read(item));
    for (const auto &item : root.getChanges())
        data.changes.push_back(read(item));
    for (const auto &item : root.getJobs())
        data.jobs.emplace(toJob(item.getId()), read(item));
    for (const auto &item : root.getIntents())
        data.intents.insert(read(item));
    for (const auto &item : root.getLeaving())
        data.leaving[toString(item.getUpstream())] = {item.getIncarnation(), item.getIndex()};
    data.rebuildDerived();
    return data;
}

} // namespace

} // namespace detail

consensus::byte_buffer encodeSnapshot(const ledger_data &source)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::schema::Snapshot>();
    root.setWallMs(source.wall.count());
    wire::write(root.initTables(), source.current);
    detail::writeItems(root.initHistory(source.history.size()), source.history);
    detail::writeItems(root.initChanges(source.changes.size()), source.changes);
    detail::writeItems(root.initJobs(source.jobs.size()), source.jobs);
    detail::writeItems(root.initIntents(source.intents.size()), source.intents);
    detail::writeItems(root.initLeaving(source.leaving.size()), source.leaving);
    return wire::toBytes(message);
}

result<ledger_data> decodeSnapshot(consensus::byte_view bytes)
{
    ledger_data decoded;
    const auto outcome = wire::visitBytes<wire::schema::Snapshot>(
            bytes, [&](const auto &root) { decoded = detail::readSnapshot(root); });
    if (failed(outcome))
        return errorOf(outcome);
    return decoded;
}

} // namespace persimmon::control
