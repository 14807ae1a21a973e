#include "cluster/address.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::cluster;

TEST_GROUP(Address) {};

// Guards against two nodes with the same id, and against an id that resolves to the address of
// another node.
TEST(Address, convertsBetweenIdsAndAddresses)
{
    const auto id = idOf("10.1.0.22:8526");
    CHECK_TRUE(id.has_value());
    STRCMP_EQUAL("10.1.0.22", ipOf(*id).c_str());
    STRCMP_EQUAL("10.1.0.22:7000", addressOf(*id, 7000).c_str());
    CHECK_TRUE(*idOf("10.1.0.23") != *id);
    CHECK_FALSE(idOf("host:80").has_value());
    CHECK_FALSE(idOf("").has_value());
}

// Guards against a text taken for an address that no connection can use.
TEST(Address, tellsEndpoints)
{
    CHECK_TRUE(isEndpoint("10.1.0.22:1") && isEndpoint("10.1.0.22:65535"));
    for (const auto *text : {"10.1.0.22", "10.1.0.22:", "10.1.0.22:0", "10.1.0.22:65536",
                             "10.1.0.22:+1", "10.1.0.22:1:1", "host:80", ":80", ""})
        CHECK_FALSE_TEXT(isEndpoint(text), text);
}
