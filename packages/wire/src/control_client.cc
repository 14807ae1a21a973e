#include "wire/control_client.h"

#include "wire/convert.h"
#include "wire/rpc_connection.h"

#include <algorithm>
#include <vector>

namespace persimmon::wire {

namespace {

// Time after which a call to an unresponsive leader, such as a suspended process, is retried at the
// next voter.
constexpr milliseconds callTimeout {700};

// Delay before a retry, so that retries don't overload the voters during an election.
constexpr milliseconds retryDelay {25};

using connection = rpc_connection<schema::Control>;

// Response of one voter, with its leader hint.
template <typename Value>
struct voter_response
{
    result<Value> value;
    std::uint32_t leaderHint = 0;
};

struct voter
{
    voter_address address;
    std::shared_ptr<connection> openConnection;
};

// One call across its attempts.
template <typename Value>
struct call
{
    std::function<kj::Promise<voter_response<Value>>(schema::Control::Client &)> attempt;
    control_client::completion<Value> done;
    time_point deadline;
    milliseconds timeout = callTimeout;
};

bool isFromLeader(result_code code)
{
    return code != result_code::NotLeader && code != result_code::NoQuorum;
}

template <typename Value, typename Response>
voter_response<Value> failureOr(Response &response, Value value)
{
    auto failure = read(response.getError());
    if (failure.code != result_code::Ok)
        return {std::move(failure), response.getLeaderHint()};
    return {std::move(value), response.getLeaderHint()};
}

template <typename Response>
voter_response<std::monostate> emptyResponse(Response &response)
{
    return failureOr<std::monostate>(response, std::monostate {});
}

} // namespace

class control_client::implementation
{
public:
    implementation(event_loop &loop, std::span<const voter_address> voters)
        : loop_(loop)
    {
        for (const auto &address : voters)
            voters_.push_back({address, nullptr});
    }

    template <typename Value>
    void start(call<Value> request)
    {
        loop_.detach(attempt(std::make_shared<call<Value>>(std::move(request))));
    }

    template <typename Value>
    call<Value> newCall(completion<Value> done, milliseconds deadline)
    {
        call<Value> request;
        request.done = std::move(done);
        request.deadline = loop_.now() + deadline;
        return request;
    }

private:
    template <typename Value>
    kj::Promise<void> attempt(std::shared_ptr<call<Value>> request)
    {
        const auto target = leader_;
        auto &timer = loop_.io().provider->getTimer();
        const auto timeout = toKj(request->timeout);
        auto responsePromise
                = connect(target).then([request](std::shared_ptr<connection> openConnection) {
                      auto responsePromise = request->attempt(openConnection->remote);
                      return responsePromise.attach(std::move(openConnection));
                  });
        return timer.timeoutAfter(timeout, kj::mv(responsePromise))
                .then(
                        [this, request, target](voter_response<Value> answer) {
                            return finish(request, target, std::move(answer));
                        },
                        [this, request, target](kj::Exception &&failure) {
                            voters_[target].openConnection = nullptr;
                            error reason {result_code::RpcFailed,
                                          failure.getDescription().cStr(),
                                          {},
                                          {}};
                            return finish<Value>(request, target, {std::move(reason), 0});
                        });
    }

    template <typename Value>
    kj::Promise<void> finish(std::shared_ptr<call<Value>> request, std::size_t target,
                             voter_response<Value> answer)
    {
        const bool retryable = failed(answer.value)
                && (errorOf(answer.value).code == result_code::RpcFailed
                    || !isFromLeader(errorOf(answer.value).code));
        if (!retryable) {
            request->done(std::move(answer.value));
            return kj::READY_NOW;
        }
        selectNextVoter(target, answer.leaderHint);
        if (loop_.now() + retryDelay >= request->deadline) {
            request->done(std::move(answer.value));
            return kj::READY_NOW;
        }
        return loop_.io().provider->getTimer().afterDelay(toKj(retryDelay)).then([this, request] {
            return attempt(request);
        });
    }

    // Selects the next voter, unless another call has already replaced the failed one.
    void selectNextVoter(std::size_t failedTarget, std::uint32_t leaderHint)
    {
        if (leader_ != failedTarget)
            return;
        const auto matches
                = [leaderHint](const voter &item) { return item.address.id == leaderHint; };
        const auto hinted = std::ranges::find_if(voters_, matches);
        const auto position = static_cast<std::size_t>(hinted - voters_.begin());
        if (hinted != voters_.end() && position != failedTarget)
            leader_ = position;
        else
            leader_ = (failedTarget + 1) % voters_.size();
    }

    kj::Promise<std::shared_ptr<connection>> connect(std::size_t target)
    {
        if (voters_[target].openConnection != nullptr)
            return voters_[target].openConnection;
        auto &network = loop_.io().provider->getNetwork();
        return network.parseAddress(voters_[target].address.rpc)
                .then([](kj::Own<kj::NetworkAddress> address) {
                    return address->connect().attach(kj::mv(address));
                })
                .then([this, target](kj::Own<kj::AsyncIoStream> stream) {
                    if (voters_[target].openConnection == nullptr)
                        voters_[target].openConnection
                                = std::make_shared<connection>(kj::mv(stream));
                    return voters_[target].openConnection;
                });
    }

    event_loop &loop_;
    std::vector<voter> voters_;
    std::size_t leader_ = 0;
};

control_client::control_client(event_loop &loop, std::span<const voter_address> voters)
    : implementation_(std::make_unique<implementation>(loop, voters))
{
}

control_client::~control_client() = default;

void control_client::sync(const sync_request &request, completion<sync_response> done)
{
    auto pending = implementation_->newCall(std::move(done), milliseconds {0});
    pending.timeout = request.wait + callTimeout;
    pending.attempt = [request](schema::Control::Client &control) {
        auto message = control.syncRequest();
        write(message.initRequest(), request);
        return message.send().then([](auto &&response) {
            auto value = read(response.getResponse());
            const auto hint = value.leaderHint;
            if (value.failure.code != result_code::Ok)
                return voter_response<sync_response> {value.failure, hint};
            return voter_response<sync_response> {std::move(value), hint};
        });
    };
    implementation_->start(std::move(pending));
}

void control_client::submitJob(const std::string &key, const job_spec &spec, milliseconds deadline,
                               completion<job_id> done)
{
    auto pending = implementation_->newCall(std::move(done), deadline);
    pending.attempt = [key, spec](schema::Control::Client &control) {
        auto message = control.submitJobRequest();
        message.setWorkspaceKey(toText(key));
        write(message.initSpec(), spec);
        return message.send().then([](auto &&response) {
            return failureOr(response, static_cast<job_id>(response.getId()));
        });
    };
    implementation_->start(std::move(pending));
}

void control_client::getJob(job_id id, milliseconds deadline, completion<job_view> done)
{
    auto pending = implementation_->newCall(std::move(done), deadline);
    pending.attempt = [id](schema::Control::Client &control) {
        auto message = control.getJobRequest();
        message.setId(toNumber(id));
        return message.send().then(
                [](auto &&response) { return failureOr(response, read(response.getJob())); });
    };
    implementation_->start(std::move(pending));
}

void control_client::cancelJob(job_id id, milliseconds deadline, completion<std::monostate> done)
{
    auto pending = implementation_->newCall(std::move(done), deadline);
    pending.attempt = [id](schema::Control::Client &control) {
        auto message = control.cancelJobRequest();
        message.setId(toNumber(id));
        return message.send().then([](auto &&response) { return emptyResponse(response); });
    };
    implementation_->start(std::move(pending));
}

void control_client::recordIntent(const intent_request &request, milliseconds deadline,
                                  completion<intent_reply> done)
{
    auto pending = implementation_->newCall(std::move(done), deadline);
    pending.attempt = [request](schema::Control::Client &control) {
        auto message = control.recordIntentRequest();
        message.setWorkspace(toText(request.key.workspace));
        message.setKey(toText(request.key.key));
        message.setDigest(request.digest);
        message.setEntryId(toText(request.entryId));
        message.setEntryIncarnation(request.entryIncarnation);
        return message.send().then([](auto &&response) {
            intent_reply reply {static_cast<intent_decision>(response.getDecision()),
                                response.getAttempt(),
                                static_cast<request_outcome>(response.getOutcome()),
                                read(response.getAnswer())};
            return failureOr(response, std::move(reply));
        });
    };
    implementation_->start(std::move(pending));
}

void control_client::recordOutcome(const outcome_record &record, milliseconds deadline,
                                   completion<std::monostate> done)
{
    auto pending = implementation_->newCall(std::move(done), deadline);
    pending.attempt = [record](schema::Control::Client &control) {
        auto message = control.recordOutcomeRequest();
        message.setWorkspace(toText(record.key.workspace));
        message.setKey(toText(record.key.key));
        message.setAttempt(record.attempt);
        message.setOutcome(static_cast<std::uint8_t>(record.outcome));
        write(message.initAnswer(), record.stored);
        return message.send().then([](auto &&response) { return emptyResponse(response); });
    };
    implementation_->start(std::move(pending));
}

} // namespace persimmon::wire
