#include "slot_shares.h"

#include <algorithm>

namespace persimmon::control {

namespace {

// An idle entry keeps its fixed share at one of this many upstreams, so that its first requests
// need not wait for a sync.
constexpr std::size_t idleKeep = 4;

// Spreads names over small numbers (FNV-1a); std::hash may differ between builds.
std::size_t spread(const std::string &name)
{
    std::uint32_t hash = 2166136261U;
    for (const char byte : name)
        hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
    return hash;
}

} // namespace

slot_shares::slot_shares(context &shared, entries &known, membership &members, view &shown)
    : shared_(shared)
    , entries_(known)
    , members_(members)
    , view_(shown)
{
}

void slot_shares::reset()
{
    holders_.clear();
    slots_.clear();
}

void slot_shares::hear(const sync_request &request)
{
    const bool fresh = !holders_.contains(request.entryId)
            || holders_.at(request.entryId).incarnation != request.entryIncarnation;
    auto &target = holders_[request.entryId];
    if (fresh) {
        target = {};
        target.incarnation = request.entryIncarnation;
        // Shares of an earlier leader end with its leases.
        target.known = request.viewEpoch == 0 || request.viewEpoch == shared_.term()
                || shared_.earlierLeasesEnded();
        update();
        return;
    }
    if (target.sentSequence == 0 || request.viewEpoch != shared_.term()
        || request.viewSequence < target.sentSequence)
        return;
    // An empty list has taken back nothing that an earlier leader gave.
    if (!target.known && target.sent.empty())
        return;
    target.held = target.sent;
    std::erase_if(target.held, [](const auto &item) { return item.second == 0; });
    target.heardSequence = target.sentSequence;
    target.known = true;
    forgetAllowed();
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

std::uint32_t slot_shares::wanted(const std::string &entryId, const std::string &pool,
                                  std::size_t upstreams, std::uint32_t slots) const
{
    const auto found = entries_.records().find(entryId);
    std::uint64_t load = 0;
    if (found != entries_.records().end())
        for (const auto &demand : found->second.demand)
            if (demand.pool == pool)
                load = std::uint64_t {demand.queued} + demand.inFlight;
    const auto each = (load + upstreams - 1) / upstreams;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(each, slots));
}

void slot_shares::share(const std::string &upstream, const std::string &pool, std::size_t upstreams,
                        std::uint32_t slots)
{
    const auto count = holders_.size();
    const auto first = spread(upstream) % count;
    std::vector<std::uint32_t> fixed(count, static_cast<std::uint32_t>(slots / count));
    for (std::size_t i = 0; i < slots % count; ++i)
        ++fixed[(first + i) % count];
    std::vector<std::uint32_t> want(count);
    std::vector<std::uint32_t> given(count);
    std::uint32_t spare = slots;
    std::size_t position = 0;
    for (const auto &[id, target] : holders_) {
        want[position] = wanted(id, pool, upstreams, slots);
        const bool keeps = want[position] > 0 || (first + position) % idleKeep == 0;
        given[position] = std::min(fixed[position], std::max(want[position], keeps ? 1U : 0U));
        spare -= given[position++];
    }
    const auto spend = [&](const std::vector<std::uint32_t> &limit) {
        for (bool changed = true; changed && spare > 0;) {
            changed = false;
            for (std::size_t i = 0; i < count && spare > 0; ++i) {
                const auto at = (first + i) % count;
                if (given[at] >= limit[at])
                    continue;
                ++given[at];
                --spare;
                changed = true;
            }
        }
    };
    spend(want);
    spend(fixed);
    position = 0;
    for (auto &[id, target] : holders_)
        target.target[upstream] = given[position++];
}

void slot_shares::update()
{
    forgetAllowed();
    slots_.clear();
    for (auto &[id, target] : holders_)
        target.target.clear();
    if (holders_.empty())
        return;
    for (const auto &[name, served] : servedPools()) {
        for (const auto &[upstream, offered] : served.upstreams) {
            const auto slots = std::min(served.slots, offered);
            slots_[upstream] = slots;
            share(upstream, name, served.upstreams.size(), slots);
        }
    }
}

bool slot_shares::allKnown() const
{
    return std::ranges::all_of(holders_, [](const auto &item) { return item.second.known; });
}

void slot_shares::forgetAllowed()
{
    for (auto &[id, target] : holders_)
        target.allowed.reset();
}

void slot_shares::drop(const std::string &entryId)
{
    holders_.erase(entryId);
    forgetAllowed();
}

const slot_shares::share_map &slot_shares::allowed(holder &target)
{
    if (!target.allowed)
        target.allowed = computeAllowed(target);
    return *target.allowed;
}

slot_shares::share_map slot_shares::computeAllowed(const holder &target) const
{
    // Shares of upstreams that are gone are taken back by name, because an empty list changes none.
    share_map shares;
    for (const auto &[upstream, slots] : target.held)
        shares[upstream] = 0;
    const bool mayGrow = shared_.earlierLeasesEnded() && allKnown();
    for (const auto &[upstream, wish] : target.target) {
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
        shares[upstream] = std::min({wish, room, mayGrow ? wish : held});
    }
    return shares;
}

bool slot_shares::hasNews(const std::string &entryId)
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
        target.sentSequence = view_.bump();
    }
    // Shares that the entry holds are not repeated; that cost 80 bytes a second for each upstream.
    if (target.heardSequence == target.sentSequence)
        return;
    response.hasShares = true;
    for (const auto &[upstream, slots] : target.sent) {
        auto &held = target.held[upstream];
        held = std::max(held, slots);
        response.shares.push_back({upstream, slots});
    }
    forgetAllowed();
}

} // namespace persimmon::control
