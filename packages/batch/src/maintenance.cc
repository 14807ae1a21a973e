#include "batch/maintenance.h"

#include "base/event_log.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

namespace persimmon::batch {

namespace {

// Minimum time between two orders for the same machine.
constexpr milliseconds orderRetryDelay {700};

// Additional pause before a machine that was busy is cordoned again.
constexpr milliseconds busyRetryDelay {1500};

// Added to the duration of an upkeep, because the platform measures it by a different clock.
constexpr milliseconds clockMargin {300};

// Expected time from the end of the upkeep of a machine to the first heartbeat of its new worker.
constexpr milliseconds restartTime {1500};

// A machine without a heartbeat for this time after its upkeep is treated as up again.
constexpr milliseconds restartLimit {5000};

} // namespace

std::string_view toName(upkeep_outcome outcome)
{
    static constexpr std::array<std::string_view, 5> names {"begun", "busy", "fenced", "no_machine",
                                                            "refused"};
    return names.at(static_cast<std::size_t>(outcome));
}

maintenance::maintenance(const ledger &state, controller &workers, maintenance_options options,
                         propose_function propose)
    : state_(state)
    , workers_(workers)
    , options_(options)
    , propose_(std::move(propose))
{
}

void maintenance::beginTerm(std::uint64_t term, time_point now)
{
    term_ = term;
    termStart_ = now;
    progress_.clear();
    notBefore_.clear();
    alive_ = std::make_shared<int>(0);
    // Orders of the previous leader may still reach the platform until its lease has expired.
    for (const auto &[id, wave] : state_.waves()) {
        for (const auto &[machine, state] : wave.machines) {
            if (state.phase == upkeep_phase::Ordered)
                progress_[{id, machine}].unansweredAt = now + options_.orderLease;
        }
    }
}

void maintenance::endTerm()
{
    term_ = 0;
    progress_.clear();
    notBefore_.clear();
    alive_ = std::make_shared<int>(0);
}

void maintenance::tick(time_point now, std::int64_t wallMs)
{
    if (term_ == 0)
        return;
    const bool hasUnfinished = std::ranges::any_of(state_.waves(), [](const auto &item) {
        return std::ranges::any_of(item.second.machines, [](const auto &machine) {
            return machine.second.phase < upkeep_phase::Finished;
        });
    });
    if (!hasUnfinished && progress_.empty())
        return;
    machines_ = workers_.machineStatuses(now);
    lastTick_ = now;
    for (const auto &[id, wave] : state_.waves())
        advanceWave(wave, now, wallMs);
    std::set<std::string> cordoned;
    for (const auto &[target, item] : progress_)
        cordoned.insert(target.second);
    workers_.cordonMachines(std::move(cordoned));
}

void maintenance::advanceWave(const wave_record &wave, time_point now, std::int64_t wallMs)
{
    for (const auto &[machine, state] : wave.machines)
        advanceMachine(wave, machine, statusOf(machine), now, wallMs);
    cordonNext(wave, now);
}

controller::machine_status maintenance::statusOf(const std::string &machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? controller::machine_status {} : found->second;
}

void maintenance::advanceMachine(const wave_record &wave, const std::string &machine,
                                 const controller::machine_status &view, time_point now,
                                 std::int64_t wallMs)
{
    const key target {wave.spec.id, machine};
    const auto &state = wave.machines.at(machine);
    if (state.phase >= upkeep_phase::Finished) {
        progress_.erase(target);
        return;
    }
    if (state.phase == upkeep_phase::Waiting) {
        if (progress_.contains(target) && !progress_[target].committing)
            vacateMachine(wave, machine, view, now);
        return;
    }
    auto &item = progress_[target];
    if (item.committing)
        return;
    if (state.phase == upkeep_phase::Ordered)
        return sendOrder(target, now);
    if (item.downAt == time_point {})
        item.downAt = now;
    // The upkeep had begun when the platform answered, so a heartbeat received after its end comes
    // from the new worker.
    const bool restarted = view.lastHeartbeat > item.downAt + options_.upkeep + clockMargin;
    const bool returned = view.responsive && (view.incarnation > state.incarnation || restarted);
    if (returned || now > item.downAt + options_.upkeep + restartLimit) {
        logEvent("upkeep.finished",
                 {{"wave", wave.spec.id},
                  {"machine", machine},
                  {"worker", view.worker},
                  {"took_ms", wallMs - wave.startedMs},
                  {"outcome", returned ? "ok" : "no heartbeat after the upkeep"}});
        commit(target, upkeep_phase::Finished, view.incarnation);
    }
}

// Orders the upkeep of a machine as soon as it has no runs. Active runs get some time to end by
// themselves before they are stopped.
void maintenance::vacateMachine(const wave_record &wave, const std::string &machine,
                                const controller::machine_status &view, time_point now)
{
    const key target {wave.spec.id, machine};
    if (view.runs == 0 && now > termStart_ + options_.orderLease)
        return commit(target, upkeep_phase::Ordered, view.incarnation);
    if (view.runs > 0 && now > progress_[target].cordonedAt + vacateTime(wave))
        workers_.vacate(view.worker);
}

// Returns the time that the runs on a machine get to end by themselves, so that the wave keeps its
// target duration. Machines are processed in groups of atOnce.
milliseconds maintenance::vacateTime(const wave_record &wave) const
{
    const auto atOnce = std::max(1U, wave.spec.atOnce);
    const auto groups = static_cast<std::int64_t>((wave.machines.size() + atOnce - 1) / atOnce);
    const milliseconds timePerGroup {wave.spec.durationMs / std::max<std::int64_t>(1, groups)};
    return std::max(milliseconds {0}, timePerGroup - options_.upkeep - restartTime);
}

bool maintenance::isDown(const wave_record &wave, const std::string &machine) const
{
    const auto phase = wave.machines.at(machine).phase;
    return phase == upkeep_phase::Ordered || phase == upkeep_phase::Down;
}

// Cordons machines until the number of machines that are cordoned, ordered or down reaches the
// limit of the wave. Machines on which less work would be lost come first, unresponsive ones last.
void maintenance::cordonNext(const wave_record &wave, time_point now)
{
    std::size_t occupied = 0;
    std::vector<std::tuple<bool, double, std::string>> waiting; // unresponsive, lost work, machine
    for (const auto &[machine, state] : wave.machines) {
        if (isDown(wave, machine) || progress_.contains({wave.spec.id, machine})) {
            ++occupied;
            continue;
        }
        if (state.phase != upkeep_phase::Waiting)
            continue;
        const auto notBefore = notBefore_.find({wave.spec.id, machine});
        if (notBefore != notBefore_.end() && now < notBefore->second)
            continue;
        const auto view = statusOf(machine);
        waiting.emplace_back(!view.responsive, view.responsive ? view.lostSeconds : 0, machine);
    }
    std::ranges::sort(waiting);
    for (const auto &[unresponsive, cost, machine] : waiting) {
        if (occupied >= wave.spec.atOnce)
            break;
        ++occupied;
        progress_[{wave.spec.id, machine}].cordonedAt = now;
        logEvent("upkeep.closed",
                 {{"wave", wave.spec.id},
                  {"machine", machine},
                  {"lost_core_seconds", cost},
                  {"down_or_closed", occupied},
                  {"limit", wave.spec.atOnce}});
    }
}

void maintenance::sendOrder(const key &target, time_point now)
{
    auto &item = progress_[target];
    if (!order_ || item.orderInFlight || now < item.nextOrder
        || now < termStart_ + options_.orderLease)
        return;
    item.orderInFlight = true;
    item.nextOrder = now + orderRetryDelay;
    order_({target.first, target.second, term_},
           [this, target,
            alive = std::weak_ptr<int>(alive_)](const result<upkeep_outcome> &outcome) {
               if (!alive.expired())
                   handleOutcome(target, outcome);
           });
}

void maintenance::handleOutcome(const key &target, const result<upkeep_outcome> &outcome)
{
    auto &item = progress_[target];
    item.orderInFlight = false;
    logEvent("upkeep.answer",
             {{"wave", target.first},
              {"machine", target.second},
              {"token", term_},
              {"outcome",
               failed(outcome) ? errorOf(outcome).detail : std::string(toName(valueOf(outcome)))}});
    if (failed(outcome)) {
        item.unansweredAt = lastTick_;
        return;
    }
    switch (valueOf(outcome)) {
    case upkeep_outcome::Begun:
        return commit(target, upkeep_phase::Down, statusOf(target.second).incarnation);
    case upkeep_outcome::NoMachine:
        return commit(target, upkeep_phase::Gone, 0);
    case upkeep_outcome::Busy:
        // The machine may be down because of an order without an answer, sent by this leader or by
        // an earlier one.
        if (lastTick_ < item.unansweredAt + options_.upkeep + clockMargin)
            return;
        notBefore_[target] = item.nextOrder + busyRetryDelay;
        return commit(target, upkeep_phase::Waiting, 0);
    case upkeep_outcome::Fenced:
    case upkeep_outcome::Refused:
        // Fenced: this node will soon find out that it no longer leads. Refused: the machine still
        // needs its upkeep, so the order is retried later.
        item.nextOrder += options_.orderLease;
        return;
    }
}

void maintenance::commit(const key &target, upkeep_phase phase, std::int64_t incarnation)
{
    progress_[target].committing = true;
    if (phase == upkeep_phase::Waiting)
        progress_[target].cordonedAt = {};
    propose_(set_upkeep_phase {target.first, target.second, phase, incarnation},
             [this, target, phase, alive = std::weak_ptr<int>(alive_)](const status &done) {
                 if (alive.expired())
                     return;
                 progress_[target].committing = false;
                 if (phase == upkeep_phase::Waiting && !failed(done))
                     progress_.erase(target);
                 logEvent("upkeep.phase",
                          {{"wave", target.first},
                           {"machine", target.second},
                           {"phase", toName(phase)},
                           {"outcome", failed(done) ? errorOf(done).detail : "ok"}});
             });
}

} // namespace persimmon::batch
