#include "apps/operator_client.h"

#include "http/server.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <optional>
#include <thread>

namespace persimmon::apps {

namespace {

using std::chrono::steady_clock;

constexpr milliseconds retryPause {50};

// The library starts 40 threads by default.
constexpr std::size_t threadCount = 2;

std::string headerOf(const web::http::http_response &response, const std::string &name)
{
    const auto found = response.headers().find(name);
    return found == response.headers().end() ? std::string {} : found->second;
}

bool goesToNextVoter(result_code code)
{
    return code == result_code::NotLeader || code == result_code::NoQuorum
            || code == result_code::Stopping;
}

class rest_client final : public operator_client
{
public:
    explicit rest_client(std::vector<std::string> voters)
        : voters_(std::move(voters))
    {
        http::startThreads(threadCount);
    }

    result<operator_answer> ask(const std::string &address, const operator_call &call,
                                milliseconds timeout) override
    {
        try {
            web::http::client::http_client_config config;
            config.set_timeout(timeout);
            // A new client for each call, because the library resends by itself on a kept-alive
            // connection that was closed.
            web::http::client::http_client client("http://" + address, config);
            web::http::http_request request(call.method);
            request.set_request_uri(call.path);
            for (const auto &[name, value] : call.headers)
                request.headers().add(name, value);
            if (!call.body.empty())
                request.set_body(call.body);
            const auto response = client.request(request).get();
            return operator_answer {response.status_code(), headerOf(response, "ETag"),
                                    headerOf(response, "Persimmon-Leader"),
                                    response.extract_utf8string(true).get()};
        } catch (const std::exception &failure) {
            return error {result_code::RpcFailed, address + ": " + failure.what(), {}, {}};
        }
    }

    result<operator_answer> callLeader(const operator_call &call, milliseconds timeout) override
    {
        const auto deadline = steady_clock::now() + timeout;
        std::optional<error> refusal;
        while (true) {
            const auto left
                    = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
            const auto limit = std::min(left, call.attemptTimeout);
            auto answer = ask(voters_[leader_], call, std::max(limit, milliseconds {1}));
            if (!failed(answer) && valueOf(answer).status < 400)
                return answer;
            const auto reason = failed(answer) ? errorOf(answer) : readRefusal(valueOf(answer));
            const bool busy = call.waitsForOthers && reason.code == result_code::InProgress;
            if (!failed(answer) && !busy && !goesToNextVoter(reason.code))
                return answer;
            if (!failed(answer))
                refusal = reason;
            if (!busy)
                moveOn(failed(answer) ? std::string {} : valueOf(answer).leader);
            if (steady_clock::now() + retryPause >= deadline)
                return refusal.value_or(reason);
            std::this_thread::sleep_for(retryPause);
        }
    }

private:
    // Chooses the hinted voter, also one that was not named on the command line, or the next one.
    void moveOn(const std::string &hint)
    {
        const auto known = std::ranges::find(voters_, hint);
        const auto position = static_cast<std::size_t>(known - voters_.begin());
        if (hint.empty() || position == leader_) {
            leader_ = (leader_ + 1) % voters_.size();
            return;
        }
        if (known == voters_.end())
            voters_.push_back(hint);
        leader_ = position;
    }

    std::vector<std::string> voters_;
    std::size_t leader_ = 0;
};

} // namespace

std::unique_ptr<operator_client> operator_client::create(std::vector<std::string> voters)
{
    return std::make_unique<rest_client>(std::move(voters));
}

error readRefusal(const operator_answer &answer)
{
    std::error_code failure;
    const auto json = web::json::value::parse(answer.body, failure);
    if (failure || !json.is_object() || !json.has_number_field("code"))
        return {result_code::Internal,
                "the voter answered status " + std::to_string(answer.status),
                {},
                {}};
    const auto textOf = [&json](const std::string &name) {
        return json.has_string_field(name) ? json.at(name).as_string() : std::string {};
    };
    return {static_cast<result_code>(json.at("code").as_integer()), textOf("detail"),
            textOf("field"), milliseconds {0}};
}

} // namespace persimmon::apps
