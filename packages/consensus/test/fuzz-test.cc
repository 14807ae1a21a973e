#include "test-network.h"

#include <cstdlib>
#include <iostream>

// CppUTest defines new as a macro, so it comes last.
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
};

constexpr const char *faultNames[] {"propose",  "advance",  "crash",   "start",
                                    "powerCut", "loseDisk", "isolate", "heal",
                                    "transfer", "change",   "network", "slowDisk"};

constexpr voter_id nodes = 5;

// One step against the group; the meaning of the two numbers depends on the kind.
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
                                                   {1, fault::SlowDisk}});
    unsigned first = *rc::gen::inRange(0U, 1000U);
    unsigned second = *rc::gen::inRange(0U, 1000U);

    void show(std::ostream &os) const override
    {
        os << faultNames[static_cast<std::size_t>(kind)] << '(' << first << ", " << second << ')';
    }

    void run(const fuzz_model &model, cluster &group) const override
    {
        const auto id = static_cast<voter_id>(1 + first % nodes);
        switch (kind) {
        case fault::Propose:
            for (unsigned i = 0; i < 1 + second % 30; ++i)
                group.propose(second % 3 == 0 || group.leader() == 0 ? id : group.leader());
            break;
        case fault::Advance:
            // Half of the steps are short, so that faults hit messages and syncs under way.
            return group.advance(
                    std::chrono::microseconds(first % 2 == 0 ? 20 * second : 1000 * second));
        case fault::Crash:
            return group.crash(id);
        case fault::Start:
            return group.start(id);
        case fault::PowerCut:
            for (voter_id each = 1; each <= nodes; ++each)
                group.crash(each);
            for (const auto each : pick(second))
                group.start(each);
            break;
        case fault::LoseDisk:
            if (mayLose(model, group, id))
                group.loseDisk(id, second % 2 == 0);
            break;
        case fault::Isolate:
            return group.isolate(pick(second));
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
        }
    }

private:
    static std::set<voter_id> pick(unsigned bits)
    {
        std::set<voter_id> group;
        for (voter_id id = 1; id <= nodes; ++id) {
            if ((bits >> id & 1U) != 0)
                group.insert(id);
        }
        return group;
    }

    // A group of three survives one lost disk at a time, a group of five two.
    static bool mayLose(const fuzz_model &model, cluster &group, voter_id id)
    {
        std::size_t lost = group.admitted(id) ? 1 : 0;
        for (voter_id other = 1; other <= nodes; ++other) {
            const bool counts
                    = model.voters == nodes || other <= 3 || group.everVoter.contains(other);
            lost += counts && !group.admitted(other) ? 1 : 0;
        }
        return lost <= (model.voters - 1) / 2;
    }

    // Keeps at least three voters, so that one lost disk is always survivable.
    static void change(const fuzz_model &model, cluster &group, voter_id id)
    {
        const auto through = group.leader();
        if (model.voters == nodes || through == 0)
            return;
        const auto peers = group.state(through).peers;
        const auto known = std::ranges::find(peers, id, &peer_status::id);
        if (known == peers.end()) {
            group.everVoter.insert(id);
            group.at(through).addVoter(group.now(through), id, [](const auto &) {});
        } else if (known->voter && std::ranges::count(peers, true, &peer_status::voter) > 3) {
            group.at(through).removeVoter(group.now(through), id, [](const auto &) {});
        }
    }
};

void finish(cluster &group)
{
    group.heal();
    group.dropPercent = 0;
    group.duplicatePercent = 0;
    group.latency = std::chrono::microseconds(500);
    for (voter_id id = 1; id <= nodes; ++id) {
        group.disk(id).syncTime = std::chrono::microseconds(1000);
        group.start(id);
    }
    group.settle(milliseconds(30000));
}

std::string setting(const char *name, const char *fallback)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

bool survives(std::size_t voters)
{
    return rc::check("a group of " + std::to_string(voters), [voters] {
        cluster group(*rc::gen::arbitrary<std::uint64_t>(), voters, nodes - voters);
        // Most runs start with a working group; the others also cover its first start.
        if (*rc::gen::inRange(0, 10) != 0)
            group.settle();
        rc::state::check(fuzz_model {voters}, group, [](const fuzz_model &) {
            return rc::state::gen::execOneOfWithArgs<fuzz_step>()(fuzz_model {});
        });
        finish(group);
    });
}

} // namespace

TEST_GROUP(fuzz)
{
    std::string seed = setting("PERSIMMON_SEED", "20261204");

    void setup() override
    {
        // RapidCheck reads its parameters once, at the first check.
        const auto params = "seed=" + seed + " max_success=" + setting("PERSIMMON_RUNS", "60");
        ::setenv("RC_PARAMS", params.c_str(), 1);
    }

    void checkGroup(std::size_t voters)
    {
        const bool passed = survives(voters);
        if (!passed)
            std::cerr << "failed with PERSIMMON_SEED=" << seed << '\n';
        CHECK_TRUE(passed);
    }
};

// Guards against: two leaders in a term, lost or changed committed entries, different orders,
// replies without a commit, stale reads, and a group that does not recover.
TEST(fuzz, threeVotersWithMembershipChanges)
{
    checkGroup(3);
}

TEST(fuzz, fiveVoters)
{
    checkGroup(5);
}
