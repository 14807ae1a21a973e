#include "base/event_log.h"
#include "batch/controller.h"

// Availability zones: which workers and runs they have, and which of them are empty.
namespace persimmon::batch {

controller::zone_use controller::zoneUse(std::string_view zone) const
{
    zone_use use;
    for (const auto &[id, worker] : workers_) {
        if (worker.report.zone != zone)
            continue;
        use.workers += worker.leftAt ? 0 : 1;
        use.runs += state_.runsOn(id).size();
    }
    return use;
}

std::map<std::string, controller::zone_use> controller::zoneUses() const
{
    std::map<std::string, zone_use> uses;
    for (const auto &[id, worker] : workers_) {
        auto &use = uses[worker.report.zone];
        use.workers += worker.leftAt ? 0 : 1;
        use.runs += state_.runsOn(id).size();
    }
    return uses;
}

bool controller::hasHeardFleet() const
{
    return term_ != 0 && termStart_ + leaseEnd() < now_;
}

bool controller::isEvacuated(const std::string &worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && state_.isEvacuated(found->second.report.zone);
}

// Logs each evacuated zone once in a term, when its last run has ended.
void controller::logEmptiedZones(std::int64_t wallMs)
{
    std::erase_if(emptiedZones_,
                  [this](const std::string &zone) { return !state_.isEvacuated(zone); });
    if (!hasHeardFleet())
        return;
    for (const auto &[zone, order] : state_.evacuations()) {
        if (emptiedZones_.contains(zone))
            continue;
        const auto use = zoneUse(zone);
        if (use.runs > 0)
            continue;
        emptiedZones_.insert(zone);
        logEvent("zone.emptied",
                 {{"zone", zone}, {"workers", use.workers}, {"took_ms", wallMs - order.sinceMs}});
    }
}

std::vector<stall_cause> controller::waitsOf(const std::string &job) const
{
    if (term_ == 0)
        return {};
    auto input = scheduleInput(now_, wallMs_);
    input.explain.insert(job);
    return scheduler_.explain(input);
}

} // namespace persimmon::batch
