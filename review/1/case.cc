// A worker is lost for good, and an urgent gang no longer fits. Does everybody else's work go on?
#include "stage.h"

using namespace review;

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](bool trouble) -> std::optional<bool> {
        stage system({});
        system.start();
        // Eight workers in one rack, half of them of kind b.
        for (int i = 0; i < 8; ++i) {
            worker_options options;
            options.id = "i-000000" + std::to_string(i);
            options.machine = "m-" + std::to_string(i);
            options.address = "127.0.0.1:" + std::to_string(40000 + i);
            options.kind = i < 4 ? "a" : "b";
            options.service = "callback-core";
            system.addWorker(options);
        }
        const std::string host = "nony24.example";
        if (system.configure(
                    config(3,
                           {route("r-urgent", host, "/urgent/", "callback-core", 0, 4),
                            route("r-usual", host, "/usual/", "callback-core", 1, 2)},
                           {"callback-core"},
                           {tenant("clinic", {"key-clinic"}, 32), tenant("shop", {"key-shop"}, 0)}))
            != 200)
            return std::nullopt;
        for (const auto &item : system.workers)
            item->boot();
        sleepMs(3000);

        const auto begin = now();
        std::vector<job> usual;
        bool lost = false;
        bool urgentSent = false;
        job urgent {newId(), host, "/urgent/", "key-clinic", {}};
        urgent.steps = {{.count = 4,
                         .cpu = 7500,
                         .memory = 11000,
                         .gpu = 8,
                         .workMs = 2500,
                         .gang = true,
                         .label = "b"}};
        while (now() < begin + 35000) {
            job item {newId(), host, "/usual/", "key-shop", {}};
            item.steps = {{.count = 2, .cpu = 5600, .memory = 11000, .gpu = 1, .workMs = 2000}};
            const auto answers = system.submit(item);
            if (answers.back() == 200)
                usual.push_back(item);
            if (trouble && !lost && now() > begin + 5000) {
                lost = true;
                system.workers[7]->crash(); // and never comes back
            }
            if (!urgentSent && now() > begin + 12000) {
                urgentSent = true;
                if (system.submit(urgent).back() != 200)
                    return std::nullopt;
            }
            sleepMs(700);
        }
        record("the traffic ends");
        sleepMs(finishMs);
        std::size_t open = 0;
        std::optional<job> waiting;
        for (const auto &item : usual) {
            if (system.stateOf(item) == "done")
                continue;
            ++open;
            waiting = item;
        }
        system.stateOf(urgent);
        record(std::to_string(usual.size()) + " usual jobs were accepted, " + std::to_string(open)
               + " of them are not done");
        return !waiting || !waitsForNothing(system, *waiting);
    });
}
