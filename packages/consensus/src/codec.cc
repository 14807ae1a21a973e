#include "log.capnp.h"
#include "message.h"

#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

namespace persimmon::consensus::detail {

namespace {

// Larger messages are rejected before they are copied. An Append carries at most 256 KiB of entries
// or one oversized entry, and a snapshot chunk at most 256 KiB.
constexpr std::size_t maxMessageBytes = std::size_t {64} << 20U;

kj::ArrayPtr<const kj::byte> toBytes(byte_view data)
{
    return {reinterpret_cast<const kj::byte *>(data.data()), data.size()};
}

byte_buffer toBuffer(capnp::Data::Reader data)
{
    const auto *first = reinterpret_cast<const std::byte *>(data.begin());
    return {first, first + data.size()};
}

void writeEntries(schema::Message::Builder root, const std::vector<log_entry> &entries)
{
    auto list = root.initEntries(static_cast<unsigned>(entries.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setIndex(entries[i].index);
        list[i].setTerm(entries[i].term);
        list[i].setKind(static_cast<std::uint8_t>(entries[i].kind));
        list[i].setPayload(toBytes(entries[i].payload));
    }
}

bool readEntries(schema::Message::Reader root, std::vector<log_entry> &entries)
{
    for (const auto item : root.getEntries()) {
        if (item.getKind() > static_cast<std::uint8_t>(entry_kind::Barrier))
            return false;
        if (!entries.empty() && item.getIndex() != entries.back().index + 1)
            return false;
        entries.push_back({item.getIndex(), item.getTerm(), static_cast<entry_kind>(item.getKind()),
                           toBuffer(item.getPayload())});
    }
    return true;
}

std::optional<message> readMessage(schema::Message::Reader root)
{
    if (root.getKind() > static_cast<std::uint8_t>(message_kind::Admit) || root.getFrom() == 0)
        return std::nullopt;
    message value;
    value.kind = static_cast<message_kind>(root.getKind());
    value.from = root.getFrom();
    value.to = root.getTo();
    value.term = root.getTerm();
    value.index = root.getIndex();
    value.logTerm = root.getLogTerm();
    value.commit = root.getCommit();
    value.hint = root.getHint();
    value.stamp = root.getStamp();
    value.disk = root.getDisk();
    value.preVote = root.getPreVote();
    value.granted = root.getGranted();
    value.transfer = root.getTransfer();
    value.rejoining = root.getRejoining();
    value.offset = root.getOffset();
    value.total = root.getTotal();
    value.data = toBuffer(root.getData());
    for (const auto id : root.getVoters())
        value.voters.push_back(id);
    if (!readEntries(root, value.entries))
        return std::nullopt;
    if (!value.entries.empty() && value.entries.front().index != value.index + 1)
        return std::nullopt;
    return value;
}

} // namespace

byte_buffer encode(const message &value)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Message>();
    root.setKind(static_cast<std::uint8_t>(value.kind));
    root.setFrom(value.from);
    root.setTo(value.to);
    root.setTerm(value.term);
    root.setIndex(value.index);
    root.setLogTerm(value.logTerm);
    root.setCommit(value.commit);
    root.setHint(value.hint);
    root.setStamp(value.stamp);
    root.setDisk(value.disk);
    root.setPreVote(value.preVote);
    root.setGranted(value.granted);
    root.setTransfer(value.transfer);
    root.setRejoining(value.rejoining);
    root.setOffset(value.offset);
    root.setTotal(value.total);
    root.setData(toBytes(value.data));
    auto voters = root.initVoters(static_cast<unsigned>(value.voters.size()));
    for (unsigned i = 0; i < voters.size(); ++i)
        voters.set(i, value.voters[i]);
    writeEntries(root, value.entries);
    const auto words = capnp::messageToFlatArray(builder);
    const auto *first = reinterpret_cast<const std::byte *>(words.begin());
    return {first, first + words.asBytes().size()};
}

std::optional<message> decode(byte_view bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0 || bytes.size() > maxMessageBytes)
        return std::nullopt;
    // The reader requires word alignment, which the input may not have.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    std::optional<message> value;
    const auto exception = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = 2 * words.size() + 1024;
        capnp::FlatArrayMessageReader reader(words, limits);
        value = readMessage(reader.getRoot<schema::Message>());
    });
    return exception == nullptr ? std::move(value) : std::nullopt;
}

byte_buffer encodeVoters(const std::vector<voter_id> &voters)
{
    byte_buffer payload(voters.size() * sizeof(voter_id));
    for (std::size_t i = 0; i < payload.size(); ++i)
        payload[i] = static_cast<std::byte>(voters[i / 4] >> (8 * (i % 4)));
    return payload;
}

std::vector<voter_id> decodeVoters(byte_view payload)
{
    std::vector<voter_id> voters(payload.size() / sizeof(voter_id));
    for (std::size_t i = 0; i < voters.size() * sizeof(voter_id); ++i)
        voters[i / 4] |= std::to_integer<voter_id>(payload[i]) << (8 * (i % 4));
    return voters;
}

} // namespace persimmon::consensus::detail
