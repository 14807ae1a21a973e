// A work item whose worker goes down and up by turns is given up: its job is shown as failed, although no run ended
// `failed`.

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
    for (int i = 0; i < 8; ++i) {
        worker_options options;
        options.id = "w" + std::to_string(i);
        options.address = system.schedulers[0].ip + ":" + std::to_string(9000 + i);
        // One worker is of another kind.
        options.labels = {i == 0 ? "b" : "a", i < 4 ? "r1" : "r2"};
        workers.push_back(std::make_unique<worker>(log, book, options, system.controlAddresses()));
    }
    if (!configure(log, system.schedulers[0].address, 1, {{"jobs", "/jobs/", 1, 3}}))
        return 2;
    for (auto &item : workers)
        item->start();
    consumer one(log, "key-one");
    const auto gateway = system.gateways[0].address;
    step lasting {1, 2000, 1024, 1, 5000};
    lasting.lasts = true;
    lasting.label = "b";
    const std::string job = "00000000000000c1";
    if (one.submit(gateway, "/jobs/" + job, consumer::job("lasts", {lasting})) != 200)
        return 2;
    for (int i = 0; i < 7; ++i) {
        sleepMs(8000);
        if (trouble) {
            workers[0]->crash();
            sleepMs(4500);
            workers[0]->start();
        } else {
            sleepMs(4500);
        }
        if (one.state(gateway, "/jobs/" + job) == "failed")
            break;
    }
    sleepMs(1000);
    const auto shown = one.state(system.gateways[1].address, "/jobs/" + job);
    int failedRuns = 0;
    for (const auto &run : book.ofJob(job))
        failedRuns += run.how == "failed" ? 1 : 0;
    log.line("shown as " + shown + ", runs: " + std::to_string(book.ofJob(job).size()) + ", ended failed: "
             + std::to_string(failedRuns));
    if (book.ofJob(job).empty())
        return 2;
    return shown == "failed" && failedRuns < 3 ? 1 : 0;
}

} // namespace

int main(int count, char **words)
{
    return runCase(count, words, play);
}
