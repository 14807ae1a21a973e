#include "apps/batch_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <set>
#include <span>

namespace persimmon::apps {

namespace {

constexpr std::size_t maxTenantLabels = 400;
constexpr std::size_t maxZoneLabels = 100;

// Bucket bounds in seconds; long jobs run for hours.
const prometheus::Histogram::BucketBoundaries jobBuckets {0.25, 0.5, 1,   2.5, 5,    10,   30,
                                                          60,   120, 300, 900, 3600, 14400};
const prometheus::Histogram::BucketBoundaries requestBuckets {0.005, 0.01, 0.025, 0.05, 0.1,
                                                              0.25,  0.5,  1,     2.5,  5};

const prometheus::Histogram::BucketBoundaries stageBuckets {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 30};

double secondsBetween(std::int64_t fromMs, std::int64_t toMs)
{
    return static_cast<double>(toMs - fromMs) / 1000;
}

template <typename Builder>
auto &familyOf(prometheus::Registry &registry, Builder builder, const char *name, const char *help)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace

class batch_metrics::implementation
{
public:
    void observe(const batch::ledger_event &event, std::int64_t wallMs)
    {
        const auto &job = *event.job;
        const prometheus::Labels labels {{"tenant", tenantLabel(job.tenant)},
                                         {"priority", std::to_string(job.source.priority)}};
        switch (event.kind) {
        case batch::ledger_event_kind::JobBegun:
            jobWaitSeconds_.Add(labels, jobBuckets).Observe(secondsBetween(job.acceptedMs, wallMs));
            return;
        case batch::ledger_event_kind::JobEnded:
            jobSeconds_.Add(labels, jobBuckets)
                    .Observe(secondsBetween(job.acceptedMs, job.endedMs));
            jobsTotal_
                    .Add({{"tenant", tenantLabel(job.tenant)},
                          {"outcome", std::string(batch::toName(job.state))}})
                    .Increment();
            return;
        case batch::ledger_event_kind::RunEnded:
            runsTotal_.Add({{"how", std::string(batch::toName(event.endKind))}}).Increment();
            return;
        case batch::ledger_event_kind::RunLost:
            lostRunsTotal_.Add({{"kind", std::string(batch::toName(event.lossKind))}}).Increment();
            return;
        }
    }

    void observeRequest(std::string_view kind, int status, double seconds)
    {
        callsTotal_.Add({{"kind", std::string(kind)}, {"status", std::to_string(status)}})
                .Increment();
        callSeconds_.Add({{"kind", std::string(kind)}}, requestBuckets).Observe(seconds);
    }

    void observeStage(batch::latency_stage stage, std::chrono::microseconds duration)
    {
        stageSeconds_.Add({{"stage", std::string(batch::toName(stage))}}, stageBuckets)
                .Observe(std::chrono::duration<double>(duration).count());
    }

    void observeDiscarded(const batch::discarded_work &work)
    {
        const auto &beneficiary = work.beneficiaryPriority;
        const prometheus::Labels labels {
                {"cause", std::string(toName(work.cause))},
                {"priority", std::to_string(work.priority)},
                {"for_priority", beneficiary ? std::to_string(*beneficiary) : "none"}};
        discardedRunsTotal_.Add(labels).Increment();
        discardedCoreSeconds_.Add(labels).Increment(work.coreSeconds);
    }

    std::string serialize(const scheduler_gauges &gauges)
    {
        const auto setGauge = [this](const char *what, double value) {
            schedulerState_.Add({{"what", what}}).Set(value);
        };
        setGauge("leading", gauges.leading ? 1 : 0);
        setGauge("term", static_cast<double>(gauges.term));
        setGauge("committed_entries", static_cast<double>(gauges.committed));
        setGauge("configuration_version", static_cast<double>(gauges.configurationVersion));
        setGauge("workers", static_cast<double>(gauges.workers));
        setGauge("jobs", static_cast<double>(gauges.jobs));
        setGauge("stalled_jobs", static_cast<double>(gauges.stalledJobs));
        setGauge("longest_stall_seconds", gauges.longestStallSeconds);
        setGauge("interfering_pairs", static_cast<double>(gauges.interferingPairs));
        setGauge("compared_pairs", static_cast<double>(gauges.comparedPairs));
        setZones(gauges.zones);
        return prometheus::TextSerializer {}.Serialize(registry_.Collect());
    }

private:
    // Zones that are no longer known have no gauges.
    void setZones(std::span<const batch::service::zone_status> zones)
    {
        for (auto *gauge : zoneGauges_)
            zoneState_.Remove(gauge);
        zoneGauges_.clear();
        const auto setGauge = [this](const std::string &zone, const char *what, double value) {
            auto &gauge = zoneState_.Add({{"zone", zone}, {"what", what}});
            gauge.Set(value);
            zoneGauges_.push_back(&gauge);
        };
        for (const auto &zone : zones.first(std::min(zones.size(), maxZoneLabels))) {
            setGauge(zone.name, "evacuated", zone.evacuated ? 1 : 0);
            setGauge(zone.name, "workers", static_cast<double>(zone.use.workers));
            setGauge(zone.name, "runs", static_cast<double>(zone.use.runs));
        }
    }

    std::string tenantLabel(const std::string &tenant)
    {
        if (tenants_.size() < maxTenantLabels)
            tenants_.insert(tenant);
        return tenants_.contains(tenant) ? tenant : "other";
    }

    prometheus::Registry registry_;
    std::set<std::string> tenants_;
    prometheus::Family<prometheus::Histogram> &jobWaitSeconds_
            = familyOf(registry_, prometheus::BuildHistogram(), "persimmon_job_wait_seconds",
                       "Time from the acceptance of a job to the order of its first run");
    prometheus::Family<prometheus::Histogram> &jobSeconds_
            = familyOf(registry_, prometheus::BuildHistogram(), "persimmon_job_seconds",
                       "Time from the acceptance of a job to its end");
    prometheus::Family<prometheus::Counter> &jobsTotal_
            = familyOf(registry_, prometheus::BuildCounter(), "persimmon_jobs_total",
                       "Ended jobs by tenant and outcome");
    prometheus::Family<prometheus::Counter> &runsTotal_
            = familyOf(registry_, prometheus::BuildCounter(), "persimmon_runs_total",
                       "Ended runs of tasks by how they ended");
    prometheus::Family<prometheus::Counter> &lostRunsTotal_
            = familyOf(registry_, prometheus::BuildCounter(), "persimmon_lost_runs_total",
                       "Runs whose worker was lost, by what is known of the cause");
    prometheus::Family<prometheus::Counter> &callsTotal_
            = familyOf(registry_, prometheus::BuildCounter(), "persimmon_calls_total",
                       "Answered calls by kind and HTTP status");
    prometheus::Family<prometheus::Histogram> &callSeconds_
            = familyOf(registry_, prometheus::BuildHistogram(), "persimmon_call_seconds",
                       "Time from the arrival of a call to its answer");
    prometheus::Family<prometheus::Histogram> &stageSeconds_ = familyOf(
            registry_, prometheus::BuildHistogram(), "persimmon_stage_seconds",
            "Stages from the acceptance of a job to the report of its first run, answers "
            "to heartbeats and scheduling passes");
    prometheus::Family<prometheus::Counter> &discardedRunsTotal_
            = familyOf(registry_, prometheus::BuildCounter(), "persimmon_discarded_runs_total",
                       "Runs that ended early, by cause, priority of their job and of the job that "
                       "starts instead");
    prometheus::Family<prometheus::Counter> &discardedCoreSeconds_ = familyOf(
            registry_, prometheus::BuildCounter(), "persimmon_discarded_core_seconds_total",
            "Work of these runs that has to be done again (an accelerator counts as 8 cores)");
    prometheus::Family<prometheus::Gauge> &schedulerState_ = familyOf(
            registry_, prometheus::BuildGauge(), "persimmon_scheduler_state",
            "Leadership (1: leads), term, committed entries, version of the "
            "configuration, known workers and jobs, stalled jobs and the longest stall, pairs "
            "of kinds of task that slow each other down and that were compared");
    prometheus::Family<prometheus::Gauge> &zoneState_
            = familyOf(registry_, prometheus::BuildGauge(), "persimmon_zone_state",
                       "On the leader, by availability zone: 1 if it is evacuated, its workers and "
                       "their active runs");
    std::vector<prometheus::Gauge *> zoneGauges_;
};

batch_metrics::batch_metrics()
    : implementation_(std::make_unique<implementation>())
{
}

batch_metrics::~batch_metrics() = default;

void batch_metrics::observe(const batch::ledger_event &event, std::int64_t wallMs)
{
    implementation_->observe(event, wallMs);
}

void batch_metrics::observeRequest(std::string_view kind, int status, double seconds)
{
    implementation_->observeRequest(kind, status, seconds);
}

void batch_metrics::observeStage(batch::latency_stage stage, std::chrono::microseconds duration)
{
    implementation_->observeStage(stage, duration);
}

void batch_metrics::observeDiscarded(const batch::discarded_work &work)
{
    implementation_->observeDiscarded(work);
}

std::string batch_metrics::serialize(const scheduler_gauges &gauges)
{
    return implementation_->serialize(gauges);
}

} // namespace persimmon::apps
