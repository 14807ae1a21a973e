// Case: the leader stands still for a fraction of a second. Meanwhile consumers hand jobs in, leave
// before an answer has come, and cancel their jobs by another node.
#include "world.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace world;

namespace {

constexpr int rounds = 4;
constexpr int consumers = 8; // of a round
constexpr int lookers = 6;
constexpr int64_t freezeMs = 250;
constexpr int64_t cancelMs = 3000;
constexpr int64_t stopMs = 200;
constexpr int64_t contactMs = 4000;
constexpr int64_t workMs = 10000; // of each of two steps

struct job
{
    string id;
    int posted = 0; // status, 0: the consumer has left before
    int cancelled = 0;
    int64_t ackMs = 0; // of the cancelling
    std::vector<std::pair<int64_t, string>> starts;
    std::map<string, int64_t> running; // work items, since when
    int64_t goneMs = 0; // the last end of a work item
};

} // namespace

int main(int, char **argv)
{
    record::open(argv[1]);
    const bool trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
    system_under_test system(5, 2);
    system.start();
    std::mutex mutex;
    std::map<string, job> jobs;
    const auto tell = [&](const run_fact &fact) {
        record::line("worker " + fact.worker + ": " + fact.what + " " + fact.task + " run "
                     + std::to_string(fact.run));
        const std::lock_guard guard(mutex);
        const auto found = jobs.find(fact.task.substr(0, fact.task.find('.')));
        if (found == jobs.end() || fact.what.starts_with("noted"))
            return;
        if (fact.what == "start") {
            found->second.starts.emplace_back(fact.atMs, fact.task);
            found->second.running[fact.task] = fact.atMs;
        } else {
            found->second.running.erase(fact.task);
            found->second.goneMs = fact.atMs;
        }
    };
    if (order(system, "PUT", "/config", config(7)).status != 200) {
        record::line("the config wasn't taken");
        return 2;
    }
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 6; ++i) {
        worker::options values;
        values.id = "w-" + std::to_string(i);
        values.machine = "m-" + std::to_string(i);
        values.service = "svc";
        workers.push_back(std::make_unique<worker>(system, values, tell));
    }
    sleepMs(6000);
    const int leader = system.leader();
    if (leader < 0) {
        record::line("no leader was found");
        return 2;
    }
    record::line("the leader is core-" + std::to_string(leader + 1));
    const std::vector<std::pair<string, string>> headers {
            {"Host", host},
            {"Authorization", string("Bearer ") + key},
            {"Persimmonproxy-Deadline-Ms", "3000"}};
    const string known = "5c0e7a21d94b36f8";
    if (consumerCall(system, "POST", "/q1/" + known,
                     "{\"spec\":\"work-ms=1000\",\"steps\":[{\"count\":1,\"cpu\":1000}]}")
                .status
        != 200)
        return 2;
    const string body = "{\"spec\":\"work-ms=" + std::to_string(workMs)
            + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"estimate_ms\":10000},"
              "{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"estimate_ms\":10000,"
              "\"depends_on\":[0]}]}";
    std::mt19937 random {std::random_device {}()};
    int64_t calm = steadyMs();
    for (int round = 0; round < rounds; ++round) {
        const int entry = round % 2; // the node that takes the jobs in
        if (trouble)
            system.signalCore(leader, SIGSTOP);
        const auto frozen = steadyMs();
        std::vector<std::thread> threads;
        // Other consumers ask there for the state of a job meanwhile.
        for (int i = 0; i < lookers; ++i)
            threads.emplace_back([&, i] {
                sleepMs(i);
                call(system.front(entry), "GET", "/q1/" + known, headers, {}, 3000);
            });
        for (int i = 0; i < consumers; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(random()),
                          static_cast<unsigned>(random()));
            {
                const std::lock_guard guard(mutex);
                jobs[id].id = id;
            }
            const int64_t waitMs = 60 + static_cast<int64_t>(random() % 60);
            const int64_t beginMs = 20 + static_cast<int64_t>(random() % 40);
            threads.emplace_back([&, id = string(id), waitMs, beginMs, entry] {
                sleepMs(beginMs);
                const auto path = "/q1/" + id;
                const auto posted = call(system.front(entry), "POST", path, headers, body, waitMs);
                record::line("POST " + path + " at edge-" + std::to_string(entry + 1) + " -> "
                             + (posted.status == 0 ? "the consumer leaves after "
                                                + std::to_string(waitMs) + " ms"
                                                   : std::to_string(posted.status)));
                reply cancelled;
                for (int k = 1; k < 8; ++k) {
                    const int node = (entry + k) % 2;
                    cancelled = call(system.front(node), "DELETE", path, headers, {}, 3000);
                    record::line("DELETE " + path + " at edge-" + std::to_string(node + 1) + " -> "
                                 + std::to_string(cancelled.status));
                    if (cancelled.status / 100 == 2 || cancelled.status == 410)
                        break;
                    sleepMs(200);
                }
                const std::lock_guard guard(mutex);
                jobs[id].posted = posted.status;
                jobs[id].cancelled = cancelled.status;
                jobs[id].ackMs = steadyMs();
            });
        }
        if (trouble) {
            sleepMs(freezeMs - (steadyMs() - frozen));
            system.signalCore(leader, SIGCONT);
        }
        calm = steadyMs();
        for (auto &thread : threads)
            thread.join();
        sleepMs(800);
    }
    // Well beyond the time that the disturbance may excuse.
    sleepMs(workMs + contactMs + cancelMs);
    int acknowledged = 0;
    int late = 0;
    int runOn = 0;
    const std::lock_guard guard(mutex);
    for (auto &[id, item] : jobs) {
        if (item.cancelled / 100 != 2 && item.cancelled != 410)
            continue;
        ++acknowledged;
        for (const auto &[at, task] : item.starts) {
            if (at <= item.ackMs + cancelMs || at <= calm + contactMs)
                continue;
            ++late;
            record::line("BROKEN UNASKED: " + task + " starts " + std::to_string(at - item.ackMs)
                         + " ms after the cancelling of its job was acknowledged with "
                         + std::to_string(item.cancelled));
        }
        const auto limit = std::max(item.ackMs, calm + contactMs) + cancelMs + stopMs;
        if (!item.running.empty() && steadyMs() > limit) {
            ++runOn;
            record::line("BROKEN UNASKED: " + item.running.begin()->first + " of a cancelled job runs");
        }
    }
    record::line("jobs " + std::to_string(jobs.size()) + ", cancellings acknowledged "
                 + std::to_string(acknowledged) + ", late starts " + std::to_string(late)
                 + ", jobs that run on " + std::to_string(runOn));
    if (late + runOn > 0)
        return 1;
    if (acknowledged < rounds * consumers / 2) {
        record::line("too few cancellings were acknowledged");
        return 2;
    }
    record::line("held");
    return 0;
}
