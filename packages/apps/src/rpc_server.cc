#include "apps/rpc_server.h"

#include "base/log.h"
#include "wire/convert.h"
#include "wire/rpc_listener.h"

namespace persimmon::apps {

namespace {

using namespace wire;

// Adapts a callback-based coordinator call to a promise. The value is held on the heap because g++
// 12 reports a variant inside kj::Maybe as uninitialized.
template <typename Value, typename Start>
kj::Promise<kj::Own<Value>> toPromise(Start start)
{
    auto pair = kj::newPromiseAndFulfiller<kj::Own<Value>>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<kj::Own<Value>>>>(
            kj::mv(pair.fulfiller));
    start([fulfiller](Value value) { (*fulfiller)->fulfill(kj::heap<Value>(std::move(value))); });
    return kj::mv(pair.promise);
}

class voter_service final : public schema::Voter::Server
{
public:
    voter_service(voter &target, rpc_hooks hooks)
        : voter_(target)
        , hooks_(std::move(hooks))
    {
    }

    kj::Promise<void> sync(SyncContext context) override
    {
        const auto started = voter_.now();
        if (const auto ready = voter_.checkReads(); failed(ready)) {
            fail(context.getResults().initResponse(), errorOf(ready));
            return kj::READY_NOW;
        }
        const auto request = read(context.getParams().getRequest());
        return toPromise<sync_response>([&](auto done) {
                   voter_.coordinator().sync(started, request, std::move(done));
               })
                .then([this, context, started](kj::Own<sync_response> answer) mutable {
                    hooks_.observe("sync", secondsSince(started));
                    // The leader may lose its lease while a long-polling call is pending. The
                    // response would renew the entry's lease, so an error is sent instead.
                    if (const auto ready = voter_.checkReads(); failed(ready))
                        fail(context.getResults().initResponse(), errorOf(ready));
                    else
                        write(context.getResults().initResponse(), *answer);
                });
    }

    kj::Promise<void> submitJob(SubmitJobContext context) override
    {
        const auto params = context.getParams();
        const auto key = toString(params.getWorkspaceKey());
        const auto spec = read(params.getSpec());
        return callCoordinator<job_id>(
                "submitJob", context,
                [&](auto done) {
                    voter_.coordinator().submitJob(voter_.now(), key, spec, std::move(done));
                },
                [](auto results, job_id id) { results.setId(toNumber(id)); });
    }

    kj::Promise<void> getJob(GetJobContext context) override
    {
        auto results = context.getResults();
        if (const auto ready = voter_.checkReads(); failed(ready)) {
            fail(results, errorOf(ready));
            return kj::READY_NOW;
        }
        const auto found
                = voter_.ledger().findJob(static_cast<job_id>(context.getParams().getId()));
        if (found)
            write(results.initJob(), *found);
        else
            write(results.initError(), error {result_code::NotFound, "no such job", "id", {}});
        return kj::READY_NOW;
    }

    kj::Promise<void> cancelJob(CancelJobContext context) override
    {
        const auto id = static_cast<job_id>(context.getParams().getId());
        return callCoordinator<std::monostate>(
                "cancelJob", context,
                [&](auto done) {
                    voter_.coordinator().cancelJob(voter_.now(), id, std::move(done));
                },
                [](auto, std::monostate) {});
    }

    kj::Promise<void> recordIntent(RecordIntentContext context) override
    {
        const auto params = context.getParams();
        const intent_request request {{toString(params.getWorkspace()), toString(params.getKey())},
                                      params.getDigest(),
                                      toString(params.getEntryId()),
                                      params.getEntryIncarnation()};
        return callCoordinator<intent_reply>(
                "recordIntent", context,
                [&](auto done) {
                    voter_.coordinator().recordIntent(voter_.now(), request, std::move(done));
                },
                [](auto results, const intent_reply &reply) {
                    results.setDecision(static_cast<schema::IntentDecision>(reply.decision));
                    results.setAttempt(reply.attempt);
                    results.setOutcome(static_cast<std::uint8_t>(reply.outcome));
                    write(results.initAnswer(), reply.stored);
                });
    }

    kj::Promise<void> recordOutcome(RecordOutcomeContext context) override
    {
        const auto params = context.getParams();
        const outcome_record record {{toString(params.getWorkspace()), toString(params.getKey())},
                                     params.getAttempt(),
                                     static_cast<request_outcome>(params.getOutcome()),
                                     read(params.getAnswer())};
        return callCoordinator<std::monostate>(
                "recordOutcome", context,
                [&](auto done) {
                    voter_.coordinator().recordOutcome(voter_.now(), record, std::move(done));
                },
                [](auto, std::monostate) {});
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const auto started = voter_.now();
        const auto message = context.getParams().getMessage();
        voter_.receive({reinterpret_cast<const std::byte *>(message.begin()), message.size()});
        hooks_.observe("deliver", secondsSince(started));
        return kj::READY_NOW;
    }

    kj::Promise<void> drain(DrainContext) override
    {
        hooks_.drain();
        return kj::READY_NOW;
    }

private:
    double secondsSince(time_point started) const
    {
        return std::chrono::duration<double>(voter_.now() - started).count();
    }

    template <typename Results>
    void fail(Results results, const error &reason) const
    {
        write(results.initError(), reason);
        results.setLeaderHint(voter_.leaderHint());
    }

    // Runs a call on the leader's coordinator and writes its result or its error.
    template <typename Value, typename Context, typename Start, typename WriteResult>
    kj::Promise<void> callCoordinator(std::string_view method, Context context, Start start,
                                      WriteResult writeResult)
    {
        if (const auto ready = voter_.checkLeadership(); failed(ready)) {
            fail(context.getResults(), errorOf(ready));
            return kj::READY_NOW;
        }
        const auto started = voter_.now();
        return toPromise<result<Value>>(start).then(
                [this, method, context, started,
                 writeResult](kj::Own<result<Value>> outcome) mutable {
                    hooks_.observe(method, secondsSince(started));
                    if (failed(*outcome))
                        fail(context.getResults(), errorOf(*outcome));
                    else
                        writeResult(context.getResults(), valueOf(*outcome));
                });
    }

    voter &voter_;
    rpc_hooks hooks_;
};

class voter_server final : public rpc_server
{
public:
    explicit voter_server(std::unique_ptr<wire::rpc_listener> opened)
        : listener_(std::move(opened))
    {
    }

private:
    std::unique_ptr<wire::rpc_listener> listener_;
};

} // namespace

result<std::unique_ptr<rpc_server>> rpc_server::listen(wire::event_loop &loop,
                                                       const std::string &address, voter &target,
                                                       rpc_hooks hooks)
{
    auto opened = wire::rpc_listener::listen(loop, address,
                                             kj::heap<voter_service>(target, std::move(hooks)));
    if (failed(opened))
        return errorOf(opened);
    logFor("rpc")->info("listening on {}", address);
    return std::unique_ptr<rpc_server>(std::make_unique<voter_server>(std::move(valueOf(opened))));
}

} // namespace persimmon::apps
