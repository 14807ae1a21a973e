// A rack of workers is restarted under the same ids while its link to one node is bad. The DELETE
// of an earlier life arrives late and is taken for one of the new life, whose runs are then started
// again elsewhere while they run on.

#include "case.h"

using namespace standin;

namespace {

constexpr int windows = 5;
constexpr std::int64_t badForMs = 5500; // for_s of `node_cut`, how = servers
constexpr std::int64_t drainMs = 2500;

struct bad_link
{
    std::atomic<std::int64_t> untilMs {0};
    std::string node; // one of five
};

int countOverlaps(record &log, const run_book &book)
{
    const auto runs = book.all();
    int found = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            const auto &a = runs[i];
            const auto &b = runs[k];
            if (a.task != b.task || a.worker == b.worker
                || (a.endedMs >= 0 && a.endedMs <= b.startedMs))
                continue;
            ++found;
            log.line("two runs of " + a.task + " at the same time: run " + std::to_string(a.run)
                     + " on " + a.worker + " from " + std::to_string(a.startedMs) + " to "
                     + std::to_string(a.endedMs) + ", run " + std::to_string(b.run) + " on "
                     + b.worker + " from " + std::to_string(b.startedMs) + " to "
                     + std::to_string(b.endedMs));
        }
    }
    return found;
}

int play(record &log, bool trouble)
{
    small_system system(log, 5, 2);
    if (!system.start())
        return 2;
    run_book book(log);
    bad_link link;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 48; ++i) {
        worker_options options;
        options.id = "w" + std::to_string(i);
        options.address = system.schedulers[0].ip + ":" + std::to_string(9000 + i);
        // The last two racks are of another kind.
        options.labels = {i >= 32 ? "b" : "a", "r" + std::to_string(i / 8)};
        workers.push_back(std::make_unique<worker>(log, book, options, system.controlAddresses()));
        if (trouble && i >= 40)
            workers.back()->setLink([&link](const std::string &node) -> std::int64_t {
                static thread_local std::mt19937 random {std::random_device {}()};
                return nowMs() < link.untilMs && node == link.node
                        ? std::uniform_int_distribution<std::int64_t> {1500, 3000}(random)
                        : 0;
            });
    }
    if (!configure(log, system.schedulers[0].address, 1, {{"jobs", "/jobs/", 1, 3}}))
        return 2;
    for (auto &item : workers)
        item->start();
    consumer one(log, "key-one");
    const auto gateway = system.gateways[0].address;
    sleepMs(2500);
    for (int window = 0; window < windows; ++window) {
        auto *leader = system.leader();
        if (leader == nullptr)
            return 2;
        link.node = leader->address;
        const auto name = std::to_string(window);
        // The rack's workers are restarted; the other rack of its kind is full meanwhile.
        std::vector<std::thread> restarts;
        const auto drainedAt = nowMs() + 3000;
        for (int i = 40; i < 48; ++i) {
            restarts.emplace_back([&workers, i] {
                workers[static_cast<std::size_t>(i)]->leave(drainMs);
                sleepMs(300);
                workers[static_cast<std::size_t>(i)]->start();
            });
        }
        sleepMs(500);
        if (one.submit(gateway, "/jobs/00000000000000e" + name,
                       consumer::job("work=4500", {{8, 60000, 120000, 8, 4500, false, "b"}}))
            != 200)
            return 2;
        sleepMs(drainedAt - 700 - nowMs());
        link.untilMs = nowMs() + badForMs;
        log.line("the link of rack r5 to " + link.node + " is bad for " + std::to_string(badForMs)
                 + " ms");
        sleepMs(1300);
        const auto path = "/jobs/00000000000000f" + name;
        if (one.submit(gateway, path,
                       consumer::job("work=30000", {{8, 60000, 120000, 8, 30000, false, "b"}}))
            != 200)
            return 2;
        for (auto &item : restarts)
            item.join();
        sleepMs(link.untilMs - nowMs() + 500);
        one.cancel(gateway, path);
        sleepMs(2000);
    }
    sleepMs(1000);
    return countOverlaps(log, book) > 0 ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    return runCase(count, words, play);
}
