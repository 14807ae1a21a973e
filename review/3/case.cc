// Three jobs are handed in at once that crash each worker that starts them.
// Does this come to an end?
#include "stage.h"

#include <algorithm>

using namespace review;

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](bool trouble) -> std::optional<bool> {
        stage system({});
        system.start();
        for (int i = 0; i < 8; ++i) {
            worker_options options;
            options.id = "i-000000" + std::to_string(i);
            options.machine = "m-" + std::to_string(i);
            options.address = "127.0.0.1:" + std::to_string(40000 + i);
            options.service = "callback-core";
            system.addWorker(options);
        }
        const std::string host = "nony24.example";
        if (system.configure(config(3, {route("r-usual", host, "/usual/", "callback-core", 1, 2)},
                                    {"callback-core"}, {tenant("clinic", {"key-clinic"}, 32)}))
            != 200)
            return std::nullopt;
        for (const auto &item : system.workers)
            item->boot();
        sleepMs(3000);
        std::vector<job> deadly;
        std::vector<job> usual;
        const auto begin = now();
        while (now() < begin + 80000) {
            if (deadly.empty() && now() > begin + 5000) {
                for (int i = 0; i < 3; ++i) {
                    job item {newId(), host, "/usual/", "key-clinic", {}};
                    item.steps = {
                            {.count = 1, .cpu = 26000, .memory = 53000, .gpu = 8, .workMs = 8500}};
                    item.steps.front().crashesAfterMs = trouble ? 2000 : 0;
                    if (system.submit(item).back() != 200)
                        return std::nullopt;
                    deadly.push_back(item);
                    sleepMs(300);
                }
            }
            // Three in a hundred are deadly.
            job item {newId(), host, "/usual/", "key-clinic", {}};
            item.steps = {{.count = 1, .cpu = 5600, .memory = 11000, .gpu = 1, .workMs = 1500}};
            if (system.submit(item).back() == 200)
                usual.push_back(item);
            sleepMs(750);
        }
        // Each start of a deadly work item has crashed its worker 2 s later; so the
        // starts after the first three come after three workers have crashed under
        // it.
        bool broken = false;
        for (const auto &item : deadly) {
            const auto starts = static_cast<int>(system.startsOf(item.id).size());
            record("the work item of job " + item.id + " was started " + std::to_string(starts)
                   + " times; the job is shown as " + system.stateOf(item));
            broken = broken || (trouble && starts - 3 >= 3);
        }
        record(std::to_string(usual.size()) + " usual jobs were accepted");
        return !broken;
    });
}
