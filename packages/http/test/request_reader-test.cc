#include "request_reader.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::http;

namespace {

std::string post(const std::string &rest)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + rest;
}

std::string chunked(const std::string &chunks)
{
    return post("Transfer-Encoding: chunked\r\n\r\n" + chunks);
}

} // namespace

TEST_GROUP(request_reader)
{
    request_limits limits;

    request read(const std::string &bytes)
    {
        request_reader reader(limits);
        CHECK_TRUE_TEXT(reader.feed(bytes) == request_reader::state::Complete, bytes.c_str());
        return reader.take();
    }

    void checkRefused(const std::string &bytes, result_code code)
    {
        request_reader reader(limits);
        CHECK_TRUE_TEXT(reader.feed(bytes) == request_reader::state::Refused, bytes.c_str());
        LONGS_EQUAL_TEXT(static_cast<int>(code), static_cast<int>(reader.reason().code),
                         bytes.c_str());
        CHECK_TRUE_TEXT(reader.heldBytes() < 64, bytes.c_str());
    }
};

// Guards against request smuggling: what two parsers could delimit differently.
TEST(request_reader, refusesAmbiguousFraming)
{
    using enum result_code;
    checkRefused(post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: 4\r\nContent-Length: 4\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: 4\r\nContent-Length: 5\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: 4, 4\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: +4\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: 0x4\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length: 18446744073709551617\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Content-Length:\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"),
                 AmbiguousFraming);
    checkRefused(post("Transfer-Encoding: chunked, identity\r\n\r\n"), AmbiguousFraming);
    checkRefused(post("Transfer-Encoding: xchunked\r\n\r\n"), AmbiguousFraming);
    checkRefused("POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 AmbiguousFraming);
    checkRefused(post("Content-Length : 4\r\n\r\nbody"), MalformedRequest);
    checkRefused(post("Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(post(" Content-Length: 4\nX: y\r\n\r\nbody"), MalformedRequest);
    checkRefused(post("X: y\nContent-Length: 4\r\n\r\nbody"), MalformedRequest);
    checkRefused(post("X: y\rContent-Length: 4\r\n\r\nbody"), MalformedRequest);
    checkRefused("POST /a HTTP/1.1\nHost: h\n\n", MalformedRequest);
    checkRefused(post("Host: i\r\n\r\n"), MalformedRequest);
}

// Guards against chunk sizes that overflow, or that two parsers could read differently.
TEST(request_reader, refusesMalformedChunks)
{
    using enum result_code;
    checkRefused(chunked("10000000000000004\r\nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("ffffffffffffffff\r\nbody\r\n0\r\n\r\n"), BodyTooLarge);
    checkRefused(chunked("-4\r\nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("0x4\r\nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("4\nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("4 \nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("4\r\nbodyx\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("\r\n4\r\nbody\r\n0\r\n\r\n"), MalformedRequest);
    checkRefused(chunked("0\r\nContent-Length: 4\r\n\r\n"), AmbiguousFraming);
}

// Guards against a first value that hides the others, which checks before the listener have seen.
TEST(request_reader, joinsRepeatedFields)
{
    const auto taken = read(post("Accept: a\r\naccept: b\r\nX: c\r\nACCEPT: d\r\n\r\n"));
    STRCMP_EQUAL("a, b, d", std::string(taken.find("Accept")).c_str());
    LONGS_EQUAL(3, taken.headers.size());
}

// Guards against limits that depend on how the bytes are cut.
TEST(request_reader, limitsTrailersHoweverTheyAreCut)
{
    limits.maxTrailerBytes = 100;
    const auto trailers = [](std::size_t bytes) {
        return chunked("4\r\nbody\r\n0\r\nX: " + std::string(bytes, 'a') + "\r\n\r\n");
    };
    STRCMP_EQUAL("body", read(trailers(80)).body.c_str());
    checkRefused(trailers(101), result_code::HeadersTooLarge);
    checkRefused(chunked("4;" + std::string(101, 'a') + "\r\nbody\r\n0\r\n\r\n"),
                 result_code::HeadersTooLarge);
}

// Guards against spaces around fields that pass the limits, because only texts are counted.
TEST(request_reader, limitsTheHeadAsReceived)
{
    checkRefused(post("X:" + std::string(100000, ' ') + "y\r\n\r\n"), result_code::HeadersTooLarge);
    std::string fields;
    for (int i = 0; i < 5000; ++i)
        fields += "a:\r\n";
    checkRefused(post(fields + "\r\n"), result_code::HeadersTooLarge);
}

// Guards against refusing heads within the limits of the users' pages.
TEST(request_reader, servesTheLargestHeads)
{
    std::string fields;
    while (fields.size() < 16200)
        fields += "a:\r\n";
    read(post(fields + "\r\n"));
    read(post("X: " + std::string(16300, 'a') + "\r\n\r\n"));
    read("GET /" + std::string(16300, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Guards against bytes without end in any part of a request.
TEST(request_reader, holdsNoMoreThanTheLimits)
{
    for (const auto &[head, repeated] : std::vector<std::pair<std::string, std::string>> {
                 {post(""), "X: " + std::string(1000, 'a') + "\r\n"},
                 {post("X: "), std::string(1000, ' ')},
                 {"GET /", "a"},
                 {"", "\r\n"},
                 {"", "a"},
                 {chunked("1;x="), "a"},
                 {chunked("1\r\na\r\n0\r\n"), "X: y\r\n"},
                 {chunked(""), "1\r\na\r\n"}}) {
        request_reader reader(limits);
        auto state = reader.feed(head);
        std::size_t held = 0;
        for (std::size_t sent = 0; sent < 8000000 && state != request_reader::state::Refused;) {
            std::string bytes;
            while (bytes.size() < 4096)
                bytes += repeated;
            state = reader.feed(bytes);
            sent += bytes.size();
            held = std::max(held, reader.heldBytes());
        }
        CHECK_TRUE_TEXT(held < 3 * limits.maxBodyBytes, head.c_str());
        CHECK_TRUE_TEXT(state == request_reader::state::Refused, head.c_str());
    }
}

// Guards against connections that a client of HTTP/1.0 takes to end with the response.
TEST(request_reader, closesConnectionsOfOlderClients)
{
    request_reader reader(limits);
    reader.feed("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    reader.take();
    CHECK_FALSE(reader.keepAlive());
}
