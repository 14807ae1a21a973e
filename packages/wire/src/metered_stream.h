#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>

namespace persimmon::wire {

// What a stream reports of a read that takes more than one piece.
struct read_hooks
{
    // A read begins that isn't complete with the next few bytes.
    std::function<void()> onBegin;
    // The read holds this many bytes. Returns false if it must be given up.
    std::function<bool(std::uint64_t)> onHeld;
    std::function<void()> onEnd;
};

// Stream of a socket that reads large blocks piece by piece, and reports how much it holds.
class metered_stream final : public kj::AsyncIoStream
{
public:
    metered_stream(kj::Own<kj::AsyncIoStream> socket, read_hooks hooks);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void *value, kj::uint *length) override;
    void setsockopt(int level, int option, const void *value, kj::uint length) override;
    void getsockname(struct sockaddr *address, kj::uint *length) override;
    void getpeername(struct sockaddr *address, kj::uint *length) override;
    kj::Maybe<int> getFd() const override;

private:
    kj::Promise<size_t> readPieces(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t done);

    kj::Own<kj::AsyncIoStream> socket_;
    read_hooks hooks_;
};

} // namespace persimmon::wire
