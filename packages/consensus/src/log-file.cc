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
// Magic, payload size, synced bytes, checksum and a reserved field.
constexpr std::size_t recordHeaderBytes = 28;

template <typename Number>
void appendNumber(byte_buffer &buffer, Number value)
{
    const auto *first = reinterpret_cast<const std::byte *>(&value);
    buffer.insert(buffer.end(), first, first + sizeof(value));
}

// Reads consecutive numbers. If too few bytes remain, ok() becomes false and the value is zero.
class number_reader
{
public:
    explicit number_reader(byte_view bytes)
        : bytes_(bytes)
    {
    }

    template <typename Number>
    Number readNumber()
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

struct record_header
{
    std::uint32_t size = 0;
    std::uint64_t syncedBytes = 0;
};

std::uint64_t checksum(std::uint64_t segment, std::uint64_t offset, const record_header &header,
                       byte_view payload)
{
    const std::uint64_t position[] {segment, offset, header.size, header.syncedBytes};
    const auto seed = XXH3_64bits(&position, sizeof(position));
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

// Returns the header of the record at the offset if the record is complete and its checksum
// matches.
std::optional<record_header> readRecordHeader(byte_view bytes, std::uint64_t segment,
                                              std::uint64_t offset)
{
    number_reader input(bytes.subspan(offset));
    const auto magic = input.readNumber<std::uint32_t>();
    record_header header;
    header.size = input.readNumber<std::uint32_t>();
    header.syncedBytes = input.readNumber<std::uint64_t>();
    const auto expectedChecksum = input.readNumber<std::uint64_t>();
    const auto reserved = input.readNumber<std::uint32_t>();
    if (!input.ok() || magic != recordMagic || reserved != 0 || input.rest().size() < header.size)
        return std::nullopt;
    if (checksum(segment, offset, header, input.rest().first(header.size)) != expectedChecksum)
        return std::nullopt;
    return header;
}

std::optional<log_record> decodeRecord(byte_view payload)
{
    number_reader input(payload);
    log_record value;
    const auto kind = input.readNumber<std::uint8_t>();
    if (kind > static_cast<std::uint8_t>(record_kind::Seal))
        return std::nullopt;
    value.kind = static_cast<record_kind>(kind);
    if (value.kind == record_kind::SegmentHeader || value.kind == record_kind::Vote) {
        value.vote.term = input.readNumber<std::uint64_t>();
        value.vote.votedFor = input.readNumber<std::uint32_t>();
        value.vote.disk = input.readNumber<std::uint64_t>();
        value.vote.rejoining = input.readNumber<std::uint8_t>() != 0;
        value.entry.index = input.readNumber<std::uint64_t>();
    } else if (value.kind != record_kind::Seal) {
        value.entry.index = input.readNumber<std::uint64_t>();
        value.entry.term = input.readNumber<std::uint64_t>();
        const auto entryKind = input.readNumber<std::uint8_t>();
        if (entryKind > static_cast<std::uint8_t>(entry_kind::Barrier))
            return std::nullopt;
        value.entry.kind = static_cast<entry_kind>(entryKind);
        value.entry.payload.assign(input.rest().begin(), input.rest().end());
    }
    return input.ok() ? std::optional(std::move(value)) : std::nullopt;
}

// Returns whether a later valid record proves that the byte at the offset was synced.
bool isKnownSynced(byte_view bytes, std::uint64_t segment, std::uint64_t offset)
{
    std::byte magic[sizeof(recordMagic)];
    std::memcpy(magic, &recordMagic, sizeof(magic));
    auto from = bytes.begin() + static_cast<std::ptrdiff_t>(offset);
    while (true) {
        from = std::search(from, bytes.end(), std::begin(magic), std::end(magic));
        if (from == bytes.end())
            return false;
        const auto at = static_cast<std::uint64_t>(from - bytes.begin());
        const auto header = readRecordHeader(bytes, segment, at);
        if (header && header->syncedBytes > offset)
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
    appendNumber(payload, static_cast<std::uint8_t>(value.kind));
    if (value.kind == record_kind::SegmentHeader || value.kind == record_kind::Vote) {
        appendNumber(payload, value.vote.term);
        appendNumber(payload, value.vote.votedFor);
        appendNumber(payload, value.vote.disk);
        appendNumber(payload, static_cast<std::uint8_t>(value.vote.rejoining));
        appendNumber(payload, value.entry.index);
    } else if (value.kind != record_kind::Seal) {
        appendNumber(payload, value.entry.index);
        appendNumber(payload, value.entry.term);
        appendNumber(payload, static_cast<std::uint8_t>(value.entry.kind));
        payload.insert(payload.end(), value.entry.payload.begin(), value.entry.payload.end());
    }
    const record_header header {static_cast<std::uint32_t>(payload.size()), syncedBytes};
    appendNumber(buffer, recordMagic);
    appendNumber(buffer, header.size);
    appendNumber(buffer, header.syncedBytes);
    appendNumber(buffer, checksum(segment, offset, header, payload));
    appendNumber(buffer, std::uint32_t {0});
    buffer.insert(buffer.end(), payload.begin(), payload.end());
}

segment_content parseSegment(byte_view bytes, std::uint64_t segment)
{
    segment_content content;
    std::uint64_t offset = 0;
    while (offset < bytes.size()) {
        const auto header = readRecordHeader(bytes, segment, offset);
        auto record = header ? decodeRecord(bytes.subspan(offset + recordHeaderBytes, header->size))
                             : std::nullopt;
        if (!record) {
            content.damaged = header.has_value() || isKnownSynced(bytes, segment, offset);
            content.torn = !content.damaged;
            break;
        }
        content.records.push_back(std::move(*record));
        offset += recordHeaderBytes + header->size;
    }
    content.validBytes = offset;
    if (!content.records.empty() && content.records.front().kind != record_kind::SegmentHeader)
        content.damaged = true;
    return content;
}

byte_buffer encodeSnapshot(const snapshot_record &value)
{
    byte_buffer body;
    appendNumber(body, value.index);
    appendNumber(body, value.term);
    appendNumber(body, static_cast<std::uint32_t>(value.voters.size()));
    for (const auto id : value.voters)
        appendNumber(body, id);
    body.insert(body.end(), value.state.begin(), value.state.end());
    byte_buffer file;
    appendNumber(file, snapshotMagic);
    appendNumber(file, XXH3_64bits(body.data(), body.size()));
    file.insert(file.end(), body.begin(), body.end());
    return file;
}

std::optional<snapshot_record> decodeSnapshot(byte_view bytes)
{
    number_reader input(bytes);
    const auto magic = input.readNumber<std::uint64_t>();
    const auto expectedChecksum = input.readNumber<std::uint64_t>();
    if (!input.ok() || magic != snapshotMagic
        || XXH3_64bits(input.rest().data(), input.rest().size()) != expectedChecksum)
        return std::nullopt;
    snapshot_record value;
    value.index = input.readNumber<std::uint64_t>();
    value.term = input.readNumber<std::uint64_t>();
    const auto voters = input.readNumber<std::uint32_t>();
    for (std::uint32_t i = 0; i < voters && input.ok(); ++i)
        value.voters.push_back(input.readNumber<voter_id>());
    value.state.assign(input.rest().begin(), input.rest().end());
    return input.ok() ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace persimmon::consensus::detail
