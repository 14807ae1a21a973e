// A consumer leaves a gateway that is frozen and cancels its job by another one. The gateway wakes,
// and the job runs.

#include "case.h"

#include <unistd.h>

using namespace standin;

namespace {

constexpr std::int64_t cancelMs = 3000;

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
    if (!configure(log, system.schedulers[0].address, 1, {{"jobs", "/jobs/", 1, 3}}))
        return 2;
    for (auto &item : workers)
        item->start();
    sleepMs(2000);
    consumer one(log, "key-one");
    const std::string path = "/jobs/00000000000000d1";
    const auto body = consumer::job(
            "work=4000", {{1, 2000, 1024, 1, 4000}, {2, 2000, 1024, 1, 4000, false, "", 0}});
    auto &first = system.gateways[0];
    const auto frozenAt = nowMs();
    if (trouble)
        system.signal(first, SIGSTOP);
    // The consumer leaves before its time limit.
    log.line("consumer sends POST " + path + " to " + first.address);
    const int channel = sendOnly(first.address, "POST", path, one.fields(host), body);
    sleepMs(400);
    if (channel >= 0)
        ::close(channel);
    log.line("consumer has left");
    std::int64_t cancelledAt = -1;
    for (int i = 0; i < 5 && cancelledAt < 0; ++i) {
        const auto said = one.cancel(system.gateways[1].address, path);
        if (said / 100 == 2 || said == 410)
            cancelledAt = nowMs();
    }
    if (trouble) {
        sleepMs(frozenAt + 4000 - nowMs());
        system.signal(first, SIGCONT);
    }
    sleepMs(14000);
    if (cancelledAt < 0)
        return 2;
    const auto shown = one.state(system.gateways[1].address, path);
    bool broken = false;
    for (const auto &run : book.ofJob("00000000000000d1")) {
        if (run.startedMs > cancelledAt + cancelMs) {
            broken = true;
            log.line(run.task + " started " + std::to_string(run.startedMs - cancelledAt)
                     + " ms after the cancelling was acknowledged");
        }
    }
    log.line("the job is shown as " + shown);
    return broken ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    return runCase(count, words, play);
}
