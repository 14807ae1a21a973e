#include "batch/maintenance.h"

#include "base/event_log.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

namespace persimmon::batch {

namespace {

// Pause before an order that failed, or that a machine was not ready for, is given again.
constexpr milliseconds orderPause {700};

// A machine that was not ready is tried again after this time.
constexpr milliseconds busyPause {1500};

// Added to the time of an upkeep, whose length is measured by another clock.
constexpr milliseconds upkeepMargin {300};

// A machine takes this long beyond its upkeep until its new worker is heard.
constexpr milliseconds returnTime {1500};

// A machine whose worker never comes back counts as up after this time beyond its upkeep.
constexpr milliseconds returnLimit {5000};

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
    since_ = now;
    progress_.clear();
    notBefore_.clear();
    alive_ = std::make_shared<int>(0);
    // Orders of the leader before may still reach the platform for a while.
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
    const bool open = std::ranges::any_of(state_.waves(), [](const auto &item) {
        return std::ranges::any_of(item.second.machines, [](const auto &machine) {
            return machine.second.phase < upkeep_phase::Finished;
        });
    });
    if (!open && progress_.empty())
        return;
    machines_ = workers_.viewMachines(now);
    machinesAt_ = now;
    for (const auto &[id, wave] : state_.waves())
        tickWave(wave, now, wallMs);
    std::set<std::string> closed;
    for (const auto &[target, item] : progress_)
        closed.insert(target.second);
    workers_.closeMachines(std::move(closed));
}

void maintenance::tickWave(const wave_record &wave, time_point now, std::int64_t wallMs)
{
    for (const auto &[machine, state] : wave.machines)
        tickMachine(wave, machine, viewOf(machine), now, wallMs);
    closeNext(wave, now);
}

controller::machine_view maintenance::viewOf(const std::string &machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? controller::machine_view {} : found->second;
}

void maintenance::tickMachine(const wave_record &wave, const std::string &machine,
                              const controller::machine_view &view, time_point now,
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
            empty(wave, machine, view, now);
        return;
    }
    auto &item = progress_[target];
    if (item.committing)
        return;
    if (state.phase == upkeep_phase::Ordered)
        return giveOrder(target, now);
    if (item.downAt == time_point {})
        item.downAt = now;
    // Its upkeep had begun by the platform's answer, so what is heard later is the new worker.
    const bool later = view.heardAt > item.downAt + options_.upkeep + upkeepMargin;
    const bool back = view.heard && (view.born > state.born || later);
    if (back || now > item.downAt + options_.upkeep + returnLimit) {
        logEvent("upkeep.finished",
                 {{"wave", wave.spec.id},
                  {"machine", machine},
                  {"worker", view.worker},
                  {"took_ms", wallMs - wave.startedMs},
                  {"outcome", back ? "ok" : "not heard again"}});
        commit(target, upkeep_phase::Finished, view.born);
    }
}

// A machine without runs is ordered at once; runs get some time to end by themselves.
void maintenance::empty(const wave_record &wave, const std::string &machine,
                        const controller::machine_view &view, time_point now)
{
    const key target {wave.spec.id, machine};
    if (view.runs == 0 && now > since_ + options_.orderLease)
        return commit(target, upkeep_phase::Ordered, view.born);
    if (view.runs > 0 && now > progress_[target].closedAt + patience(wave))
        workers_.evacuate(view.worker);
}

// Time that each group of machines has for emptying, so that the wave ends in time.
milliseconds maintenance::patience(const wave_record &wave) const
{
    const auto atOnce = std::max(1U, wave.spec.atOnce);
    const auto groups = static_cast<std::int64_t>((wave.machines.size() + atOnce - 1) / atOnce);
    const milliseconds each {wave.spec.durationMs / std::max<std::int64_t>(1, groups)};
    return std::max(milliseconds {0}, each - options_.upkeep - returnTime);
}

bool maintenance::isDown(const wave_record &wave, const std::string &machine) const
{
    const auto phase = wave.machines.at(machine).phase;
    return phase == upkeep_phase::Ordered || phase == upkeep_phase::Down;
}

// Closes the machines on which least work is lost, as many as may be down besides the others;
// silent ones last.
void maintenance::closeNext(const wave_record &wave, time_point now)
{
    std::size_t used = 0;
    std::vector<std::tuple<bool, double, std::string>> waiting; // silent, lost work, machine
    for (const auto &[machine, state] : wave.machines) {
        if (isDown(wave, machine) || progress_.contains({wave.spec.id, machine})) {
            ++used;
            continue;
        }
        if (state.phase != upkeep_phase::Waiting)
            continue;
        const auto pause = notBefore_.find({wave.spec.id, machine});
        if (pause != notBefore_.end() && now < pause->second)
            continue;
        const auto view = viewOf(machine);
        waiting.emplace_back(!view.heard, view.heard ? view.lostSeconds : 0, machine);
    }
    std::ranges::sort(waiting);
    for (const auto &[silent, cost, machine] : waiting) {
        if (used >= wave.spec.atOnce)
            break;
        ++used;
        progress_[{wave.spec.id, machine}].closedAt = now;
        logEvent("upkeep.closed",
                 {{"wave", wave.spec.id},
                  {"machine", machine},
                  {"lost_core_seconds", cost},
                  {"down_or_closed", used},
                  {"limit", wave.spec.atOnce}});
    }
}

void maintenance::giveOrder(const key &target, time_point now)
{
    auto &item = progress_[target];
    if (!order_ || item.ordering || now < item.nextOrder || now < since_ + options_.orderLease)
        return;
    item.ordering = true;
    item.nextOrder = now + orderPause;
    order_({target.first, target.second, term_},
           [this, target,
            alive = std::weak_ptr<int>(alive_)](const result<upkeep_outcome> &outcome) {
               if (!alive.expired())
                   takeOutcome(target, outcome);
           });
}

void maintenance::takeOutcome(const key &target, const result<upkeep_outcome> &outcome)
{
    auto &item = progress_[target];
    item.ordering = false;
    logEvent("upkeep.answer",
             {{"wave", target.first},
              {"machine", target.second},
              {"token", term_},
              {"outcome",
               failed(outcome) ? errorOf(outcome).detail : std::string(toName(valueOf(outcome)))}});
    if (failed(outcome)) {
        item.unansweredAt = machinesAt_;
        return;
    }
    switch (valueOf(outcome)) {
    case upkeep_outcome::Begun:
        return commit(target, upkeep_phase::Down, viewOf(target.second).born);
    case upkeep_outcome::NoMachine:
        return commit(target, upkeep_phase::Gone, 0);
    case upkeep_outcome::Busy:
        // It may be down by an order of which no answer came, of this leader or an earlier one.
        if (machinesAt_ < item.unansweredAt + options_.upkeep + upkeepMargin)
            return;
        notBefore_[target] = item.nextOrder + busyPause;
        return commit(target, upkeep_phase::Waiting, 0);
    case upkeep_outcome::Fenced:
    case upkeep_outcome::Refused:
        // A node that leads no more learns of it soon; a wrong order is no reason to leave it out.
        item.nextOrder += options_.orderLease;
        return;
    }
}

void maintenance::commit(const key &target, upkeep_phase phase, std::int64_t born)
{
    progress_[target].committing = true;
    if (phase == upkeep_phase::Waiting)
        progress_[target].closedAt = {};
    propose_(note_upkeep {target.first, target.second, phase, born},
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
