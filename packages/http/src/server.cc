#include "http/server.h"

#include "base/log.h"

#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

namespace persimmon::http {

namespace {

using web::http::http_request;
using web::http::http_response;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto same = [](char a, char b) { return std::tolower(a) == std::tolower(b); };
    return std::ranges::equal(left, right, same);
}

void sendResponse(const http_request &message, response answer)
{
    http_response reply(static_cast<web::http::status_code>(answer.status));
    reply.set_body(std::move(answer.body), answer.contentType);
    if (answer.contentType.empty())
        reply.headers().remove("Content-Type");
    for (const auto &field : answer.headers)
        reply.headers().add(field.name, field.value);
    // If the caller has disconnected, the library reports a failed task, which needs no handling.
    message.reply(reply).then([](const pplx::task<void> &done) {
        try {
            done.get();
        } catch (const std::exception &failure) {
            logFor("http")->debug("response not delivered: {}", failure.what());
        }
    });
}

// Checks the header fields before the body is read.
std::optional<error> checkHeaders(const web::http::http_headers &headers,
                                  const server_options &options)
{
    std::uint64_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size();
    if (bytes > options.maxHeaderBytes)
        return error {result_code::HeadersTooLarge,
                      "header fields exceed " + std::to_string(options.maxHeaderBytes) + " bytes",
                      {},
                      {}};
    const bool chunked = headers.has("Transfer-Encoding");
    if (!headers.has("Content-Length"))
        return std::nullopt;
    const auto length = headers.find("Content-Length")->second;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    // If the length is repeated, the library keeps only the last one and reads the body by it, so
    // repeated lengths can't be refused here; the forwarded request gets a single length of its
    // own.
    if (chunked || length.empty() || length.size() > 18 || !std::ranges::all_of(length, isDigit))
        return error {result_code::AmbiguousFraming,
                      "must have one decimal Content-Length or chunked encoding, not both",
                      "Content-Length",
                      {}};
    if (std::stoull(length) > options.maxBodyBytes)
        return error {result_code::BodyTooLarge,
                      "body exceeds " + std::to_string(options.maxBodyBytes) + " bytes",
                      {},
                      {}};
    return std::nullopt;
}

constexpr std::size_t readChunkBytes = 16384;

struct body_reader
{
    concurrency::streams::istream stream;
    concurrency::streams::container_buffer<std::string> buffer;
    std::uint64_t limit = 0;
    std::size_t received = 0; // body bytes read; the buffer may be larger
};

// Reads a body; the task's value is false when the body exceeds the limit.
pplx::task<bool> readBody(const std::shared_ptr<body_reader> &reader)
{
    return reader->stream.read(reader->buffer, readChunkBytes).then([reader](std::size_t count) {
        reader->received += count;
        if (reader->received > reader->limit)
            return pplx::task_from_result(false);
        if (count == 0)
            return pplx::task_from_result(true);
        return readBody(reader);
    });
}

request toRequest(const http_request &message, std::string body)
{
    request converted;
    converted.method = message.method();
    const auto uri = message.relative_uri();
    converted.path = web::uri::decode(uri.path());
    converted.rawPath = uri.path();
    converted.query = uri.query();
    for (const auto &[name, value] : message.headers())
        converted.headers.push_back({name, value});
    converted.body = std::move(body);
    return converted;
}

class rest_server : public server
{
public:
    rest_server(wire::event_loop &loop, server_options options, handler onRequest)
        : loop_(loop)
        , options_(std::move(options))
        , onRequest_(std::move(onRequest))
    {
    }

    ~rest_server() override { rest_server::close(); }

    status open()
    {
        startThreads(options_.threads);
        web::http::experimental::listener::http_listener_config config;
        config.set_timeout(std::chrono::duration_cast<utility::seconds>(options_.timeout));
        try {
            listener_ = web::http::experimental::listener::http_listener(
                    "http://" + options_.address + "/", config);
            const auto handle = [this](const http_request &message) { receive(message); };
            listener_.support(handle);
            // Without handlers of their own, the library answers these two methods by itself.
            listener_.support(web::http::methods::OPTIONS, handle);
            listener_.support(web::http::methods::TRCE, handle);
            listener_.open().wait();
        } catch (const std::exception &failure) {
            return error {result_code::StorageFailed,
                          "can't listen on " + options_.address + ": " + failure.what(),
                          {},
                          {}};
        }
        open_ = true;
        return std::monostate {};
    }

    void close() override
    {
        if (!open_.exchange(false))
            return;
        try {
            listener_.close().wait();
        } catch (const std::exception &failure) {
            logFor("http")->warn("closing the listener failed: {}", failure.what());
        }
    }

private:
    void refuse(const http_request &message, const error &reason) const
    {
        auto answer = refusal(reason);
        answer.headers.insert(answer.headers.end(), options_.refusalHeaders.begin(),
                              options_.refusalHeaders.end());
        sendResponse(message, std::move(answer));
    }

    void receive(const http_request &message)
    {
        if (const auto refused = checkHeaders(message.headers(), options_)) {
            // Closing the stream prevents the library from buffering a body of unlimited size. It
            // still reads the body before it sends the response.
            message.body().close();
            refuse(message, *refused);
            return;
        }
        auto reader = std::make_shared<body_reader>();
        reader->stream = message.body();
        reader->limit = options_.maxBodyBytes;
        readBody(reader).then([this, message, reader](const pplx::task<bool> &done) {
            finish(message, *reader, done);
        });
    }

    void finish(const http_request &message, body_reader &reader, const pplx::task<bool> &done)
    {
        try {
            if (!done.get()) {
                // Closing the stream prevents the library from buffering the rest of the body.
                reader.stream.close();
                refuse(message,
                       {result_code::BodyTooLarge,
                        "body exceeds " + std::to_string(reader.limit) + " bytes",
                        {},
                        {}});
                return;
            }
        } catch (const std::exception &failure) {
            logFor("http")->debug("request body truncated: {}", failure.what());
            return;
        }
        auto body = std::move(reader.buffer.collection());
        body.resize(reader.received);
        auto converted = std::make_shared<request>(toRequest(message, std::move(body)));
        loop_.post([this, message, converted] {
            try {
                onRequest_(std::move(*converted), [message](response answer) {
                    sendResponse(message, std::move(answer));
                });
            } catch (const std::exception &failure) {
                logFor("http")->error("a request failed: {}", failure.what());
                refuse(message, {result_code::Internal, failure.what(), {}, {}});
            }
        });
    }

    wire::event_loop &loop_;
    server_options options_;
    handler onRequest_;
    web::http::experimental::listener::http_listener listener_;
    std::atomic<bool> open_ = false;
};

} // namespace

void startThreads(std::size_t count)
{
    static std::once_flag once;
    std::call_once(once, [count] { crossplat::threadpool::initialize_with_threads(count); });
}

server_options serverOptions(const settings &values)
{
    server_options options;
    options.address = values.httpListen;
    options.threads = values.httpThreads;
    options.maxHeaderBytes = values.maxHeaderBytes;
    options.maxBodyBytes = values.maxBodyBytes;
    options.timeout = values.httpTimeout;
    return options;
}

std::string_view request::find(std::string_view name) const
{
    const auto matches
            = [name](const header &field) { return equalsIgnoringCase(field.name, name); };
    const auto found = std::ranges::find_if(headers, matches);
    return found == headers.end() ? std::string_view {} : std::string_view(found->value);
}

response refusal(const error &reason)
{
    const auto &info = describe(reason.code);
    auto body = web::json::value::object();
    body["code"] = web::json::value::number(static_cast<std::uint32_t>(reason.code));
    body["name"] = web::json::value::string(std::string(info.name));
    body["detail"] = web::json::value::string(reason.detail);
    body["field"] = web::json::value::string(reason.field);
    response answer;
    answer.status = info.httpStatus;
    if (info.retryable) {
        const auto wait = std::max(reason.retryAfter, milliseconds {100});
        body["retry_after_ms"] = web::json::value::number(wait.count());
        answer.headers.push_back({"Retry-After", std::to_string((wait.count() + 999) / 1000)});
    }
    answer.body = body.serialize();
    return answer;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    const auto values = web::uri::split_query(std::string(query));
    const auto found = values.find(std::string(name));
    return found == values.end() ? std::string {} : web::uri::decode(found->second);
}

result<std::unique_ptr<server>> server::listen(wire::event_loop &loop,
                                               const server_options &options, handler onRequest)
{
    auto opened = std::make_unique<rest_server>(loop, options, std::move(onRequest));
    if (auto outcome = opened->open(); failed(outcome))
        return errorOf(outcome);
    return std::unique_ptr<server>(std::move(opened));
}

} // namespace persimmon::http
