#include "entry_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::entry::test;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

#define CHECK_CONTAINS(part, text) \
    CHECK_TEXT(contains(text, part), (std::string(part) + " is not in: " + (text)).c_str())

TEST_GROUP(entry_program) {};

// Guards against loss of the method, path, query, body or end-to-end fields on the way, and against
// forwarding the fields of one connection.
TEST(entry_program, forwardsRequestsAndAnswers)
{
    scripted_peer peer([](std::size_t, const std::string &) {
        return peer_step {"HTTP/1.1 201 X\r\nX-Back: b\r\nConnection: X-Hop2\r\nX-Hop2: h\r\n"
                          "Content-Type: text/x\r\nContent-Length: 4\r\n\r\ndone"};
    });
    entry_fixture entry;
    configure(entry.control, {peer.address()});
    CHECK(entry.waitReady());
    const auto answer = entry.call("POST", "/r/a%2Fb?x=%20y",
                                   "X-End: e\r\nX-Hop: h\r\nConnection: X-Hop\r\n", "body");
    CHECK_CONTAINS(" 201 ", answer);
    CHECK_CONTAINS("Persimmon-Outcome: ran", answer);
    CHECK_CONTAINS("X-Back: b", answer);
    CHECK_CONTAINS("Content-Type: text/x\r\n", answer);
    CHECK_FALSE(contains(answer, "X-Hop2"));
    CHECK_CONTAINS("\r\n\r\ndone", answer);
    const auto received = peer.requests().at(0);
    CHECK_CONTAINS("POST /r/a%2Fb?x=%20y HTTP/1.1\r\n", received);
    CHECK_CONTAINS("X-End:e", received);
    CHECK_CONTAINS("Host:boards.example", received);
    CHECK_FALSE(contains(received, "X-Hop"));
    CHECK_CONTAINS("\r\n\r\nbody", received);
}
