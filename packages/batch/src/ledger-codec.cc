#include "serialize.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace persimmon::batch {

namespace {

constexpr std::uint8_t formatNumber = 1;

template <typename... Values>
consensus::byte_buffer pack(const Values &...values)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(formatNumber, values...);
    }
    const auto text = stream.view();
    const auto *begin = reinterpret_cast<const std::byte *>(text.data());
    return {begin, begin + text.size()};
}

template <typename... Values>
status unpack(consensus::byte_view bytes, Values &...values)
{
    std::istringstream stream(
            std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size()),
            std::ios::binary);
    std::uint8_t format = 0;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(format);
        if (format == formatNumber)
            archive(values...);
    } catch (const std::exception &failure) {
        return error {result_code::CorruptFile, failure.what(), {}, {}};
    }
    if (format != formatNumber)
        return error {result_code::CorruptFile, "unknown format of the batch ledger", {}, {}};
    return std::monostate {};
}

} // namespace

consensus::byte_buffer encode(const command &value)
{
    return pack(value);
}

result<command> decodeCommand(consensus::byte_view bytes)
{
    command value;
    if (auto read = unpack(bytes, value); failed(read))
        return errorOf(read);
    return value;
}

consensus::byte_buffer ledger::snapshot() const
{
    return pack(configuration_, jobs_);
}

status ledger::restore(consensus::byte_view snapshot)
{
    configuration readConfiguration;
    std::map<std::string, job_record> readJobs;
    if (auto read = unpack(snapshot, readConfiguration, readJobs); failed(read))
        return read;
    configuration_ = std::move(readConfiguration);
    jobs_ = std::move(readJobs);
    rebuildIndexes();
    return std::monostate {};
}

} // namespace persimmon::batch
