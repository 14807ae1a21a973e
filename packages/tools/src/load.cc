#include "tools/load.h"

#include "http/server.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace persimmon::tools {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t httpThreadCount = 4;
constexpr milliseconds requestTimeout {30000};
constexpr milliseconds resendDelay {50};
constexpr int maxResends = 100;
constexpr milliseconds readinessPeriod {100};
constexpr milliseconds readinessTimeout {500};

struct shared_report
{
    std::mutex mutex;
    load_report report;
    std::vector<double> latencies;
};

// Polls /readyz of all targets, as the platform's load balancer does.
class readiness_monitor
{
public:
    explicit readiness_monitor(const load_options &options)
        : ready_(options.targets.size())
    {
        for (auto &item : ready_)
            item = true;
        if (options.followReadiness)
            thread_ = std::thread([this, &options] { run(options); });
    }

    ~readiness_monitor()
    {
        stopped_ = true;
        if (thread_.joinable())
            thread_.join();
    }

    bool isReady(std::size_t target) const { return ready_[target]; }

private:
    void run(const load_options &options)
    {
        web::http::client::http_client_config config;
        config.set_timeout(readinessTimeout);
        while (!stopped_) {
            for (std::size_t i = 0; i < ready_.size(); ++i)
                ready_[i] = isTargetReady(options.targets[i], config);
            std::this_thread::sleep_for(readinessPeriod);
        }
    }

    static bool isTargetReady(const std::string &target,
                              const web::http::client::http_client_config &config)
    {
        try {
            web::http::client::http_client client("http://" + target, config);
            const auto answer = client.request(web::http::methods::GET, "/readyz").get();
            return answer.status_code() == 200;
        } catch (const std::exception &) {
            return false;
        }
    }

    std::vector<std::atomic<bool>> ready_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Closed-loop client. It runs on a thread of its own, so that its blocking waits do not occupy a
// thread of the HTTP library's pool.
class load_client
{
public:
    load_client(const load_options &options, std::uint32_t number, const readiness_monitor &monitor,
                shared_report &shared)
        : options_(options)
        , clientNumber_(number)
        , readiness_(monitor)
        , shared_(shared)
        , nextTarget_(number)
    {
        web::http::client::http_client_config config;
        config.set_timeout(requestTimeout);
        for (const auto &target : options.targets)
            clients_.emplace_back("http://" + target, config);
    }

    void sendRequests(steady_clock::time_point end)
    {
        const auto limit = options_.requestsPerClient;
        for (std::uint64_t i = 0; steady_clock::now() < end && (limit == 0 || i < limit); ++i) {
            const auto key = options_.keyPrefix + "-" + std::to_string(clientNumber_) + "-"
                    + std::to_string(i);
            const auto begin = steady_clock::now();
            sendUntilAnswered(key);
            recordLatency(steady_clock::now() - begin);
            if (options_.pause.count() > 0)
                std::this_thread::sleep_for(options_.pause);
        }
    }

private:
    void sendUntilAnswered(const std::string &key)
    {
        for (int i = 0; i <= (options_.resend ? maxResends : 0); ++i) {
            if (i > 0)
                std::this_thread::sleep_for(resendDelay);
            if (sendOnce(key))
                return;
        }
    }

    // Returns false when the request should be sent again.
    bool sendOnce(const std::string &key)
    {
        web::http::http_request message(options_.method);
        message.set_request_uri(options_.path);
        message.headers().add("Idempotency-Key", key);
        if (options_.method != "GET")
            message.set_body(options_.body.empty() ? std::string(options_.bodyBytes, 'b')
                                                   : options_.body,
                             "text/plain");
        try {
            const auto answer = chooseClient().request(message).get();
            const auto body = answer.extract_string(true).get();
            return recordAnswer(key, answer, body);
        } catch (const std::exception &) {
            ++nextTarget_;
            const std::scoped_lock lock(shared_.mutex);
            ++shared_.report.transportErrors;
            return false;
        }
    }

    // Returns the same target while it is ready, so that its connection is reused.
    web::http::client::http_client &chooseClient()
    {
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            if (readiness_.isReady(nextTarget_ % clients_.size()))
                break;
            ++nextTarget_;
        }
        return clients_[nextTarget_ % clients_.size()];
    }

    bool recordAnswer(const std::string &key, const web::http::http_response &answer,
                      const std::string &body)
    {
        const auto &headers = answer.headers();
        const auto found = headers.find("Persimmon-Outcome");
        const std::string outcome = found != headers.end() ? found->second
                : answer.status_code() == 200              ? "ran"
                                                           : "not_run";
        const std::scoped_lock lock(shared_.mutex);
        auto &report = shared_.report;
        ++report.requests;
        ++report.statuses[answer.status_code()];
        if (outcome == "ran") {
            ++report.ran;
            report.ranKeys.push_back(key);
            if (body.find("\"key\":\"" + key + "\"") == std::string::npos)
                ++report.foreignAnswers;
            return true;
        }
        ++(outcome == "not_run" ? report.notRun : report.unknown);
        ++nextTarget_;
        return !(outcome == "not_run" && headers.has("Retry-After"));
    }

    void recordLatency(steady_clock::duration latency)
    {
        const std::scoped_lock lock(shared_.mutex);
        shared_.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
    }

    const load_options &options_;
    std::uint32_t clientNumber_;
    const readiness_monitor &readiness_;
    shared_report &shared_;
    std::vector<web::http::client::http_client> clients_;
    std::size_t nextTarget_;
};

double percentile(std::vector<double> &sortedValues, double quantile)
{
    if (sortedValues.empty())
        return 0;
    const auto index
            = static_cast<std::size_t>(quantile * static_cast<double>(sortedValues.size() - 1));
    return sortedValues[index];
}

} // namespace

load_report runLoad(const load_options &options)
{
    http::startThreads(httpThreadCount);
    shared_report shared;
    const readiness_monitor monitor(options);
    const auto begin = steady_clock::now();
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < options.clients; ++i) {
        threads.emplace_back([&, i] {
            load_client client(options, i, monitor, shared);
            client.sendRequests(begin + options.duration);
        });
    }
    for (auto &thread : threads)
        thread.join();
    auto &report = shared.report;
    report.seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();
    std::ranges::sort(shared.latencies);
    report.p50Ms = percentile(shared.latencies, 0.5);
    report.p99Ms = percentile(shared.latencies, 0.99);
    report.maxMs = shared.latencies.empty() ? 0 : shared.latencies.back();
    return report;
}

std::string toJson(const load_report &report)
{
    using web::json::value;
    auto object = value::object();
    object["requests"] = value::number(report.requests);
    object["per_second"] = value::number(static_cast<double>(report.requests) / report.seconds);
    object["ran"] = value::number(report.ran);
    object["not_run"] = value::number(report.notRun);
    object["unknown"] = value::number(report.unknown);
    object["transport_errors"] = value::number(report.transportErrors);
    object["foreign_answers"] = value::number(report.foreignAnswers);
    object["p50_ms"] = value::number(report.p50Ms);
    object["p99_ms"] = value::number(report.p99Ms);
    object["max_ms"] = value::number(report.maxMs);
    auto statuses = value::object();
    for (const auto &[status, count] : report.statuses)
        statuses[std::to_string(status)] = value::number(count);
    object["statuses"] = statuses;
    return object.serialize();
}

} // namespace persimmon::tools
