// Case: the only worker that a job may run on loses power three times and comes back each time.
// With LASTING=1 in the environment, the job is one that lasts.
#include "world.h"

#include <cstdlib>
#include <iostream>

using namespace world;

namespace {

constexpr int64_t workMs = 8000;
constexpr int64_t crashAfterMs = 3000; // of the start of the work item
constexpr int64_t downMs = 2000;
constexpr int crashes = 3;
constexpr int attempts = 4; // of the queue, as for a kind of request of the site

} // namespace

int main(int, char **argv)
{
    record::open(argv[1]);
    const bool trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
    const bool lasting = std::getenv("LASTING") != nullptr;
    system_under_test system(5, 2);
    system.start();
    std::mutex mutex;
    std::map<string, int> counts; // of the job's work item, by what happened
    const string id = "5c0e7a21d94b36f8";
    const auto tell = [&](const run_fact &fact) {
        record::line("worker " + fact.worker + ": " + fact.what + " " + fact.task + " run "
                     + std::to_string(fact.run));
        const std::lock_guard guard(mutex);
        if (fact.task.starts_with(id))
            ++counts[fact.what];
    };
    const auto count = [&](const string &what) {
        const std::lock_guard guard(mutex);
        return counts[what];
    };
    if (order(system, "PUT", "/config", config(7, attempts)).status != 200) {
        record::line("the config wasn't taken");
        return 2;
    }
    std::vector<std::unique_ptr<worker>> others;
    for (int i = 0; i < 7; ++i) {
        worker::options values;
        values.id = "w-a" + std::to_string(i);
        values.machine = "m-a" + std::to_string(i);
        values.service = "svc";
        others.push_back(std::make_unique<worker>(system, values, tell));
    }
    worker::options special;
    special.id = "w-b0";
    special.machine = "m-b0";
    special.service = "svc";
    special.labels = {"b", "r1-2"};
    auto flapping = std::make_unique<worker>(system, special, tell);
    sleepMs(2000);
    const auto accepted = consumerCall(
            system, "POST", "/q1/" + id,
            "{\"spec\":\"work-ms=" + std::to_string(lasting ? 0 : workMs)
                    + "\",\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":4096,\"gpu\":8,"
                      "\"estimate_ms\":8000,\"required_label\":\"b\""
                    + (lasting ? ",\"long_running\":true" : "") + "}]}");
    record::line("POST /q1/" + id + " -> " + std::to_string(accepted.status));
    if (accepted.status != 200)
        return 2;
    int lost = 0;
    string shown;
    const auto until = steadyMs() + 75000;
    while (steadyMs() < until) {
        if (trouble && lost < crashes && count("start") == lost + 1) {
            sleepMs(crashAfterMs);
            record::line("worker w-b0 loses power");
            flapping->stop();
            ++lost;
            sleepMs(downMs);
            record::line("worker w-b0 starts again");
            flapping = std::make_unique<worker>(system, special, tell);
        }
        const auto state = consumerCall(system, "GET", "/q1/" + id, {});
        const auto body = parseJson(state.body);
        const auto now = std::to_string(state.status) + " " + (body ? body->word("state") : "");
        if (now != shown)
            record::line("GET /q1/" + id + " -> " + now);
        shown = now;
        const bool isBack = lasting && count("start") == crashes + 1;
        if (isBack || shown == "200 done" || shown == "200 failed" || shown == "410 ")
            break;
        sleepMs(250);
    }
    const int failedEnds = count("failed");
    record::line("runs begun " + std::to_string(count("start")) + ", lost with their worker "
                 + std::to_string(lost) + ", ended as failed " + std::to_string(failedEnds)
                 + ", attempts " + std::to_string(attempts));
    if (shown == "200 failed" && failedEnds < attempts) {
        record::line("BROKEN LOST: the job is shown as failed, and no run of it has ended as failed");
        return 1;
    }
    if (shown == "200 done" || (lasting && count("start") == crashes + 1)) {
        record::line("held: the job is done, or runs again");
        return 0;
    }
    record::line("neither done nor failed: " + shown);
    return 2;
}
