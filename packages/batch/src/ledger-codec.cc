#include "serialize.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace persimmon::batch {

namespace {

constexpr std::uint8_t commandFormat = 1;
constexpr std::uint8_t snapshotFormat = 4;

// Formats that earlier versions have written.
constexpr std::uint8_t snapshotFormatWithoutEvacuations = 3;
constexpr std::uint8_t snapshotFormatWithoutLosses = 2;
constexpr std::uint8_t snapshotFormatWithoutWaves = 1;

// Optional sections that follow the snapshot. Processes of earlier versions ignore them.
constexpr std::uint8_t unbegunJobsSection = 1;
constexpr std::uint8_t cancellationsSection = 2;
constexpr std::uint8_t lostWorkersSection = 3;

// A run under which a worker was lost. The main part of the snapshot doesn't name the worker.
struct lost_worker
{
    task_id task;
    std::uint32_t run = 0;
    std::string worker;
    std::int64_t incarnation = 0;
};

template <typename Archive>
void serialize(Archive &archive, lost_worker &value)
{
    archive(value.task, value.run, value.worker, value.incarnation);
}

// Returns the workers of the runs of which it isn't known whether they had crashed.
std::vector<lost_worker> suspectedWorkers(const std::map<task_id, loss_record> &losses)
{
    std::vector<lost_worker> found;
    for (const auto &[task, record] : losses) {
        for (const auto &[number, loss] : record.runs) {
            if (loss.kind == run_loss::Suspected && !loss.worker.empty())
                found.push_back({task, number, loss.worker, loss.incarnation});
        }
    }
    return found;
}

void setWorkers(std::map<task_id, loss_record> &losses, const std::vector<lost_worker> &workers)
{
    for (const auto &item : workers) {
        const auto record = losses.find(item.task);
        if (record == losses.end() || !record->second.runs.contains(item.run))
            continue;
        auto &loss = record->second.runs.at(item.run);
        loss.worker = item.worker;
        loss.incarnation = item.incarnation;
    }
}

template <typename... Values>
consensus::byte_buffer pack(std::uint8_t format, const Values &...values)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(format, values...);
    }
    const auto text = stream.view();
    const auto *begin = reinterpret_cast<const std::byte *>(text.data());
    return {begin, begin + text.size()};
}

// Returns what follows the values. Fails with CorruptFile.
template <typename... Values>
result<consensus::byte_view> unpack(consensus::byte_view bytes, std::uint8_t expected,
                                    Values &...values)
{
    std::istringstream stream(
            std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size()),
            std::ios::binary);
    std::uint8_t format = 0;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(format);
        if (format == expected)
            archive(values...);
    } catch (const std::exception &failure) {
        return error {result_code::CorruptFile, failure.what(), {}, {}};
    }
    if (format != expected)
        return error {result_code::CorruptFile, "unsupported format of the batch ledger", {}, {}};
    return bytes.subspan(static_cast<std::size_t>(stream.tellg()));
}

// Reads a section into a value and removes it from the bytes. Has no effect if another one follows.
// Fails with CorruptFile.
template <typename Value>
status readSection(consensus::byte_view &bytes, std::uint8_t section, Value &value)
{
    // The number of the section follows the byte order.
    if (bytes.size() < 2 || std::to_integer<std::uint8_t>(bytes[1]) != section)
        return std::monostate {};
    const auto rest = unpack(bytes, section, value);
    if (failed(rest))
        return errorOf(rest);
    bytes = valueOf(rest);
    return std::monostate {};
}

void append(consensus::byte_buffer &bytes, const consensus::byte_buffer &section)
{
    bytes.insert(bytes.end(), section.begin(), section.end());
}

} // namespace

consensus::byte_buffer encode(const command &value)
{
    return pack(commandFormat, value);
}

result<command> decodeCommand(consensus::byte_view bytes)
{
    command value;
    if (auto read = unpack(bytes, commandFormat, value); failed(read))
        return errorOf(read);
    return value;
}

consensus::byte_buffer encodeOutcome(const status &outcome)
{
    if (!failed(outcome))
        return {};
    const auto code = static_cast<std::uint16_t>(errorOf(outcome).code);
    return {static_cast<std::byte>(code & 0xffU), static_cast<std::byte>(code >> 8U)};
}

status decodeOutcome(consensus::byte_view reply)
{
    if (reply.size() < sizeof(std::uint16_t))
        return std::monostate {};
    const auto number = std::to_integer<std::uint16_t>(reply[0])
            | std::to_integer<std::uint16_t>(reply[1]) << 8U;
    const auto code = static_cast<result_code>(number);
    return error {code, std::string(describe(code).text), {}, {}};
}

consensus::byte_buffer ledger::snapshot() const
{
    // Without evacuations, the snapshot can be read by processes of the earlier version.
    auto bytes = evacuations_.empty()
            ? pack(snapshotFormatWithoutEvacuations, configuration_, jobs_, waves_, losses_)
            : pack(snapshotFormat, configuration_, jobs_, waves_, losses_, evacuations_);
    if (!unbegunJobs_.empty())
        append(bytes, pack(unbegunJobsSection, unbegunJobs_));
    if (!cancellations_.empty())
        append(bytes, pack(cancellationsSection, cancellations_));
    if (const auto workers = suspectedWorkers(losses_); !workers.empty())
        append(bytes, pack(lostWorkersSection, workers));
    return bytes;
}

status ledger::restore(consensus::byte_view snapshot)
{
    configuration readConfiguration;
    std::map<std::string, job_record> readJobs;
    std::map<std::uint64_t, wave_record> readWaves;
    std::map<task_id, loss_record> readLosses;
    std::map<std::string, evacuation> readEvacuations;
    auto read = unpack(snapshot, snapshotFormat, readConfiguration, readJobs, readWaves, readLosses,
                       readEvacuations);
    if (failed(read))
        read = unpack(snapshot, snapshotFormatWithoutEvacuations, readConfiguration, readJobs,
                      readWaves, readLosses);
    std::set<std::string> readUnbegunJobs;
    std::map<job_address, std::int64_t> readCancellations;
    std::vector<lost_worker> readLostWorkers;
    if (!failed(read)) {
        auto sections = readSection(valueOf(read), unbegunJobsSection, readUnbegunJobs);
        if (!failed(sections))
            sections = readSection(valueOf(read), cancellationsSection, readCancellations);
        if (!failed(sections))
            sections = readSection(valueOf(read), lostWorkersSection, readLostWorkers);
        if (failed(sections))
            return sections;
    }
    if (failed(read))
        read = unpack(snapshot, snapshotFormatWithoutLosses, readConfiguration, readJobs,
                      readWaves);
    if (failed(read))
        read = unpack(snapshot, snapshotFormatWithoutWaves, readConfiguration, readJobs);
    if (failed(read))
        return errorOf(read);
    configuration_ = std::move(readConfiguration);
    jobs_ = std::move(readJobs);
    waves_ = std::move(readWaves);
    losses_ = std::move(readLosses);
    setWorkers(losses_, readLostWorkers);
    evacuations_ = std::move(readEvacuations);
    unbegunJobs_ = std::move(readUnbegunJobs);
    cancellations_ = std::move(readCancellations);
    rebuildIndexes();
    return std::monostate {};
}

} // namespace persimmon::batch
