#include "test-network.h"

#include <cstdlib>
#include <iostream>

// CppUTest defines new as a macro and is therefore included last.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::consensus;
using namespace persimmon::consensus::testing;

namespace {

struct fuzz_model
{
    std::size_t voters = 3;
};

enum class fault : std::uint8_t {
    Propose,
    Advance,
    Crash,
    Start,
    PowerCut,
    LoseDisk,
    Isolate,
    Heal,
    Transfer,
    Change,
    Network,
    SlowDisk,
    FailDisk,
};

constexpr const char *faultNames[] {"propose",  "advance",  "crash",   "start",    "powerCut",
                                    "loseDisk", "isolate",  "heal",    "transfer", "change",
                                    "network",  "slowDisk", "failDisk"};

constexpr voter_id nodeCount = 5;

// One random step on the group; the meaning of the two numbers depends on the kind.
struct fuzz_step : rc::state::Command<fuzz_model, cluster>
{
    fault kind = *rc::gen::weightedElement<fault>({{8, fault::Propose},
                                                   {8, fault::Advance},
                                                   {2, fault::Crash},
                                                   {3, fault::Start},
                                                   {2, fault::PowerCut},
                                                   {2, fault::LoseDisk},
                                                   {2, fault::Isolate},
                                                   {1, fault::Heal},
                                                   {1, fault::Transfer},
                                                   {1, fault::Change},
                                                   {1, fault::Network},
                                                   {1, fault::SlowDisk},
                                                   {1, fault::FailDisk}});
    unsigned first = *rc::gen::inRange(0U, 1000U);
    unsigned second = *rc::gen::inRange(0U, 1000U);

    void show(std::ostream &os) const override
    {
        os << faultNames[static_cast<std::size_t>(kind)] << '(' << first << ", " << second << ')';
    }

    void run(const fuzz_model &model, cluster &group) const override
    {
        const auto id = static_cast<voter_id>(1 + first % nodeCount);
        switch (kind) {
        case fault::Propose:
            for (unsigned i = 0; i < 1 + second % 30; ++i)
                group.propose(second % 3 == 0 || group.leader() == 0 ? id : group.leader());
            break;
        case fault::Advance:
            // Half of the steps are short, so that faults occur while messages and syncs are in
            // flight.
            return group.advance(
                    std::chrono::microseconds(first % 2 == 0 ? 20 * second : 1000 * second));
        case fault::Crash:
            return group.crash(id);
        case fault::Start:
            return group.start(id);
        case fault::PowerCut:
            for (voter_id nodeId = 1; nodeId <= nodeCount; ++nodeId)
                group.crash(nodeId);
            for (const auto nodeId : selectNodes(second))
                group.start(nodeId);
            break;
        case fault::LoseDisk:
            if (canLoseDisk(model, group, id))
                group.loseDisk(id, second % 2 == 0);
            break;
        case fault::Isolate:
            return group.isolate(selectNodes(second), first % 4 == 0);
        case fault::Heal:
            return group.heal();
        case fault::Transfer:
            if (group.leader() != 0)
                group.at(group.leader()).transferLeadership(group.now(group.leader()));
            break;
        case fault::Change:
            return change(model, group, id);
        case fault::Network:
            group.dropPercent = first % 30;
            group.duplicatePercent = second % 30;
            group.latency = std::chrono::microseconds(100 + 40 * (second % 500));
            break;
        case fault::SlowDisk:
            group.disk(id).syncTime = std::chrono::microseconds(100 * second);
            break;
        case fault::FailDisk:
            group.disk(id).failing = true;
            break;
        }
    }

private:
    static std::set<voter_id> selectNodes(unsigned bits)
    {
        std::set<voter_id> group;
        for (voter_id id = 1; id <= nodeCount; ++id) {
            if ((bits >> id & 1U) != 0)
                group.insert(id);
        }
        return group;
    }

    // Returns whether the group tolerates the loss of this disk: a group of three tolerates one
    // lost disk at a time, a group of five two.
    static bool canLoseDisk(const fuzz_model &model, cluster &group, voter_id id)
    {
        std::size_t lost = group.admitted(id) ? 1 : 0;
        for (voter_id other = 1; other <= nodeCount; ++other) {
            const bool isVoter = model.voters == nodeCount || other <= 3
                    || group.proposedVoters.contains(other);
            lost += isVoter && !group.admitted(other) ? 1 : 0;
        }
        return lost <= (model.voters - 1) / 2;
    }

    // Keeps at least three voters, so that the group always tolerates one lost disk.
    static void change(const fuzz_model &model, cluster &group, voter_id id)
    {
        const auto leaderId = group.leader();
        if (model.voters == nodeCount || leaderId == 0)
            return;
        const auto peers = group.state(leaderId).peers;
        const auto known = std::ranges::find(peers, id, &peer_status::id);
        if (known == peers.end()) {
            group.proposedVoters.insert(id);
            group.at(leaderId).addVoter(group.now(leaderId), id, [](const auto &) {});
        } else if (known->voter && std::ranges::count(peers, true, &peer_status::voter) > 3) {
            group.at(leaderId).removeVoter(group.now(leaderId), id, [](const auto &) {});
        }
    }
};

void healAndVerify(cluster &group)
{
    group.heal();
    group.dropPercent = 0;
    group.duplicatePercent = 0;
    group.latency = std::chrono::microseconds(500);
    for (voter_id id = 1; id <= nodeCount; ++id) {
        group.disk(id).syncTime = std::chrono::microseconds(1000);
        if (group.disk(id).failing)
            group.crash(id);
        group.start(id);
    }
    group.awaitConvergence(milliseconds(30000));
}

std::string environmentOr(const char *name, const char *fallback)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

bool passesFuzzing(std::size_t voters)
{
    return rc::check("a group of " + std::to_string(voters), [voters] {
        cluster group(*rc::gen::arbitrary<std::uint64_t>(), voters, nodeCount - voters);
        // Nine of ten runs start with a running group; the others include its first start.
        if (*rc::gen::inRange(0, 10) != 0)
            group.awaitConvergence();
        rc::state::check(fuzz_model {voters}, group, [](const fuzz_model &) {
            return rc::state::gen::execOneOfWithArgs<fuzz_step>()(fuzz_model {});
        });
        healAndVerify(group);
    });
}

} // namespace

TEST_GROUP(fuzz)
{
    std::string seed = environmentOr("PERSIMMON_SEED", "20261204");

    void setup() override
    {
        // RapidCheck reads its parameters once, at the first check.
        const auto params
                = "seed=" + seed + " max_success=" + environmentOr("PERSIMMON_RUNS", "60");
        ::setenv("RC_PARAMS", params.c_str(), 1);
    }

    void checkGroup(std::size_t voters)
    {
        const bool passed = passesFuzzing(voters);
        if (!passed)
            std::cerr << "failed with PERSIMMON_SEED=" << seed << '\n';
        CHECK_TRUE(passed);
    }
};

// Guards against: two leaders in a term, lost or changed committed entries, entries applied in
// different orders, replies without a commit, stale reads, and a group that does not recover.
TEST(fuzz, threeVotersWithMembershipChanges)
{
    checkGroup(3);
}

TEST(fuzz, fiveVoters)
{
    checkGroup(5);
}
