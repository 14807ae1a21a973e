#include "report_codec.h"

#include "base/message_archive.h"
#include "serialize.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>

#include <algorithm>
#include <sstream>

namespace persimmon::batch {

template <typename Archive>
void serialize(Archive &archive, running_task &value)
{
    archive(value.task, value.run, value.checkpoint, value.percent, value.tailLatencyMs);
}

template <typename Archive>
void serialize(Archive &archive, ended_task &value)
{
    archive(value.sequence, value.task, value.run, value.kind, value.checkpoint);
}

template <typename Archive>
void serialize(Archive &archive, worker_report &value)
{
    archive(value.id, value.incarnation, value.sequence, value.clockMs, value.address,
            value.machine, value.pool, value.zone, value.rack, value.labels, value.capacity,
            value.draining, value.remainingMs, value.running, value.ended);
}

template <typename Archive>
void serialize(Archive &archive, start_order &value)
{
    archive(value.task, value.run, value.payload, value.checkpoint, value.ticket);
}

template <typename Archive>
void serialize(Archive &archive, stop_order &value)
{
    archive(value.task, value.run);
}

template <typename Archive>
void serialize(Archive &archive, pace_order &value)
{
    archive(value.task, value.run, value.percent);
}

template <typename Archive>
void serialize(Archive &archive, worker_orders &value)
{
    archive(value.leaseMs, value.fencingToken, value.ackedUpTo, value.starts, value.stops,
            value.paces, value.retryMs);
}

template <typename Archive>
void serialize(Archive &archive, heartbeat_key &value)
{
    archive(value.worker, value.incarnation, value.sequence);
}

template <typename Archive>
void serialize(Archive &archive, released_answer &value)
{
    archive(value.heartbeat, value.orders);
}

namespace detail {

template <typename Archive>
void serialize(Archive &archive, batch_answer &value)
{
    archive(value.code, value.detail, value.orders);
}

namespace {

template <typename Write>
std::string pack(const Write &write)
{
    std::ostringstream stream(std::ios::binary);
    cereal::BinaryOutputArchive archive(stream);
    write(archive);
    return std::move(stream).str();
}

template <typename Value, typename Read>
result<Value> unpack(const std::string &bytes, const Read &read)
{
    Value value;
    try {
        message_archive archive(bytes);
        read(archive, value);
    } catch (const std::exception &failure) {
        return error {result_code::MalformedRequest, failure.what(), {}, {}};
    }
    return value;
}

} // namespace

// Warm-up times are sent only if there are any, as nodes of the earlier version do.
std::string encodeReports(const report_batch &batch)
{
    std::vector<std::int64_t> warmups;
    for (const auto &report : batch.reports)
        warmups.push_back(report.warmupLeftMs);
    const bool isAnyCold = std::ranges::any_of(warmups, [](std::int64_t left) { return left > 0; });
    return pack([&](auto &archive) {
        archive(batch.reports, batch.forwarder, batch.zone);
        if (isAnyCold)
            archive(warmups);
    });
}

std::string encodeAnswers(const batch_answers &answers)
{
    return pack([&](auto &archive) {
        archive(answers.leaderAddress, answers.stayWithForwarder, answers.answers);
        archive(answers.acceptsPolls, answers.holdMs, answers.released, answers.addresses);
    });
}

result<report_batch> decodeReports(const std::string &bytes)
{
    return unpack<report_batch>(bytes, [](message_archive &archive, report_batch &batch) {
        archive(batch.reports);
        if (!archive.atEnd())
            archive(batch.forwarder, batch.zone);
        std::vector<std::int64_t> warmups;
        if (!archive.atEnd())
            archive(warmups);
        for (std::size_t i = 0; i < std::min(warmups.size(), batch.reports.size()); ++i)
            batch.reports[i].warmupLeftMs = warmups[i];
    });
}

result<batch_answers> decodeAnswers(const std::string &bytes)
{
    return unpack<batch_answers>(bytes, [](message_archive &archive, batch_answers &answers) {
        archive(answers.leaderAddress, answers.stayWithForwarder, answers.answers);
        if (!archive.atEnd())
            archive(answers.acceptsPolls, answers.holdMs, answers.released, answers.addresses);
    });
}

} // namespace detail

} // namespace persimmon::batch
