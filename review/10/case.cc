// Two tenants hand in a job under the same id, each to a queue of its own, while commits are held
// up. Both are told that their job is accepted, but only the first one is stored.

#include "case.h"

using namespace standin;

namespace {

int play(record &log, bool trouble)
{
    small_system system(log, 5, 2);
    if (!system.start())
        return 2;
    run_book book(log);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 4; ++i) {
        worker_options options;
        options.id = "w" + std::to_string(i);
        options.address = system.schedulers[0].ip + ":" + std::to_string(9000 + i);
        workers.push_back(std::make_unique<worker>(log, book, options, system.controlAddresses()));
    }
    if (!configure(log, system.schedulers[0].address, 1,
                   {{"one", "/one/", 1, 3}, {"two", "/two/", 1, 3}}))
        return 2;
    for (auto &item : workers)
        item->start();
    sleepMs(3000);
    consumer one(log, "key-one");
    consumer two(log, "key-two");
    const std::string id = "0000000000000007";
    const auto body = consumer::job("work=2000", {{1, 2000, 1024, 1, 2000}});
    int first = 0;
    int second = 0;
    bool held = false;
    for (int attempt = 0; attempt < 5 && !held; ++attempt) {
        auto *leader = system.leader();
        if (leader == nullptr)
            return 2;
        // Three machines of the core stand still for a moment.
        std::vector<process *> frozen;
        for (auto &item : system.schedulers) {
            if (&item != leader && frozen.size() < 3)
                frozen.push_back(&item);
        }
        const auto path = id.substr(1) + std::to_string(attempt);
        if (trouble) {
            for (auto *item : frozen)
                system.signal(*item, SIGSTOP);
        }
        std::thread other(
                [&] { first = one.submit(system.gateways[0].address, "/one/" + path, body); });
        sleepMs(100);
        std::thread later(
                [&] { second = two.submit(system.gateways[1].address, "/two/" + path, body); });
        sleepMs(200);
        if (trouble) {
            for (auto *item : frozen)
                system.signal(*item, SIGCONT);
        }
        other.join();
        later.join();
        sleepMs(6000); // the core is stable again, and visible_ms are over
        const auto shownFirst = one.state(system.gateways[0].address, "/one/" + path);
        const auto shownSecond = two.state(system.gateways[1].address, "/two/" + path);
        const bool lostFirst = first == 200 && shownFirst == "410";
        const bool lostSecond = second == 200 && shownSecond == "410";
        held = lostFirst || lostSecond;
        if (held)
            log.line("a job was accepted, nobody has cancelled it, and its GET is answered 410");
        sleepMs(1000);
    }
    return held ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    return runCase(count, words, play);
}
