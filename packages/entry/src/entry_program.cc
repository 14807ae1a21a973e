#include "entry_program.h"

#include "api_service.h"
#include "base/client_counts.h"
#include "base/log.h"
#include "proxy_service.h"
#include "wire/control_client.h"

#include <algorithm>
#include <chrono>

namespace persimmon::entry {

namespace {

// Back-off after a failed call, so that calls do not flood the voters during an election.
constexpr milliseconds syncRetryPause {50};

// Minimum time between two long polls; limits the call rate under constant changes.
constexpr milliseconds minSyncInterval {20};

constexpr milliseconds shutdownCheckInterval {20};

// While requests are queued, changed demand is reported at this interval, because the leader lends
// slots by demand every 100 ms.
constexpr milliseconds demandReportInterval {100};

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

class client_link : public control_link
{
public:
    client_link(wire::event_loop &loop, std::span<const voter_address> voters)
        : client_(loop, voters)
    {
    }

    void sync(const sync_request &request, completion<sync_response> done) override
    {
        client_.sync(request, std::move(done));
    }
    void submitJob(const std::string &key, const job_spec &spec, milliseconds deadline,
                   completion<job_id> done) override
    {
        client_.submitJob(key, spec, deadline, std::move(done));
    }
    void getJob(job_id id, milliseconds deadline, completion<job_view> done) override
    {
        client_.getJob(id, deadline, std::move(done));
    }
    void cancelJob(job_id id, milliseconds deadline, completion<std::monostate> done) override
    {
        client_.cancelJob(id, deadline, std::move(done));
    }
    void recordIntent(const intent_request &request, milliseconds deadline,
                      completion<intent_reply> done) override
    {
        client_.recordIntent(request, deadline, std::move(done));
    }
    void recordOutcome(const outcome_record &record, milliseconds deadline,
                       completion<std::monostate> done) override
    {
        client_.recordOutcome(record, deadline, std::move(done));
    }

private:
    wire::control_client client_;
};

class entry_program : public entry_server
{
public:
    entry_program(wire::event_loop &loop, const settings &values,
                  std::unique_ptr<control_link> link)
        : loop_(loop)
        , values_(values)
        , incarnation_(wallClockMs())
        , alive_(std::make_shared<bool>(true))
        , link_(std::move(link))
        , metrics_(entry_metrics::create())
        , state_({values.instanceId, incarnation_, values.httpListen, values.place})
        , proxy_(loop, values, *link_, *metrics_, incarnation_)
        , api_(loop, values, *link_, state_, incarnation_, hooks())
    {
    }

    ~entry_program() override
    {
        *alive_ = false;
        loop_.timers().cancel(demandTimer_);
        // Closing the listener blocks until all open requests are answered.
        proxy_.abandon();
        api_.abandon();
        server_.reset();
    }

    status open()
    {
        auto options = http::serverOptions(values_);
        options.refusalHeaders = {{"Persimmon-Outcome", "not_run"}};
        auto opened = http::server::listen(
                loop_, options,
                [this, alive = alive_](http::request request, const http::server::reply &reply) {
                    if (*alive)
                        handle(std::move(request), reply);
                });
        if (failed(opened))
            return errorOf(opened);
        server_ = std::move(valueOf(opened));
        logFor("entry")->info("listening on {}", values_.httpListen);
        longPoll();
        demandTimer_ = loop_.timers().every(demandReportInterval,
                                            [this](time_point) { reportDemand(); });
        return std::monostate {};
    }

    void beginShutdown(std::function<void()> done) override
    {
        shutdownDone_ = std::move(done);
        if (refusing_)
            finishShutdown(); // an operator drain has already started to refuse requests
        else
            drain();
    }

    void onDrain(std::function<void()> drain) override { onDrain_ = std::move(drain); }

private:
    api_hooks hooks()
    {
        api_hooks hooks;
        hooks.currentTables = [this]() -> const tables & { return proxy_.core().currentTables(); };
        hooks.leaseHeld = [this] { return proxy_.core().leaseHeld(loop_.now()); };
        hooks.stopping = [this] { return refusing_; };
        hooks.upstreamLeaving = [this](const announcement &announced) {
            proxy_.markLeaving({announced.id, announced.incarnation});
        };
        hooks.syncNow = [this] { syncNow(); };
        return hooks;
    }

    bool ready() const
    {
        return !draining_ && proxy_.core().leaseHeld(loop_.now()) && proxy_.core().version() > 0;
    }

    void handle(http::request request, const http::server::reply &reply)
    {
        if (request.path.starts_with("/v1/"))
            api_.handle(request, reply);
        else if (request.path == "/healthz")
            reply({200, "text/plain", {}, "ok\n"});
        else if (request.path == "/readyz")
            reply(readiness());
        else if (request.path == "/metrics")
            reply({200,
                   "text/plain; version=0.0.4",
                   {},
                   metrics_->render(snapshot()) + clientMetrics()});
        else
            proxy_.handle(std::move(request), reply);
    }

    http::response readiness() const
    {
        if (ready())
            return {200, "text/plain", {}, "ready\n"};
        if (draining_)
            return http::refusal({result_code::Stopping, "this instance is shutting down", {}, {}});
        return http::refusal({result_code::NotReady, "no configuration lease", {}, {}});
    }

    metrics_snapshot snapshot() const
    {
        const auto remaining = std::chrono::duration_cast<milliseconds>(leaseUntil_ - loop_.now());
        return {proxy_.core().counters(), std::max(remaining, milliseconds {0}), ready(),
                proxy_.core().version(), proxy_.core().demand()};
    }

    // Keeps one long poll in flight.
    void longPoll()
    {
        longPollOpen_ = true;
        longPollSentAt_ = loop_.now();
        startSync(values_.syncWait, [this](bool success) {
            longPollOpen_ = false;
            const auto earliest = longPollSentAt_ + minSyncInterval;
            const auto remaining = std::chrono::duration_cast<milliseconds>(earliest - loop_.now());
            const auto pause = success ? std::max(remaining, milliseconds {0}) : syncRetryPause;
            runAfter(pause, [this] { longPoll(); });
        });
    }

    // Sends urgent changes immediately, by a second call in parallel with the long poll.
    void syncNow()
    {
        if (urgentSyncOpen_)
            return;
        urgentSyncOpen_ = true;
        startSync(milliseconds {0}, [this](bool success) {
            urgentSyncOpen_ = false;
            if (state_.hasUrgent())
                runAfter(success ? milliseconds {0} : syncRetryPause, [this] {
                    if (state_.hasUrgent())
                        syncNow();
                });
        });
    }

    void reportDemand()
    {
        const auto demand = proxy_.core().demand();
        const bool waiting = std::ranges::any_of(
                demand, [](const pool_demand &item) { return item.queued > 0; });
        if (waiting && demand != state_.demand)
            syncNow();
    }

    void startSync(milliseconds wait, std::function<void(bool)> done)
    {
        state_.appliedVersion = proxy_.core().version();
        state_.demand = proxy_.core().demand();
        state_.stopping = draining_;
        auto [id, request] = state_.begin(loop_.now(), wait);
        link_->sync(request,
                    [this, alive = alive_, id = id,
                     done = std::move(done)](const result<sync_response> &answer) {
                        if (!*alive)
                            return;
                        const auto effects = state_.complete(loop_.now(), id, answer);
                        apply(effects);
                        done(!effects.failure && !effects.outdated);
                    });
    }

    void apply(const sync_effects &effects)
    {
        metrics_->countSync(!effects.failure);
        if (effects.failure.has_value() != syncFailing_) {
            syncFailing_ = effects.failure.has_value();
            if (syncFailing_)
                logFor("sync")->warn("sync call failed: {}", effects.failure->detail);
            else
                logFor("sync")->info("sync with the leader restored");
        }
        if (effects.outdated)
            logFor("sync")->info("ignored an outdated sync answer");
        if (effects.leaseUntil)
            leaseUntil_ = std::max(leaseUntil_, *effects.leaseUntil);
        proxy_.apply(effects);
        api_.acknowledge(effects.acknowledged);
        if (effects.drain && !draining_) {
            logFor("entry")->info("drain requested by an operator");
            if (onDrain_)
                onDrain_();
            else
                drain();
        }
    }

    void drain()
    {
        if (draining_)
            return;
        draining_ = true;
        logFor("entry")->info("shutting down: reporting not ready");
        syncNow();
        runAfter(values_.drainDelay, [this] {
            refusing_ = true;
            proxy_.beginDrain();
            finishShutdown();
        });
    }

    void finishShutdown()
    {
        if (!proxy_.idle() || !api_.idle()) {
            runAfter(shutdownCheckInterval, [this] { finishShutdown(); });
            return;
        }
        if (finished_ || !shutdownDone_)
            return;
        finished_ = true;
        logFor("entry")->info("all open requests are complete");
        shutdownDone_();
    }

    void runAfter(milliseconds delay, std::function<void()> work)
    {
        loop_.timers().after(delay, [alive = alive_, work = std::move(work)](time_point /*now*/) {
            if (*alive)
                work();
        });
    }

    wire::event_loop &loop_;
    const settings values_;
    std::uint64_t incarnation_;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<control_link> link_;
    std::unique_ptr<entry_metrics> metrics_;
    sync_state state_;
    proxy_service proxy_;
    api_service api_;
    std::unique_ptr<http::server> server_;
    std::function<void()> shutdownDone_;
    std::function<void()> onDrain_;
    timer_service::subscription demandTimer_ {};
    time_point leaseUntil_;
    time_point longPollSentAt_;
    bool longPollOpen_ = false;
    bool urgentSyncOpen_ = false;
    bool draining_ = false; // reported as not ready
    bool refusing_ = false; // new requests are refused
    bool finished_ = false;
    bool syncFailing_ = false;
};

} // namespace

result<std::unique_ptr<entry_server>> startEntry(wire::event_loop &loop, const settings &values,
                                                 std::unique_ptr<control_link> link)
{
    auto program = std::make_unique<entry_program>(loop, values, std::move(link));
    if (auto opened = program->open(); failed(opened))
        return errorOf(opened);
    return std::unique_ptr<entry_server>(std::move(program));
}

result<std::unique_ptr<entry_server>> entry_server::start(wire::event_loop &loop,
                                                          const settings &values)
{
    return startEntry(loop, values, std::make_unique<client_link>(loop, values.voters));
}

} // namespace persimmon::entry
