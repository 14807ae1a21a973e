#include "log-file.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>

namespace persimmon::consensus::detail {

namespace {

static_assert(std::endian::native == std::endian::little, "files are little-endian");

constexpr std::uint32_t recordMagic = 0x504c5231; // "1RLP"
constexpr std::uint64_t snapshotMagic = 0x31504e5352455001;
constexpr std::size_t headBytes = 28; // magic, payload bytes, synced bytes, checksum

template <typename Number>
void put(byte_buffer &buffer, Number value)
{
    const auto *first = reinterpret_cast<const std::byte *>(&value);
    buffer.insert(buffer.end(), first, first + sizeof(value));
}

// Reads numbers one after the other; fails softly at the end of the bytes.
class reader
{
public:
    explicit reader(byte_view bytes)
        : bytes_(bytes)
    {
    }

    template <typename Number>
    Number get()
    {
        Number value {};
        if (bytes_.size() < sizeof(value)) {
            ok_ = false;
            return value;
        }
        std::memcpy(&value, bytes_.data(), sizeof(value));
        bytes_ = bytes_.subspan(sizeof(value));
        return value;
    }

    byte_view rest() const { return bytes_; }
    bool ok() const { return ok_; }

private:
    byte_view bytes_;
    bool ok_ = true;
};

struct record_head
{
    std::uint32_t size = 0;
    std::uint64_t syncedBytes = 0;
};

std::uint64_t checksum(std::uint64_t segment, std::uint64_t offset, const record_head &head,
                       byte_view payload)
{
    const std::uint64_t place[] {segment, offset, head.size, head.syncedBytes};
    const auto seed = XXH3_64bits(&place, sizeof(place));
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

// Returns the head of the record at the offset if the record is whole and its checksum fits.
std::optional<record_head> headAt(byte_view bytes, std::uint64_t segment, std::uint64_t offset)
{
    reader input(bytes.subspan(offset));
    const auto magic = input.get<std::uint32_t>();
    record_head head;
    head.size = input.get<std::uint32_t>();
    head.syncedBytes = input.get<std::uint64_t>();
    const auto sum = input.get<std::uint64_t>();
    const auto reserved = input.get<std::uint32_t>();
    if (!input.ok() || magic != recordMagic || reserved != 0 || input.rest().size() < head.size)
        return std::nullopt;
    if (checksum(segment, offset, head, input.rest().first(head.size)) != sum)
        return std::nullopt;
    return head;
}

std::optional<log_record> decodeRecord(byte_view payload)
{
    reader input(payload);
    log_record value;
    const auto kind = input.get<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(record_kind::Seal))
        return std::nullopt;
    value.kind = static_cast<record_kind>(kind);
    if (value.kind == record_kind::Header || value.kind == record_kind::Vote) {
        value.vote.term = input.get<std::uint64_t>();
        value.vote.votedFor = input.get<std::uint32_t>();
        value.vote.disk = input.get<std::uint64_t>();
        value.vote.rejoining = input.get<std::uint8_t>() != 0;
        value.entry.index = input.get<std::uint64_t>();
    } else if (value.kind != record_kind::Seal) {
        value.entry.index = input.get<std::uint64_t>();
        value.entry.term = input.get<std::uint64_t>();
        const auto entryKind = input.get<std::uint8_t>();
        if (entryKind > static_cast<std::uint8_t>(entry_kind::Barrier))
            return std::nullopt;
        value.entry.kind = static_cast<entry_kind>(entryKind);
        value.entry.payload.assign(input.rest().begin(), input.rest().end());
    }
    return input.ok() ? std::optional(std::move(value)) : std::nullopt;
}

// Tells whether a later valid record proves that the byte at the offset was synced.
bool provenSynced(byte_view bytes, std::uint64_t segment, std::uint64_t offset)
{
    std::byte magic[sizeof(recordMagic)];
    std::memcpy(magic, &recordMagic, sizeof(magic));
    auto from = bytes.begin() + static_cast<std::ptrdiff_t>(offset);
    while (true) {
        from = std::search(from, bytes.end(), std::begin(magic), std::end(magic));
        if (from == bytes.end())
            return false;
        const auto at = static_cast<std::uint64_t>(from - bytes.begin());
        const auto head = headAt(bytes, segment, at);
        if (head && head->syncedBytes > offset)
            return true;
        ++from;
    }
}

} // namespace

void encodeRecord(byte_buffer &buffer, std::uint64_t segment, std::uint64_t offset,
                  std::uint64_t syncedBytes, const log_record &value)
{
    byte_buffer payload;
    payload.reserve(32 + value.entry.payload.size());
    put(payload, static_cast<std::uint8_t>(value.kind));
    if (value.kind == record_kind::Header || value.kind == record_kind::Vote) {
        put(payload, value.vote.term);
        put(payload, value.vote.votedFor);
        put(payload, value.vote.disk);
        put(payload, static_cast<std::uint8_t>(value.vote.rejoining));
        put(payload, value.entry.index);
    } else if (value.kind != record_kind::Seal) {
        put(payload, value.entry.index);
        put(payload, value.entry.term);
        put(payload, static_cast<std::uint8_t>(value.entry.kind));
        payload.insert(payload.end(), value.entry.payload.begin(), value.entry.payload.end());
    }
    const record_head head {static_cast<std::uint32_t>(payload.size()), syncedBytes};
    put(buffer, recordMagic);
    put(buffer, head.size);
    put(buffer, head.syncedBytes);
    put(buffer, checksum(segment, offset, head, payload));
    put(buffer, std::uint32_t {0});
    buffer.insert(buffer.end(), payload.begin(), payload.end());
}

segment_content parseSegment(byte_view bytes, std::uint64_t segment)
{
    segment_content content;
    std::uint64_t offset = 0;
    while (offset < bytes.size()) {
        const auto head = headAt(bytes, segment, offset);
        auto record
                = head ? decodeRecord(bytes.subspan(offset + headBytes, head->size)) : std::nullopt;
        if (!record) {
            content.damaged = head.has_value() || provenSynced(bytes, segment, offset);
            content.torn = !content.damaged;
            break;
        }
        content.records.push_back(std::move(*record));
        offset += headBytes + head->size;
    }
    content.validBytes = offset;
    if (!content.records.empty() && content.records.front().kind != record_kind::Header)
        content.damaged = true;
    return content;
}

byte_buffer encodeSnapshot(const snapshot_record &value)
{
    byte_buffer body;
    put(body, value.index);
    put(body, value.term);
    put(body, static_cast<std::uint32_t>(value.voters.size()));
    for (const auto id : value.voters)
        put(body, id);
    body.insert(body.end(), value.state.begin(), value.state.end());
    byte_buffer file;
    put(file, snapshotMagic);
    put(file, XXH3_64bits(body.data(), body.size()));
    file.insert(file.end(), body.begin(), body.end());
    return file;
}

std::optional<snapshot_record> decodeSnapshot(byte_view bytes)
{
    reader input(bytes);
    const auto magic = input.get<std::uint64_t>();
    const auto sum = input.get<std::uint64_t>();
    if (!input.ok() || magic != snapshotMagic
        || XXH3_64bits(input.rest().data(), input.rest().size()) != sum)
        return std::nullopt;
    snapshot_record value;
    value.index = input.get<std::uint64_t>();
    value.term = input.get<std::uint64_t>();
    const auto voters = input.get<std::uint32_t>();
    for (std::uint32_t i = 0; i < voters && input.ok(); ++i)
        value.voters.push_back(input.get<voter_id>());
    value.state.assign(input.rest().begin(), input.rest().end());
    return input.ok() ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace persimmon::consensus::detail
