// Runs upkeep waves under random faults: answers are late or lost, leaders change, and machines
// crash, come back and leave. The simulated platform checks the limits.
#include "batch/maintenance.h"
#include "fixture.h"

#include <algorithm>
#include <random>

using namespace persimmon;
using namespace persimmon::batch;

namespace {

constexpr std::int64_t stepMs = 50;
constexpr std::int64_t upkeepMs = 1000;
constexpr int machineCount = 8;

struct machine_model
{
    std::int64_t born = 1;
    std::int64_t downUntilMs = 0; // by upkeep or crash
    std::int64_t upkeepUntilMs = 0;
    bool begun = false;
    bool gone = false;
};

struct late_answer
{
    std::int64_t dueMs = 0;
    std::function<void(result<upkeep_outcome>)> done;
    result<upkeep_outcome> outcome;
};

class simulation
{
public:
    explicit simulation(std::uint32_t seed)
        : random_(seed)
    {
        for (int i = 0; i < machineCount; ++i)
            machines_["m" + std::to_string(i)] = {};
        becomeLeader();
        std::vector<std::string> names;
        for (const auto &[name, machine] : machines_)
            names.push_back(name);
        atOnce_ = static_cast<std::uint32_t>(between(1, 4));
        state_.apply(command {start_wave {{1, names, 8000, atOnce_}, now_}});
    }

    void run(int steps, bool withoutFaults)
    {
        for (int i = 0; i < steps && violation.empty(); ++i) {
            now_ += stepMs;
            if (!withoutFaults)
                injectFaults();
            commit();
            deliverAnswers();
            heartbeats();
            workers_->tick(at(now_), now_);
            upkeep_->tick(at(now_), now_);
            checkWaveDone();
        }
    }

    bool done() const { return state_.waves().at(1).done(); }

    std::string violation;

private:
    static time_point at(std::int64_t ms) { return time_point {milliseconds {ms}}; }
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }
    bool chance(int inThousand) { return between(0, 999) < inThousand; }

    void becomeLeader()
    {
        pending_.clear();
        const propose_function propose
                = [this](const command &value, std::function<void(status)> done) {
                      pending_.emplace_back(value, std::move(done));
                  };
        workers_ = std::make_unique<controller>(state_, controller_options {}, propose);
        upkeep_ = std::make_unique<maintenance>(
                state_, *workers_,
                maintenance_options {milliseconds {upkeepMs}, milliseconds {500}}, propose);
        upkeep_->orderBy([this](const upkeep_order &order,
                                std::function<void(result<upkeep_outcome>)> done) {
            handleOrder(order, std::move(done));
        });
        workers_->beginTerm(++term_, at(now_));
        upkeep_->beginTerm(term_, at(now_));
    }

    void injectFaults()
    {
        if (chance(8)) {
            // Some proposals of the old leader are still committed.
            const auto committedCount = between(0, static_cast<std::int64_t>(pending_.size()));
            for (std::int64_t i = 0; i < committedCount; ++i)
                state_.apply(pending_[static_cast<std::size_t>(i)].first);
            becomeLeader();
        }
        auto &machine = std::next(machines_.begin(), between(0, machineCount - 1))->second;
        if (chance(20) && machine.upkeepUntilMs <= now_) {
            machine.downUntilMs = now_ + between(100, 3000);
            machine.born = machine.downUntilMs;
        }
        if (chance(2))
            machine.gone = true;
    }

    void commit()
    {
        if (chance(300))
            return;
        auto ready = std::move(pending_);
        pending_.clear();
        for (auto &[value, done] : ready) {
            state_.apply(value);
            done(std::monostate {});
        }
    }

    // Handles an order as the platform does.
    void handleOrder(const upkeep_order &order, std::function<void(result<upkeep_outcome>)> done)
    {
        if (chance(100)) // the order is lost
            return answerLater(std::move(done),
                               error {result_code::RpcFailed, "no answer", {}, {}});
        auto &machine = machines_.at(order.machine);
        result<upkeep_outcome> outcome = upkeep_outcome::Begun;
        if (order.fencingToken < highestToken_)
            outcome = upkeep_outcome::Fenced;
        else if (machine.gone)
            outcome = upkeep_outcome::NoMachine;
        else if (machine.begun)
            outcome = machine.upkeepUntilMs > now_ && chance(500) ? upkeep_outcome::Busy
                                                                  : upkeep_outcome::Begun;
        else if (machine.downUntilMs > now_)
            outcome = upkeep_outcome::Busy;
        else
            beginUpkeep(machine);
        highestToken_ = std::max(highestToken_, order.fencingToken);
        if (chance(150))
            outcome = error {result_code::RpcFailed, "no answer", {}, {}};
        answerLater(std::move(done), outcome);
    }

    void beginUpkeep(machine_model &machine)
    {
        const auto down = std::ranges::count_if(
                machines_, [this](const auto &item) { return item.second.upkeepUntilMs > now_; });
        if (down >= atOnce_)
            violation = std::to_string(down) + " machines are down, at most "
                    + std::to_string(atOnce_) + " may be";
        machine.begun = true;
        machine.upkeepUntilMs = now_ + upkeepMs;
        machine.downUntilMs = machine.upkeepUntilMs;
        machine.born = machine.upkeepUntilMs;
    }

    void answerLater(std::function<void(result<upkeep_outcome>)> done,
                     result<upkeep_outcome> outcome)
    {
        answers_.push_back({now_ + between(10, 1500), std::move(done), std::move(outcome)});
    }

    void deliverAnswers()
    {
        std::vector<late_answer> due;
        std::erase_if(answers_, [&](const late_answer &item) {
            if (item.dueMs > now_)
                return false;
            due.push_back(item);
            return true;
        });
        for (const auto &item : due)
            item.done(item.outcome);
    }

    void heartbeats()
    {
        for (const auto &[name, machine] : machines_) {
            if (machine.gone || machine.downUntilMs > now_ || chance(500))
                continue;
            worker_report report;
            report.id = "w-" + name;
            report.machine = name;
            report.born = machine.born;
            report.sequence = ++sequence_;
            report.pool = "pool";
            report.capacity = {1000, 1000, 8};
            workers_->heartbeat(at(now_), now_, report, [](const result<worker_orders> &) {});
        }
    }

    void checkWaveDone()
    {
        if (!done())
            return;
        for (const auto &[name, machine] : machines_) {
            if (!machine.begun && !machine.gone)
                violation = name + ": its upkeep has not begun, but the wave is done";
        }
    }

    std::mt19937 random_;
    std::int64_t now_ = 1'000'000;
    std::uint64_t term_ = 0;
    std::uint64_t highestToken_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t atOnce_ = 1;
    ledger state_;
    std::map<std::string, machine_model> machines_;
    std::vector<std::pair<command, std::function<void(status)>>> pending_;
    std::unique_ptr<controller> workers_;
    std::unique_ptr<maintenance> upkeep_;
    std::vector<late_answer> answers_;
};

// Runs a simulation. Fails if a limit is violated, or if the wave doesn't end once the faults stop.
void runSeed(unsigned long seed)
{
    simulation simulated(static_cast<std::uint32_t>(seed));
    simulated.run(400, false);
    simulated.run(800, true);
    if (!simulated.violation.empty())
        FAIL(("seed " + std::to_string(seed) + ": " + simulated.violation).c_str());
    if (!simulated.done())
        FAIL(("seed " + std::to_string(seed) + ": the wave did not end").c_str());
}

} // namespace

TEST_GROUP(MaintenanceFuzz) {};

// Guards against more machines down than a wave allows, a wave that is reported as done too early,
// and a wave that doesn't end once the faults stop.
TEST(MaintenanceFuzz, keepsWavesUnderFaults)
{
    const char *seedText = std::getenv("PERSIMMON_FUZZ_SEED");
    const auto first = seedText == nullptr ? 1UL : std::strtoul(seedText, nullptr, 10);
    for (auto seed = first; seed < first + 200; ++seed)
        runSeed(seed);
}

// Guards against machines that count as down until a time limit although their new worker sends
// heartbeats. It happened when the first heartbeat of the new worker arrived before the answer to
// the repeated order.
TEST(MaintenanceFuzz, detectsRestartAfterLostAnswers)
{
    for (const auto seed : {7151UL, 30494UL})
        runSeed(seed);
}
