#include "batch/service.h"

#include "base/event_log.h"

#include <algorithm>
#include <set>

namespace persimmon::batch {

namespace {

constexpr std::uint32_t maxTasksOfJob = 20000;
constexpr std::size_t maxPayloadBytes = 4000;
constexpr std::size_t maxIdBytes = 200;

// Bounds what cancellations of jobs that aren't known can add to the ledger, by one tenant and in
// all.
constexpr std::size_t maxCancellationsOfTenant = 1024;
constexpr std::size_t maxCancellations = 8192;

// Bounds what orders for zones that aren't known can add to the ledger.
constexpr std::size_t maxEvacuations = 1000;

error invalidTable(std::string detail, std::string field)
{
    return {result_code::InvalidTable, std::move(detail), std::move(field), {}};
}

// Returns whether a committed command was applied without effect.
bool isRefusal(result_code code)
{
    return code == result_code::KeyReused || code == result_code::Cancelled;
}

// A failed commit may still take effect, unless a follower has refused the proposal or the command
// was applied without effect.
error commitError(const error &reason)
{
    if (reason.code == result_code::NotLeader || isRefusal(reason.code))
        return reason;
    return {result_code::OutcomeUnknown, reason.detail, {}, {}};
}

// A caller that outlives its request.
struct stored_caller
{
    explicit stored_caller(const caller &from)
        : host(from.host)
        , path(from.path)
        , key(from.key)
    {
    }

    caller view() const { return {host, path, key}; }

    std::string host;
    std::string path;
    std::string key;
};

void logRequest(std::string_view event, const caller &from, std::string_view id,
                std::uint64_t version, std::string_view outcome)
{
    logEvent(event, {{"job", id}, {"path", from.path}, {"version", version}, {"outcome", outcome}});
}

} // namespace

status checkConfiguration(const configuration &value)
{
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto &item : value.queues) {
        if (!routes.emplace(item.host, item.prefix).second)
            return invalidTable("two queues have the same host and prefix", item.name);
    }
    std::set<std::string> keys;
    for (const auto &owner : value.tenants) {
        for (const auto &key : owner.keys) {
            if (!keys.insert(key).second)
                return invalidTable("two tenants have the same key", owner.name);
        }
    }
    return std::monostate {};
}

status checkJob(const job_spec &spec)
{
    const auto invalid = [](std::string detail, std::string field) {
        return error {result_code::InvalidValue, std::move(detail), std::move(field), {}};
    };
    if (spec.payload.size() > maxPayloadBytes)
        return invalid("must not exceed 4000 bytes", "payload");
    if (spec.steps.empty())
        return invalid("must contain at least one step", "steps");
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto &step = spec.steps[i];
        if (step.count == 0)
            return invalid("must be at least 1", "count");
        // Compared in each step, because the sum over all steps may overflow.
        tasks += std::uint64_t {step.count} * std::max(1U, spec.occurrences);
        if (tasks > maxTasksOfJob)
            return invalid("must not exceed " + std::to_string(maxTasksOfJob) + " tasks in total",
                           "count");
        const auto later = [i](std::uint32_t dependency) { return dependency >= i; };
        if (std::ranges::any_of(step.dependsOn, later))
            return invalid("must refer to an earlier step", "dependsOn");
    }
    return std::monostate {};
}

status checkJobId(std::string_view id)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    if (!id.empty() && id.size() <= maxIdBytes && std::ranges::all_of(id, isPrintable))
        return std::monostate {};
    return error {result_code::InvalidValue, "must be 1 to 200 printable characters", "id", {}};
}

service::service(const ledger &state, controller &workers, propose_function propose)
    : state_(state)
    , workers_(workers)
    , propose_(std::move(propose))
{
}

result<service::route> service::resolve(const caller &from) const
{
    const auto &configured = state_.currentConfiguration();
    if (configured.version == 0)
        return error {result_code::NotReady, "no configuration yet", {}, {}};
    route found;
    found.matchedQueue = configured.findQueue(from.host, from.path);
    if (found.matchedQueue == nullptr)
        return error {result_code::NoRoute, "no such queue", "path", {}};
    if (const auto *owner = configured.findTenant(from.key); owner != nullptr)
        found.tenant = owner->name;
    else if (!found.matchedQueue->isPublic)
        return error {result_code::UnknownWorkspace, "unknown key", "key", {}};
    found.id = std::string(from.path.substr(found.matchedQueue->prefix.size()));
    return found;
}

// Returns the job with the id of a route if it is the caller's: of the same queue and tenant.
const job_record *service::ownJob(const route &at) const
{
    const auto *job = state_.findJob(at.id);
    return job != nullptr && job->belongsTo(*at.matchedQueue, at.tenant) ? job : nullptr;
}

// A job waits again if its runs were given up before any of them is known to have begun.
job_state service::shownState(const job_record &job) const
{
    const bool isUnbegun = state_.unbegunJobs().contains(job.id);
    return isUnbegun && !state_.hasActiveRuns(job.id) ? job_state::Queued : job.state;
}

void service::submit(std::int64_t wallMs, const caller &from, job_spec spec,
                     std::function<void(status)> done)
{
    const auto version = state_.currentConfiguration().version;
    const auto resolved = resolve(from);
    if (failed(resolved)) {
        logRequest("job.refused", from, {}, version, describe(errorOf(resolved).code).name);
        return done(errorOf(resolved));
    }
    const auto *source = valueOf(resolved).matchedQueue;
    const auto &tenantName = valueOf(resolved).tenant;
    const auto &id = valueOf(resolved).id;
    auto checked = checkJobId(id);
    if (!failed(checked))
        checked = checkJob(spec);
    if (failed(checked)) {
        logRequest("job.refused", from, id, version, errorOf(checked).detail);
        return done(checked);
    }
    if (const auto *known = ownJob(valueOf(resolved)); known != nullptr && known->spec == spec) {
        logRequest("job.accepted", from, id, version, "known");
        return done(std::monostate {});
    }
    if (state_.findJob(id) != nullptr) {
        logRequest("job.refused", from, id, version, describe(result_code::KeyReused).name);
        return done(error {result_code::KeyReused, "the id is taken by another job", "id", {}});
    }
    if (isCancelled(valueOf(resolved).address())) {
        logRequest("job.refused", from, id, version, describe(result_code::Cancelled).name);
        return done(error {result_code::Cancelled, "cancelled before it was handed in", "id", {}});
    }
    logEvent("job.proposed",
             {{"job", id},
              {"tenant", tenantName},
              {"queue", source->name},
              {"steps", spec.steps.size()},
              {"tasks", spec.steps.front().count},
              {"accelerators", spec.steps.front().need.accelerators},
              {"version", version}});
    propose_(accept_job {id, tenantName, *source, std::move(spec), wallMs},
             [this, id, done = std::move(done)](const status &committed) {
                 const bool isRefused = failed(committed) && isRefusal(errorOf(committed).code);
                 logEvent(isRefused ? "job.refused" : "job.accepted",
                          {{"job", id},
                           {"outcome",
                            failed(committed) ? describe(errorOf(committed).code).name : "ok"}});
                 workers_.requestPass();
                 done(failed(committed) ? status {commitError(errorOf(committed))} : committed);
             });
}

void service::find(const caller &from, callback<job_state> done)
{
    const auto resolved = resolve(from);
    if (failed(resolved))
        return done(errorOf(resolved));
    if (const auto *job = ownJob(valueOf(resolved)); job != nullptr)
        return done(shownState(*job));
    // The local state may be outdated, so NotFound is returned only after a quorum has confirmed
    // it.
    afterBarrier(
            [this, from = stored_caller {from}, done = std::move(done)](const status &current) {
                if (failed(current))
                    return done(errorOf(current));
                const auto again = resolve(from.view());
                if (failed(again))
                    return done(errorOf(again));
                const auto *job = ownJob(valueOf(again));
                if (job == nullptr)
                    return done(error {result_code::NotFound, "no such job", "id", {}});
                done(shownState(*job));
            });
}

void service::cancel(std::int64_t wallMs, const caller &from,
                     const std::function<void(status)> &done)
{
    const auto resolved = resolve(from);
    if (failed(resolved))
        return done(errorOf(resolved));
    if (const auto *job = ownJob(valueOf(resolved)); job != nullptr)
        return cancelKnown(wallMs, *job, done);
    cancelUnknown(wallMs, valueOf(resolved), done);
}

void service::cancelKnown(std::int64_t wallMs, const job_record &job,
                          const std::function<void(status)> &done)
{
    if (job.ended())
        return done(std::monostate {});
    propose_(cancel_job {job.id, wallMs}, [this, id = job.id, done](const status &committed) {
        logEvent("job.cancelled",
                 {{"job", id},
                  {"outcome", failed(committed) ? describe(errorOf(committed).code).name : "ok"}});
        workers_.stopJob(id);
        done(failed(committed) ? status {commitError(errorOf(committed))} : committed);
    });
}

bool service::isCancelled(const job_address &job) const
{
    return cancelling_.contains(job) || state_.cancellations().contains(job);
}

bool service::mayRecordCancellation(const job_address &job) const
{
    const auto &known = state_.cancellations();
    if (known.contains(job))
        return true;
    const auto isOfTenant = [&job](const job_address &other) { return other.tenant == job.tenant; };
    const auto ofTenant = std::ranges::count_if(known, isOfTenant,
                                                &std::pair<const job_address, std::int64_t>::first)
            + std::ranges::count_if(cancelling_, isOfTenant);
    return known.size() + cancelling_.size() < maxCancellations
            && ofTenant < static_cast<std::ptrdiff_t>(maxCancellationsOfTenant);
}

// The submission of the job may still be on its way: in a gateway that stands still, on a slow
// link, or to a quorum. Its caller is told that no such job exists, so it must not run later. What
// came first is decided where the cancelling is applied.
void service::cancelUnknown(std::int64_t wallMs, const route &at,
                            const std::function<void(status)> &done)
{
    const error notFound {result_code::NotFound, "no such job", "id", {}};
    const auto job = at.address();
    if (failed(checkJobId(job.id)))
        return done(notFound);
    if (!mayRecordCancellation(job)) {
        logEvent("job.cancel_refused", {{"job", job.id}, {"tenant", job.tenant}});
        return done(error {result_code::Overloaded, "too many unknown jobs are cancelled", {}, {}});
    }
    const auto pending = cancelling_.insert(job);
    propose_(record_cancellation {job, wallMs},
             [this, wallMs, job, pending, notFound, done](const status &committed) {
                 cancelling_.erase(pending);
                 logEvent("job.cancelled_unknown",
                          {{"job", job.id},
                           {"tenant", job.tenant},
                           {"outcome",
                            failed(committed) ? describe(errorOf(committed).code).name : "ok"}});
                 const bool wasKnown
                         = failed(committed) && errorOf(committed).code == result_code::KeyReused;
                 if (failed(committed) && !wasKnown)
                     return done(commitError(errorOf(committed)));
                 const auto *accepted = wasKnown ? state_.findJob(job.id) : nullptr;
                 if (accepted == nullptr)
                     return done(notFound);
                 cancelKnown(wallMs, *accepted, done);
             });
}

void service::countWaiting(const caller &from, const callback<std::size_t> &done)
{
    const auto resolved = resolve(from);
    if (failed(resolved))
        return done(errorOf(resolved));
    done(workers_.waitingJobs(*valueOf(resolved).matchedQueue));
}

void service::configure(configuration value, std::function<void(status)> done)
{
    const auto version = value.version;
    const auto heldVersion = state_.currentConfiguration().version;
    if (auto checked = checkConfiguration(value); failed(checked)) {
        logEvent("configuration.refused",
                 {{"version", version},
                  {"held", heldVersion},
                  {"outcome", errorOf(checked).detail}});
        return done(checked);
    }
    if (version <= heldVersion) {
        logEvent("configuration.known",
                 {{"version", version}, {"held", heldVersion}, {"outcome", "ok"}});
        return afterBarrier([done = std::move(done)](const status &current) {
            done(failed(current) ? status {commitError(errorOf(current))} : current);
        });
    }
    propose_(set_configuration {std::move(value)},
             [version, heldVersion, done = std::move(done)](const status &committed) {
                 logEvent("configuration.taken",
                          {{"version", version},
                           {"held", heldVersion},
                           {"outcome",
                            failed(committed) ? describe(errorOf(committed).code).name : "ok"}});
                 done(failed(committed) ? status {commitError(errorOf(committed))} : committed);
             });
}

void service::readConfiguration(callback<std::string> done)
{
    afterBarrier([this, done = std::move(done)](const status &current) {
        if (failed(current))
            return done(errorOf(current));
        const auto &configured = state_.currentConfiguration();
        if (configured.version == 0)
            return done(error {result_code::NotReady, "no configuration yet", {}, {}});
        done(configured.document);
    });
}

void service::startWave(std::int64_t wallMs, wave value, std::function<void(status)> done)
{
    if (value.atOnce == 0)
        return done(error {result_code::InvalidValue, "must be at least 1", "atOnce", {}});
    logEvent("wave.proposed",
             {{"wave", value.id},
              {"machines", value.machines.size()},
              {"at_once", value.atOnce},
              {"duration_ms", value.durationMs},
              {"known", state_.waves().contains(value.id) ? 1 : 0}});
    propose_(start_wave {std::move(value), wallMs},
             [done = std::move(done)](const status &committed) {
                 done(failed(committed) ? status {commitError(errorOf(committed))} : committed);
             });
}

void service::findWave(std::uint64_t id, callback<bool> done)
{
    afterBarrier([this, id, done = std::move(done)](const status &current) {
        if (failed(current))
            return done(errorOf(current));
        const auto found = state_.waves().find(id);
        if (found == state_.waves().end())
            return done(error {result_code::NotFound, "no such wave", "wave", {}});
        done(found->second.done());
    });
}

// A zone that is only known by its workers can't be told from an unknown one before they were
// heard.
status service::checkZone(const std::string &zone) const
{
    const error unknown {result_code::InvalidValue, "no such availability zone", "zone", {}};
    if (failed(checkJobId(zone)))
        return unknown;
    const bool isKnown = zones_.empty() || std::ranges::find(zones_, zone) != zones_.end()
            || state_.isEvacuated(zone) || workers_.zoneUse(zone).workers > 0;
    if (isKnown)
        return std::monostate {};
    if (!workers_.hasHeardFleet())
        return error {result_code::NotReady, "the zones of workers aren't known yet", "zone", {}};
    return unknown;
}

result<order_permit> service::permitOrder()
{
    if (!workers_.isLeading())
        return error {result_code::NotLeader, "this node is not the leader", {}, {}};
    return permits_.issue(workers_.term());
}

status service::checkPermit(const order_permit &permit, const std::string &zone)
{
    auto checked = permits_.check(permit, workers_.term(), zone);
    if (failed(checked))
        logEvent("zone.refused", {{"zone", zone}, {"outcome", errorOf(checked).detail}});
    return checked;
}

void service::evacuateZone(std::int64_t wallMs, const std::string &zone,
                           std::function<void(status)> done)
{
    if (state_.evacuations().size() >= maxEvacuations && !state_.isEvacuated(zone))
        return done(error {result_code::Overloaded, "too many zones are evacuated", "zone", {}});
    setEvacuation({zone, true, wallMs}, std::move(done));
}

void service::restoreZone(std::int64_t wallMs, const std::string &zone,
                          std::function<void(status)> done)
{
    setEvacuation({zone, false, wallMs}, std::move(done));
}

// Repeated orders are committed again, so that each of them is acknowledged by a quorum.
void service::setEvacuation(set_evacuation value, std::function<void(status)> done)
{
    const std::string_view action = value.evacuated ? "evacuate" : "restore";
    if (auto checked = checkZone(value.zone); failed(checked)) {
        logEvent("zone.refused",
                 {{"zone", value.zone}, {"action", action}, {"outcome", errorOf(checked).detail}});
        return done(checked);
    }
    permits_.take(workers_.term(), value.zone);
    const auto use = workers_.zoneUse(value.zone);
    logEvent("zone.proposed",
             {{"zone", value.zone},
              {"action", action},
              {"evacuated", state_.isEvacuated(value.zone) ? 1 : 0},
              {"workers", use.workers},
              {"runs", use.runs}});
    propose_(value, [this, value, action, done = std::move(done)](const status &committed) {
        logEvent("zone.set",
                 {{"zone", value.zone},
                  {"action", action},
                  {"outcome", failed(committed) ? describe(errorOf(committed).code).name : "ok"}});
        workers_.requestPass();
        done(failed(committed) ? status {commitError(errorOf(committed))} : committed);
    });
}

void service::afterBarrier(std::function<void(status)> done)
{
    propose_(no_op {}, std::move(done));
}

std::vector<service::zone_status> service::zones() const
{
    auto uses = workers_.zoneUses();
    for (const auto &zone : zones_)
        uses.try_emplace(zone);
    for (const auto &[zone, order] : state_.evacuations())
        uses.try_emplace(zone);
    std::vector<zone_status> found;
    for (const auto &[zone, use] : uses) {
        const auto order = state_.evacuations().find(zone);
        found.push_back({zone, use, {}});
        if (order != state_.evacuations().end())
            found.back().evacuated = order->second;
    }
    return found;
}

result<service::job_explanation> service::explain(const std::string &id) const
{
    const auto *job = state_.findJob(id);
    if (job == nullptr)
        return error {result_code::NotFound, "no such job", "id", {}};
    return job_explanation {job, job->ended() ? std::vector<stall_cause> {} : workers_.waitsOf(id)};
}

} // namespace persimmon::batch
