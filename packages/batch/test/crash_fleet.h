#pragma once

#include "fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace persimmon::batch {

// What becomes of a worker that has crashed.
enum class crash_return : std::uint8_t { AtItsAddress, UnderItsId, Never };

// Workers that run the tasks of a leader and crash under some of them, in steps of simulated time.
class crash_fleet
{
public:
    struct options
    {
        int workers = 12;
        int workersInRack = 4;
        crash_return comesBack = crash_return::AtItsAddress;
        std::int64_t downMs = 3000;
        std::int64_t taskMs = 2000; // duration of a task; 0: the estimate of its step
        std::int64_t stopMs = 300; // duration of a stop
        // A task that crashes its worker does so when it has worked for this time.
        std::int64_t crashAfterMs = 0;
        bool twoKinds = false; // every second worker is of kind b, the others of kind a
    };

    explicit crash_fleet(options values)
        : options_(values)
    {
        for (int i = 0; i < options_.workers; ++i)
            boot(workers_.emplace_back(), i);
    }

    // Sets the tasks that fail on a worker, by its place.
    void failUnder(std::function<bool(const task_id &, int)> fails) { fails_ = std::move(fails); }

    // Sets the tasks that crash each worker that starts them.
    void crashUnder(std::function<bool(const task_id &)> deadly) { deadly_ = std::move(deadly); }

    // Returns the answer to a heartbeat, or nothing if none arrives.
    using exchange_function = std::function<std::optional<worker_orders>(const worker_report &)>;

    // Lets other leaders than that of the fixture answer the workers, and act in each step.
    void setLeaders(std::function<void()> act, exchange_function exchange)
    {
        leader.workers.endTerm();
        act_ = std::move(act);
        exchange_ = std::move(exchange);
    }

    void run(std::int64_t ms)
    {
        for (; ms > 0; ms -= stepMs) {
            leader.advance(stepMs);
            act_();
            for (auto &worker : workers_)
                step(worker);
        }
    }

    // Crashes the workers of a range at once, for a cause that is outside of them.
    void crashRange(int first, int count)
    {
        for (int i = first; i < first + count; ++i)
            crash(workers_[static_cast<std::size_t>(i)]);
    }

    // Crashes the worker that runs a task.
    void crashWorkerOf(const task_id &task)
    {
        if (auto *item = workerOf(task))
            crash(*item);
    }

    // Lets the run of a task fail on its worker.
    void failRunOf(const task_id &task)
    {
        if (auto *item = workerOf(task))
            end(*item, task, end_kind::Failed);
    }

    // Returns whether a worker that is up runs a task.
    bool isRunning(const task_id &task) const
    {
        return std::ranges::any_of(workers_,
                                   [&](const worker &item) { return item.tasks.contains(task); });
    }

    // Lets nothing through between the worker that runs a task and the leader. The worker kills its
    // runs when its lease expires.
    void cutOffWorkerOf(const task_id &task, std::int64_t forMs)
    {
        if (auto *item = workerOf(task))
            item->cutOffUntilMs = leader.wallMs + forMs;
    }

    // Sets the capacity that a worker reports from now on. What it runs goes on.
    void setCapacity(int place, const amount &value)
    {
        workers_[static_cast<std::size_t>(place)].report.capacity = value;
    }

    // Lets another leader take over, which knows only the ledger.
    void changeLeader()
    {
        leader.workers.endTerm();
        leader.workers.beginTerm(++term_, leader.now);
    }

    // Lets time pass without a leader: no heartbeat is answered. Leases go on.
    void pauseLeader(std::int64_t ms)
    {
        for (; ms > 0; ms -= stepMs) {
            leader.now += milliseconds {stepMs};
            leader.wallMs += stepMs;
        }
    }

    int startsOf(const task_id &task) const
    {
        const auto found = starts_.find(task);
        return found == starts_.end() ? 0 : found->second;
    }

    // Returns the number of workers that have crashed under a task that isn't to blame.
    int crashesOfOthers() const { return lostBystanders_; }

    // Returns how often a start has exceeded the capacity that its worker had reported.
    int overfullStarts() const { return overfullStarts_; }

    // Returns the completion of an order for the zone of a rack. From a confirmed evacuation until
    // the next order, nothing may start there.
    std::function<void(status)> expectOfZone(int rack, bool evacuated)
    {
        const auto zone = zoneOf(rack);
        evacuated_.erase(zone);
        const auto number = ++zoneOrders_[zone];
        return [this, zone, evacuated, number](const status &done) {
            if (evacuated && !failed(done) && zoneOrders_.at(zone) == number)
                evacuated_.insert(zone);
        };
    }

    // Returns how many starts workers of evacuated zones have taken.
    int startsInEvacuatedZones() const { return startsInEvacuatedZones_; }

    static std::string zoneOf(int rack) { return "zone-" + std::to_string(rack); }

    // What a worker has left beside its tasks.
    struct room
    {
        std::string worker; // its id
        std::vector<std::string> labels;
        std::string rack;
        amount capacity;
        amount available;
        bool inTouch = false; // not cut off
    };

    // Returns the rooms of workers that may take tasks.
    std::vector<room> rooms() const
    {
        std::vector<room> found;
        for (const auto &item : workers_) {
            if (item.up && !leader.state.isEvacuated(item.report.zone))
                found.push_back({item.report.id, item.report.labels, item.report.rack,
                                 item.report.capacity, availableOn(item),
                                 leader.wallMs >= item.cutOffUntilMs});
        }
        return found;
    }

    leader_fixture leader;

private:
    static constexpr std::int64_t stepMs = 50;

    struct running
    {
        std::uint32_t run = 0;
        std::int64_t sinceMs = 0;
    };

    struct worker
    {
        int place = 0;
        worker_report report; // as sent next
        bool up = false;
        std::int64_t backAtMs = 0;
        std::int64_t cutOffUntilMs = 0;
        std::int64_t leaseUntilMs = 0;
        std::uint64_t ends = 0;
        std::map<task_id, running> tasks;
        std::map<task_id, std::uint32_t> newestEnded; // run number
        std::map<task_id, running> stopping; // since when; in no list until the stop has ended
    };

    void boot(worker &item, int place)
    {
        const auto id = item.report.id;
        item = {};
        item.place = place;
        item.up = true;
        auto &report = item.report;
        report.id = !id.empty() && options_.comesBack == crash_return::UnderItsId
                ? id
                : "w" + std::to_string(++boots_);
        incarnation_ = std::max(incarnation_ + 1, leader.wallMs);
        report.incarnation = incarnation_;
        report.address = "10.0.0.1:" + std::to_string(place);
        report.pool = "pool";
        report.rack = "rack-" + std::to_string(place / options_.workersInRack);
        report.zone = zoneOf(place / options_.workersInRack);
        report.labels = {options_.twoKinds && place % 2 == 1 ? "b" : "a", report.rack};
        report.capacity = {8000, 8000, 8};
    }

    worker *workerOf(const task_id &task)
    {
        const auto found = std::ranges::find_if(
                workers_, [&](const worker &item) { return item.tasks.contains(task); });
        return found == workers_.end() ? nullptr : &*found;
    }

    void crash(worker &item)
    {
        item.up = false;
        item.backAtMs = leader.wallMs + options_.downMs;
        item.tasks.clear();
        item.stopping.clear();
    }

    bool runsIntoCrash(const worker &item) const
    {
        return std::ranges::any_of(item.tasks, [this](const auto &entry) {
            const auto &[task, state] = entry;
            return deadly_(task) && leader.wallMs - state.sinceMs >= options_.crashAfterMs;
        });
    }

    void beginStop(worker &item, const task_id &task)
    {
        item.stopping[task] = {item.tasks.at(task).run, leader.wallMs};
        item.newestEnded[task] = item.tasks.at(task).run;
        item.tasks.erase(task);
    }

    void endStops(worker &item)
    {
        std::erase_if(item.stopping, [&](const auto &stop) {
            const auto &[task, state] = stop;
            if (leader.wallMs - state.sinceMs < options_.stopMs)
                return false;
            item.report.ended.push_back({++item.ends, task, state.run, end_kind::Stopped, ""});
            return true;
        });
    }

    void end(worker &item, const task_id &task, end_kind kind)
    {
        item.report.ended.push_back({++item.ends, task, item.tasks.at(task).run, kind, ""});
        item.newestEnded[task] = item.tasks.at(task).run;
        item.tasks.erase(task);
    }

    void endCompletedTasks(worker &item)
    {
        std::vector<task_id> completed;
        for (const auto &[task, state] : item.tasks) {
            if (leader.wallMs - state.sinceMs >= durationOf(task) && !lasts(task))
                completed.push_back(task);
        }
        for (const auto &task : completed)
            end(item, task, fails_(task, item.place) ? end_kind::Failed : end_kind::Done);
    }

    const step_spec &specOf(const task_id &task) const
    {
        return leader.state.findJob(task.job)->spec.steps[task.step];
    }

    bool lasts(const task_id &task) const { return specOf(task).longRunning; }

    std::int64_t durationOf(const task_id &task) const
    {
        return options_.taskMs > 0 ? options_.taskMs : specOf(task).estimateMs;
    }

    amount availableOn(const worker &item) const
    {
        auto available = item.report.capacity;
        for (const auto *tasks : {&item.tasks, &item.stopping}) {
            for (const auto &[task, state] : *tasks)
                available -= specOf(task).charged();
        }
        return available;
    }

    void lapse(worker &item)
    {
        while (!item.tasks.empty())
            beginStop(item, task_id {item.tasks.begin()->first});
    }

    void step(worker &item)
    {
        if (!item.up && options_.comesBack != crash_return::Never && leader.wallMs >= item.backAtMs)
            boot(item, item.place);
        if (!item.up)
            return;
        if (leader.wallMs >= item.leaseUntilMs)
            lapse(item);
        endStops(item);
        if (leader.wallMs < item.cutOffUntilMs)
            return;
        if (runsIntoCrash(item))
            return crash(item);
        endCompletedTasks(item);
        auto &report = item.report;
        ++report.sequence;
        report.running.clear();
        for (const auto &[task, state] : item.tasks) {
            const auto percent
                    = lasts(task) ? 100 : (leader.wallMs - state.sinceMs) * 100 / durationOf(task);
            report.running.push_back({task, state.run, "", static_cast<std::uint32_t>(percent), 0});
        }
        if (const auto orders = exchange_(report))
            follow(item, *orders);
    }

    void follow(worker &item, const worker_orders &orders)
    {
        item.leaseUntilMs = leader.wallMs + orders.leaseMs;
        std::erase_if(item.report.ended, [&](const ended_task &ended) {
            return ended.sequence <= orders.ackedUpTo.value_or(0);
        });
        for (const auto &stop : orders.stops) {
            const auto found = item.tasks.find(stop.task);
            if (found != item.tasks.end() && found->second.run == stop.run)
                beginStop(item, stop.task);
        }
        bool crashes = false;
        for (const auto &start : orders.starts) {
            // A worker takes no run that has ended there or is being stopped.
            if (start.run <= item.newestEnded[start.task])
                continue;
            ++starts_[start.task];
            startsInEvacuatedZones_ += evacuated_.contains(item.report.zone) ? 1 : 0;
            item.tasks[start.task] = {start.run, leader.wallMs};
            crashes |= deadly_(start.task) && options_.crashAfterMs == 0;
        }
        checkCapacity(item, orders);
        if (!crashes)
            return;
        for (const auto &[task, state] : item.tasks)
            lostBystanders_ += deadly_(task) ? 0 : 1;
        crash(item);
    }

    void checkCapacity(const worker &item, const worker_orders &orders)
    {
        const auto available = availableOn(item);
        const bool overfull
                = available.cpu < 0 || available.memory < 0 || available.accelerators < 0;
        overfullStarts_ += overfull && !orders.starts.empty() ? 1 : 0;
    }

    options options_;
    std::vector<worker> workers_;
    std::function<bool(const task_id &)> deadly_ = [](const task_id &) { return false; };
    std::function<bool(const task_id &, int)> fails_ = [](const task_id &, int) { return false; };
    std::function<void()> act_ = [] {};
    exchange_function exchange_
            = [this](const worker_report &report) { return leader.sendHeartbeat(report); };
    std::map<task_id, int> starts_;
    int lostBystanders_ = 0;
    int overfullStarts_ = 0;
    std::set<std::string> evacuated_; // zones whose evacuation was confirmed
    std::map<std::string, int> zoneOrders_; // number of orders, by zone
    int startsInEvacuatedZones_ = 0;
    int boots_ = 0;
    std::int64_t incarnation_ = 1000;
    std::uint64_t term_ = 1;
};

} // namespace persimmon::batch
