#pragma once

#include "hostile_crowd.h"
#include "soak_jobs.h"

namespace persimmon::system_test {

// Faults of one kind, one after the other and several at a time.
class fault_source
{
public:
    virtual ~fault_source() = default;

    // Begins and ends faults.
    virtual void step() = 0;

    // Ends all faults at once. What is absent stays so until the next step, as the bounds of calm
    // times hold without it.
    virtual void settle() = 0;

    // Returns whether a fault is active, or has begun or ended since the last call. Absence is
    // none.
    virtual bool wasActive() = 0;

    // Returns how many faults have begun, and how many of them were absences past a storm.
    int begun() const { return begun_; }
    int absences() const { return absences_; }

protected:
    int begun_ = 0;
    int absences_ = 0;
};

// Suspends, kills and ends schedulers, the leader more often than others, as long as most of them
// run. One that loses its data is the only one for a while.
class scheduler_faults : public fault_source
{
public:
    scheduler_faults(batch_system &system, random_source &random);
    void step() override;
    void settle() override;
    bool wasActive() override;

private:
    enum class fault : std::uint8_t { Suspend, SuspendAndKill, Kill, Terminate, Wipe, KillForLong };

    struct active_fault
    {
        fault kind = fault::Kill;
        std::int64_t untilMs = 0;
    };

    void begin();
    void end(int victim, fault kind);
    int chooseVictim();

    batch_system &system_;
    random_source &random_;
    std::map<int, active_fault> active_; // by scheduler
    std::future<int> leader_;
    std::int64_t nextMs_;
    std::int64_t lastEndMs_ = 0;
    bool wasActive_ = false;
};

// Faults of links, several at a time. Some outlast the lease of a worker.
class link_faults : public fault_source
{
public:
    // Lets the links' clients use them.
    link_faults(batch_system &system, random_source &random);
    void step() override;
    void settle() override;
    bool wasActive() override;

private:
    void begin();

    batch_system &system_;
    random_source &random_;
    std::vector<std::int64_t> untilMs_; // by link; 0: good
    std::int64_t nextMs_;
    bool wasActive_ = false;
};

// Crashes workers, which come back as new boots, some after long.
class worker_faults : public fault_source
{
public:
    worker_faults(platform::standin_fleet &fleet, random_source &random);
    void step() override;
    void settle() override;
    bool wasActive() override;

private:
    platform::standin_fleet &fleet_;
    random_source &random_;
    std::map<std::size_t, std::int64_t> downUntilMs_; // by worker; endless: past the storm
    std::int64_t nextMs_;
    bool wasActive_ = false;
};

// Clients outside the limits that press on the gateway, one crowd after the other.
class client_faults : public fault_source
{
public:
    client_faults(batch_system &system, random_source &random);
    void step() override;
    void settle() override;
    bool wasActive() override;

private:
    bool end();

    batch_system &system_;
    random_source &random_;
    std::future<std::unique_ptr<hostile_crowd>> crowd_; // sends on a thread of its own
    std::int64_t untilMs_ = 0;
};

} // namespace persimmon::system_test
