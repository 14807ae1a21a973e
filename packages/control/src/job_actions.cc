#include "base/log.h"
#include "jobs.h"

namespace persimmon::control {

namespace {

// Wait reasons are committed in batches, because one change of the pool may change many at once.
constexpr milliseconds recordsPeriod {500};
constexpr milliseconds trimPeriod {10000};
// 39,000 jobs end in a day at the target size.
constexpr std::size_t keptJobs = 40000;
constexpr wall_ms keptTime {24 * 3600 * 1000};

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
            std::visit([this](const auto &value) { take(value); }, action);
    }
    stepping_ = false;
}

void jobs::take(const placement::place_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end()) {
        // The job has ended; placement's attempt is over before it began.
        deferred_.push_back({action.job, action.attempt, placement::attempt_end::Cancelled, {}});
        return;
    }
    auto &job = found->second;
    job.placed = true;
    job.placementAttempt = action.attempt;
    job.grant = grant_attempt {action.job, 0, {}, action.borrowed, action.reason};
    for (const auto &worker : action.workers)
        job.grant->workers.push_back({worker, 0});
    waits_.erase(action.job);
    advance(action.job);
}

void jobs::take(const placement::preempt_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end() || found->second.placementAttempt != action.attempt)
        return;
    found->second.wish = {placement::attempt_end::Preempted, action.forJob, action.deadline};
    advance(action.job);
}

void jobs::take(const placement::stop_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end() || found->second.placementAttempt != action.attempt)
        return;
    found->second.wish = {placement::attempt_end::Cancelled, {}, milliseconds {0}};
    advance(action.job);
}

void jobs::take(const placement::end_job &action)
{
    const auto found = tracked_.find(action.job);
    if (found == tracked_.end())
        return;
    found->second.end = end_job {action.job, action.code, action.detail};
    found->second.cancelTold = true; // placement has dropped the job by itself
    advance(action.job);
}

void jobs::take(const placement::job_waits &action)
{
    noteWait(action.job, action.reason, action.behind, action.detail);
}

void jobs::noteWait(job_id id, wait_reason reason, job_id behind, const std::string &detail)
{
    waits_[id] = {decision_kind::Waiting, {}, reason, result_code::Ok, behind, detail};
}

void jobs::take(const placement::worker_quarantined &action)
{
    logFor("jobs")->warn("worker {} is quarantined for {} ms", action.worker,
                         action.duration.count());
    quarantined_.insert(action.worker);
}

void jobs::take(const placement::worker_readmitted &action)
{
    quarantined_.erase(action.worker);
}

void jobs::commitRecords()
{
    if (waits_.empty() || recordsProposed_ || shared_.now() < nextRecords_)
        return;
    nextRecords_ = shared_.now() + recordsPeriod;
    recordsProposed_ = true;
    const append_records body {{waits_.begin(), waits_.end()}};
    waits_.clear();
    shared_.commit(body, [this](const auto &) { recordsProposed_ = false; });
}

void jobs::trim()
{
    const auto &data = shared_.data();
    if (trimProposed_ || shared_.now() < nextTrim_)
        return;
    nextTrim_ = shared_.now() + trimPeriod;
    const auto before = data.wall - keptTime;
    const bool oldJob = !data.endedJobs.empty()
            && data.find(data.endedJobs.begin()->second)->endedAt < before;
    const bool oldIntent = !data.closedIntents.empty()
            && data.intents.at(*data.closedIntents.begin()->second.begin()).endedAt < before;
    if (data.endedJobs.size() <= keptJobs && !oldJob && !oldIntent)
        return;
    trimProposed_ = true;
    shared_.commit(trim_finished {keptJobs, before},
                   [this](const auto &) { trimProposed_ = false; });
}

} // namespace persimmon::control
