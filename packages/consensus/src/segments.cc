#include "segments.h"

#include "base/log.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

namespace persimmon::consensus::detail {

namespace {

constexpr std::string_view segmentPrefix = "log-";
constexpr auto snapshotName = "snapshot";
constexpr auto hintName = "synced";
constexpr auto formatName = "format";
constexpr auto damagedName = "damaged";

std::string segmentName(std::uint64_t number)
{
    return std::string(segmentPrefix) + std::to_string(number);
}

// Drops the entries that a snapshot covers. Keeps those after it if the log contains the snapshot
// entry with the same term.
void dropCoveredEntries(std::vector<log_entry> &entries, log_index index, term_number term)
{
    const auto at = std::ranges::find(entries, index, &log_entry::index);
    if (at != entries.end() && at->term == term) {
        entries.erase(entries.begin(), at + 1);
        return;
    }
    // Entries that start immediately after the snapshot were written after it.
    if (entries.empty() || entries.front().index != index + 1)
        entries.clear();
}

} // namespace

segment_log::segment_log(std::string path)
    : folder_(std::move(path))
{
}

result<segment_log::segment_numbers> segment_log::listSegments() const
{
    const auto names = folder_.names();
    if (failed(names))
        return errorOf(names);
    segment_numbers numbers;
    for (const auto &name : valueOf(names)) {
        if (!name.starts_with(segmentPrefix))
            continue;
        std::uint64_t number = 0;
        const auto *first = name.data() + segmentPrefix.size();
        const auto *end = name.data() + name.size();
        if (const auto parsed = std::from_chars(first, end, number);
            parsed.ec == std::errc {} && parsed.ptr == end)
            numbers.push_back(number);
    }
    std::ranges::sort(numbers);
    return numbers;
}

result<stored_state> segment_log::load()
{
    auto numbers = listSegments();
    if (failed(numbers))
        return errorOf(numbers);
    stored_state state;
    markedDamaged_ = folder_.exists(damagedName);
    auto intact = readSnapshot(state);
    if (!failed(intact) && valueOf(intact))
        intact = readSegments(valueOf(numbers), state);
    if (failed(intact))
        return errorOf(intact);
    if (!valueOf(intact))
        return renameDamagedFiles(valueOf(numbers));
    vote_ = state.vote;
    state.damaged = markedDamaged_;
    // Without a saved vote, the first start ended before the node had participated.
    state.fresh = !markedDamaged_ && vote_.disk == 0 && state.entries.empty()
            && state.snapshot.index == 0;
    return state;
}

// readSnapshot() and readSegments() return false for damage and an error for a failed system call.
result<bool> segment_log::readSnapshot(stored_state &state) const
{
    if (!folder_.exists(snapshotName))
        return true;
    const auto bytes = folder_.read(snapshotName);
    if (failed(bytes))
        return errorOf(bytes);
    auto decoded = decodeSnapshot(valueOf(bytes));
    if (!decoded)
        return false;
    state.snapshot = std::move(*decoded);
    return true;
}

result<bool> segment_log::readSegments(const segment_numbers &numbers, stored_state &state)
{
    std::uint64_t validBytes = 0;
    bool sealed = false;
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto number = numbers[i];
        if (i != 0 && number != numbers[i - 1] + 1)
            return false;
        const auto bytes = folder_.read(segmentName(number));
        if (failed(bytes))
            return errorOf(bytes);
        const auto content = parseSegment(valueOf(bytes), number);
        const bool last = i + 1 == numbers.size();
        if (content.records.empty() && last && !content.damaged && !sealed) {
            // The creation of this segment was interrupted before any data depended on it.
            if (auto removed = folder_.remove(segmentName(number)); failed(removed))
                return errorOf(removed);
            break;
        }
        // The segment header contains the number of synced bytes of the previous segment.
        if (content.damaged || content.records.empty()
            || (i != 0 && content.records.front().entry.index > validBytes)
            || !replay(content, number, state))
            return false;
        validBytes = content.validBytes;
        sealed = content.records.back().kind == record_kind::Seal;
        segmentNumber_ = number;
    }
    if (segmentNumber_ == 0)
        return state.snapshot.index == 0 && !folder_.exists(formatName);
    dropCoveredEntries(state.entries, state.snapshot.index, state.snapshot.term);
    if (sealed || !matchesSyncedHint(segmentNumber_, validBytes)
        || (state.snapshot.index == 0 && numbers.front() != 1))
        return false;
    if (auto opened = openNewestSegment(segmentNumber_, validBytes); failed(opened))
        return errorOf(opened);
    return true;
}

bool segment_log::replay(const segment_content &content, std::uint64_t number, stored_state &state)
{
    auto &entries = state.entries;
    for (const auto &record : content.records) {
        const auto index = record.entry.index;
        switch (record.kind) {
        case record_kind::SegmentHeader:
        case record_kind::Vote:
            state.vote = record.vote;
            break;
        case record_kind::Snapshot:
            if (index > state.snapshot.index)
                return false;
            dropCoveredEntries(entries, index, record.entry.term);
            break;
        case record_kind::Entry:
            if (!entries.empty() && index <= entries.back().index) {
                const auto keep = index > entries.front().index ? index - entries.front().index : 0;
                entries.resize(keep);
            }
            if (entries.empty() ? index > state.snapshot.index + 1
                                : index != entries.back().index + 1)
                return false;
            entries.push_back(record.entry);
            lastIndexes_[number] = std::max(lastIndexes_[number], index);
            break;
        case record_kind::Seal:
            break;
        }
    }
    return true;
}

bool segment_log::matchesSyncedHint(std::uint64_t last, std::uint64_t validBytes) const
{
    const auto bytes = folder_.read(hintName);
    std::uint64_t values[3] {};
    if (failed(bytes) || valueOf(bytes).size() != sizeof(values))
        return true;
    std::memcpy(values, valueOf(bytes).data(), sizeof(values));
    if (XXH3_64bits(values, 2 * sizeof(values[0])) != values[2])
        return true;
    return values[0] < last || (values[0] == last && values[1] <= validBytes);
}

status segment_log::openNewestSegment(std::uint64_t number, std::uint64_t validBytes)
{
    const auto path = folder_.pathOf(segmentName(number));
    auto opened = folder_.openForAppend(segmentName(number));
    if (failed(opened))
        return errorOf(opened);
    segmentFile_ = std::move(valueOf(opened));
    if (::ftruncate(segmentFile_.get(), static_cast<off_t>(validBytes)) != 0)
        return systemError("truncate", path);
    // The previous process may have ended before its last sync.
    if (auto synced = syncData(segmentFile_, path); failed(synced))
        return synced;
    writtenBytes_ = syncedBytes_ = validBytes;
    return {};
}

result<stored_state> segment_log::renameDamagedFiles(const segment_numbers &numbers)
{
    status done = folder_.replace(damagedName, {});
    markedDamaged_ = true;
    for (const auto number : numbers) {
        const auto name = segmentName(number);
        if (failed(done))
            return errorOf(done);
        if (folder_.exists(name))
            done = folder_.rename(name, "damaged-" + name);
    }
    if (!failed(done) && folder_.exists(snapshotName))
        done = folder_.rename(snapshotName, std::string("damaged-") + snapshotName);
    if (!failed(done))
        done = folder_.remove(hintName);
    if (!failed(done))
        done = folder_.remove(formatName);
    if (!failed(done))
        done = folder_.syncFolder();
    if (failed(done))
        return errorOf(done);
    logFor("log")->error("files under {} are damaged and were renamed to damaged-*",
                         folder_.pathOf(""));
    segmentFile_ = file_handle();
    segmentNumber_ = writtenBytes_ = syncedBytes_ = 0;
    lastIndexes_.clear();
    stored_state state;
    state.damaged = true;
    return state;
}

void segment_log::appendRecord(const log_record &value)
{
    encodeRecord(buffer_, segmentNumber_, writtenBytes_ + buffer_.size(), syncedBytes_, value);
}

void segment_log::appendVote(const vote_record &vote)
{
    vote_ = vote;
    appendRecord({record_kind::Vote, vote, {}});
}

void segment_log::appendEntry(const log_entry &entry)
{
    appendRecord({record_kind::Entry, {}, entry});
    lastIndexes_[segmentNumber_] = std::max(lastIndexes_[segmentNumber_], entry.index);
}

status segment_log::writeBuffer()
{
    const auto path = folder_.pathOf(segmentName(segmentNumber_));
    if (auto written = writeAll(segmentFile_, buffer_, path); failed(written))
        return written;
    writtenBytes_ += buffer_.size();
    buffer_.clear();
    if (auto synced = syncData(segmentFile_, path); failed(synced))
        return synced;
    syncedBytes_ = writtenBytes_;
    return {};
}

status segment_log::ensureSegment()
{
    if (segmentNumber_ != 0)
        return {};
    // Until the node saves its first vote, this disk must not count as one with intact state.
    vote_ = {0, 0, 0, true};
    if (auto created = createSegment(1, nullptr, 0); failed(created))
        return created;
    return folder_.replace(formatName, {});
}

status segment_log::flush()
{
    if (!buffer_.empty()) {
        if (auto done = writeBuffer(); failed(done))
            return done;
        writeSyncedHint();
    }
    if (!markedDamaged_ || vote_.rejoining || vote_.disk == 0)
        return {};
    if (auto removed = folder_.remove(damagedName); failed(removed))
        return removed;
    markedDamaged_ = false;
    return folder_.syncFolder();
}

// A stale or lost hint is harmless; therefore errors are ignored and the file is not synced.
void segment_log::writeSyncedHint()
{
    if (!hintFile_.isOpen()) {
        // Not opened with O_APPEND, because pwrite() then ignores the offset on Linux.
        const auto path = folder_.pathOf(hintName);
        hintFile_ = file_handle(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
        if (!hintFile_.isOpen())
            return;
    }
    std::uint64_t values[3] {segmentNumber_, syncedBytes_, 0};
    values[2] = XXH3_64bits(values, 2 * sizeof(values[0]));
    [[maybe_unused]] const auto ignored = ::pwrite(hintFile_.get(), values, sizeof(values), 0);
}

status segment_log::createSegment(std::uint64_t number, const log_record *snapshotPosition,
                                  std::uint64_t previousBytes)
{
    auto opened = folder_.openForAppend(segmentName(number));
    if (failed(opened))
        return errorOf(opened);
    segmentFile_ = std::move(valueOf(opened));
    segmentNumber_ = number;
    writtenBytes_ = syncedBytes_ = 0;
    log_record header {record_kind::SegmentHeader, vote_, {}};
    header.entry.index = previousBytes;
    appendRecord(header);
    if (snapshotPosition != nullptr)
        appendRecord(*snapshotPosition);
    if (auto done = writeBuffer(); failed(done))
        return done;
    return folder_.syncFolder();
}

status segment_log::saveSnapshot(const snapshot_record &snapshot)
{
    if (auto done = flush(); failed(done))
        return done;
    if (auto done = folder_.replace(snapshotName, encodeSnapshot(snapshot)); failed(done))
        return done;
    const auto sealedNumber = segmentNumber_;
    const auto sealedBytes = writtenBytes_;
    auto sealedFile = std::move(segmentFile_);
    segmentFile_ = file_handle();
    log_record snapshotPosition {record_kind::Snapshot, {}, {}};
    snapshotPosition.entry.index = snapshot.index;
    snapshotPosition.entry.term = snapshot.term;
    if (auto done = createSegment(segmentNumber_ + 1, &snapshotPosition, sealedBytes); failed(done))
        return done;
    // The seal is written after the next segment exists: a seal without a successor means that the
    // successor was lost.
    byte_buffer seal;
    encodeRecord(seal, sealedNumber, sealedBytes, sealedBytes, {record_kind::Seal, {}, {}});
    const auto path = folder_.pathOf(segmentName(sealedNumber));
    if (auto done = writeAll(sealedFile, seal, path); failed(done))
        return done;
    if (auto done = syncData(sealedFile, path); failed(done))
        return done;
    writeSyncedHint();
    return removeCovered(snapshot.index);
}

status segment_log::removeCovered(log_index index)
{
    const auto numbers = listSegments();
    if (failed(numbers))
        return errorOf(numbers);
    for (const auto number : valueOf(numbers)) {
        if (number == segmentNumber_ || lastIndexes_[number] > index)
            break;
        if (auto removed = folder_.remove(segmentName(number)); failed(removed))
            return removed;
        lastIndexes_.erase(number);
    }
    return folder_.syncFolder();
}

} // namespace persimmon::consensus::detail
