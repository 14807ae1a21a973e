#include "tools/fleet.h"

#include "base/ini.h"
#include "base/log.h"
#include "http/server.h"

#include <cpprest/http_client.h>
#include <cpprest/json.h>

#include <algorithm>
#include <chrono>

namespace persimmon::tools {

namespace {

using web::json::value;

constexpr std::size_t httpThreadCount = 4;
constexpr milliseconds tickPeriod {20};
constexpr milliseconds firstAnnouncementWindow {1000};
constexpr milliseconds announceTimeout {2000};

struct served_request
{
    std::string worker;
    std::string method;
    std::string path;
    std::string key;
};

struct standin_worker
{
    announcement self;
    task_host tasks;
    std::unique_ptr<http::server> listener;
    time_point nextAnnouncement;
    bool announcing = false;
    bool leaveAcknowledged = false;
};

value toJson(const task_ref &task)
{
    auto object = value::object();
    object["job"] = value::number(toNumber(task.job));
    object["attempt"] = value::number(task.attempt);
    object["index"] = value::number(task.index);
    object["token"] = value::number(task.token);
    return object;
}

value toJson(const announcement &self, const std::vector<task_report> &reports)
{
    auto object = value::object();
    object["id"] = value::string(self.id);
    object["incarnation"] = value::number(self.incarnation);
    object["address"] = value::string(self.address);
    object["pool"] = value::string(self.pool);
    object["region"] = value::string(self.place.region);
    object["zone"] = value::string(self.place.zone);
    object["rack"] = value::string(self.place.rack);
    object["slots"] = value::number(self.slots);
    object["connections"] = value::number(self.connections);
    object["accelerators"] = value::number(self.capacity.accelerators);
    object["cores"] = value::number(self.capacity.cores);
    object["memory_mb"] = value::number(self.capacity.memoryMb);
    object["state"] = value::string(std::string(toName(self.state)));
    auto tasks = value::array();
    for (const auto &report : reports) {
        auto item = toJson(report.task);
        item["state"] = value::string(std::string(toName(report.state)));
        item["result"] = value::string(report.result);
        item["usage"] = value::number(report.usagePercent);
        tasks[tasks.size()] = item;
    }
    object["tasks"] = tasks;
    return object;
}

task_action actionFromName(const std::string &name)
{
    if (name == "run")
        return task_action::Run;
    if (name == "checkpoint")
        return task_action::Checkpoint;
    return name == "prepare" ? task_action::Prepare : task_action::Stop;
}

leased_order orderFromJson(const value &item)
{
    leased_order leased;
    leased.order.task
            = {static_cast<job_id>(item.at("job").as_number().to_uint64()),
               item.at("attempt").as_number().to_uint32(), item.at("index").as_number().to_uint32(),
               item.at("token").as_number().to_uint64()};
    leased.order.action = actionFromName(item.at("action").as_string());
    leased.lease = milliseconds {item.at("lease_ms").as_number().to_int64()};
    return leased;
}

std::string toMillisecondText(time_point at)
{
    return std::to_string(at.time_since_epoch().count() / 1000);
}

class http_fleet : public fleet
{
public:
    http_fleet(wire::event_loop &loop, fleet_options options)
        : loop_(loop)
        , options_(std::move(options))
    {
        http::startThreads(httpThreadCount);
        web::http::client::http_client_config config;
        config.set_timeout(announceTimeout);
        for (const auto &entry : options_.entries)
            clients_.push_back(
                    std::make_unique<web::http::client::http_client>("http://" + entry, config));
    }

    status open()
    {
        for (std::uint32_t i = 0; i < options_.count; ++i) {
            auto worker = std::make_unique<standin_worker>(standin_worker {
                    describeWorker(i), task_host(options_.tasks), nullptr, {}, false, false});
            // Spreads the first announcements, so that a large fleet does not send them in a burst.
            worker->nextAnnouncement = loop_.now() + firstAnnouncementWindow * i / options_.count;
            workers_.push_back(std::move(worker));
        }
        for (std::uint32_t i = 0; i < options_.count; ++i) {
            if (options_.sharedListener && i > 0)
                break;
            if (auto opened = listen(i); failed(opened))
                return opened;
        }
        loop_.timers().every(tickPeriod, [this](time_point now) { tick(now); });
        return std::monostate {};
    }

    void leave(std::function<void()> done) override
    {
        onAllLeft_ = std::move(done);
        for (auto &worker : workers_) {
            worker->self.state = upstream_state::Leaving;
            worker->nextAnnouncement = loop_.now();
        }
    }

private:
    announcement describeWorker(std::uint32_t index) const
    {
        announcement self;
        self.id = options_.idPrefix + "-" + std::to_string(index);
        self.incarnation = static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count());
        self.address = "127.0.0.1:"
                + std::to_string(options_.firstPort + (options_.sharedListener ? 0 : index));
        self.pool = options_.pool;
        self.place
                = {options_.region, options_.zone,
                   options_.idPrefix + "-rack-" + std::to_string(index / options_.workersPerRack)};
        self.slots = options_.slots;
        self.connections = options_.connections;
        self.capacity = options_.capacity;
        return self;
    }

    status listen(std::uint32_t index)
    {
        http::server_options options;
        options.address = workers_[index]->self.address;
        auto opened = http::server::listen(
                loop_, options,
                [this, index](const http::request &request, http::server::reply reply) {
                    serve(*workers_[index], request, std::move(reply));
                });
        if (failed(opened))
            return errorOf(opened);
        workers_[index]->listener = std::move(valueOf(opened));
        return std::monostate {};
    }

    void serve(standin_worker &worker, const http::request &request, http::server::reply reply)
    {
        if (request.path == "/standin/log")
            return reply({200, "application/json", {}, logJson()});
        if (request.path == "/standin/set")
            return reply(changeBehaviour(request.query));
        const std::string key(request.find("Idempotency-Key"));
        served_.push_back({worker.self.id, request.method, request.path, key});
        auto body = value::object();
        body["worker"] = value::string(worker.self.id);
        body["key"] = value::string(key);
        body["path"] = value::string(request.path);
        body["received_bytes"] = value::number(static_cast<std::uint64_t>(request.body.size()));
        body["padding"] = value::string(std::string(options_.answerBytes, 'x'));
        const http::response answer {
                failRequests_ ? 500 : 200, "application/json", {}, body.serialize()};
        if (options_.requestTime.count() == 0)
            return reply(answer);
        loop_.timers().after(options_.requestTime,
                             [reply = std::move(reply), answer](time_point) { reply(answer); });
    }

    http::response changeBehaviour(const std::string &query)
    {
        const auto readMilliseconds = [&](std::string_view name, milliseconds &target) {
            const auto parsed = parseNumber(http::queryValue(query, name), 0, 3600000);
            if (!failed(parsed))
                target = milliseconds {valueOf(parsed)};
        };
        readMilliseconds("request_ms", options_.requestTime);
        if (const auto text = http::queryValue(query, "fail_requests"); !text.empty())
            failRequests_ = text == "true";
        for (auto &worker : workers_) {
            auto &behaviour = worker->tasks.behaviour();
            readMilliseconds("run_ms", behaviour.runTime);
            readMilliseconds("prepare_ms", behaviour.prepareTime);
            if (const auto text = http::queryValue(query, "fail_tasks"); !text.empty())
                behaviour.failTasks = text == "true";
        }
        return {200, "application/json", {}, "{}"};
    }

    std::string logJson() const
    {
        auto requests = value::array();
        for (const auto &item : served_) {
            auto object = value::object();
            object["worker"] = value::string(item.worker);
            object["method"] = value::string(item.method);
            object["path"] = value::string(item.path);
            object["key"] = value::string(item.key);
            requests[requests.size()] = object;
        }
        auto events = value::array();
        for (const auto &worker : workers_) {
            for (const auto &item : worker->tasks.events()) {
                auto object = toJson(item.task);
                object["worker"] = value::string(worker->self.id);
                object["at_ms"] = value::string(toMillisecondText(item.at));
                object["what"] = value::string(item.change);
                events[events.size()] = object;
            }
        }
        auto object = value::object();
        object["requests"] = requests;
        object["task_events"] = events;
        return object.serialize();
    }

    void tick(time_point now)
    {
        for (auto &worker : workers_) {
            worker->tasks.tick(now);
            if (!worker->announcing && now >= worker->nextAnnouncement)
                announce(*worker);
        }
    }

    void announce(standin_worker &worker)
    {
        worker.announcing = true;
        auto &client = *clients_[nextClient_++ % clients_.size()];
        const auto body = toJson(worker.self, worker.tasks.reports());
        const bool leaving = worker.self.state == upstream_state::Leaving;
        client.request(web::http::methods::POST, "/v1/announce", body)
                .then([](const web::http::http_response &response) {
                    if (response.status_code() != 200)
                        throw std::runtime_error("status "
                                                 + std::to_string(response.status_code()));
                    return response.extract_json();
                })
                .then([this, &worker, leaving](const pplx::task<value> &answerTask) {
                    completeAnnouncement(worker, leaving, answerTask);
                });
    }

    void completeAnnouncement(standin_worker &worker, bool leaving,
                              const pplx::task<value> &answerTask)
    {
        try {
            const auto answer = answerTask.get();
            std::vector<leased_order> orders;
            for (const auto &item : answer.at("orders").as_array())
                orders.push_back(orderFromJson(item));
            const milliseconds next {answer.at("next_ms").as_number().to_int64()};
            loop_.post([this, &worker, orders, next, leaving] {
                worker.tasks.applyOrders(loop_.now(), orders);
                worker.leaveAcknowledged = worker.leaveAcknowledged || leaving;
                scheduleNext(worker, next);
            });
        } catch (const std::exception &failure) {
            const std::string reason = failure.what();
            loop_.post([this, &worker, reason] {
                logFor("standin")->debug("announcement of {} failed: {}", worker.self.id, reason);
                scheduleNext(worker, milliseconds {100});
            });
        }
    }

    void scheduleNext(standin_worker &worker, milliseconds delay)
    {
        worker.announcing = false;
        worker.nextAnnouncement = loop_.now()
                + (worker.tasks.hasPendingTask() ? std::min(delay, milliseconds {200}) : delay);
        const auto hasLeft = [](const auto &item) { return item->leaveAcknowledged; };
        if (onAllLeft_ && std::ranges::all_of(workers_, hasLeft)) {
            onAllLeft_();
            onAllLeft_ = nullptr;
        }
    }

    wire::event_loop &loop_;
    fleet_options options_;
    std::vector<std::unique_ptr<web::http::client::http_client>> clients_;
    std::size_t nextClient_ = 0;
    std::vector<std::unique_ptr<standin_worker>> workers_;
    std::vector<served_request> served_;
    bool failRequests_ = false;
    std::function<void()> onAllLeft_;
};

} // namespace

result<std::unique_ptr<fleet>> fleet::start(wire::event_loop &loop, const fleet_options &options)
{
    auto started = std::make_unique<http_fleet>(loop, options);
    if (auto opened = started->open(); failed(opened))
        return errorOf(opened);
    return std::unique_ptr<fleet>(std::move(started));
}

} // namespace persimmon::tools
