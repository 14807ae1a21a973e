#include "base/client_counts.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

TEST_GROUP(client_counts) {};

// Guards against refusals that operators can't see.
TEST(client_counts, showsEachCause)
{
    const auto before = clientCount(client_cause::Trailer);
    countClient(client_cause::Trailer, "10.0.0.1");
    countClient(client_cause::Trailer, "10.0.0.2");
    LONGS_EQUAL(2, clientCount(client_cause::Trailer) - before);
    const auto line = "persimmon_clients_refused_total{why=\"trailer\"} "
            + std::to_string(clientCount(client_cause::Trailer)) + "\n";
    STRCMP_CONTAINS(line.c_str(), clientMetrics().c_str());
    STRCMP_CONTAINS("why=\"peer_slow\"", clientMetrics().c_str());
}
