#include "request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cpprest/base_uri.h>

#include <algorithm>
#include <map>
#include <utility>

namespace persimmon::http {

namespace {

namespace beast = boost::beast;

// What a stored field takes beside its texts.
constexpr std::size_t fieldOverhead = 2 * sizeof(header);

// Longest Content-Length in digits.
constexpr std::size_t maxLengthDigits = 18;

// Bytes of a head beside its target and fields.
constexpr std::size_t startLineBytes = 4096;
constexpr std::size_t bytesAroundField = 8; // colon, spaces and line end

constexpr int httpVersion11 = 11;

constexpr std::string_view headEnd = "\r\n\r\n";

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

namespace {

// Returns the limit of a head as received, with all spaces and line ends.
std::size_t maxHeadBytes(const request_limits &limits)
{
    return limits.maxHeaderBytes + limits.maxTargetBytes + limits.maxFields * bytesAroundField
            + startLineBytes;
}

} // namespace

class request_reader::parser : public beast::http::basic_parser<true>
{
public:
    explicit parser(const request_limits &limits)
        : limits_(limits)
    {
        header_limit(static_cast<std::uint32_t>(maxHeadBytes(limits)));
        body_limit(limits.maxBodyBytes);
    }

    request &value() { return value_; }
    const std::optional<error> &reason() const { return reason_; }
    std::size_t heldBytes() const { return heldBytes_ + value_.body.capacity(); }

    bool takeExpectation() { return is_header_done() && std::exchange(expectsInterim_, false); }

    // Returns whether the line before a chunk, or the trailers, were read since the last call.
    bool takeChunkHeader() { return std::exchange(chunkHeaderRead_, false); }

    // Connections of older clients would need a field of their own to be kept.
    bool keepsConnection() const { return isCurrentVersion_ && keep_alive(); }

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
        if (is_header_done())
            return; // trailers aren't used
        fieldBytes_ += name.size() + content.size();
        if (fieldBytes_ > limits_.maxHeaderBytes || ++fields_ > limits_.maxFields)
            return refuse({result_code::HeadersTooLarge,
                           "header fields exceed " + std::to_string(limits_.maxHeaderBytes)
                                   + " bytes or " + std::to_string(limits_.maxFields) + " fields",
                           {},
                           {}},
                          failure);
        if (!checkFraming(field, viewOf(content)))
            return refuse(framingError(), failure);
        if (field == beast::http::field::expect)
            expectsInterim_ = isCurrentVersion_ && beast::iequals(content, "100-continue");
        heldBytes_ += 2 * name.size() + content.size() + fieldOverhead;
        if (!store(viewOf(name), viewOf(content)))
            refuse({result_code::MalformedRequest, "must not be repeated", "Host", {}}, failure);
    }

    void on_header_impl(error_code &failure) override
    {
        if (isChunked_ && !isCurrentVersion_)
            refuse(framingError(), failure);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override { }

    std::size_t on_body_impl(text bytes, error_code &) override
    {
        value_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, text, error_code &) override
    {
        chunkHeaderRead_ = true;
    }

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

    // Stores a field. Repeated fields are joined as lists are (RFC 9110, section 5.3). Returns
    // false for a field that must not be repeated.
    bool store(std::string_view name, std::string_view content)
    {
        const auto [known, isNew]
                = positions_.try_emplace(std::string(name), value_.headers.size());
        if (isNew) {
            value_.headers.push_back({std::string(name), std::string(content)});
            return true;
        }
        value_.headers[known->second].value.append(", ").append(content);
        return !beast::iequals(beast::string_view(name.data(), name.size()), "Host");
    }

    void setTarget(std::string_view target, error_code &failure)
    {
        target = target.substr(0, target.find('#'));
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
    std::map<std::string, std::size_t, beast::iless> positions_; // of the fields, by name
    std::optional<error> reason_;
    std::uint64_t fieldBytes_ = 0;
    std::size_t fields_ = 0;
    std::size_t heldBytes_ = 0;
    bool isCurrentVersion_ = true;
    bool expectsInterim_ = false;
    bool chunkHeaderRead_ = false;
    bool hasLength_ = false;
    bool isChunked_ = false;
};

namespace {

client_cause causeOf(result_code code, bool isHeadDone)
{
    if (code == result_code::BodyTooLarge)
        return client_cause::Body;
    if (code == result_code::AmbiguousFraming)
        return client_cause::Framing;
    if (code == result_code::HeadersTooLarge)
        return isHeadDone ? client_cause::Trailer : client_cause::Head;
    return client_cause::Malformed;
}

error headError()
{
    return {result_code::HeadersTooLarge, "the head of the request is too long", {}, {}};
}

error trailerError()
{
    return {result_code::HeadersTooLarge,
            "a trailer or the line before a chunk is too long",
            {},
            {}};
}

error errorFor(const beast::error_code &failure, const request_limits &limits)
{
    using beast::http::error;
    if (failure == error::body_limit)
        return {result_code::BodyTooLarge,
                "body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes",
                {},
                {}};
    if (failure == error::header_limit)
        return headError();
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
    const bool isHeadDone = parser_ && parser_->is_header_done();
    cause_ = causeOf(reason.code, isHeadDone);
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

// Looks for the end of the head. Returns why the request is refused, if it is. The head is parsed
// only once it is complete, so that the result doesn't depend on how it was cut.
std::optional<error> request_reader::scanHead()
{
    const auto limit = maxHeadBytes(limits_);
    for (; !headComplete_ && scanned_ < pending_.size(); ++scanned_) {
        if (scanned_ >= limit)
            return headError();
        if (pending_[scanned_] != '\n')
            continue;
        if (scanned_ == 0 || pending_[scanned_ - 1] != '\r')
            return error {result_code::MalformedRequest, "bad line ending", {}, {}};
        headComplete_ = scanned_ >= headEnd.size() - 1
                && pending_.compare(scanned_ + 1 - headEnd.size(), headEnd.size(), headEnd) == 0;
    }
    return std::nullopt;
}

request_reader::state request_reader::feed(std::string_view bytes)
{
    pending_.append(bytes);
    if (!headComplete_) {
        if (scanned_ == 0 && !skipEmptyLines())
            return refuse({result_code::MalformedRequest, "too many empty lines", {}, {}});
        if (pending_.empty() || pending_ == "\r")
            return state::Idle;
        if (auto refused = scanHead())
            return refuse(std::move(*refused));
        if (!headComplete_)
            return state::Receiving;
        parser_ = std::make_unique<parser>(limits_);
    }
    if (auto refused = parse())
        return refuse(std::move(*refused));
    if (!parser_->is_done())
        return state::Receiving;
    keepAlive_ = parser_->keepsConnection();
    return state::Complete;
}

// Parses what was received, step by step. Returns why the request is refused, if it is.
std::optional<error> request_reader::parse()
{
    std::string_view rest = pending_;
    beast::error_code failure;
    while (!failure && !parser_->is_done()) {
        const auto count = parser_->put(boost::asio::buffer(rest.data(), rest.size()), failure);
        rest.remove_prefix(count);
        if (parser_->takeChunkHeader() && count > limits_.maxTrailerBytes)
            return trailerError();
        if (count == 0)
            break;
    }
    if (failure && failure != beast::http::error::need_more)
        return parser_->reason().value_or(errorFor(failure, limits_));
    pending_.erase(0, pending_.size() - rest.size());
    if (!parser_->is_done() && pending_.size() > limits_.maxTrailerBytes)
        return trailerError();
    return std::nullopt;
}

request request_reader::take()
{
    auto taken = std::move(parser_->value());
    parser_.reset();
    emptyLines_ = 0;
    scanned_ = 0;
    headComplete_ = false;
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
