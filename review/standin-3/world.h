#pragma once

// A small world for the cases of the third review: the project's processes, workers, a platform, an
// operator and consumers, all on loopback addresses and the real clock. The stand-ins do what the
// users' pages say and nothing else.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using std::int64_t;
using std::string;

int64_t steadyMs();
int64_t wallMs();
void sleepMs(int64_t ms);

// JSON, as much as the protocol needs.
struct json
{
    enum class kind { null, boolean, number, text, list, object } type = kind::null;
    bool truth = false;
    double number = 0;
    string text;
    std::vector<json> items;
    std::map<string, json> fields;

    const json *find(const string &name) const;
    int64_t integer(const string &name, int64_t fallback = 0) const;
    string word(const string &name) const;
};

std::optional<json> parseJson(const string &text);
string quote(const string &text);

struct reply
{
    int status = 0; // 0: no complete answer
    string body;
};

// One call on a connection of its own.
reply call(const string &address, const string &method, const string &path,
           const std::vector<std::pair<string, string>> &headers, const string &body,
           int64_t timeoutMs);

// Serves HTTP on an address until it is destroyed. The handler runs on the thread of a connection.
class server
{
public:
    struct request
    {
        string method;
        string path;
        std::map<string, string> headers; // names in lower case
        string body;
    };
    using handler = std::function<reply(const request &)>;

    server(const string &address, handler handle);
    ~server();

private:
    void accept();
    void serve(int socket);

    int socket_ = -1;
    handler handle_;
    std::atomic<bool> stopping_ {false};
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::thread> clients_;
    std::set<int> open_;
};

// Writes lines with a time to record.txt and to the standard output.
class record
{
public:
    static void open(const string &file);
    static void line(const string &text);
};

// The project's processes.
class system_under_test
{
public:
    system_under_test(int cores, int edges);
    ~system_under_test();

    void start();
    void startCore(int index);
    void startEdge(int index);
    void signalCore(int index, int number);
    void signalEdge(int index, int number);
    int coreCount() const { return static_cast<int>(cores_.size()); }
    int edgeCount() const { return static_cast<int>(edges_.size()); }
    string control(int index) const; // address of the control interface
    string front(int index) const;
    string metrics(int index) const;
    string platformAddress() const { return platform_; }
    string adviceAddress() const { return advice_; }
    string workerIp() const { return net_ + ".200"; }
    int leader() const; // index, or -1
    int exits() const; // processes that ended without a signal of this test
    string folder() const { return folder_; }

private:
    struct process
    {
        string name;
        string ip;
        string settings;
        int pid = 0;
        bool wanted = false;
    };

    void launch(process &item, const char *role);
    void watch();

    string net_;
    string folder_;
    string platform_;
    string advice_;
    int controlPort_ = 0;
    int frontPort_ = 0;
    int readyPort_ = 0;
    int metricsPort_ = 0;
    int rpcPort_ = 0;
    std::vector<process> cores_;
    std::vector<process> edges_;
    mutable std::mutex mutex_;
    std::atomic<bool> stopping_ {false};
    std::atomic<int> exits_ {0};
    std::thread watcher_;
};

// What a worker has begun and ended, in the order of the real clock.
struct run_fact
{
    int64_t atMs = 0;
    string worker;
    string task;
    int64_t run = 0;
    // start, done, failed, stopped, lapsed, crashed, noted; noted-after-lapse if the worker's lease
    // has lapsed since the end
    string what;
};

// One worker: a life of a machine. Its work items take the time that their spec names as
// "work-ms=N".
class worker
{
public:
    struct options
    {
        string id;
        string machine;
        string service;
        string zone = "zone-a";
        std::vector<string> labels {"a", "r1-1"};
        int64_t cpu = 64000;
        int64_t memory = 131072;
        int64_t gpu = 8;
        int64_t heartbeatMs = 1500;
        int64_t maxHoldMs = 6000;
        int64_t stopMs = 200;
        int64_t lateMs = 0; // of heartbeats on a late link, from their sending to their arrival
    };

    worker(const system_under_test &system, options values,
           std::function<void(const run_fact &)> tell);
    ~worker();

    // Sends nothing more and ends what runs, like a loss of power.
    void stop();

    std::vector<string> running() const;

    // What the network does to the worker's calls.
    enum class link { sound, cut, answers_lost, late };
    void setLink(link value) { link_ = value; }
    const options &values() const { return values_; }

private:
    struct item
    {
        string task;
        int64_t run = 0;
        string spec;
        int64_t startedMs = 0;
        int64_t workMs = 0;
        int64_t stopAtMs = -1;
    };
    struct end
    {
        int64_t number = 0;
        string task;
        int64_t run = 0;
        string how;
        int64_t lapses = 0; // of the lease before it
    };

    void loop();
    void advance();
    void finish(std::map<string, item>::iterator at, const string &how);
    string body();
    void obey(const json &orders, int64_t sentMs);

    const system_under_test &system_;
    options values_;
    std::function<void(const run_fact &)> tell_;
    int64_t born_;
    int64_t started_;
    int64_t sequence_ = 0;
    int64_t fence_ = 0;
    int64_t leaseUntil_ = 0;
    int64_t lapses_ = 0;
    bool holds_ = false;
    int64_t lastEnd_ = 0;
    std::map<string, item> running_;
    std::vector<end> ended_;
    std::map<string, int64_t> closed_; // highest run that ended here, by work item
    string address_;
    mutable std::mutex mutex_;
    std::atomic<bool> stopping_ {false};
    std::atomic<link> link_ {link::sound};
    std::thread thread_;
};

// An operator: sends an order again until it has a clear answer.
reply order(const system_under_test &system, const string &method, const string &path,
            const string &body, int64_t limitMs = 20000);

// A consumer's call to any node, sent again unchanged after no answer, 429, 502, 503 or 504.
reply consumerCall(const system_under_test &system, const string &method, const string &path,
                   const string &body, int64_t limitMs = 20000);

extern const char *const host;
extern const char *const key;

// The config of the cases: one service, three queues and one tenant.
string config(int64_t version, int64_t attempts = 3);

} // namespace world
