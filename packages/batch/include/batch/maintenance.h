#pragma once

#include "base/clock.h"
#include "batch/controller.h"
#include "batch/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace persimmon::batch {

// Answer of the platform to the order to take a machine down for upkeep.
enum class upkeep_outcome : std::uint8_t {
    Begun, // also if the upkeep had begun before
    Busy, // the machine is not up, or is leaving
    Fenced, // a leader with a higher fencing token has given orders
    NoMachine,
    Refused, // the machine is not part of this wave, or the order is invalid
};

std::string_view toName(upkeep_outcome outcome);

struct upkeep_order
{
    std::uint64_t wave = 0;
    std::string machine;
    std::uint64_t fencingToken = 0;
};

// Sends an order to the platform. A lost answer is reported as an error, although the order may
// have been carried out.
using order_function
        = std::function<void(const upkeep_order &, std::function<void(result<upkeep_outcome>)>)>;

struct maintenance_options
{
    milliseconds upkeep {2000}; // time for which a machine is down
    milliseconds orderLease {3000}; // a new leader sends no orders for this time
};

// Carries out waves of upkeep on the leader: cordons machines so that they get no new tasks, moves
// their running tasks, and orders their upkeep. No more machines are down at once than the wave
// allows. Each order and each later phase is committed before the next step. Not thread-safe: all
// calls must come from one thread.
class maintenance
{
public:
    maintenance(const ledger &state, controller &workers, maintenance_options options,
                propose_function propose);

    void setOrderFunction(order_function order) { order_ = std::move(order); }

    void beginTerm(std::uint64_t term, time_point now);
    void endTerm();

    // Advances all open waves. Must be called every 100 ms.
    void tick(time_point now, std::int64_t wallMs);

private:
    using key = std::pair<std::uint64_t, std::string>; // wave, machine

    struct progress
    {
        time_point cordonedAt {}; // when the machine was cordoned
        time_point downAt {};
        time_point nextOrder {};
        time_point unansweredAt {}; // when the newest order without an answer failed
        bool orderInFlight = false; // the platform has not answered yet
        bool committing = false;
    };

    void advanceWave(const wave_record &wave, time_point now, std::int64_t wallMs);
    void advanceMachine(const wave_record &wave, const std::string &machine,
                        const controller::machine_status &view, time_point now,
                        std::int64_t wallMs);
    void cordonNext(const wave_record &wave, time_point now);
    controller::machine_status statusOf(const std::string &machine) const;
    bool isDown(const wave_record &wave, const std::string &machine) const;
    milliseconds vacateTime(const wave_record &wave) const;
    void vacateMachine(const wave_record &wave, const std::string &machine,
                       const controller::machine_status &view, time_point now);
    void sendOrder(const key &target, time_point now);
    void handleOutcome(const key &target, const result<upkeep_outcome> &outcome);
    void commit(const key &target, upkeep_phase phase, std::int64_t incarnation);

    const ledger &state_;
    controller &workers_;
    maintenance_options options_;
    propose_function propose_;
    order_function order_;
    std::uint64_t term_ = 0; // 0: not leading
    time_point termStart_ {};
    std::map<key, progress> progress_; // of machines that are cordoned, ordered or down
    std::map<std::string, controller::machine_status> machines_; // as of the last tick
    time_point lastTick_ {}; // time of the last tick
    std::map<key, time_point> notBefore_; // earliest retry for machines that were busy
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace persimmon::batch
