#include "upstream_table.h"

#include <algorithm>
#include <set>

namespace persimmon::entry {

namespace {

// One or two consecutive failures occur when a healthy upstream restarts.
constexpr std::uint32_t failuresBeforeEjection = 3;
constexpr milliseconds firstEjection {1000};
constexpr std::uint32_t maxEjectionLevel = 5; // 32 s

// Longer than the age of any view that may still list the incarnation as serving.
constexpr std::chrono::minutes leavingMarkRetention {10};

// Random pairs tried before all members are scanned for a free one.
constexpr int maxRandomPairs = 8;

} // namespace

void upstream_table::setPools(std::span<const pool> pools)
{
    pools_.clear();
    for (const auto &row : pools)
        pools_.emplace(row.name, row);
}

void upstream_table::applyView(std::span<const announcement> changes, bool fullView, time_point now)
{
    pruneMarks(now);
    for (const auto &change : changes) {
        if (change.state == upstream_state::Leaving)
            markLeaving({change.id, change.incarnation}, now);
    }
    if (fullView)
        removeMissing(changes);
    for (const auto &change : changes)
        applyOne(change);
    rebuildIndex();
}

void upstream_table::removeMissing(std::span<const announcement> upstreams)
{
    std::set<std::string_view> present;
    for (const auto &upstream : upstreams)
        present.insert(upstream.id);
    for (auto position = upstreams_.begin(); position != upstreams_.end();) {
        const auto current = position++;
        if (!present.contains(current->first))
            remove(current);
    }
}

void upstream_table::applyOne(const announcement &change)
{
    const auto found = upstreams_.find(change.id);
    if (found != upstreams_.end() && change.incarnation < found->second.announced.incarnation)
        return;
    if (change.state == upstream_state::Gone) {
        if (found != upstreams_.end())
            remove(found);
        return;
    }
    // A new incarnation has none of its predecessor's requests in flight.
    if (found == upstreams_.end() || change.incarnation > found->second.announced.incarnation)
        upstreams_[change.id] = tracked_upstream {change, 0, 0, 0, {}};
    else
        found->second.announced = change;
}

// Keeps an upstream that has requests in flight, so that their slots are still counted if it
// returns.
void upstream_table::remove(upstream_map::iterator position)
{
    if (position->second.inFlight == 0)
        upstreams_.erase(position);
    else
        position->second.announced.state = upstream_state::Gone;
}

void upstream_table::markLeaving(const upstream_key &key, time_point now)
{
    auto &mark = leaving_[key.id];
    if (key.incarnation >= mark.incarnation)
        mark = {key.incarnation, now};
}

void upstream_table::pruneMarks(time_point now)
{
    std::erase_if(leaving_, [&](const auto &mark) {
        return mark.second.at + leavingMarkRetention < now && !upstreams_.contains(mark.first);
    });
}

void upstream_table::setShares(std::span<const slot_share> shares)
{
    shares_.clear();
    for (const auto &share : shares)
        shares_[share.upstream] = share.slots;
}

void upstream_table::rebuildIndex()
{
    byPool_.clear();
    for (const auto &[id, value] : upstreams_)
        byPool_[value.announced.pool].push_back(&value);
}

bool upstream_table::isServing(const tracked_upstream &candidate) const
{
    if (candidate.announced.state != upstream_state::Serving)
        return false;
    const auto mark = leaving_.find(candidate.announced.id);
    return mark == leaving_.end() || mark->second.incarnation < candidate.announced.incarnation;
}

bool upstream_table::isFree(const tracked_upstream &candidate, time_point now) const
{
    return isServing(candidate) && candidate.ejectedUntil <= now
            && candidate.inFlight < limitOf(candidate);
}

std::uint32_t upstream_table::limitOf(const tracked_upstream &candidate) const
{
    const auto &announced = candidate.announced;
    std::uint32_t slots = announced.slots;
    std::uint32_t connections = announced.connections;
    if (const auto row = pools_.find(announced.pool); row != pools_.end()) {
        slots = slots == 0 ? row->second.slots : std::min(slots, row->second.slots);
        connections = connections == 0 ? row->second.connections
                                       : std::min(connections, row->second.connections);
    }
    const auto share = shares_.find(announced.id);
    const auto granted
            = share == shares_.end() ? std::max(slots / defaultEntryCount, 1U) : share->second;
    return std::min(granted, std::max(connections / defaultEntryCount, 1U));
}

std::optional<upstream_choice> upstream_table::choose(std::string_view pool, std::string_view avoid,
                                                      time_point now, random_source &random) const
{
    const auto members = byPool_.find(pool);
    if (members == byPool_.end())
        return std::nullopt;
    const auto &candidates = members->second;
    const auto usable = [&](const tracked_upstream &candidate) {
        return candidate.announced.id != avoid && isFree(candidate, now);
    };
    const tracked_upstream *best = nullptr;
    const auto consider = [&](const tracked_upstream *candidate) {
        if (!usable(*candidate))
            return;
        const auto isLessLoaded
                = [this](const tracked_upstream &left, const tracked_upstream &right) {
                      return std::uint64_t {left.inFlight} * limitOf(right)
                              < std::uint64_t {right.inFlight} * limitOf(left);
                  };
        if (best == nullptr || isLessLoaded(*candidate, *best))
            best = candidate;
    };
    for (int attempt = 0; attempt < maxRandomPairs && best == nullptr; ++attempt) {
        consider(candidates[random.below(candidates.size())]);
        consider(candidates[random.below(candidates.size())]);
    }
    const auto offset = random.below(candidates.size());
    for (std::size_t index = 0; index < candidates.size() && best == nullptr; ++index)
        consider(candidates[(offset + index) % candidates.size()]);
    if (best == nullptr) {
        const auto avoided = upstreams_.find(avoid);
        if (avoided == upstreams_.end() || avoided->second.announced.pool != pool
            || !isFree(avoided->second, now))
            return std::nullopt;
        best = &avoided->second;
    }
    return upstream_choice {{best->announced.id, best->announced.incarnation},
                            best->announced.address};
}

void upstream_table::attemptStarted(const upstream_key &key)
{
    const auto found = upstreams_.find(key.id);
    if (found != upstreams_.end() && found->second.announced.incarnation == key.incarnation)
        ++found->second.inFlight;
}

void upstream_table::attemptEnded(const upstream_key &key, attempt_health health, time_point now)
{
    const auto found = upstreams_.find(key.id);
    if (found == upstreams_.end() || found->second.announced.incarnation != key.incarnation)
        return;
    auto &target = found->second;
    --target.inFlight;
    if (target.announced.state == upstream_state::Gone) {
        if (target.inFlight == 0) {
            upstreams_.erase(found);
            rebuildIndex();
        }
        return;
    }
    if (health == attempt_health::Good) {
        target.failures = 0;
        target.ejectionLevel = 0;
    } else if (health == attempt_health::Bad && ++target.failures >= failuresBeforeEjection) {
        eject(target, now);
    }
}

// Ejects an upstream unless fewer than half of the pool's serving upstreams would remain.
void upstream_table::eject(tracked_upstream &failing, time_point now)
{
    if (failing.ejectedUntil > now)
        return;
    std::size_t serving = 0;
    std::size_t ejected = 0;
    for (const auto *member : byPool_[failing.announced.pool]) {
        if (!isServing(*member))
            continue;
        ++serving;
        ejected += member->ejectedUntil > now ? 1 : 0;
    }
    if ((ejected + 1) * 2 > serving)
        return;
    failing.ejectedUntil = now + firstEjection * (1U << failing.ejectionLevel);
    failing.ejectionLevel = std::min(failing.ejectionLevel + 1, maxEjectionLevel);
    // The first failure after the ejection period ejects the upstream again.
    failing.failures = failuresBeforeEjection - 1;
    ++ejections_;
}

std::uint32_t upstream_table::capacity(std::string_view pool, time_point now) const
{
    std::uint32_t sum = 0;
    if (const auto members = byPool_.find(pool); members != byPool_.end()) {
        for (const auto *member : members->second) {
            if (isServing(*member) && member->ejectedUntil <= now)
                sum += limitOf(*member);
        }
    }
    return sum;
}

std::uint32_t upstream_table::inFlight(std::string_view pool) const
{
    std::uint32_t sum = 0;
    if (const auto members = byPool_.find(pool); members != byPool_.end()) {
        for (const auto *member : members->second)
            sum += member->inFlight;
    }
    return sum;
}

std::uint32_t upstream_table::limit(std::string_view id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? 0 : limitOf(found->second);
}

bool upstream_table::hasServing(std::string_view pool) const
{
    const auto members = byPool_.find(pool);
    return members != byPool_.end()
            && std::ranges::any_of(members->second, [this](const tracked_upstream *member) {
                   return isServing(*member);
               });
}

} // namespace persimmon::entry
