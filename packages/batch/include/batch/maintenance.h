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

// Answer to the order to take a machine down for its upkeep.
enum class upkeep_outcome : std::uint8_t {
    Begun, // also if it had begun before
    Busy, // not up now, or leaving
    Fenced, // another leader with a higher token has given orders
    NoMachine,
    Refused, // the machine is not of this wave, or the order is wrong
};

std::string_view toName(upkeep_outcome outcome);

struct upkeep_order
{
    std::uint64_t wave = 0;
    std::string machine;
    std::uint64_t fencingToken = 0;
};

// Gives an order to the platform. A lost answer is an error; the order may have been carried out.
using order_function
        = std::function<void(const upkeep_order &, std::function<void(result<upkeep_outcome>)>)>;

struct maintenance_options
{
    milliseconds upkeep {2000}; // a machine is down for this time
    milliseconds orderLease {3000}; // a new leader gives no orders for this time
};

// Carries out waves of upkeep on the leader: closes machines to new tasks, moves what runs there,
// and orders their upkeep, with no more of them down at once than the wave allows. Each step is
// committed before it is taken. All calls belong to one thread.
class maintenance
{
public:
    maintenance(const ledger &state, controller &workers, maintenance_options options,
                propose_function propose);

    void orderBy(order_function order) { order_ = std::move(order); }

    void beginTerm(std::uint64_t term, time_point now);
    void endTerm();

    // Takes the next steps of all open waves. Call it every 100 ms.
    void tick(time_point now, std::int64_t wallMs);

private:
    using key = std::pair<std::uint64_t, std::string>; // wave, machine

    struct progress
    {
        time_point closedAt {}; // closed to new tasks
        time_point downAt {};
        time_point nextOrder {};
        time_point unansweredAt {}; // when the newest order without an answer was given up
        bool ordering = false; // waits for the platform's answer
        bool committing = false;
    };

    void tickWave(const wave_record &wave, time_point now, std::int64_t wallMs);
    void tickMachine(const wave_record &wave, const std::string &machine,
                     const controller::machine_view &view, time_point now, std::int64_t wallMs);
    void closeNext(const wave_record &wave, time_point now);
    controller::machine_view viewOf(const std::string &machine) const;
    bool isDown(const wave_record &wave, const std::string &machine) const;
    milliseconds patience(const wave_record &wave) const;
    void empty(const wave_record &wave, const std::string &machine,
               const controller::machine_view &view, time_point now);
    void giveOrder(const key &target, time_point now);
    void takeOutcome(const key &target, const result<upkeep_outcome> &outcome);
    void commit(const key &target, upkeep_phase phase, std::int64_t born);

    const ledger &state_;
    controller &workers_;
    maintenance_options options_;
    propose_function propose_;
    order_function order_;
    std::uint64_t term_ = 0; // 0: not leading
    time_point since_ {};
    std::map<key, progress> progress_; // of machines that are closed, ordered or down
    std::map<std::string, controller::machine_view> machines_; // as of the last tick
    time_point machinesAt_ {}; // time of the last tick
    std::map<key, time_point> notBefore_; // of machines that were not ready
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace persimmon::batch
