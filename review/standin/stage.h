#pragma once

// Stand-ins for the review's scripts: consumers, workers and the operator as the users' PROTOCOL
// page describes them, and the start of the project's own programs with the commands and templates
// of deploy/system.toml. Everything runs on loopback addresses and on the real clock.

#include <cpprest/json.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using json = web::json::value;

// Milliseconds on the steady clock since the start of the script.
std::int64_t now();
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

// Writes a line to record.txt, with the time.
void record(const std::string &line);

struct reply
{
    int status = 0; // 0: no complete answer
    std::string body;
};

reply call(const std::string &address, const std::string &method, const std::string &path,
           const std::map<std::string, std::string> &headers, const std::string &body,
           std::int64_t timeoutMs);

// A small HTTP server on loopback, for services that the system calls. It keeps channels open. If
// the handler returns the status 0, the channel is closed without an answer.
class http_server
{
public:
    struct request
    {
        std::string path;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    explicit http_server(std::function<reply(const request &)> handle);
    ~http_server();
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve(int channel);

    std::function<reply(const request &)> handle_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> over_ {false};
    std::thread accepting_;
    std::vector<std::thread> channels_;
};

// Bounds of the ceiba-callback site that the stand-ins use.
constexpr std::int64_t maxHoldMs = 6000;
constexpr std::int64_t gangMs = 3000;
constexpr std::int64_t stopMs = 200;
constexpr std::int64_t finishMs = 14000;
constexpr std::int64_t configApplyMs = 2500;
constexpr std::int64_t crashedMs = 4500; // how long a worker that a work item has crashed is away

// A heartbeat whose answer is larger isn't acknowledged; the next node is called.
constexpr std::size_t maxAnswerBytes = 4U << 20U;

// What the work items of a step do. Consumers and workers share this; the system is only told what
// the protocol carries.
struct step
{
    int count = 1; // of work items
    std::int64_t cpu = 1000;
    std::int64_t memory = 1000;
    std::int64_t gpu = 1;
    std::int64_t workMs = 2000;
    bool gang = false;
    bool longRunning = false;
    std::string label = {};
    int maxPerServer = 0;
    std::int64_t crashesAfterMs = 0; // each run crashes its worker after this time; 0: never
    std::set<int> failingRuns
            = {}; // numbers of the runs that end `failed`, through their own fault
};

struct job
{
    std::string id;
    std::string host;
    std::string prefix;
    std::string key;
    std::vector<step> steps;
    std::string spec = "usual work";
};

std::string newId();

struct worker_options
{
    std::string id;
    std::string machine;
    std::string address;
    std::string zone = "bog-a";
    std::string kind = "a";
    std::string rack = "r1-1";
    std::string service;
    std::int64_t cpu = 64000;
    std::int64_t memory = 131072;
    std::int64_t gpu = 8;
};

struct start_seen
{
    std::int64_t atMs = 0;
    std::string task;
    int run = 0;
    std::string worker;
};

class stage;

// A worker that reports by heartbeats.
class worker
{
public:
    worker(stage &owner, worker_options options);
    ~worker();

    void boot(); // starts it, or starts it again, with nothing of before
    void crash(); // silent from now on; what ran is gone
    // It crashes, and starts again after a time.
    void crashFor(std::int64_t ms);
    bool up() const { return up_; }
    const worker_options &options() const { return options_; }
    bool runs(const std::string &job) const;
    std::int64_t usedGpu() const;

private:
    struct running
    {
        std::string task;
        int run = 0;
        const job *of = nullptr;
        int stepIndex = 0;
        std::int64_t startedMs = 0;
        std::int64_t workedMs = 0;
        std::int64_t stopAtMs = -1;
    };
    struct ended
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    void beatLoop();
    void workLoop();
    std::string report();
    void obey(const std::string &body, std::int64_t sentMs);
    void end(const running &item, const std::string &how);
    bool membersPresent(const running &item) const;

    stage &owner_;
    worker_options options_;
    mutable std::recursive_mutex mutex_;
    std::atomic<bool> up_ {false};
    std::atomic<bool> closing_ {false};
    std::int64_t boots_ = 0;
    std::int64_t born_ = 0;
    std::int64_t bornAt_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t lastEnd_ = 0;
    std::int64_t nextBeat_ = 0;
    std::int64_t bootAt_ = 0; // when it starts again; 0: not by itself
    std::string target_;
    std::map<std::string, running> running_;
    std::vector<ended> ended_;
    std::map<std::string, int> closed_; // highest run stopped or ended, by work item
    std::thread beats_;
    std::thread work_;
};

struct stage_options
{
    int schedulers = 3;
    int gateways = 2;
    // The first gateway calls the schedulers at a port of its own, where the case runs a proxy.
    bool proxied = false;
    std::string cloud = {}; // address of the platform's service that owns the machines
};

class stage
{
public:
    explicit stage(const stage_options &options);
    ~stage();

    // Starts all processes and waits until the gateways are ready for a config.
    void start();
    void signalScheduler(int index, int signal);
    void restartScheduler(int index);
    int leader(); // index of the leading scheduler, -1: none
    std::string scheduler(int index) const;
    std::string gateway(int index) const;
    std::string schedulerIp(int index) const;
    int schedulerCount() const { return options_.schedulers; }
    int rpcPort() const { return rpcPort_; }
    int gatewayRpcPort() const { return gatewayRpcPort_; }

    // Sends a config as the operator does until it is acknowledged. Returns the last status.
    int configure(const json &config);

    worker &addWorker(worker_options options);
    std::vector<std::unique_ptr<worker>> workers;

    // Hands a job in as a consumer does: up to five attempts with the same id, at the gateways in
    // turn. Returns all answers.
    std::vector<int> submit(const job &item, int firstGateway = -1);
    reply ask(const job &item); // GET
    std::string stateOf(const job &item); // state, or the status if it isn't 200
    reply cancel(const job &item);

    const job *find(const std::string &id) const;
    void addStart(const start_seen &item);
    std::vector<start_seen> startsOf(const std::string &job) const;
    std::int64_t runningItems(const std::string &job) const;
    std::int64_t usedGpu() const;
    std::int64_t capacityGpu() const; // of the workers that are up

    std::mutex gangs; // guards the members below
    std::map<std::string, std::set<int>> present; // by job.occurrence.step/run

private:
    pid_t launch(const std::string &role, const json &settings, const std::string &name);
    json settingsFor(bool isScheduler, int index, bool bootstrap) const;

    stage_options options_;
    std::string folder_;
    int block_ = 0;
    int controlPort_ = 0;
    int frontPort_ = 0;
    int readyPort_ = 0;
    int rpcPort_ = 0;
    int gatewayRpcPort_ = 0;
    int metricsPort_ = 0;
    std::vector<pid_t> schedulers_;
    std::vector<pid_t> gateways_;
    std::atomic<unsigned> nextGateway_ {0};
    mutable std::mutex mutex_;
    std::map<std::string, job> jobs_;
    std::vector<start_seen> starts_;
};

// Returns whether, for 3 s from now on, a job that is not over has nothing running while there is
// capacity for one of its work items twice over on one worker that may run it, and under half of
// the service's capacity is in use.
bool waitsForNothing(stage &system, const job &item);

// Parts of a config.
json route(const std::string &name, const std::string &host, const std::string &prefix,
           const std::string &service, int priority, int attempts);
json tenant(const std::string &name, const std::vector<std::string> &keys, int reservedGpu);
json config(int version, std::vector<json> routes, const std::vector<std::string> &services,
            std::vector<json> tenants);

// Runs a case: argv[1] is the folder of record.txt. TROUBLE=0 in the environment leaves the
// disruption out. The case returns whether the rule held, or nothing if it couldn't run.
int runCase(int argc, char **argv, const std::function<std::optional<bool>(bool trouble)> &play);

} // namespace review
