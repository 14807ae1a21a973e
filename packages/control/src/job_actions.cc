#include "base/log.h"
#include "jobs.h"

namespace persimmon::control {

namespace {

// Wait reasons are committed in batches, because one change of a pool may change many of them.
constexpr milliseconds recordsPeriod {500};
constexpr milliseconds trimPeriod {10000};
// Retains the ended jobs of one day, which are 39,000 at the target size.
constexpr std::size_t maxEndedJobs = 40000;
constexpr wall_ms endedRetention {24 * 3600 * 1000};

} // namespace

void jobs::step(const placement::event &input)
{
    events_.push_back(input);
    if (stepping_)
        return;
    stepping_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        for (const auto &action : shared_.scheduler().step(shared_.now(), next))
            std::visit([this](const auto &value) { handle(value); }, action);
    }
    stepping_ = false;
}

void jobs::handle(const placement::place_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end()) {
        // The job has ended, so placement's attempt is cancelled before it starts.
        deferredEnds_.push_back(
                {action.job, action.attempt, placement::attempt_end::Cancelled, {}});
        return;
    }
    auto &job = found->second;
    job.placed = true;
    job.placementAttempt = action.attempt;
    job.grant = grant_attempt {action.job, 0, {}, action.borrowed, action.reason};
    for (const auto &worker : action.workers)
        job.grant->workers.push_back({worker, 0});
    pendingWaits_.erase(action.job);
    advance(action.job);
}

void jobs::handle(const placement::preempt_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end() || found->second.placementAttempt != action.attempt)
        return;
    found->second.stopRequest = {placement::attempt_end::Preempted, action.forJob, action.deadline};
    advance(action.job);
}

void jobs::handle(const placement::stop_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end() || found->second.placementAttempt != action.attempt)
        return;
    found->second.stopRequest = {placement::attempt_end::Cancelled, {}, milliseconds {0}};
    advance(action.job);
}

void jobs::handle(const placement::end_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end())
        return;
    found->second.end = end_job {action.job, action.code, action.detail};
    found->second.cancelSent = true; // placement has already removed the job
    advance(action.job);
}

void jobs::handle(const placement::job_waits &action)
{
    recordWait(action.job, action.reason, action.behind, action.detail);
}

void jobs::recordWait(job_id id, wait_reason reason, job_id behind, const std::string &detail)
{
    pendingWaits_[id] = {decision_kind::Waiting, {}, reason, result_code::Ok, behind, detail};
}

void jobs::handle(const placement::worker_quarantined &action)
{
    logFor("jobs")->warn("worker {} is quarantined for {} ms", action.worker,
                         action.duration.count());
    quarantined_.insert(action.worker);
}

void jobs::handle(const placement::worker_readmitted &action)
{
    quarantined_.erase(action.worker);
}

void jobs::commitRecords()
{
    if (pendingWaits_.empty() || recordsProposed_ || shared_.now() < nextRecords_)
        return;
    nextRecords_ = shared_.now() + recordsPeriod;
    recordsProposed_ = true;
    const append_records body {{pendingWaits_.begin(), pendingWaits_.end()}};
    pendingWaits_.clear();
    shared_.commit(body, [this](const auto &) { recordsProposed_ = false; });
}

void jobs::trim()
{
    const auto &data = shared_.data();
    if (trimProposed_ || shared_.now() < nextTrim_)
        return;
    nextTrim_ = shared_.now() + trimPeriod;
    const auto before = data.wall - endedRetention;
    const bool oldJob = !data.endedJobs.empty()
            && data.find(data.endedJobs.begin()->second)->endedAt < before;
    const bool oldIntent = !data.closedIntents.empty()
            && data.intents.at(*data.closedIntents.begin()->second.begin()).endedAt < before;
    if (data.endedJobs.size() <= maxEndedJobs && !oldJob && !oldIntent)
        return;
    trimProposed_ = true;
    shared_.commit(trim_finished {maxEndedJobs, before},
                   [this](const auto &) { trimProposed_ = false; });
}

} // namespace persimmon::control
