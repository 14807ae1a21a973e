#include "batch/stall_watch.h"

#include "units.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Work starts within 3 s beside room that it may use, and within 7 s after the loss of a worker.
// The rest of that time is for a pass, the commit of the start and the way of the order.
constexpr milliseconds maxStall {2000};
constexpr milliseconds calmAfterLoss {6300};

// Tasks that last may be away for 6 s before their 3 s begin.
constexpr milliseconds maxAbsence {8000};

// From the loss of a leader to the term of the next one, about.
constexpr milliseconds electionTime {1000};

// A stall of this time is logged, and again after each such time. Work should start in 3 s.
constexpr milliseconds reportPeriod {2000};

// Stalls logged in one pass, so that the lines of a second stay within the limit of an event.
constexpr std::size_t maxReports = 3;

// A run that its worker hasn't listed for this time doesn't count as working. Longer than the time
// between two heartbeats.
constexpr milliseconds heardLimit {2500};

// What is known of the tasks of a job.
struct job_survey
{
    bool working = false;
    std::optional<task_id> ready; // the first task that waits for a start
    std::optional<assignment> unheard; // the first run that no worker lists
    std::optional<time_point> lastHeard; // of the runs that no worker lists any more
};

void surveyRun(const assignment &run, const stall_watch::heard_function &lastHeard, time_point now,
               job_survey &survey)
{
    const auto heard = lastHeard(run);
    if (heard && now - *heard < heardLimit) {
        survey.working = true;
        return;
    }
    if (!survey.unheard)
        survey.unheard = run;
    if (heard)
        survey.lastHeard = std::max(*heard, survey.lastHeard.value_or(*heard));
}

void surveyStep(const task_id &first, const step_state &step,
                const stall_watch::heard_function &lastHeard, time_point now, job_survey &survey)
{
    for (std::uint32_t i = 0; i < step.tasks.size() && !survey.working; ++i) {
        const auto &task = step.tasks[i];
        if (task.done)
            continue;
        auto id = first;
        id.index = i;
        if (task.active)
            surveyRun({id, task.run, task.worker, task.incarnation}, lastHeard, now, survey);
        else if (!survey.ready)
            survey.ready = id;
    }
}

// Calls `visit` for each step of a job whose turn has come, with the id of its first task.
template <typename Visit>
void forEachReadyStep(const job_record &job, std::int64_t wallMs, Visit visit)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        if (detail::scheduledMs(job, occurrence) > wallMs)
            return;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (detail::isReady(job, occurrence, job.spec.steps[step]))
                visit(task_id {job.id, occurrence, step, 0});
        }
    }
}

job_survey surveyOf(const job_record &job, const stall_watch::heard_function &lastHeard,
                    time_point now, std::int64_t wallMs)
{
    job_survey survey;
    forEachReadyStep(job, wallMs, [&](const task_id &first) {
        surveyStep(first, job.stepOf(first), lastHeard, now, survey);
    });
    return survey;
}

} // namespace

// What was away when the term began may have been so for long.
stall_watch::absence stall_watch::newAbsence(const task_state &task,
                                             std::optional<time_point> heard, time_point now) const
{
    if (!updated_)
        return {now - electionTime, calmAfterLoss};
    return {heard.value_or(now), task.run == 0 ? maxStall : maxAbsence};
}

void stall_watch::addAbsences(const task_id &first, const step_state &step,
                              const heard_function &lastHeard, time_point now,
                              absence_map &found) const
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto &task = step.tasks[i];
        auto id = first;
        id.index = i;
        std::optional<time_point> heard;
        if (task.active)
            heard = lastHeard({id, task.run, task.worker, task.incarnation});
        if (heard && now - *heard < heardLimit)
            continue;
        const auto known = absences_.find(id);
        found[id] = known == absences_.end() ? newAbsence(task, heard, now) : known->second;
    }
}

void stall_watch::update(const ledger &state, const heard_function &lastHeard, time_point now,
                         std::int64_t wallMs)
{
    std::map<std::string, entry> stalled;
    absence_map absences;
    state.forEachOpenJob([&](const job_record &job) {
        if (job.ended())
            return;
        forEachReadyStep(job, wallMs, [&](const task_id &first) {
            if (job.spec.steps[first.step].longRunning)
                addAbsences(first, job.stepOf(first), lastHeard, now, absences);
        });
        const auto survey = surveyOf(job, lastHeard, now, wallMs);
        if (survey.working || (!survey.ready && !survey.unheard))
            return;
        if (survey.lastHeard)
            recordLoss(*survey.lastHeard);
        const auto known = jobs_.find(job.id);
        auto &item = stalled[job.id];
        if (known != jobs_.end())
            item = known->second;
        else
            item.job.since = survey.lastHeard.value_or(now);
        item.job.task = survey.ready ? *survey.ready : survey.unheard->task;
        item.job.unheard = survey.unheard;
    });
    jobs_ = std::move(stalled);
    absences_ = std::move(absences);
    updated_ = true;
}

std::chrono::microseconds stall_watch::stalledFor(const std::string &job, time_point now) const
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? std::chrono::microseconds {0} : now - found->second.job.since;
}

std::vector<stalled_job> stall_watch::takeDueReports(time_point now)
{
    std::vector<stalled_job> due;
    for (auto &[id, item] : jobs_) {
        if (due.size() == maxReports)
            break;
        if (now - item.job.since < reportPeriod || now < item.nextReport)
            continue;
        item.nextReport = now + reportPeriod;
        due.push_back(item.job);
    }
    return due;
}

bool stall_watch::isOverdue(const std::string &job, time_point now) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && !found->second.job.unheard
            && now - found->second.job.since >= maxStall;
}

bool stall_watch::isOverdue(const task_id &task, time_point now) const
{
    const auto found = absences_.find(task);
    return found != absences_.end() && now - found->second.since >= found->second.limit;
}

bool stall_watch::isCalm(time_point now) const
{
    return now - newestLoss_ >= calmAfterLoss;
}

void stall_watch::clear()
{
    *this = {};
}

std::chrono::microseconds stall_watch::longest(time_point now) const
{
    std::chrono::microseconds found {0};
    for (const auto &[id, item] : jobs_)
        found = std::max<std::chrono::microseconds>(found, now - item.job.since);
    return found;
}

} // namespace persimmon::batch
