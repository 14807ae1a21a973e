#include "upstream_client.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <condition_variable>
#include <map>
#include <mutex>

namespace persimmon::entry {

namespace {

using web::http::client::http_client;

// Attempts are cancelled at their deadline; this time-out only covers a lost cancellation.
constexpr std::chrono::minutes clientTimeout {30};

constexpr std::size_t readChunkBytes = 16384;

// Message of the only failure that proves that nothing was written. The library has no separate
// error code for it: a failed write of the header is reported with the same code.
constexpr std::string_view connectFailurePrefix = "Failed to connect to any resolved endpoint";

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return lower;
}

std::vector<std::string> listItems(std::string_view list)
{
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto item = lowerCase(list.substr(0, comma));
        std::erase_if(item, [](char c) { return c == ' ' || c == '\t'; });
        items.push_back(std::move(item));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return items;
}

// State of one attempt, shared by the continuations of its task.
struct exchange
{
    std::string method;
    std::uint64_t limit = 0;
    std::shared_ptr<http_client> client;
    pplx::cancellation_token_source cancellation;
    web::http::http_response response;
    concurrency::streams::container_buffer<std::string> body;
    std::size_t received = 0; // body bytes read; the buffer may be larger
};

web::http::http_request toMessage(const outgoing_request &request)
{
    web::http::http_request message(request.method);
    message.set_request_uri(request.target);
    for (const auto &field : request.headers)
        message.headers().add(field.name, field.value);
    const auto type = message.headers().content_type();
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        message.set_body(request.body, type);
        if (type.empty())
            message.headers().remove("Content-Type");
    }
    return message;
}

bool hasNoBody(const exchange &item)
{
    const auto status = item.response.status_code();
    return item.method == "HEAD" || status == 204 || status == 304;
}

// Returns whether the answer is delimited by exactly one length or by chunked encoding.
bool hasFraming(const web::http::http_headers &headers)
{
    const auto length = headers.find("Content-Length");
    const auto encoding = headers.find("Transfer-Encoding");
    const bool chunked
            = encoding != headers.end() && lowerCase(encoding->second).ends_with("chunked");
    if (length == headers.end())
        return chunked;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    return encoding == headers.end() && !length->second.empty() && length->second.size() <= 18
            && std::ranges::all_of(length->second, isDigit);
}

// Reads the body; the value is false when it exceeds the limit.
pplx::task<bool> readBody(const std::shared_ptr<exchange> &item)
{
    return item->response.body().read(item->body, readChunkBytes).then([item](std::size_t count) {
        item->received += count;
        if (item->received > item->limit)
            return pplx::task_from_result(false);
        if (count == 0)
            return pplx::task_from_result(true);
        return readBody(item);
    });
}

attempt_answer toAnswer(exchange &item, bool withinLimit)
{
    attempt_answer answer;
    answer.status = item.response.status_code();
    const auto &headers = item.response.headers();
    answer.body = std::move(item.body.collection());
    answer.body.resize(item.received);
    const auto length = headers.find("Content-Length");
    const bool bodyAfterNoContent = item.response.status_code() == 204
            && (headers.has("Transfer-Encoding")
                || (length != headers.end() && length->second != "0"));
    if (!withinLimit) {
        answer.end = attempt_end::TooLarge;
    } else if (bodyAfterNoContent
               || (!hasNoBody(item)
                   && (!hasFraming(headers)
                       || (length != headers.end()
                           && std::stoull(length->second) != answer.body.size())))) {
        answer.end = attempt_end::Incomplete;
        answer.detail = "the end of the answer can't be determined";
    } else {
        answer.end = attempt_end::Answered;
        std::vector<http::header> all;
        for (const auto &[name, value] : headers)
            all.push_back({name, value});
        answer.headers = endToEnd(all);
        std::erase_if(answer.headers, [&answer](const http::header &field) {
            const bool isType = lowerCase(field.name) == "content-type";
            if (isType)
                answer.contentType = field.value;
            return isType;
        });
    }
    return answer;
}

attempt_answer failureOf(const std::exception &failure, bool headersReceived)
{
    attempt_answer answer;
    answer.detail = failure.what();
    if (headersReceived)
        answer.end = attempt_end::Incomplete;
    else if (answer.detail.starts_with(connectFailurePrefix))
        answer.end = attempt_end::NotConnected;
    else
        answer.end = attempt_end::Lost;
    return answer;
}

class rest_upstream_client : public upstream_client
{
public:
    rest_upstream_client(wire::event_loop &loop, std::uint64_t maxBodyBytes)
        : loop_(loop)
        , maxBodyBytes_(maxBodyBytes)
        , alive_(std::make_shared<bool>(true))
    {
    }

    ~rest_upstream_client() override
    {
        *alive_ = false;
        for (auto &[ref, item] : running_)
            item->cancellation.cancel();
        std::unique_lock lock(mutex_);
        attemptEnded_.wait(lock, [this] { return openAttempts_ == 0; });
    }

    void send(attempt_ref ref, const std::string &address, bool singleUse,
              const outgoing_request &request, completion done) override
    {
        auto item = std::make_shared<exchange>();
        item->method = request.method;
        item->limit = maxBodyBytes_;
        running_[ref] = item;
        {
            const std::scoped_lock lock(mutex_);
            ++openAttempts_;
        }
        try {
            // On a shared connection, a body after the answer to HEAD would be parsed as the next
            // answer.
            const bool ownClient = singleUse || request.method == "HEAD";
            item->client = ownClient ? newClient(address) : sharedClient(address);
            start(ref, item, toMessage(request), done);
        } catch (const std::exception &failure) {
            // The address or a header field is invalid; nothing was sent.
            auto answer = failureOf(failure, false);
            answer.end = attempt_end::NotConnected;
            report(ref, std::move(answer), std::move(done));
        }
    }

    void cancel(attempt_ref ref) override
    {
        if (const auto found = running_.find(ref); found != running_.end())
            found->second->cancellation.cancel();
    }

    void closeIdle(time_point usedBefore) override
    {
        std::erase_if(shared_,
                      [&](const auto &client) { return client.second.usedAt < usedBefore; });
    }

private:
    struct shared_client
    {
        std::shared_ptr<http_client> client;
        time_point usedAt;
    };

    static std::shared_ptr<http_client> newClient(const std::string &address)
    {
        web::http::client::http_client_config config;
        config.set_timeout(clientTimeout);
        // Redirects are left to the caller; the library would follow them by a second request.
        config.set_max_redirects(0);
        return std::make_shared<http_client>("http://" + address, config);
    }

    std::shared_ptr<http_client> sharedClient(const std::string &address)
    {
        auto &entry = shared_[address];
        if (entry.client == nullptr)
            entry.client = newClient(address);
        entry.usedAt = loop_.now();
        return entry.client;
    }

    // Prevents reuse of a client's connections. After an incomplete answer the rest of it may still
    // arrive, and the library would parse it as the next answer.
    void discardSharedClient(const std::shared_ptr<http_client> &client)
    {
        std::erase_if(shared_, [&](const auto &entry) { return entry.second.client == client; });
    }

    void start(attempt_ref ref, const std::shared_ptr<exchange> &item,
               const web::http::http_request &message, const completion &done)
    {
        const auto received = std::make_shared<bool>(false);
        item->client->request(message, item->cancellation.get_token())
                .then([item, received](const web::http::http_response &response) {
                    *received = true;
                    item->response = response;
                    return readBody(item);
                })
                .then([this, ref, item, received, done](const pplx::task<bool> &end) {
                    attempt_answer answer;
                    try {
                        const bool withinLimit = end.get();
                        answer = toAnswer(*item, withinLimit);
                        if (!withinLimit)
                            item->cancellation.cancel();
                    } catch (const std::exception &failure) {
                        answer = failureOf(failure, *received);
                    }
                    report(ref, std::move(answer), done);
                });
    }

    // Posts the result to the loop. Runs on any thread.
    void report(attempt_ref ref, attempt_answer answer, completion done)
    {
        auto shared = std::make_shared<attempt_answer>(std::move(answer));
        loop_.post([this, alive = alive_, ref, shared, done = std::move(done)] {
            if (!*alive)
                return;
            const auto ended = running_.extract(ref);
            const auto end = shared->end;
            if (end != attempt_end::Answered && end != attempt_end::NotConnected)
                discardSharedClient(ended.mapped()->client);
            done(std::move(*shared));
        });
        const std::scoped_lock lock(mutex_);
        --openAttempts_;
        attemptEnded_.notify_all();
    }

    wire::event_loop &loop_;
    std::uint64_t maxBodyBytes_;
    std::map<std::string, shared_client> shared_;
    std::map<attempt_ref, std::shared_ptr<exchange>> running_;
    std::shared_ptr<bool> alive_; // accessed only on the loop's thread
    std::mutex mutex_;
    std::condition_variable attemptEnded_;
    std::size_t openAttempts_ = 0;
};

} // namespace

std::vector<http::header> endToEnd(const std::vector<http::header> &headers)
{
    static constexpr std::array<std::string_view, 11> hopByHopFields {"connection",
                                                                      "keep-alive",
                                                                      "proxy-authenticate",
                                                                      "proxy-authorization",
                                                                      "te",
                                                                      "proxy-connection",
                                                                      "trailer",
                                                                      "transfer-encoding",
                                                                      "upgrade",
                                                                      "content-length",
                                                                      "expect"};
    std::vector<std::string> named;
    for (const auto &field : headers) {
        if (lowerCase(field.name) == "connection")
            named = listItems(field.value);
    }
    std::vector<http::header> kept;
    for (const auto &field : headers) {
        const auto name = lowerCase(field.name);
        if (std::ranges::find(hopByHopFields, name) == hopByHopFields.end()
            && std::ranges::find(named, name) == named.end())
            kept.push_back(field);
    }
    return kept;
}

std::unique_ptr<upstream_client> upstream_client::create(wire::event_loop &loop,
                                                         std::uint64_t maxBodyBytes)
{
    return std::make_unique<rest_upstream_client>(loop, maxBodyBytes);
}

} // namespace persimmon::entry
