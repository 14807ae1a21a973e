#include "slot_shares.h"

#include <algorithm>

namespace persimmon::control {

namespace {

// Above the slots of any upstream. Prevents an overflow when the reported demand is excessive.
constexpr std::uint64_t maxDemand = 1U << 20U;

// FNV-1a hash. Not std::hash, which may differ between builds.
std::size_t hashName(const std::string &name)
{
    std::uint32_t hash = 2166136261U;
    for (const char byte : name)
        hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
    return hash;
}

} // namespace

slot_shares::slot_shares(context &shared, entries &leasedEntries, membership &members,
                         view &upstreamView)
    : shared_(shared)
    , entries_(leasedEntries)
    , members_(members)
    , view_(upstreamView)
{
}

void slot_shares::reset()
{
    holders_.clear();
    slots_.clear();
}

void slot_shares::recordSync(const sync_request &request)
{
    const bool isNew = !holders_.contains(request.entryId)
            || holders_.at(request.entryId).incarnation != request.entryIncarnation;
    auto &target = holders_[request.entryId];
    if (isNew) {
        target = {};
        target.incarnation = request.entryIncarnation;
        // Shares granted by an earlier leader expire with its leases.
        target.sharesKnown = request.viewEpoch == 0 || request.viewEpoch == shared_.term()
                || shared_.earlierLeasesEnded();
        updateTargets();
        return;
    }
    if (target.sentSequence == 0 || request.viewEpoch != shared_.term()
        || request.viewSequence < target.sentSequence)
        return;
    // An empty list does not revoke shares that an earlier leader granted.
    if (!target.sharesKnown && target.sent.empty())
        return;
    target.held = target.sent;
    std::erase_if(target.held, [](const auto &item) { return item.second == 0; });
    target.acknowledgedSequence = target.sentSequence;
    target.sharesKnown = true;
    clearAllowed();
}

std::map<std::string, slot_shares::pool_members> slot_shares::servedPools() const
{
    const auto &current = shared_.data().current;
    std::map<std::string, pool_members> served;
    for (const auto &row : current.routes)
        served[row.pool];
    for (const auto &row : current.pools)
        if (const auto found = served.find(row.name); found != served.end())
            found->second.slots = row.slots;
    if (served.empty())
        return served;
    members_.forEach([&](const announcement &value) {
        if (const auto found = served.find(value.pool); found != served.end())
            found->second.upstreams.emplace_back(value.id, value.slots);
    });
    return served;
}

std::uint64_t slot_shares::loadOf(const std::string &entryId, const std::string &pool) const
{
    const auto found = entries_.records().find(entryId);
    if (found == entries_.records().end())
        return 0;
    for (const auto &demand : found->second.demand)
        if (demand.pool == pool)
            return std::uint64_t {demand.queued} + demand.inFlight;
    return 0;
}

// Divides the load of each entry by the number of upstreams, and assigns the remainder to upstreams
// that differ between the entries. Rounding up at each upstream instead leaves almost no slots to
// lend: in slots-bench with skewed callers 60% of the slots were used, against 85%.
std::vector<std::uint32_t> slot_shares::demandAt(std::size_t index, const pool_members &served,
                                                 std::span<const std::uint64_t> loads)
{
    const auto upstreams = served.upstreams.size();
    std::vector<std::uint32_t> demands;
    for (std::size_t position = 0; position < loads.size(); ++position) {
        const auto offset = position * upstreams / loads.size();
        const auto remainder = loads[position] % upstreams;
        const auto extraUnit = (index + upstreams - offset) % upstreams < remainder ? 1U : 0U;
        const auto perUpstream = loads[position] / upstreams + extraUnit;
        demands.push_back(
                static_cast<std::uint32_t>(std::min<std::uint64_t>(perUpstream, maxDemand)));
    }
    return demands;
}

void slot_shares::distribute(std::size_t index, const pool_members &served, std::uint32_t slots,
                             std::span<const std::uint64_t> loads)
{
    const auto count = holders_.size();
    const auto &upstream = served.upstreams[index].first;
    const auto first = hashName(upstream) % count;
    std::vector<std::uint32_t> fixed(count, static_cast<std::uint32_t>(slots / count));
    for (std::size_t i = 0; i < slots % count; ++i)
        ++fixed[(first + i) % count];
    const auto demands = demandAt(index, served, loads);
    std::vector<std::uint32_t> granted(count);
    std::uint32_t spare = slots;
    for (std::size_t i = 0; i < count; ++i) {
        granted[i] = std::min(fixed[i], demands[i]);
        spare -= granted[i];
    }
    const auto grantUpTo = [&](std::span<const std::uint32_t> limit) {
        for (bool changed = true; changed && spare > 0;) {
            changed = false;
            for (std::size_t i = 0; i < count && spare > 0; ++i) {
                const auto at = (first + i) % count;
                if (granted[at] >= limit[at])
                    continue;
                ++granted[at];
                --spare;
                changed = true;
            }
        }
    };
    std::vector<std::uint64_t> loadsWithHeadroom(loads.begin(), loads.end());
    for (auto &load : loadsWithHeadroom)
        load += load / 4 + served.upstreams.size() / 10;
    grantUpTo(demands);
    grantUpTo(demandAt(index, served, loadsWithHeadroom));
    grantUpTo(fixed);
    std::size_t position = 0;
    for (auto &[id, target] : holders_)
        target.target[upstream] = granted[position++];
}

void slot_shares::updateTargets()
{
    clearAllowed();
    slots_.clear();
    for (auto &[id, target] : holders_)
        target.target.clear();
    if (holders_.empty())
        return;
    for (const auto &[name, served] : servedPools()) {
        std::vector<std::uint64_t> loads;
        for (const auto &[id, target] : holders_)
            loads.push_back(loadOf(id, name));
        for (std::size_t index = 0; index < served.upstreams.size(); ++index) {
            const auto &[upstream, offered] = served.upstreams[index];
            slots_[upstream] = std::min(served.slots, offered);
            distribute(index, served, slots_[upstream], loads);
        }
    }
}

bool slot_shares::allSharesKnown() const
{
    return std::ranges::all_of(holders_, [](const auto &item) { return item.second.sharesKnown; });
}

void slot_shares::clearAllowed()
{
    for (auto &[id, target] : holders_)
        target.allowed.reset();
}

void slot_shares::remove(const std::string &entryId)
{
    holders_.erase(entryId);
    clearAllowed();
}

const slot_shares::share_map &slot_shares::allowed(holder &target)
{
    if (!target.allowed)
        target.allowed = computeAllowed(target);
    return *target.allowed;
}

slot_shares::share_map slot_shares::computeAllowed(const holder &target) const
{
    // Shares of gone upstreams are revoked by name, because an empty list leaves shares unchanged.
    share_map shares;
    for (const auto &[upstream, slots] : target.held)
        shares[upstream] = 0;
    const bool mayGrow = shared_.earlierLeasesEnded() && allSharesKnown();
    for (const auto &[upstream, desired] : target.target) {
        std::uint64_t others = 0;
        for (const auto &[id, other] : holders_) {
            const auto found = other.held.find(upstream);
            if (&other != &target && found != other.held.end())
                others += found->second;
        }
        const auto slots = slots_.at(upstream);
        const auto own = target.held.find(upstream);
        const auto held = own == target.held.end() ? 0 : own->second;
        const auto room = others >= slots ? 0 : static_cast<std::uint32_t>(slots - others);
        shares[upstream] = std::min({desired, room, mayGrow ? desired : held});
    }
    return shares;
}

bool slot_shares::hasChanges(const std::string &entryId)
{
    const auto found = holders_.find(entryId);
    if (found == holders_.end() || !shared_.earlierLeasesEnded())
        return false;
    return allowed(found->second) != found->second.sent;
}

void slot_shares::fill(sync_response &response, const std::string &entryId)
{
    const auto found = holders_.find(entryId);
    if (found == holders_.end() || !shared_.earlierLeasesEnded())
        return;
    auto &target = found->second;
    const auto shares = allowed(target);
    if (shares != target.sent || target.sentSequence == 0) {
        target.sent = shares;
        target.sentSequence = view_.advanceSequence();
    }
    // Acknowledged shares are not sent again. Repeating them takes 80 bytes/s for each upstream.
    if (target.acknowledgedSequence == target.sentSequence)
        return;
    response.hasShares = true;
    for (const auto &[upstream, slots] : target.sent) {
        auto &held = target.held[upstream];
        held = std::max(held, slots);
        response.shares.push_back({upstream, slots});
    }
    clearAllowed();
}

} // namespace persimmon::control
