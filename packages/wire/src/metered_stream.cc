#include "metered_stream.h"

#include <kj/debug.h>

#include <algorithm>

namespace persimmon::wire {

namespace {

constexpr size_t pieceBytes = 32768;

// Reads of no more bytes only wait for the begin of a message.
constexpr size_t beginBytes = 8;

} // namespace

metered_stream::metered_stream(kj::Own<kj::AsyncIoStream> socket, read_hooks hooks)
    : socket_(kj::mv(socket))
    , hooks_(std::move(hooks))
{
}

kj::Promise<size_t> metered_stream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    if (maxBytes <= beginBytes)
        return socket_->tryRead(buffer, minBytes, maxBytes);
    hooks_.onBegin();
    return readPieces(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0)
            .then([this](size_t count) {
                hooks_.onEnd();
                return count;
            });
}

kj::Promise<size_t> metered_stream::readPieces(kj::byte *buffer, size_t minBytes, size_t maxBytes,
                                               size_t done)
{
    const auto piece = std::min(pieceBytes, maxBytes - done);
    const auto least = std::min(piece, minBytes - done);
    if (!hooks_.onHeld(done + piece))
        return KJ_EXCEPTION(DISCONNECTED, "unfinished messages hold too much memory");
    return socket_->tryRead(buffer + done, least, piece)
            .then([this, buffer, minBytes, maxBytes, done,
                   least](size_t count) -> kj::Promise<size_t> {
                const auto total = done + count;
                if (count < least || total >= minBytes)
                    return total;
                return readPieces(buffer, minBytes, maxBytes, total);
            });
}

kj::Promise<void> metered_stream::write(const void *buffer, size_t size)
{
    return socket_->write(buffer, size);
}

kj::Promise<void> metered_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    return socket_->write(pieces);
}

kj::Promise<void> metered_stream::whenWriteDisconnected()
{
    return socket_->whenWriteDisconnected();
}

void metered_stream::shutdownWrite()
{
    socket_->shutdownWrite();
}

void metered_stream::abortRead()
{
    socket_->abortRead();
}

void metered_stream::getsockopt(int level, int option, void *value, kj::uint *length)
{
    socket_->getsockopt(level, option, value, length);
}

void metered_stream::setsockopt(int level, int option, const void *value, kj::uint length)
{
    socket_->setsockopt(level, option, value, length);
}

void metered_stream::getsockname(struct sockaddr *address, kj::uint *length)
{
    socket_->getsockname(address, length);
}

void metered_stream::getpeername(struct sockaddr *address, kj::uint *length)
{
    socket_->getpeername(address, length);
}

kj::Maybe<int> metered_stream::getFd() const
{
    return socket_->getFd();
}

} // namespace persimmon::wire
