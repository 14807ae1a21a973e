#include "api_service.h"

#include "base/log.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace persimmon::entry {

namespace {

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view resultSuffix = "/result";

// Time-out of a call to the leader about a job; long enough for an election.
constexpr milliseconds jobCallTimeout {5000};

// Time-out of an announcement that awaits the leader; the upstream then announces itself at another
// entry.
constexpr milliseconds announceTimeout {1500};
constexpr milliseconds expiryCheckInterval {50};

// Announcement period of an upstream with orders that it has not carried out yet.
constexpr milliseconds pendingOrdersPeriod {200};

http::response jsonResponse(int status, std::string body)
{
    http::response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

error notFound(std::string detail)
{
    return {result_code::NotFound, std::move(detail), {}, {}};
}

// Returns why a job has no result, or nothing when it has one.
std::optional<error> missingResultReason(const job_view &job)
{
    switch (job.state) {
    case job_state::Done:
        return std::nullopt;
    case job_state::Waiting:
    case job_state::Preparing:
    case job_state::Running:
    case job_state::Stopping:
        return error {
                result_code::InProgress, "the job is " + std::string(toName(job.state)), {}, {}};
    case job_state::Cancelled:
        return error {result_code::Cancelled, "the job was cancelled", {}, {}};
    case job_state::Unknown:
        return error {result_code::OutcomeUnknown, "the job may have run", {}, {}};
    case job_state::Failed:
    case job_state::CannotRun:
        break;
    }
    return error {result_code::CannotRun, "the job failed", {}, {}};
}

http::response resultResponse(const job_view &job)
{
    if (const auto reason = missingResultReason(job))
        return http::refusal(*reason);
    return jsonResponse(200, formatJobResult(job));
}

// Adds the outcome to an answer about a job: whether the call itself took effect.
http::server::reply withOutcome(const http::server::reply &reply)
{
    return [reply](http::response response) {
        const bool accepted = response.status < 300;
        // A call without an answer from the leader may have taken effect.
        const bool unknown = response.status >= 500;
        const auto outcome = accepted ? request_outcome::Ran
                : unknown             ? request_outcome::Unknown
                                      : request_outcome::NotRun;
        response.headers.push_back({"Persimmon-Outcome", std::string(toName(outcome))});
        reply(std::move(response));
    };
}

std::optional<job_id> parseId(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || code != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return static_cast<job_id>(number);
}

} // namespace

api_service::api_service(wire::event_loop &loop, const settings &values, control_link &link,
                         sync_state &state, std::uint64_t incarnation, api_hooks hooks)
    : loop_(loop)
    , values_(values)
    , link_(link)
    , state_(state)
    , incarnation_(incarnation)
    , hooks_(std::move(hooks))
    , timer_(loop.timers().every(expiryCheckInterval,
                                 [this](time_point now) { expireWaiting(now); }))
    , alive_(std::make_shared<bool>(true))
{
}

api_service::~api_service()
{
    *alive_ = false;
    loop_.timers().cancel(timer_);
}

void api_service::handle(const http::request &request, const http::server::reply &reply)
{
    if (request.path == "/v1/announce" && request.method == "POST")
        announce(request, reply);
    else if (request.path.starts_with(jobsPath))
        handleJobs(request, withOutcome(reply));
    else
        reply(http::refusal(notFound("no such endpoint")));
}

template <typename Value>
control_link::completion<Value> api_service::replyHandler(
        http::server::reply reply, std::function<http::response(Value)> format)
{
    ++openCalls_;
    return [this, alive = alive_, reply = std::move(reply),
            format = std::move(format)](result<Value> outcome) {
        if (*alive)
            --openCalls_;
        reply(failed(outcome) ? http::refusal(errorOf(outcome))
                              : format(std::move(valueOf(outcome))));
    };
}

void api_service::handleJobs(const http::request &request, const http::server::reply &reply)
{
    std::string_view rest = std::string_view(request.path).substr(jobsPath.size());
    if (rest.empty() && request.method == "POST")
        return submit(request, reply);
    const bool wantsResult = rest.ends_with(resultSuffix);
    if (wantsResult)
        rest.remove_suffix(resultSuffix.size());
    const auto id = rest.starts_with('/') ? parseId(rest.substr(1)) : std::nullopt;
    if (!id)
        return reply(http::refusal(notFound("no such job")));
    if (request.method == "GET") {
        const std::function<http::response(job_view)> format = [wantsResult](const job_view &job) {
            return wantsResult ? resultResponse(job) : jsonResponse(200, formatJob(job));
        };
        link_.getJob(*id, jobCallTimeout, replyHandler<job_view>(reply, format));
    } else if (request.method == "DELETE" && !wantsResult) {
        link_.cancelJob(*id, jobCallTimeout,
                        replyHandler<std::monostate>(reply, [id](std::monostate) {
                            return jsonResponse(200, formatJobId(*id));
                        }));
    } else {
        reply(http::refusal(notFound("no such endpoint")));
    }
}

// Returns the pool of a job that names none: that of the workspace's first guarantee or route.
std::string api_service::defaultPool(const std::string &workspace) const
{
    const auto &current = hooks_.currentTables();
    const auto row = std::ranges::find(current.workspaces, workspace, &workspace::name);
    if (row != current.workspaces.end() && !row->guarantees.empty())
        return row->guarantees.front().pool;
    const auto routeRow = std::ranges::find(current.routes, workspace, &route::workspace);
    if (routeRow != current.routes.end())
        return routeRow->pool;
    return current.pools.empty() ? std::string {} : current.pools.front().name;
}

void api_service::submit(const http::request &request, const http::server::reply &reply)
{
    if (hooks_.stopping())
        return reply(
                http::refusal({result_code::Stopping, "this instance is shutting down", {}, {}}));
    auto parsed = parseJob(request.body);
    if (failed(parsed))
        return reply(http::refusal(errorOf(parsed)));
    auto &spec = valueOf(parsed);
    const auto &current = hooks_.currentTables();
    if (current.version == 0)
        return reply(http::refusal({result_code::NotReady, "no tables received yet", {}, {}}));
    if (std::ranges::find(current.workspaces, spec.workspace, &workspace::name)
        == current.workspaces.end())
        return reply(http::refusal({result_code::UnknownWorkspace,
                                    "unknown workspace '" + spec.workspace + "'",
                                    "workspace",
                                    {}}));
    if (spec.pool.empty())
        spec.pool = defaultPool(spec.workspace);
    else if (std::ranges::find(current.pools, spec.pool, &pool::name) == current.pools.end())
        return reply(http::refusal(
                {result_code::InvalidValue, "unknown pool '" + spec.pool + "'", "pool", {}}));
    // If the caller sends no key, a generated one makes repeated calls to the leader idempotent.
    // The length prefix separates the workspace from the key without ambiguity.
    auto key = std::string(request.find("Idempotency-Key"));
    if (key.empty())
        key = values_.instanceId + "/" + std::to_string(incarnation_) + "/"
                + std::to_string(++lastJobKey_);
    key = std::to_string(spec.workspace.size()) + ":" + spec.workspace + "/" + key;
    link_.submitJob(key, spec, jobCallTimeout, replyHandler<job_id>(reply, [](job_id id) {
                        return jsonResponse(202, formatJobId(id));
                    }));
}

void api_service::announce(const http::request &request, const http::server::reply &reply)
{
    auto parsed = parseAnnouncement(request.body);
    if (failed(parsed))
        return reply(http::refusal(errorOf(parsed)));
    auto &message = valueOf(parsed);
    if (message.announced.state == upstream_state::Leaving)
        hooks_.upstreamLeaving(message.announced);
    const auto outcome
            = state_.announce(loop_.now(), message.announced, std::move(message.reports));
    if (failed(outcome))
        return reply(http::refusal(errorOf(outcome)));
    const auto &handled = valueOf(outcome);
    if (handled.ticket)
        waiting_.emplace(
                *handled.ticket,
                waiting_announcement {message.announced, reply, loop_.now() + announceTimeout});
    else
        answerAnnouncement(message.announced, reply);
    if (handled.urgent)
        hooks_.syncNow();
}

// Orders are the complete desired state of a worker, so an answer without the leader's current view
// would stop its tasks. NotReady makes the upstream announce itself at another entry instead.
void api_service::answerAnnouncement(const announcement &announced,
                                     const http::server::reply &reply) const
{
    const auto orders = state_.ordersOf(announced.id, announced.incarnation);
    if (!hooks_.leaseHeld() || !state_.hasView()
        || (!orders && announced.state != upstream_state::Leaving))
        return reply(
                http::refusal({result_code::NotReady, "this entry has no current view", {}, {}}));
    announce_reply answer;
    answer.upstreamLease = values_.upstreamLease;
    answer.taskLease = values_.taskLease;
    if (orders)
        answer.orders = *orders;
    const bool pending = std::ranges::any_of(answer.orders, [](const task_order &order) {
        return order.action != task_action::Run;
    });
    answer.next = pending ? std::min(pendingOrdersPeriod, values_.announcePeriod)
                          : values_.announcePeriod;
    reply(jsonResponse(200, formatAnnounceReply(answer)));
}

void api_service::acknowledge(const std::vector<announce_ticket> &tickets)
{
    for (const auto ticket : tickets) {
        auto node = waiting_.extract(ticket);
        if (!node.empty())
            answerAnnouncement(node.mapped().announced, node.mapped().reply);
    }
}

void api_service::expireWaiting(time_point now)
{
    for (auto position = waiting_.begin(); position != waiting_.end();) {
        const auto current = position++;
        if (current->second.expiresAt > now)
            continue;
        const auto reply = std::move(current->second.reply);
        waiting_.erase(current);
        reply(http::refusal({result_code::NotReady, "the leader did not answer in time", {}, {}}));
    }
}

} // namespace persimmon::entry
