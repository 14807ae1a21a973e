// Process-level tests of the scheduler and gateway roles with stand-ins for workers and consumers:
// request serving, leader failover and tracing a job's failure to its cause by the job id.
#include "faulty_link.h"
#include "local_system.h"
#include "standin_fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

constexpr int schedulers = 3;

std::string programPath(const std::string &name)
{
    return std::string(PERSIMMON_PROGRAMS) + "/packages/apps/" + name;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::int64_t nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Three schedulers and a gateway, each on a separate loopback address.
class batch_system
{
public:
    batch_system()
        : folder_("/tmp/persimmon-batch-" + std::to_string(getpid()))
        , port_(34000 + getpid() % 300 * 4)
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        for (int i = 0; i < schedulers; ++i)
            startScheduler(i, true);
        writeGatewaySettings(group());
        gateway_ = launch("gateway", "gateway");
    }

    ~batch_system()
    {
        gateway_.killNow();
        for (auto &item : processes_)
            item.second.killNow();
        // PERSIMMON_KEEP keeps the logs of a failing run.
        if (std::getenv("PERSIMMON_KEEP") == nullptr)
            std::filesystem::remove_all(folder_);
    }

    void startScheduler(int number, bool bootstrap)
    {
        const auto name = "scheduler-" + std::to_string(number);
        std::ofstream(folder_ + "/" + name + ".ini")
                << "[instance]\nid = " << name << "\nip = " << ip(number)
                << "\n[http]\nlisten = " << scheduler(number) << "\nmetrics_listen = " << ip(number)
                << ":" << port_ + 3 << "\n"
                << group() << "data_folder = " << folder_ << "/" << name
                << "\nbootstrap = " << (bootstrap ? "true" : "false")
                << "\n[workers]\nadvice = 127.0.32.8:" << port_ << "\n";
        processes_[number] = launch(name, "scheduler");
    }

    // Lets workers reach the schedulers, and consumers the gateway, through links with faults.
    void useLinks()
    {
        for (int i = 0; i < schedulers; ++i)
            links_.push_back(std::make_unique<faulty_link>(linkTo(i), scheduler(i)));
        links_.push_back(std::make_unique<faulty_link>(linkTo(schedulers), gateway()));
    }

    // Returns the links to the schedulers, and last the one to the gateway.
    std::vector<std::unique_ptr<faulty_link>> &links() { return links_; }

    // Sends the heartbeats that are due and advances the stand-in workers by the elapsed real time.
    void step(platform::standin_fleet &fleet)
    {
        for (auto &worker : fleet.workers)
            exchangeHeartbeat(fleet, worker);
        const auto now = nowMs();
        if (lastStepMs_ != 0)
            fleet.advance(now - lastStepMs_, now);
        lastStepMs_ = now;
        std::this_thread::sleep_for(milliseconds {10});
    }

    bool stepUntil(platform::standin_fleet &fleet, const std::function<bool()> &condition,
                   std::int64_t limitMs = 20000)
    {
        const auto end = nowMs() + limitMs;
        while (!condition()) {
            if (nowMs() > end)
                return false;
            step(fleet);
        }
        return true;
    }

    bool configure()
    {
        const std::string body
                = R"({"version":3,"services":[{"name":"pool"}],"routes":[{"name":"q","host":"h",)"
                  R"("prefix":"/q/","service":"pool","timeout_ms":3000,"attempts":1,)"
                  R"("slack_factor":2,"slo_ms":1000,"priority":1}],)"
                  R"("tenants":[{"name":"t","api_keys":["key"]}]})";
        return waitUntil(milliseconds {10000}, [&] {
            return call(scheduler(0), "PUT", "/config", body, {}, milliseconds {1000}).status
                    == 200;
        });
    }

    http_response sendToGateway(const std::string &method, const std::string &path,
                                const std::string &body = {}, const std::string &key = "key")
    {
        return call(links_.empty() ? gateway() : linkTo(schedulers), method, path, body,
                    {{"Host", "h"}, {"Authorization", "Bearer " + key}}, milliseconds {3500});
    }

    std::string jobState(const std::string &id)
    {
        const auto answer = sendToGateway("GET", "/q/" + id);
        return answer.status == 200 ? answer.json().at("state").as_string() : "";
    }

    int leader() const
    {
        for (int i = 0; i < schedulers; ++i) {
            const auto metrics = call(ip(i) + ":" + std::to_string(port_ + 3), "GET", "/metrics",
                                      {}, {}, milliseconds {300});
            if (metrics.body.find("what=\"leading\"} 1") != std::string::npos)
                return i;
        }
        return -1;
    }

    // Adds a seed to the gateway's settings file without sending a signal to the gateway.
    void addGatewaySeed(const std::string &address) const
    {
        auto text = group();
        text.insert(text.rfind('\n'), "," + address + ":" + std::to_string(port_));
        writeGatewaySettings(text);
    }

    // Sends a signal to a scheduler: SIGSTOP suspends it, SIGCONT resumes it.
    void signalScheduler(int number, int signal) { processes_.at(number).sendSignal(signal); }

    void removeSchedulerData(int number) const
    {
        std::filesystem::remove_all(folder_ + "/scheduler-" + std::to_string(number));
    }

    void killScheduler(int number) { processes_.at(number).killNow(); }
    process &gatewayProcess() { return gateway_; }

    // Returns the log lines of all processes that contain both texts.
    std::string logLines(const std::string &first, const std::string &second) const
    {
        std::string found;
        for (const auto &entry : std::filesystem::directory_iterator(folder_)) {
            if (entry.path().extension() != ".log")
                continue;
            std::istringstream text(readFile(entry.path().string()));
            for (std::string line; std::getline(text, line);) {
                if (line.find(first) != std::string::npos && line.find(second) != std::string::npos)
                    found += line + "\n";
            }
        }
        return found;
    }

    std::string explain(const std::string &id) const
    {
        const auto output = folder_ + "/explain.txt";
        process run({programPath("persimmonctl"), "--control",
                     ip(leader()) + ":" + std::to_string(port_ + 3), "explain", id},
                    output);
        CHECK_EQUAL(0, run.waitForExit(milliseconds {8000}));
        return readFile(output);
    }

private:
    // A heartbeat whose answer is outstanding. Answers may be held, so each worker waits for its
    // own.
    struct outstanding_heartbeat
    {
        std::int64_t sentMs = 0;
        std::future<http_response> answer;
        int target = 0; // each worker looks for the next node by itself
    };

    void exchangeHeartbeat(platform::standin_fleet &fleet, platform::standin_worker &worker)
    {
        auto &waiting = outstanding_[worker.id];
        if (waiting.answer.valid()) {
            if (waiting.answer.wait_for(milliseconds {0}) != std::future_status::ready)
                return;
            const auto answer = waiting.answer.get();
            if (answer.status == 200)
                fleet.receive(worker, waiting.sentMs, nowMs(), answer.body);
            else
                ++waiting.target;
            nextHeartbeatMs_[worker.id] = nowMs() + 50;
            return;
        }
        if (nowMs() < nextHeartbeatMs_[worker.id])
            return;
        waiting.sentMs = nowMs();
        waiting.answer = std::async(
                std::launch::async,
                [target = addressForWorkers(waiting.target % schedulers),
                 path = "/instances/" + worker.id, body = fleet.heartbeat(worker, waiting.sentMs)] {
                    return call(target, "PUT", path, body, {}, milliseconds {950});
                });
    }

    static std::string ip(int number) { return "127.0.32." + std::to_string(number + 1); }
    std::string scheduler(int number) const { return ip(number) + ":" + std::to_string(port_); }
    std::string linkTo(int number) const
    {
        return "127.0.33." + std::to_string(number + 1) + ":" + std::to_string(port_);
    }
    std::string addressForWorkers(int number) const
    {
        return links_.empty() ? scheduler(number) : linkTo(number);
    }
    std::string gateway() const { return "127.0.32.9:" + std::to_string(port_); }

    void writeGatewaySettings(const std::string &group) const
    {
        std::ofstream(folder_ + "/gateway.ini")
                << "[instance]\nid = gateway\nip = 127.0.32.9\n[http]\nlisten = " << gateway()
                << "\nready_listen = 127.0.32.9:" << port_ + 1
                << "\nmetrics_listen = 127.0.32.9:" << port_ + 3 << "\n"
                << group;
    }

    std::string group() const
    {
        std::string seeds;
        for (int i = 0; i < schedulers; ++i)
            seeds += (i == 0 ? "" : ",") + scheduler(i);
        return "[group]\nrpc_port = " + std::to_string(port_ + 2) + "\nseeds = " + seeds + "\n";
    }

    process launch(const std::string &name, const std::string &role) const
    {
        return {{programPath("persimmond"), "--role=" + role,
                 "--settings=" + folder_ + "/" + name + ".ini"},
                folder_ + "/" + name + ".log"};
    }

    std::string folder_;
    int port_;
    std::map<int, process> processes_;
    process gateway_;
    std::vector<std::unique_ptr<faulty_link>> links_;
    std::map<std::string, std::int64_t> nextHeartbeatMs_;
    std::map<std::string, outstanding_heartbeat> outstanding_; // by worker
    std::int64_t lastStepMs_ = 0;
};

std::string addJob(platform::standin_fleet &fleet, const std::string &id,
                   const platform::standin_job &job)
{
    fleet.jobs[id] = job;
    return R"({"spec":"x","steps":[{"count":)" + std::to_string(job.count) + R"(,"cpu":)"
            + std::to_string(job.cpu) + R"(,"estimate_ms":1000,"gang":)"
            + (job.gang ? "true" : "false") + "}]}";
}

} // namespace

TEST_GROUP(BatchSystem) {};

// Guards against jobs that are lost or run twice when the leader is killed while they run.
TEST(BatchSystem, jobsSurviveLeaderLoss)
{
    batch_system system;
    platform::standin_fleet fleet(3);
    CHECK_TRUE(system.configure());
    for (int i = 0; i < 6; ++i) {
        const auto id = "a" + std::to_string(i);
        const auto body = addJob(fleet, id, {1000, 1500, 2, i % 2 == 0});
        CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
            return system.sendToGateway("POST", "/q/" + id, body).status == 200;
        }));
    }
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        return std::ranges::any_of(fleet.workers,
                                   [](const auto &worker) { return !worker.running.empty(); });
    }));
    const auto leader = system.leader();
    CHECK_TRUE(leader >= 0);
    system.killScheduler(leader);
    CHECK_TRUE(system.stepUntil(fleet, [&] {
        for (int i = 0; i < 6; ++i) {
            if (system.jobState("a" + std::to_string(i)) != "done")
                return false;
        }
        return true;
    }));
    for (const auto &violation : fleet.violations)
        FAIL(violation.c_str());
    for (const auto &[task, runs] : fleet.doneRuns)
        CHECK_EQUAL(1, runs);
}

// Guards against failures whose cause can't be traced afterwards. The test uses only the output of
// the processes and persimmonctl, as described in docs/OPERATIONS.md.
TEST(BatchSystem, failureCauseIsTraceableById)
{
    batch_system system;
    platform::standin_fleet fleet(1);
    CHECK_TRUE(system.configure());

    // A rejected submission.
    CHECK_EQUAL(404, system.sendToGateway("POST", "/other/r1", addJob(fleet, "r1", {})).status);
    CHECK_EQUAL(401,
                system.sendToGateway("POST", "/q/r2", addJob(fleet, "r2", {}), "wrong").status);
    CHECK_TRUE(waitUntil(milliseconds {3000}, [&] {
        return system.logLines("event=request.refused", "path=/other/r1").find("code=no_route")
                != std::string::npos
                && system.logLines("event=request.refused", "path=/q/r2")
                           .find("code=unknown_workspace")
                != std::string::npos;
    }));

    // A job that ends late because it waits for another.
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/w1", addJob(fleet, "w1", {4000, 1500, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return !fleet.workers.front().running.empty(); }));
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/w2", addJob(fleet, "w2", {4000, 200, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return system.jobState("w2") == "done"; }));
    CHECK_TRUE(system.logLines("event=step.waiting", "job=w2").find("why=no_room")
               != std::string::npos);
    CHECK_TRUE(system.logLines("event=job.ended", "job=w2").find("outcome=done")
               != std::string::npos);

    // A task that ran and failed.
    CHECK_EQUAL(200,
                system.sendToGateway("POST", "/q/f1", addJob(fleet, "f1", {1000, 9000, 1, false}))
                        .status);
    CHECK_TRUE(system.stepUntil(fleet, [&] { return !fleet.workers.front().running.empty(); }));
    fleet.fail(fleet.workers.front(), "f1.0.0.0");
    CHECK_TRUE(system.stepUntil(fleet, [&] { return system.jobState("f1") == "failed"; }));
    CHECK_TRUE(system.logLines("event=task.ended", "job=f1").find("how=failed")
               != std::string::npos);
    const auto text = system.explain("f1");
    CHECK_TRUE(text.find("failed") != std::string::npos);
    CHECK_TRUE(text.find("0.0.0 on i-0") != std::string::npos);
}

// Guards against a graceful shutdown that drops a request or hangs.
TEST(BatchSystem, gatewayStopsGracefully)
{
    batch_system system;
    CHECK_TRUE(system.configure());
    CHECK_TRUE(waitUntil(milliseconds {5000},
                         [&] { return system.sendToGateway("GET", "/q/").status == 200; }));
    system.gatewayProcess().sendSignal(SIGHUP);
    CHECK_EQUAL(200, system.sendToGateway("GET", "/q/").status);
    system.gatewayProcess().sendSignal(SIGTERM);
    CHECK_EQUAL(200, system.sendToGateway("GET", "/q/").status);
    CHECK_EQUAL(0, system.gatewayProcess().waitForExit(milliseconds {8000}));
}

// Guards against a changed settings file that is reloaded only on a signal.
TEST(BatchSystem, settingsFileIsReadAgainWhenItChanges)
{
    batch_system system;
    CHECK_TRUE(system.configure());
    system.addGatewaySeed("127.0.32.7");
    CHECK_TRUE(waitUntil(milliseconds {5000}, [&] {
        return system.logLines("event=process.reloaded", "seeds=4").find("outcome=ok")
                != std::string::npos;
    }));
}

// Guards against faults that only a long run shows: schedulers are killed, suspended and lose their
// data one after the other while jobs are submitted. PERSIMMON_SOAK_SECONDS sets the duration and
// PERSIMMON_SOAK_SEED the sequence of faults.
TEST(BatchSystem, soakUnderFaults)
{
    const char *length = std::getenv("PERSIMMON_SOAK_SECONDS");
    const char *seed = std::getenv("PERSIMMON_SOAK_SEED");
    std::mt19937 random(seed == nullptr ? 1U : static_cast<unsigned>(std::atoi(seed)));
    const auto end = nowMs() + 1000 * (length == nullptr ? 15 : std::atoll(length));
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    std::vector<std::string> accepted;
    int next = 0;
    int victim = -1;
    int fault = 0;
    std::int64_t nextFault = nowMs() + 2000;
    std::int64_t nextJob = nowMs();
    while (nowMs() < end) {
        if (nowMs() >= nextJob) {
            nextJob = nowMs() + 250;
            const auto id = "s" + std::to_string(++next);
            const std::int64_t kind = next;
            const platform::standin_job job {1000 * (1 + kind % 3), 300 + kind % 7 * 200,
                                             1 + kind % 3, next % 2 == 0};
            if (system.sendToGateway("POST", "/q/" + id, addJob(fleet, id, job)).status == 200)
                accepted.push_back(id);
        }
        if (nowMs() >= nextFault && victim < 0) {
            victim = static_cast<int>(random() % schedulers);
            fault = static_cast<int>(random() % 3);
            if (fault == 0)
                system.signalScheduler(victim, SIGSTOP);
            else
                system.killScheduler(victim);
            if (fault == 2)
                system.removeSchedulerData(victim);
            nextFault = nowMs() + 1500;
        } else if (nowMs() >= nextFault) {
            if (fault == 0)
                system.signalScheduler(victim, SIGCONT);
            else
                system.startScheduler(victim, false);
            victim = -1;
            nextFault = nowMs() + 4000;
        }
        system.step(fleet);
    }
    if (victim >= 0 && fault == 0)
        system.signalScheduler(victim, SIGCONT);
    else if (victim >= 0)
        system.startScheduler(victim, false);
    const bool done = system.stepUntil(
            fleet,
            [&] {
                while (!accepted.empty() && system.jobState(accepted.back()) == "done")
                    accepted.pop_back();
                return accepted.empty();
            },
            60000);
    for (const auto &violation : fleet.violations)
        FAIL(violation.c_str());
    if (!done)
        FAIL(("not done: " + accepted.back() + " " + system.jobState(accepted.back())).c_str());
    CHECK_TRUE(next > 10);
}

// Guards against faults that only links show: connections that are slow, reset, silent or cut one
// way, several at a time, while a scheduler is suspended or killed. PERSIMMON_SOAK_SECONDS and
// PERSIMMON_SOAK_SEED as above.
TEST(BatchSystem, soakThroughFaultyLinks)
{
    const char *length = std::getenv("PERSIMMON_SOAK_SECONDS");
    const char *seed = std::getenv("PERSIMMON_SOAK_SEED");
    std::mt19937 random(seed == nullptr ? 1U : static_cast<unsigned>(std::atoi(seed)));
    const auto draw = [&random](std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    };
    const auto end = nowMs() + 1000 * (length == nullptr ? 10 : std::atoll(length));
    batch_system system;
    platform::standin_fleet fleet(4);
    CHECK_TRUE(system.configure());
    system.useLinks();
    std::vector<std::string> accepted;
    std::vector<std::string> refused;
    std::vector<std::int64_t> faultUntil(system.links().size());
    int next = 0;
    int suspended = -1;
    auto nextJob = nowMs();
    auto nextFault = nowMs() + 1000;
    auto nextSignal = nowMs() + 2000;
    while (nowMs() < end) {
        if (nowMs() >= nextJob) {
            nextJob = nowMs() + 300;
            const auto id = "l" + std::to_string(++next);
            const platform::standin_job job {1000 * draw(1, 3), 100 * draw(3, 15), draw(1, 3),
                                             next % 2 == 0};
            const auto status
                    = system.sendToGateway("POST", "/q/" + id, addJob(fleet, id, job)).status;
            if (status == 200)
                accepted.push_back(id);
            else if (status == 503 || status == 429)
                refused.push_back(id);
        }
        for (std::size_t i = 0; i < faultUntil.size(); ++i) {
            if (faultUntil[i] != 0 && nowMs() >= faultUntil[i]) {
                system.links()[i]->set(link_condition::Good);
                faultUntil[i] = 0;
            }
        }
        if (nowMs() >= nextFault) {
            nextFault = nowMs() + draw(100, 900);
            const auto link
                    = static_cast<std::size_t>(draw(0, static_cast<int>(faultUntil.size()) - 1));
            const auto kind = draw(0, 4);
            if (kind == 0) {
                system.links()[link]->reset();
            } else {
                system.links()[link]->set(static_cast<link_condition>(kind));
                // Some faults outlast the lease of a worker.
                faultUntil[link] = nowMs() + draw(100, draw(0, 3) == 0 ? 9000 : 3000);
            }
        }
        if (nowMs() >= nextSignal && suspended < 0) {
            suspended = static_cast<int>(draw(0, schedulers - 1));
            system.signalScheduler(suspended, SIGSTOP);
            nextSignal = nowMs() + draw(200, 2500);
        } else if (nowMs() >= nextSignal) {
            system.signalScheduler(suspended, SIGCONT);
            if (draw(0, 2) == 0) {
                system.killScheduler(suspended);
                system.startScheduler(suspended, false);
            }
            suspended = -1;
            nextSignal = nowMs() + draw(500, 3000);
        }
        system.step(fleet);
    }
    if (suspended >= 0)
        system.signalScheduler(suspended, SIGCONT);
    for (auto &link : system.links())
        link->set(link_condition::Good);
    const bool done = system.stepUntil(
            fleet,
            [&] {
                while (!accepted.empty() && system.jobState(accepted.back()) == "done")
                    accepted.pop_back();
                return accepted.empty();
            },
            60000);
    for (const auto &violation : fleet.violations)
        FAIL(violation.c_str());
    if (!done)
        FAIL(("not done: " + accepted.back() + " " + system.jobState(accepted.back())).c_str());
    for (const auto &id : refused) {
        const auto answer = system.sendToGateway("GET", "/q/" + id);
        if (answer.status != 410)
            FAIL(("refused, but known: " + id + " " + std::to_string(answer.status)).c_str());
    }
    CHECK_TRUE(next > 5);
}
