// Case: a scheduler that doesn't lead stands still with an operator's order in its buffer. The order is
// sent again to another node and acknowledged, and a newer one after it. Then the scheduler wakes.
#include "world.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace world;

namespace {

constexpr int64_t freezeMs = 4000;
constexpr int64_t evacuateMs = 5000;
constexpr int64_t contactMs = 4000;

} // namespace

int main(int, char **argv)
{
    record::open(argv[1]);
    const bool trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
    system_under_test system(5, 2);
    system.start();
    std::mutex mutex;
    std::vector<std::pair<int64_t, string>> starts; // in zone-b
    int startsElsewhere = 0;
    const auto tell = [&](const run_fact &fact) {
        const std::lock_guard guard(mutex);
        if (fact.what != "start")
            return;
        const bool inZone = fact.worker.starts_with("w-b");
        record::line("worker " + fact.worker + (inZone ? " (zone-b)" : " (zone-a)") + ": start " + fact.task
                     + " run " + std::to_string(fact.run));
        if (inZone)
            starts.emplace_back(fact.atMs, fact.task);
        else
            ++startsElsewhere;
    };
    if (order(system, "PUT", "/config", config(7)).status != 200) {
        record::line("the config wasn't taken");
        return 2;
    }
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 8; ++i) {
        worker::options values;
        values.id = string(i < 4 ? "w-a" : "w-b") + std::to_string(i);
        values.machine = "m-" + std::to_string(i);
        values.service = "svc";
        values.zone = i < 4 ? "zone-a" : "zone-b";
        values.labels = {"a", i < 4 ? "r1-1" : "r1-2"};
        workers.push_back(std::make_unique<worker>(system, values, tell));
    }
    sleepMs(6000);
    const int leader = system.leader();
    if (leader < 0)
        return 2;
    const int frozen = (leader + 1) % system.coreCount();
    const int other = (leader + 2) % system.coreCount();
    record::line("the leader is core-" + std::to_string(leader + 1));
    std::atomic<bool> ending {false};
    std::thread consumers([&] {
        for (int i = 1; !ending; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", 4096 + i);
            consumerCall(system, "POST", string("/q1/") + id,
                         "{\"spec\":\"work-ms=2000\",\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":4096,"
                         "\"gpu\":4,\"estimate_ms\":2000}]}",
                         3000);
            sleepMs(200);
        }
    });
    // Sends an order to a node and, after a second without an answer, to another one.
    const auto send = [&](const string &method, int first) {
        for (int i = 0; i < 8; ++i) {
            const int node = i == 0 ? first : other;
            const auto answer = call(system.control(node), method, "/drain/zone-b", {}, {}, 1000);
            record::line(method + " /drain/zone-b at core-" + std::to_string(node + 1) + " -> "
                         + (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
            if (answer.status / 100 == 2)
                return true;
            sleepMs(200);
        }
        return false;
    };
    bool ok = send("POST", other);
    sleepMs(1000);
    if (trouble)
        system.signalCore(frozen, SIGSTOP);
    const auto stopped = steadyMs();
    ok = send("DELETE", frozen) && ok;
    sleepMs(1000);
    ok = send("POST", other) && ok;
    const auto acknowledged = steadyMs();
    if (trouble) {
        sleepMs(freezeMs - (steadyMs() - stopped));
        system.signalCore(frozen, SIGCONT);
    }
    const auto calm = steadyMs();
    sleepMs(16000);
    const auto end = steadyMs(); // the zone isn't taken back before
    ending = true;
    consumers.join();
    int late = 0;
    const std::lock_guard guard(mutex);
    for (const auto &[at, task] : starts) {
        if (at <= acknowledged + evacuateMs || at <= calm + contactMs || at > end)
            continue;
        if (++late <= 5)
            record::line("BROKEN EVAC: " + task + " starts in zone-b " + std::to_string(at - acknowledged)
                         + " ms after its evacuation was acknowledged");
    }
    record::line("late starts in zone-b " + std::to_string(late) + ", starts in zone-a "
                 + std::to_string(startsElsewhere));
    if (!ok || startsElsewhere == 0)
        return 2;
    if (late > 0)
        return 1;
    record::line("held");
    return 0;
}
