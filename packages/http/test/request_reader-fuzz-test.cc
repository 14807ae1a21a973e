// Any bytes, cut anywhere, must give the same requests and the same end as when given whole.
#include "request_reader.h"

#include <algorithm>
#include <string>
#include <vector>

// CppUTest defines new as a macro and is therefore included last.
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::http;

namespace {

struct reading
{
    std::vector<request> requests;
    request_reader::state end = request_reader::state::Idle;
    std::size_t held = 0; // at most
};

bool sameRequest(const request &left, const request &right)
{
    const auto sameField = [](const header &a, const header &b) {
        return a.name == b.name && a.value == b.value;
    };
    return left.method == right.method && left.rawPath == right.rawPath && left.path == right.path
            && left.query == right.query && left.body == right.body
            && std::ranges::equal(left.headers, right.headers, sameField);
}

request_limits fuzzLimits()
{
    request_limits limits;
    limits.maxHeaderBytes = 60;
    limits.maxBodyBytes = 12;
    limits.maxTargetBytes = 20;
    limits.maxFields = 6;
    limits.maxTrailerBytes = 24;
    limits.maxEmptyLines = 2;
    return limits;
}

void feed(request_reader &reader, std::string_view bytes, reading &result)
{
    result.end = reader.feed(bytes);
    result.held = std::max(result.held, reader.heldBytes());
    while (result.end == request_reader::state::Complete) {
        result.requests.push_back(reader.take());
        result.end = reader.feed({});
    }
}

// Feeds parts of the given lengths in turn; the last part is the rest.
reading readInParts(const std::string &bytes, const std::vector<std::size_t> &lengths)
{
    request_reader reader(fuzzLimits());
    reading result;
    std::string_view rest = bytes;
    for (const auto length : lengths) {
        if (result.end == request_reader::state::Refused)
            return result;
        feed(reader, rest.substr(0, length), result);
        rest.remove_prefix(std::min(length, rest.size()));
    }
    if (result.end != request_reader::state::Refused)
        feed(reader, rest, result);
    return result;
}

// Returns bytes that are made of pieces of requests, right and wrong ones.
rc::Gen<std::string> anyBytes()
{
    const auto piece = rc::gen::element<std::string>(
            "GET /a HTTP/1.1\r\n", "POST /b?c=d HTTP/1.1\r\n", "POST /%zz HTTP/1.0\r\n",
            "GET http://h/p#f HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 4\r\n",
            "Content-Length: 5\r\n", "Content-Length : 4\r\n", "Content-Length: 99999999999\r\n",
            "Transfer-Encoding: chunked\r\n", "Transfer-Encoding:\tchunked\r\n",
            "Connection: close\r\n", "Expect: 100-continue\r\n", "X: y\r\n", "X:  z \r\n",
            " folded\r\n", "\r\n", "\r", "\n", "\r\n\r\n", "body", "4\r\nbody\r\n",
            "2;x=y\r\nab\r\n", "1\r\na\r\n", "0\r\n", "0\r\n\r\n", "00000000000000000\r\n",
            "10000000000000001\r\n", "ffffffffffffffff\r\n", "a\r\n", ":", " ",
            std::string(1, '\0'), "\x80", std::string(30, 'a'), std::string(8, ' '));
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                        [](const std::vector<std::string> &pieces) {
                            std::string bytes;
                            for (const auto &item : pieces)
                                bytes += item;
                            return bytes;
                        });
}

// Returns bytes that begin as a request whose framing is right.
rc::Gen<std::string> likelyBytes()
{
    const auto begin = rc::gen::element<std::string>(
            "", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n");
    return rc::gen::map(rc::gen::pair(begin, anyBytes()),
                        [](const std::pair<std::string, std::string> &parts) {
                            return parts.first + parts.second;
                        });
}

} // namespace

TEST_GROUP(RequestReaderFuzz) {};

// Guards against limits, framing or contents that depend on how the bytes arrive, and against
// memory beyond the limits.
TEST(RequestReaderFuzz, resultDoesNotDependOnTheCuts)
{
    constexpr std::size_t maxHeldBytes = 16384;
    const bool passed = rc::check("the same result however the bytes are cut", [] {
        const auto bytes = *likelyBytes();
        const auto lengths = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, 20));
        const auto whole = readInParts(bytes, {});
        const auto parts = readInParts(bytes, lengths);
        const auto single = readInParts(bytes, std::vector<std::size_t>(bytes.size(), 1));
        for (const auto *other : {&parts, &single}) {
            RC_ASSERT(static_cast<int>(whole.end) == static_cast<int>(other->end));
            RC_ASSERT(std::ranges::equal(whole.requests, other->requests, sameRequest));
            RC_ASSERT(other->held < maxHeldBytes + bytes.size());
        }
    });
    CHECK_TRUE(passed);
}
