#include "apps/control_program.h"

#include "apps/control_metrics.h"
#include "apps/data_folder.h"
#include "apps/operator_api.h"
#include "apps/peer_transport.h"
#include "apps/rpc_server.h"
#include "apps/voter.h"
#include "apps/watched_storage.h"
#include "base/log.h"
#include "http/server.h"

#include <thread>

namespace persimmon::apps {

namespace {

constexpr milliseconds tickPeriod {10};

// Limit on the leadership transfer during a shutdown. An election takes two to three election
// time-outs of 300 ms.
constexpr milliseconds leadershipTransferTimeout {2000};

class program final : public control_program
{
public:
    program(wire::event_loop &loop, const settings &values)
        : loop_(loop)
        , transport_(loop, values)
    {
    }

    ~program() override
    {
        loop_.timers().cancel(tick_);
        if (shutdownThread_.joinable())
            shutdownThread_.join();
    }

    status open(const settings &values)
    {
        std::vector<std::uint32_t> configuredVoters;
        for (const auto &item : values.voters)
            configuredVoters.push_back(item.id);
        const auto initialVoters = loadInitialVoters(values.dataFolder, configuredVoters);
        if (failed(initialVoters))
            return errorOf(initialVoters);
        auto fileStorage
                = consensus::openFileStorage(values.dataFolder, [this](std::function<void()> work) {
                      loop_.post(std::move(work));
                  });
        if (failed(fileStorage))
            return errorOf(fileStorage);
        storage_ = std::make_unique<watched_storage>(
                std::move(valueOf(fileStorage)),
                [this](const error &reason) { onStorageFailure_(reason); });
        auto opened = voter::open(values, valueOf(initialVoters), loop_.timers(), *storage_,
                                  transport_);
        if (failed(opened))
            return errorOf(opened);
        voter_ = std::move(valueOf(opened));
        metrics_.setDroppedSource([this] { return transport_.dropped(); });
        voter_->observeCommits([this](double seconds) { metrics_.observeCommit(seconds); });
        return serve(values);
    }

    void beginShutdown(std::function<void()> done) override
    {
        if (stopping_)
            return;
        stopping_ = true;
        logFor("control")->info("shutting down");
        api_->beginShutdown();
        voter_->transferLeadership(leadershipTransferTimeout, [this, done = std::move(done)] {
            // close() waits for requests in progress, which need the event loop, so it runs on
            // another thread.
            shutdownThread_ = std::thread([this, done] {
                http_->close();
                loop_.post([done] {
                    logFor("control")->info("shut down");
                    done();
                });
            });
        });
    }

    void onDrain(std::function<void()> drain) override { onDrain_ = std::move(drain); }

    void onStorageFailure(std::function<void(const error &)> callback) override
    {
        onStorageFailure_ = std::move(callback);
    }

private:
    // Posted to the loop, so that the response is passed to the HTTP library first.
    void drain()
    {
        loop_.post([this] { onDrain_(); });
    }

    status serve(const settings &values)
    {
        rpc_hooks rpcHooks;
        rpcHooks.drain = [this] { drain(); };
        rpcHooks.observe = [this](std::string_view method, double seconds) {
            metrics_.observeCall(method, seconds);
        };
        auto rpc = rpc_server::listen(loop_, values.rpcListen, *voter_, std::move(rpcHooks));
        if (failed(rpc))
            return errorOf(rpc);
        rpc_ = std::move(valueOf(rpc));

        operator_hooks hooks;
        hooks.startShutdown = [this] { drain(); };
        hooks.drainVoter = [this](std::uint32_t id, const std::function<void(status)> &done) {
            transport_.requestDrain(id, done);
        };
        api_ = std::make_unique<operator_api>(*voter_, metrics_, std::move(hooks));
        auto serverOptions = http::serverOptions(values);
        serverOptions.watchesArrivals = true;
        auto listener = http::server::listen(
                loop_, serverOptions,
                [this](const http::request &request, const http::server::reply &reply) {
                    api_->handle(request, reply);
                });
        if (failed(listener))
            return errorOf(listener);
        http_ = std::move(valueOf(listener));
        tick_ = loop_.timers().every(tickPeriod, [this](time_point) { voter_->tick(); });
        logFor("operator")->info("listening on {}", values.httpListen);
        return std::monostate {};
    }

    wire::event_loop &loop_;
    control_metrics metrics_;
    peer_transport transport_;
    std::unique_ptr<consensus::storage> storage_;
    std::unique_ptr<voter> voter_;
    std::unique_ptr<operator_api> api_;
    std::unique_ptr<rpc_server> rpc_;
    std::unique_ptr<http::server> http_;
    timer_service::subscription tick_ {};
    std::function<void()> onDrain_ = [] {};
    std::function<void(const error &)> onStorageFailure_ = [](const error &) {};
    bool stopping_ = false;
    std::thread shutdownThread_;
};

} // namespace

result<std::unique_ptr<control_program>> control_program::start(wire::event_loop &loop,
                                                                const settings &values)
{
    auto started = std::make_unique<program>(loop, values);
    if (auto opened = started->open(values); failed(opened))
        return errorOf(opened);
    return std::unique_ptr<control_program>(std::move(started));
}

} // namespace persimmon::apps
