// Jobs that were placed on a worker that had just crashed never begin, but the queue's `pending`
// leaves them out.

#include "case.h"

using namespace standin;

namespace {

constexpr int jobCount = 7;

int play(record &log, bool trouble)
{
    small_system system(log, 5, 2);
    if (!system.start())
        return 2;
    run_book book(log);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 8; ++i) {
        worker_options options;
        options.id = "w" + std::to_string(i);
        options.address = system.schedulers[0].ip + ":" + std::to_string(9000 + i);
        options.labels = {"a", i < 4 ? "r1" : "r2"};
        workers.push_back(std::make_unique<worker>(log, book, options, system.controlAddresses()));
    }
    if (!configure(log, system.schedulers[0].address, 1,
                   {{"long", "/long/", 1, 3}, {"short", "/short/", 1, 3}}))
        return 2;
    for (auto &item : workers)
        item->start();
    consumer one(log, "key-one");
    const auto gateway = system.gateways[0].address;
    // Seven of the eight workers are full of long work.
    if (one.submit(gateway, "/long/00000000000000a1",
                   consumer::job("work=100000", {{7, 64000, 131072, 8, 100000}}))
        != 200)
        return 2;
    const auto limit = nowMs() + 10000;
    while (book.all().size() < 7 && nowMs() < limit)
        sleepMs(50);
    if (book.all().size() != 7)
        return 2;
    sleepMs(3000);
    worker *free = nullptr;
    for (auto &item : workers) {
        bool busy = false;
        for (const auto &run : book.all())
            busy |= run.worker == item->id();
        if (!busy)
            free = item.get();
    }
    if (free == nullptr)
        return 2;
    // The eighth one runs something small.
    if (one.submit(gateway, "/long/00000000000000a2",
                   consumer::job("work=100000", {{1, 1000, 1024, 1, 100000}}))
        != 200)
        return 2;
    sleepMs(3000);
    if (book.all().size() != 8 || book.all().back().worker != free->id())
        return 2;
    if (trouble)
        free->crash(); // lost for good
    for (int i = 0; i < jobCount; ++i) {
        if (one.submit(gateway, "/short/00000000000000b" + std::to_string(i),
                       consumer::job("work=3000", {{1, 2000, 1024, 1, 3000}}))
            != 200)
            return 2;
    }
    const auto accepted = nowMs();
    // visible_ms + 2 s after the confirmation, the jobs that haven't begun count.
    sleepMs(accepted + 3000 + 2000 + 500 - nowMs());
    int broken = 0;
    for (int i = 0; i < 20; ++i) {
        for (const auto &at : system.gateways) {
            int begun = 0;
            for (int k = 0; k < jobCount; ++k)
                begun += book.ofJob("00000000000000b" + std::to_string(k)).empty() ? 0 : 1;
            const auto waiting = jobCount - begun;
            const auto said = one.pending(at.address, "/short/");
            if (said >= 0 && said * 2 < waiting) {
                ++broken;
                log.line("pending " + std::to_string(said) + ", but " + std::to_string(waiting)
                         + " accepted jobs haven't begun");
            }
        }
        sleepMs(500);
    }
    one.state(gateway, "/short/00000000000000b0");
    return broken > 1 ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    return runCase(count, words, play);
}
