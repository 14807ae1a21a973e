#include "request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cpprest/base_uri.h>

#include <algorithm>

namespace persimmon::http {

namespace {

namespace beast = boost::beast;

// What a stored field takes beside its texts.
constexpr std::size_t fieldOverhead = 2 * sizeof(std::string);

// Longest Content-Length in digits.
constexpr std::size_t maxLengthDigits = 18;

// The parser's own limit of the bytes of a head, above all that the limits of a request allow.
constexpr std::uint32_t headOverhead = 4096;
constexpr std::uint32_t bytesAroundField = 8; // colon, spaces and line end

constexpr int httpVersion11 = 11;

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool isLength(std::string_view text)
{
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    return !text.empty() && text.size() <= maxLengthDigits && std::ranges::all_of(text, isDigit);
}

error framingError()
{
    return {result_code::AmbiguousFraming,
            "must have one decimal Content-Length or chunked encoding, not both",
            "Content-Length",
            {}};
}

// Returns the path and the query of a request target, which may be an absolute URI.
std::string_view withoutAuthority(std::string_view target)
{
    const auto scheme = target.find("://");
    if (target.starts_with('/') || scheme == std::string_view::npos)
        return target;
    const auto path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? std::string_view {"/"} : target.substr(path);
}

} // namespace

class request_reader::parser : public beast::http::basic_parser<true>
{
public:
    explicit parser(const request_limits &limits)
        : limits_(limits)
    {
        const auto fieldBytes = limits.maxFields * bytesAroundField;
        header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes + limits.maxTargetBytes
                                                + fieldBytes)
                     + headOverhead);
        body_limit(limits.maxBodyBytes);
        eager(true);
    }

    request &value() { return value_; }
    const std::optional<error> &reason() const { return reason_; }
    std::size_t heldBytes() const { return heldBytes_ + value_.body.capacity(); }

    bool takeExpectation() { return is_header_done() && std::exchange(expectsInterim_, false); }

protected:
    using text = beast::string_view;
    using error_code = beast::error_code;

    void on_request_impl(beast::http::verb, text method, text target, int version,
                         error_code &failure) override
    {
        if (target.size() > limits_.maxTargetBytes)
            return refuse({result_code::HeadersTooLarge, "the request target is too long", {}, {}},
                          failure);
        isCurrentVersion_ = version == httpVersion11;
        value_.method = std::string(viewOf(method));
        heldBytes_ += method.size() + 2 * target.size();
        setTarget(withoutAuthority(viewOf(target)), failure);
    }

    void on_field_impl(beast::http::field field, text name, text content,
                       error_code &failure) override
    {
        if (headDone_)
            return; // trailers aren't used
        fieldBytes_ += name.size() + content.size();
        if (fieldBytes_ > limits_.maxHeaderBytes || value_.headers.size() >= limits_.maxFields)
            return refuse({result_code::HeadersTooLarge,
                           "header fields exceed " + std::to_string(limits_.maxHeaderBytes)
                                   + " bytes or " + std::to_string(limits_.maxFields) + " fields",
                           {},
                           {}},
                          failure);
        if (!checkFraming(field, viewOf(content)))
            return refuse(framingError(), failure);
        if (field == beast::http::field::host && !value_.find("Host").empty())
            return refuse({result_code::MalformedRequest, "must not be repeated", "Host", {}},
                          failure);
        if (field == beast::http::field::expect)
            expectsInterim_ = isCurrentVersion_ && beast::iequals(content, "100-continue");
        heldBytes_ += name.size() + content.size() + fieldOverhead;
        value_.headers.push_back({std::string(viewOf(name)), std::string(viewOf(content))});
    }

    void on_header_impl(error_code &) override { headDone_ = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override { }

    std::size_t on_body_impl(text bytes, error_code &) override
    {
        value_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, text, error_code &) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, text bytes, error_code &failure) override
    {
        if (value_.body.size() + bytes.size() > limits_.maxBodyBytes) {
            failure = beast::http::error::body_limit;
            return 0;
        }
        value_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code &) override { }

    void on_response_impl(int, text, int, error_code &) override { }

private:
    void refuse(error reason, error_code &failure)
    {
        reason_ = std::move(reason);
        failure = beast::http::error::bad_value;
    }

    void setTarget(std::string_view target, error_code &failure)
    {
        const auto query = target.find('?');
        value_.rawPath = std::string(target.substr(0, query));
        if (query != std::string_view::npos)
            value_.query = std::string(target.substr(query + 1));
        try {
            value_.path = web::uri::decode(value_.rawPath);
        } catch (const std::exception &) {
            refuse({result_code::MalformedRequest, "the request target can't be decoded", {}, {}},
                   failure);
        }
    }

    // Refuses what two parsers could delimit differently.
    bool checkFraming(beast::http::field field, std::string_view content)
    {
        if (field == beast::http::field::content_length)
            return isLength(content) && !std::exchange(hasLength_, true) && !isChunked_;
        if (field != beast::http::field::transfer_encoding)
            return true;
        const bool chunked = beast::iequals({content.data(), content.size()}, "chunked");
        return chunked && !std::exchange(isChunked_, true) && !hasLength_;
    }

    const request_limits &limits_;
    request value_;
    std::optional<error> reason_;
    std::uint64_t fieldBytes_ = 0;
    std::size_t heldBytes_ = 0;
    bool headDone_ = false;
    bool isCurrentVersion_ = true;
    bool expectsInterim_ = false;
    bool hasLength_ = false;
    bool isChunked_ = false;
};

namespace {

error errorFor(const beast::error_code &failure, const request_limits &limits)
{
    using beast::http::error;
    if (failure == error::body_limit)
        return {result_code::BodyTooLarge,
                "body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes",
                {},
                {}};
    if (failure == error::header_limit)
        return {result_code::HeadersTooLarge, "the head of the request is too long", {}, {}};
    if (failure == error::bad_content_length || failure == error::bad_transfer_encoding)
        return framingError();
    return {result_code::MalformedRequest, failure.message(), {}, {}};
}

} // namespace

request_reader::request_reader(const request_limits &limits)
    : limits_(limits)
{
}

request_reader::~request_reader() = default;

request_reader::state request_reader::refuse(error reason)
{
    reason_ = std::move(reason);
    clear();
    return state::Refused;
}

void request_reader::clear()
{
    pending_.clear();
    pending_.shrink_to_fit();
    parser_.reset();
}

// Removes empty lines before a request. Returns false if there are too many of them.
bool request_reader::skipEmptyLines()
{
    std::size_t skipped = 0;
    while (pending_.compare(skipped, 2, "\r\n") == 0) {
        skipped += 2;
        ++emptyLines_;
    }
    pending_.erase(0, skipped);
    return emptyLines_ <= limits_.maxEmptyLines;
}

request_reader::state request_reader::feed(std::string_view bytes)
{
    pending_.append(bytes);
    if (!parser_) {
        if (!skipEmptyLines())
            return refuse({result_code::MalformedRequest, "too many empty lines", {}, {}});
        if (pending_.empty() || pending_ == "\r")
            return state::Idle;
        parser_ = std::make_unique<parser>(limits_);
    }
    beast::error_code failure;
    std::size_t parsed = 0;
    while (!failure && !parser_->is_done()) {
        const auto count = parser_->put(
                boost::asio::buffer(pending_.data() + parsed, pending_.size() - parsed), failure);
        parsed += count;
        if (count == 0 && !failure)
            break;
    }
    pending_.erase(0, parsed);
    if (failure && failure != beast::http::error::need_more)
        return refuse(parser_->reason().value_or(errorFor(failure, limits_)));
    if (parser_->is_done()) {
        keepAlive_ = parser_->keep_alive();
        return state::Complete;
    }
    if (parser_->is_header_done() && pending_.size() > limits_.maxTrailerBytes)
        return refuse({result_code::HeadersTooLarge, "a trailer or chunk is too long", {}, {}});
    return state::Receiving;
}

request request_reader::take()
{
    auto taken = std::move(parser_->value());
    parser_.reset();
    emptyLines_ = 0;
    if (pending_.empty())
        pending_.shrink_to_fit();
    return taken;
}

bool request_reader::takeExpectation()
{
    return parser_ && parser_->takeExpectation();
}

std::size_t request_reader::heldBytes() const
{
    return pending_.capacity() + (parser_ ? sizeof(parser) + parser_->heldBytes() : 0);
}

} // namespace persimmon::http
