#pragma once

#include "apps/control_metrics.h"
#include "apps/voter.h"
#include "http/server.h"

#include <functional>
#include <string_view>

namespace persimmon::apps {

struct operator_hooks
{
    std::function<void()> startShutdown = [] {}; // starts the graceful shutdown of this voter
    std::function<void(std::uint32_t id, std::function<void(status)> done)> drainVoter
            = [](std::uint32_t, const std::function<void(status)> &done) {
                  done(error {result_code::NotFound, "no such voter", {}, {}});
              };
};

// HTTP/JSON API of one voter for operators. Tables, history, status, explanations and changes are
// served by the leader only; /v1/voter, /healthz, /readyz and /metrics by every voter.
class operator_api
{
public:
    operator_api(voter &target, control_metrics &metrics, operator_hooks hooks);

    // Handles one request; the reply may be sent after the call returns.
    void handle(const http::request &request, const http::server::reply &reply);

    // Makes /readyz fail during a shutdown.
    void beginShutdown() { stopping_ = true; }

private:
    using handler = void (operator_api::*)(const http::request &, std::string_view id,
                                           const http::server::reply &);

    // A path that ends with '/' matches as a prefix; the rest of the request path is the id.
    struct endpoint
    {
        std::string_view method;
        std::string_view path;
        handler handle;
        bool needsReads;
    };

    static const endpoint *findEndpoint(const http::request &request);

    void getTables(const http::request &, std::string_view, const http::server::reply &);
    void putTables(const http::request &, std::string_view, const http::server::reply &);
    void getHistory(const http::request &, std::string_view, const http::server::reply &);
    void getStatus(const http::request &, std::string_view, const http::server::reply &);
    void getVoter(const http::request &, std::string_view, const http::server::reply &);
    void explain(const http::request &, std::string_view, const http::server::reply &);
    void drain(const http::request &, std::string_view, const http::server::reply &);
    void changeVoters(const http::request &, std::string_view, const http::server::reply &);
    void getHealth(const http::request &, std::string_view, const http::server::reply &);
    void getReadiness(const http::request &, std::string_view, const http::server::reply &);
    void getMetrics(const http::request &, std::string_view, const http::server::reply &);

    bool mayBeOutdated(const http::request &request) const;
    http::response errorResponse(const error &reason) const;

    voter &voter_;
    control_metrics &metrics_;
    operator_hooks hooks_;
    bool stopping_ = false;
};

} // namespace persimmon::apps
