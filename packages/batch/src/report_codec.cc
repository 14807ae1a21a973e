#include "report_codec.h"

#include "serialize.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>

#include <sstream>

namespace persimmon::batch {

template <typename Archive>
void serialize(Archive &archive, running_task &value)
{
    archive(value.task, value.run, value.saved, value.percent, value.figure);
}

template <typename Archive>
void serialize(Archive &archive, ended_task &value)
{
    archive(value.number, value.task, value.run, value.kind, value.saved);
}

template <typename Archive>
void serialize(Archive &archive, worker_report &value)
{
    archive(value.id, value.born, value.sequence, value.clockMs, value.address, value.machine,
            value.pool, value.zone, value.rack, value.labels, value.capacity, value.draining,
            value.remainingMs, value.running, value.ended);
}

template <typename Archive>
void serialize(Archive &archive, start_order &value)
{
    archive(value.task, value.run, value.payload, value.saved, value.ticket);
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
    archive(value.leaseMs, value.fencingToken, value.seenUpTo, value.starts, value.stops,
            value.paces, value.retryMs);
}

namespace detail {

template <typename Archive>
void serialize(Archive &archive, batch_answer &value)
{
    archive(value.code, value.detail, value.orders);
}

template <typename Archive>
void serialize(Archive &archive, batch_answers &value)
{
    archive(value.leaderAddress, value.stayWithForwarder, value.answers);
}

namespace {

template <typename Value>
std::string pack(const Value &value)
{
    std::ostringstream stream(std::ios::binary);
    cereal::BinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

template <typename Value>
result<Value> unpack(const std::string &bytes)
{
    std::istringstream stream(bytes, std::ios::binary);
    Value value;
    try {
        cereal::BinaryInputArchive archive(stream);
        archive(value);
    } catch (const std::exception &failure) {
        return error {result_code::MalformedRequest, failure.what(), {}, {}};
    }
    return value;
}

} // namespace

std::string encodeReports(const std::vector<worker_report> &reports)
{
    return pack(reports);
}

std::string encodeAnswers(const batch_answers &answers)
{
    return pack(answers);
}

result<std::vector<worker_report>> decodeReports(const std::string &bytes)
{
    return unpack<std::vector<worker_report>>(bytes);
}

result<batch_answers> decodeAnswers(const std::string &bytes)
{
    return unpack<batch_answers>(bytes);
}

} // namespace detail

} // namespace persimmon::batch
