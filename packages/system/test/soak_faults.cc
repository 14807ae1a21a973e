#include "soak_faults.h"

namespace persimmon::system_test {

namespace {

// Time in which a scheduler without data takes over that of the others.
constexpr std::int64_t wipeRestMs = 4000;

// Time of a fault that lasts until the storm after the present one.
constexpr auto endless = std::numeric_limits<std::int64_t>::max();

// Workers that may be down at a time.
constexpr std::size_t maxDownShare = 4;

} // namespace

scheduler_faults::scheduler_faults(batch_system &system, random_source &random)
    : system_(system)
    , random_(random)
    , nextMs_(nowMs() + 1000)
{
}

void scheduler_faults::step()
{
    const auto active = active_;
    for (const auto &[victim, item] : active) {
        if (nowMs() >= item.untilMs)
            end(victim, item.kind);
    }
    if (nowMs() >= nextMs_)
        begin();
}

// Returns the last known leader every other time.
int scheduler_faults::chooseVictim()
{
    auto victim = static_cast<int>(random_.draw(0, system_.count() - 1));
    const bool wantsLeader = random_.oneIn(2);
    if (leader_.valid() && leader_.wait_for(milliseconds {0}) == std::future_status::ready) {
        const auto leader = leader_.get();
        if (wantsLeader && leader >= 0)
            victim = leader;
    }
    return victim;
}

void scheduler_faults::begin()
{
    nextMs_ = nowMs() + random_.draw(100, 1200);
    const auto victim = chooseVictim();
    if (!leader_.valid())
        leader_ = std::async(std::launch::async, [this] { return system_.leader(); });
    const auto limit = static_cast<std::size_t>((system_.count() - 1) / 2);
    if (active_.size() >= limit || active_.contains(victim))
        return;
    auto kind = static_cast<fault>(random_.draw(0, 5));
    if (kind == fault::Wipe && (!active_.empty() || nowMs() - lastEndMs_ < wipeRestMs))
        kind = fault::Kill;
    if (kind == fault::Wipe)
        nextMs_ = nowMs() + wipeRestMs;
    ++begun_;
    active_[victim]
            = {kind, kind == fault::KillForLong ? endless : nowMs() + random_.draw(0, 2500)};
    wasActive_ = true;
    if (kind == fault::Suspend || kind == fault::SuspendAndKill)
        return system_.signalScheduler(victim, SIGSTOP);
    if (kind == fault::Terminate)
        return system_.signalScheduler(victim, SIGTERM);
    system_.killScheduler(victim);
    if (kind == fault::Wipe)
        system_.removeSchedulerData(victim);
}

void scheduler_faults::end(int victim, fault kind)
{
    system_.signalScheduler(victim, SIGCONT);
    if (kind != fault::Suspend) {
        system_.killScheduler(victim);
        system_.startScheduler(victim, false);
    }
    active_.erase(victim);
    lastEndMs_ = nowMs();
    wasActive_ = true;
}

void scheduler_faults::settle()
{
    const auto active = active_;
    for (const auto &[victim, item] : active) {
        if (item.kind == fault::KillForLong) {
            absences_ += item.untilMs == endless ? 1 : 0;
            active_[victim].untilMs = 0;
        } else {
            end(victim, item.kind);
        }
    }
    nextMs_ = std::max(nextMs_, nowMs());
}

bool scheduler_faults::wasActive()
{
    return std::exchange(wasActive_, false) || std::ranges::any_of(active_, [](const auto &item) {
               return item.second.kind != fault::KillForLong;
           });
}

link_faults::link_faults(batch_system &system, random_source &random)
    : system_(system)
    , random_(random)
    , nextMs_(nowMs() + 1000)
{
    system_.useLinks();
    untilMs_.resize(system_.links().size());
}

void link_faults::step()
{
    for (std::size_t i = 0; i < untilMs_.size(); ++i) {
        if (untilMs_[i] == 0 || nowMs() < untilMs_[i])
            continue;
        system_.links()[i]->set(link_condition::Good);
        untilMs_[i] = 0;
        wasActive_ = true;
    }
    if (nowMs() >= nextMs_)
        begin();
}

void link_faults::begin()
{
    nextMs_ = nowMs() + random_.draw(100, 900);
    ++begun_;
    wasActive_ = true;
    const auto link
            = static_cast<std::size_t>(random_.draw(0, static_cast<int>(untilMs_.size()) - 1));
    const auto kind = random_.draw(0, 4);
    if (kind == 0)
        return system_.links()[link]->reset();
    system_.links()[link]->set(static_cast<link_condition>(kind));
    untilMs_[link] = nowMs() + random_.draw(100, random_.oneIn(4) ? 9000 : 3000);
}

void link_faults::settle()
{
    for (auto &link : system_.links())
        link->set(link_condition::Good);
    wasActive_ = wasActive();
    std::ranges::fill(untilMs_, 0);
}

bool link_faults::wasActive()
{
    return std::exchange(wasActive_, false)
            || std::ranges::any_of(untilMs_, [](std::int64_t ms) { return ms != 0; });
}

worker_faults::worker_faults(platform::standin_fleet &fleet, random_source &random)
    : fleet_(fleet)
    , random_(random)
    , nextMs_(nowMs() + 1500)
{
}

void worker_faults::step()
{
    for (auto item = downUntilMs_.begin(); item != downUntilMs_.end();) {
        if (nowMs() < item->second) {
            ++item;
            continue;
        }
        fleet_.workers[item->first].up = true;
        item = downUntilMs_.erase(item);
        wasActive_ = true;
    }
    if (nowMs() < nextMs_ || downUntilMs_.size() * maxDownShare >= fleet_.workers.size())
        return;
    nextMs_ = nowMs() + random_.draw(300, 1500);
    const auto victim = static_cast<std::size_t>(
            random_.draw(0, static_cast<int>(fleet_.workers.size()) - 1));
    if (downUntilMs_.contains(victim))
        return;
    ++begun_;
    fleet_.crash(fleet_.workers[victim], nowMs());
    downUntilMs_[victim] = random_.oneIn(4) ? endless : nowMs() + random_.draw(0, 3000);
    wasActive_ = true;
}

void worker_faults::settle()
{
    for (auto item = downUntilMs_.begin(); item != downUntilMs_.end();) {
        if (item->second == endless) {
            ++absences_;
            item->second = 0;
        }
        if (item->second == 0) {
            ++item;
            continue;
        }
        fleet_.workers[item->first].up = true;
        item = downUntilMs_.erase(item);
        wasActive_ = true;
    }
}

bool worker_faults::wasActive()
{
    return std::exchange(wasActive_, false);
}

client_faults::client_faults(batch_system &system, random_source &random)
    : system_(system)
    , random_(random)
{
}

void client_faults::step()
{
    if (nowMs() < untilMs_ || !end())
        return;
    untilMs_ = nowMs() + random_.draw(500, 3000);
    ++begun_;
    const auto plans = hostileRequests();
    const auto last = static_cast<int>(plans.size()) - 1;
    const auto &plan = plans.at(static_cast<std::size_t>(random_.draw(0, last)));
    crowd_ = std::async(std::launch::async, [plan, address = system_.gatewayAddress()] {
        return std::make_unique<hostile_crowd>(address, plan);
    });
}

void client_faults::settle()
{
    untilMs_ = 0;
}

// Closes the connections of the crowd. Returns false if it is still sending: workers must not wait.
bool client_faults::end()
{
    if (!crowd_.valid())
        return true;
    if (crowd_.wait_for(milliseconds {0}) != std::future_status::ready)
        return false;
    crowd_.get();
    return true;
}

bool client_faults::wasActive()
{
    const bool active = crowd_.valid();
    if (untilMs_ == 0)
        end();
    return active;
}

} // namespace persimmon::system_test
