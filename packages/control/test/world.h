#pragma once

#include "orders.h"
#include "stand-ins.h"

#include "ledger_data.h"

#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

// Simulation of entries and workers around a coordinator, with explicit time and lossy, delayed
// calls.
namespace persimmon::control::test {

using random_source = std::function<std::uint32_t(std::uint32_t below)>; // uniform; 0 for below 2

struct simulation_options
{
    coordinator_options control;
    std::uint32_t workers = 4;
    std::uint32_t entries = 2;
    std::uint32_t lossPercent = 0; // for each direction of a sync call, and for announcements
    std::uint32_t maxDelay = 1; // for each direction of a sync call, in ms
    std::uint32_t runTime = 3000; // of a task, in ms
};

using task_ref_set = std::set<task_ref, task_ref_less>;

struct sim_task
{
    task_state state = task_state::Prepared;
    time_point leaseUntil;
    time_point doneAt;
};

struct sim_worker
{
    announcement announced;
    bool up = true;
    bool partitioned = false; // reaches no entry, but continues to run its tasks
    bool failsTasks = false;
    bool leavingAcknowledged = false;
    time_point acknowledgedAt;
    time_point nextAnnounce;
    std::map<task_ref, sim_task, task_ref_less> tasks;
    std::map<job_id, std::uint64_t> tokens; // highest fencing token received
};

struct sim_entry
{
    std::string id;
    std::uint64_t incarnation = 1;
    bool up = true;
    bool partitioned = false; // loses all calls to the leader
    bool calling = false;
    std::uint64_t call = 0;
    time_point callUntil;
    time_point leaseUntil;
    tables applied;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint32_t load = 0;
    std::map<std::string, announcement> reported; // from upstreams
    std::map<std::string, time_point> announcedAt;
    std::set<std::string> changedAnnouncements; // announcements to send
    std::map<task_ref, task_report, task_ref_less> reports; // last of each task
    task_ref_set changedReports;
    std::map<std::string, announcement> view;
    std::map<std::string, std::vector<task_order>> orders;
    std::map<std::string, std::uint32_t> shares;
    bool drained = false;
};

class cluster_simulation
{
public:
    // Receives every change that an invariant refers to.
    struct observer
    {
        virtual ~observer() = default;
        virtual void started(const sim_worker &, const task_ref &) { }
        virtual void prepared(const sim_worker &, const task_ref &) { }
        virtual void applied(const sim_entry &, const sync_response &) { }
        virtual void note(const std::string &) { }
    };

    cluster_simulation(const simulation_options &options, random_source random, observer &callbacks)
        : options_(options)
        , random_(std::move(random))
        , observer_(callbacks)
    {
        for (std::uint32_t i = 0; i < options.workers; ++i)
            addWorker("w" + std::to_string(i + 1));
        for (std::uint32_t i = 0; i < options.entries; ++i)
            entries_.emplace_back().id = "entry-" + std::to_string(i + 1);
        startLeader();
    }

    time_point now() const { return now_; }
    std::vector<sim_worker> &workers() { return workers_; }
    std::vector<sim_entry> &entries() { return entries_; }
    coordinator &leader() { return *leader_; }
    single_voter_log &log() { return *log_; }
    const ledger_data &data() const { return state_->data(); }
    bool hasLeader() const { return leading_; }

    void run(std::uint32_t ms)
    {
        for (std::uint32_t i = 0; i < ms; i += 5)
            step();
    }

    // Disables loss and delay of calls.
    void disableFaults()
    {
        options_.lossPercent = 0;
        options_.maxDelay = 1;
    }

    // Ends the leader's term. A random number of the commands in flight are applied.
    void loseLeader()
    {
        if (!leading_)
            return;
        leading_ = false;
        leader_->loseLeadership(now_);
        log_->abandon(random_(static_cast<std::uint32_t>(log_->waiting()) + 1));
    }

    // Starts a new leader on a restored copy of the ledger.
    void startLeader()
    {
        auto next = ledger::create();
        if (state_)
            next->restore(state_->snapshot());
        const auto index = log_ ? log_->index : 0;
        auto log = std::make_unique<single_voter_log>(*next);
        log->index = index + 1;
        log->held = log_ && log_->held;
        leader_ = coordinator::create(options_.control, *next, *log,
                                      [](const auto &) { return std::make_unique<first_fit>(); });
        state_ = std::move(next);
        log_ = std::move(log);
        leading_ = true;
        leader_->becomeLeader(now_, wall(), ++term_);
    }

    void restartWorker(sim_worker &target)
    {
        ++target.announced.incarnation;
        target.announced.state = upstream_state::Serving;
        target.tasks.clear();
        target.tokens.clear();
        target.leavingAcknowledged = false;
        target.up = true;
        target.partitioned = false;
        target.nextAnnounce = now_;
    }

    void restartEntry(sim_entry &target)
    {
        sim_entry fresh;
        fresh.id = target.id;
        fresh.incarnation = target.incarnation + 1;
        fresh.call = target.call + 1; // responses to the old process are dropped
        fresh.load = target.load;
        target = std::move(fresh);
    }

    wall_ms wall() const
    {
        return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    }

private:
    void addWorker(const std::string &id)
    {
        auto &target = workers_.emplace_back();
        target.announced.id = id;
        target.announced.incarnation = 1;
        target.announced.pool = "gpu";
        target.announced.slots = 8;
        target.announced.capacity = {8, 128, 512};
        target.nextAnnounce = now_ + milliseconds {random_(1000)};
    }

    bool isLost() { return random_(100) < options_.lossPercent; }
    milliseconds delay() { return milliseconds {1 + random_(options_.maxDelay)}; }

    void schedule(std::function<void()> work) { queue_.emplace(now_ + delay(), std::move(work)); }

    void step()
    {
        now_ += milliseconds {5};
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            const auto work = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            work();
        }
        if (log_->held && random_(4) == 0)
            log_->release();
        if (leading_)
            leader_->tick(now_, wall());
        for (auto &target : workers_)
            stepWorker(target);
        for (auto &target : entries_)
            if (target.up && (!target.calling || now_ >= target.callUntil))
                callSync(target);
    }

    // Workers

    void stepWorker(sim_worker &target)
    {
        if (!target.up)
            return;
        for (auto &[ref, task] : target.tasks) {
            if (hasEnded(task.state))
                continue;
            if (now_ >= task.leaseUntil)
                task.state = task_state::Stopped;
            else if (task.state == task_state::Running && now_ >= task.doneAt)
                task.state = target.failsTasks ? task_state::Failed : task_state::Done;
        }
        if (now_ < target.nextAnnounce)
            return;
        target.nextAnnounce = now_ + options_.control.announcePeriod;
        auto &entry = entries_[random_(static_cast<std::uint32_t>(entries_.size()))];
        if (entry.up && !target.partitioned && !isLost())
            announceTo(target, entry);
    }

    static bool hasEnded(task_state state)
    {
        return state != task_state::Prepared && state != task_state::Running;
    }

    void announceTo(sim_worker &target, sim_entry &entry)
    {
        auto &recorded = entry.reported[target.announced.id];
        // The leader ignores keep-alives of an upstream whose announcement it does not have.
        const auto inView = entry.view.find(target.announced.id);
        const bool missing = inView == entry.view.end()
                || inView->second.incarnation != target.announced.incarnation;
        if (missing || recorded != target.announced)
            entry.changedAnnouncements.insert(target.announced.id);
        recorded = target.announced;
        entry.announcedAt[target.announced.id] = now_;
        for (const auto &[ref, task] : target.tasks)
            recordReport(target, entry, ref, task);
        if (missing)
            return;
        if (inView->second.state == upstream_state::Leaving
            && target.announced.state == upstream_state::Leaving && !target.leavingAcknowledged) {
            target.leavingAcknowledged = true;
            target.acknowledgedAt = now_;
        }
        if (now_ < entry.leaseUntil)
            applyOrders(target, entry.orders[target.announced.id]);
    }

    void recordReport(const sim_worker &target, sim_entry &entry, const task_ref &ref,
                      const sim_task &task)
    {
        task_report report {
                target.announced.id, target.announced.incarnation, ref, task.state, {}, 0};
        if (task.state == task_state::Done)
            report.result = std::to_string(ref.attempt) + "/" + std::to_string(ref.index);
        auto &recorded = entry.reports[ref];
        if (recorded == report)
            return;
        recorded = report;
        entry.changedReports.insert(ref);
    }

    // The list is the complete desired state. Tasks that are not in it are stopped.
    void applyOrders(sim_worker &target, const std::vector<task_order> &orders)
    {
        task_ref_set wanted;
        bool pending = false;
        for (const auto &order : orders) {
            auto &highest = target.tokens[order.task.job];
            if (order.task.token < highest)
                continue;
            highest = order.task.token;
            wanted.insert(order.task);
            pending = applyOrder(target, order) || pending;
        }
        for (auto task = target.tasks.begin(); task != target.tasks.end();) {
            const auto current = task++;
            if (wanted.contains(current->first))
                continue;
            if (hasEnded(current->second.state))
                target.tasks.erase(current);
            else
                current->second.state = task_state::Stopped;
        }
        if (pending)
            target.nextAnnounce = now_ + milliseconds {200};
    }

    bool applyOrder(sim_worker &target, const task_order &order)
    {
        const bool exists = target.tasks.contains(order.task);
        auto &task = target.tasks[order.task];
        const auto lease = now_ + options_.control.taskLease;
        if (!exists) {
            // Only a prepare order creates a task. For any other order, the task counts as stopped.
            const bool prepare = order.action == task_action::Prepare;
            task = {prepare ? task_state::Prepared : task_state::Stopped, lease, {}};
            if (prepare)
                observer_.prepared(target, order.task);
            return true;
        }
        if (hasEnded(task.state))
            return true;
        if (order.action == task_action::Stop || order.action == task_action::Checkpoint) {
            const bool checkpoints
                    = order.action == task_action::Checkpoint && task.state == task_state::Running;
            task.state = checkpoints ? task_state::Checkpointed : task_state::Stopped;
            return true;
        }
        task.leaseUntil = lease;
        if (order.action == task_action::Run && task.state == task_state::Prepared) {
            task.state = task_state::Running;
            task.doneAt = now_ + milliseconds {options_.runTime / 2 + random_(options_.runTime)};
            observer_.started(target, order.task);
        }
        return order.action == task_action::Prepare;
    }

    // Entries

    sync_request requestOf(sim_entry &target)
    {
        sync_request request;
        request.entryId = target.id;
        request.entryIncarnation = target.incarnation;
        request.appliedVersion = target.applied.version;
        request.viewEpoch = target.epoch;
        request.viewSequence = target.sequence;
        request.wait = milliseconds {500};
        request.demand = {{"gpu", target.load, 0}};
        for (const auto &[id, at] : target.announcedAt) {
            if (target.changedAnnouncements.contains(id))
                request.announcements.push_back(target.reported[id]);
            else if (now_ < at + options_.control.announcePeriod * 3 / 2)
                request.alive.push_back(id);
        }
        for (const auto &ref : target.changedReports)
            request.reports.push_back(target.reports[ref]);
        return request;
    }

    void callSync(sim_entry &target)
    {
        target.calling = true;
        target.callUntil = now_ + milliseconds {800};
        const auto call = ++target.call;
        const auto position = static_cast<std::size_t>(&target - entries_.data());
        const auto request = requestOf(target);
        const auto sentAt = now_;
        if (target.partitioned || isLost())
            return;
        schedule([=, this] {
            if (!leading_)
                return;
            leader_->sync(now_, request, [=, this](const sync_response &response) {
                if (!isLost())
                    schedule([=, this] { receive(position, call, request, sentAt, response); });
            });
        });
    }

    void receive(std::size_t position, std::uint64_t call, const sync_request &request,
                 time_point sentAt, const sync_response &response)
    {
        auto &target = entries_[position];
        // Responses to an abandoned call are dropped.
        if (target.partitioned || !target.up || target.call != call)
            return;
        target.calling = false;
        if (response.failure.code != result_code::Ok) {
            target.calling = true;
            target.callUntil = now_ + milliseconds {50};
            return;
        }
        for (const auto &value : request.announcements)
            if (target.reported[value.id] == value)
                target.changedAnnouncements.erase(value.id);
        for (const auto &report : request.reports)
            if (target.reports[report.task] == report)
                target.changedReports.erase(report.task);
        // Shares expire with the lease under which they were granted.
        if (now_ >= target.leaseUntil)
            target.shares.clear();
        applyView(target, response);
        if (response.hasTables)
            target.applied = response.newTables;
        target.leaseUntil = sentAt + response.lease;
        target.drained = target.drained || response.drain;
        observer_.applied(target, response);
    }

    void applyView(sim_entry &target, const sync_response &response)
    {
        // A new leader starts with empty soft state, so all announcements and reports are sent
        // again.
        if (response.viewEpoch != target.epoch) {
            for (const auto &[id, at] : target.announcedAt)
                if (now_ < at + options_.control.upstreamLease)
                    target.changedAnnouncements.insert(id);
            for (const auto &[ref, report] : target.reports)
                target.changedReports.insert(ref);
        }
        target.epoch = response.viewEpoch;
        target.sequence = response.viewSequence;
        if (response.fullView) {
            target.view.clear();
            target.orders.clear();
        }
        for (const auto &value : response.upstreams) {
            target.view[value.id] = value;
            if (value.state == upstream_state::Gone)
                target.view.erase(value.id);
        }
        for (const auto &list : response.orders)
            target.orders[list.upstream] = list.orders;
        // A response without shares leaves them unchanged.
        if (response.hasShares)
            target.shares.clear();
        for (const auto &share : response.shares)
            target.shares[share.upstream] = share.slots;
        std::erase_if(target.reports, [&](const auto &item) {
            const auto &held = target.orders[item.second.upstream];
            const auto same = [&](const auto &order) { return order.task == item.first; };
            return !target.changedReports.contains(item.first) && std::ranges::none_of(held, same);
        });
    }

    simulation_options options_;
    random_source random_;
    observer &observer_;
    time_point now_ {};
    std::multimap<time_point, std::function<void()>> queue_;
    std::vector<sim_worker> workers_;
    std::vector<sim_entry> entries_;
    std::unique_ptr<ledger> state_;
    std::unique_ptr<single_voter_log> log_;
    std::unique_ptr<coordinator> leader_;
    std::uint64_t term_ = 0;
    bool leading_ = false;
};

} // namespace persimmon::control::test
