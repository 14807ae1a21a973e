#pragma once

#include "faulty_link.h"
#include "local_system.h"
#include "standin_fleet.h"

#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace persimmon::system_test {

inline constexpr int schedulers = 3; // unless a test asks for more

inline std::string programPath(const std::string &name)
{
    return std::string(PERSIMMON_PROGRAMS) + "/packages/apps/" + name;
}

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline std::int64_t nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Schedulers, at most seven, and a gateway, each on a separate loopback address.
class batch_system
{
public:
    explicit batch_system(int count = schedulers)
        : count_(count)
        , folder_("/tmp/persimmon-batch-" + std::to_string(getpid()))
        , port_(34000 + getpid() % 300 * 4)
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        for (int i = 0; i < count_; ++i)
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

    int count() const { return count_; }

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
        for (int i = 0; i < count_; ++i)
            links_.push_back(std::make_unique<faulty_link>(linkTo(i), scheduler(i)));
        links_.push_back(std::make_unique<faulty_link>(linkTo(count_), gateway()));
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

    bool configure(int version = 3, int through = 0)
    {
        return configureAs(through,
                           R"({"version":)" + std::to_string(version)
                                   + R"(,"services":[{"name":"pool"}],"routes":[{"name":"q",)"
                                     R"("host":"h","prefix":"/q/","service":"pool",)"
                                     R"("timeout_ms":3000,"attempts":1,"slack_factor":2,)"
                                     R"("slo_ms":1000,"priority":1}],)"
                                     R"("tenants":[{"name":"t","api_keys":["key"]}]})");
    }

    bool configureAs(int through, const std::string &body)
    {
        return waitUntil(milliseconds {10000}, [&] {
            return call(scheduler(through), "PUT", "/config", body, {}, milliseconds {1000}).status
                    == 200;
        });
    }

    std::string schedulerAddress(int number) const { return scheduler(number); }
    std::string schedulerPeerAddress(int number) const { return portOf(ip(number), 2); }
    std::string schedulerMetricsAddress(int number) const { return portOf(ip(number), 3); }
    std::string gatewayAddress() const { return gateway(); }
    std::string gatewayReadyAddress() const { return portOf("127.0.32.9", 1); }
    std::string gatewayMetricsAddress() const { return portOf("127.0.32.9", 3); }

    process &schedulerProcess(int number) { return processes_.at(number); }

    http_response sendToGateway(const std::string &method, const std::string &path,
                                const std::string &body = {}, const std::string &key = "key")
    {
        return call(links_.empty() ? gateway() : linkTo(count_), method, path, body,
                    {{"Host", "h"}, {"Authorization", "Bearer " + key}}, milliseconds {3500});
    }

    std::string jobState(const std::string &id)
    {
        const auto answer = sendToGateway("GET", "/q/" + id);
        return answer.status == 200 ? answer.json().at("state").as_string() : "";
    }

    int leader() const
    {
        for (int i = 0; i < count_; ++i) {
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

    std::string explain(const std::string &id) const { return control({"explain", id}); }

    // Runs a command of persimmonctl, which asks the schedulers in turn, and returns its output.
    std::string control(const std::vector<std::string> &words) const
    {
        const auto output = folder_ + "/control.txt";
        std::filesystem::remove(output);
        std::string addresses;
        for (int i = 0; i < count_; ++i)
            addresses += (i == 0 ? "" : ",") + schedulerMetricsAddress(i);
        std::vector<std::string> command {programPath("persimmonctl"), "--control", addresses};
        command.insert(command.end(), words.begin(), words.end());
        process run(command, output);
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
        std::int64_t born = 0; // boot of the worker that sent it
    };

    void exchangeHeartbeat(platform::standin_fleet &fleet, platform::standin_worker &worker)
    {
        auto &waiting = outstanding_[worker.id];
        if (waiting.answer.valid()) {
            if (waiting.answer.wait_for(milliseconds {0}) != std::future_status::ready)
                return;
            const auto answer = waiting.answer.get();
            if (answer.status == 200 && waiting.born == worker.born)
                fleet.receive(worker, waiting.sentMs, nowMs(), answer.body);
            else if (answer.status != 200)
                ++waiting.target;
            nextHeartbeatMs_[worker.id] = nowMs() + 50;
            return;
        }
        if (!worker.up || nowMs() < nextHeartbeatMs_[worker.id])
            return;
        waiting.sentMs = nowMs();
        waiting.born = worker.born;
        waiting.answer = std::async(
                std::launch::async,
                [target = addressForWorkers(waiting.target % count_),
                 path = "/instances/" + worker.id, body = fleet.heartbeat(worker, waiting.sentMs)] {
                    return call(target, "PUT", path, body, {}, milliseconds {950});
                });
    }

    static std::string ip(int number) { return "127.0.32." + std::to_string(number + 1); }
    std::string portOf(const std::string &host, int offset) const
    {
        return host + ":" + std::to_string(port_ + offset);
    }
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
        for (int i = 0; i < count_; ++i)
            seeds += (i == 0 ? "" : ",") + scheduler(i);
        return "[group]\nrpc_port = " + std::to_string(port_ + 2) + "\nseeds = " + seeds + "\n";
    }

    process launch(const std::string &name, const std::string &role) const
    {
        return {{programPath("persimmond"), "--role=" + role,
                 "--settings=" + folder_ + "/" + name + ".ini"},
                folder_ + "/" + name + ".log"};
    }

    int count_; // of schedulers
    std::string folder_;
    int port_;
    std::map<int, process> processes_;
    process gateway_;
    std::vector<std::unique_ptr<faulty_link>> links_;
    std::map<std::string, std::int64_t> nextHeartbeatMs_;
    std::map<std::string, outstanding_heartbeat> outstanding_; // by worker
    std::int64_t lastStepMs_ = 0;
};

// Adds a job to the fleet and returns the body of its submission.
inline std::string addJob(platform::standin_fleet &fleet, const std::string &id,
                          const platform::standin_job &job)
{
    fleet.jobs[id] = job;
    return R"({"spec":"x","steps":[{"count":)" + std::to_string(job.count) + R"(,"cpu":)"
            + std::to_string(job.cpu) + R"(,"gpu":)" + std::to_string(job.gpu)
            + R"(,"estimate_ms":1000,"gang":)" + (job.gang ? "true" : "false") + R"(,"same_rack":)"
            + (job.sameRack ? "true" : "false") + "}]}";
}

} // namespace persimmon::system_test
