#pragma once

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace persimmon::wire {

template <typename Schema, typename Visitor>
status visitBytes(std::span<const std::byte> bytes, Visitor visitor)
{
    if (bytes.size() % sizeof(capnp::word) != 0)
        return error {result_code::CorruptFile, "message length is not a multiple of 8", {}, {}};
    // Copied because the flat reader needs word alignment.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    if (!bytes.empty())
        std::memcpy(words.begin(), bytes.data(), bytes.size());
    status outcome;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 1ULL << 30; // enough for the snapshot of a large ledger
        capnp::FlatArrayMessageReader reader(words, options);
        visitor(reader.getRoot<Schema>());
    });
    KJ_IF_MAYBE (exception, failure)
        outcome = error {result_code::CorruptFile, exception->getDescription().cStr(), {}, {}};
    return outcome;
}

} // namespace persimmon::wire
