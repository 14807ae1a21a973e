#include "apps/operator_client.h"

#include "http/server.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <optional>
#include <thread>

namespace persimmon::apps {

namespace {

using std::chrono::steady_clock;

constexpr milliseconds retryDelay {50};

// The library starts 40 threads by default.
constexpr std::size_t clientThreadCount = 2;

std::string headerOf(const web::http::http_response &response, const std::string &name)
{
    const auto found = response.headers().find(name);
    return found == response.headers().end() ? std::string {} : found->second;
}

bool shouldTryNextVoter(result_code code)
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
        http::startThreads(clientThreadCount);
    }

    result<operator_answer> callVoter(const std::string &address, const operator_call &call,
                                      milliseconds timeout) override
    {
        try {
            web::http::client::http_client_config config;
            config.set_timeout(timeout);
            // Each request uses a new client, because the library silently resends on a keep-alive
            // connection that the server has closed.
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
        std::optional<error> lastError;
        while (true) {
            const auto left
                    = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
            const auto limit = std::min(left, call.attemptTimeout);
            auto answer = callVoter(voters_[leaderIndex_], call, std::max(limit, milliseconds {1}));
            if (!failed(answer) && valueOf(answer).status < 400)
                return answer;
            const auto reason = failed(answer) ? errorOf(answer) : readRefusal(valueOf(answer));
            const bool inProgress = call.retryInProgress && reason.code == result_code::InProgress;
            if (!failed(answer) && !inProgress && !shouldTryNextVoter(reason.code))
                return answer;
            if (!failed(answer))
                lastError = reason;
            if (!inProgress)
                selectNextVoter(failed(answer) ? std::string {} : valueOf(answer).leader);
            if (steady_clock::now() + retryDelay >= deadline)
                return lastError.value_or(reason);
            std::this_thread::sleep_for(retryDelay);
        }
    }

private:
    // Selects the hinted voter, even if it was not given on the command line, or the next one.
    void selectNextVoter(const std::string &hint)
    {
        const auto hinted = std::ranges::find(voters_, hint);
        const auto index = static_cast<std::size_t>(hinted - voters_.begin());
        if (hint.empty() || index == leaderIndex_) {
            leaderIndex_ = (leaderIndex_ + 1) % voters_.size();
            return;
        }
        if (hinted == voters_.end())
            voters_.push_back(hint);
        leaderIndex_ = index;
    }

    std::vector<std::string> voters_;
    std::size_t leaderIndex_ = 0;
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
                "unexpected response with status " + std::to_string(answer.status),
                {},
                {}};
    const auto textOf = [&json](const std::string &name) {
        return json.has_string_field(name) ? json.at(name).as_string() : std::string {};
    };
    return {static_cast<result_code>(json.at("code").as_integer()), textOf("detail"),
            textOf("field"), milliseconds {0}};
}

} // namespace persimmon::apps
