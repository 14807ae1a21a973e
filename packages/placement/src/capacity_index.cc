#include "capacity_index.h"

#include <bit>
#include <numeric>

namespace persimmon::placement::detail {

namespace {

constexpr std::array<strategy, 4> strategies {{
        {"first_fit", &capacity_index::firstWorker, &capacity_index::firstRack, false, false},
        {"best_fit", &capacity_index::smallestWorker, &capacity_index::smallestRack, true, false},
        {"buddy", &capacity_index::buddyWorker, &capacity_index::smallestRack, true, false},
        {"fifo_first_fit", &capacity_index::firstWorker, &capacity_index::firstRack, false, true},
}};

// Size levels 0 to 7, increasing with the amount. A search starts at the level of its need and
// compares exact amounts.
std::uint32_t coreLevel(std::int32_t cores)
{
    return std::min(7U, static_cast<std::uint32_t>(std::bit_width(std::uint32_t(cores))));
}

std::uint32_t memoryLevel(std::int32_t memoryMb)
{
    return std::min(7U, static_cast<std::uint32_t>(std::bit_width(std::uint32_t(memoryMb) >> 12)));
}

// Calls visit(position) for each set bit in ascending order until it returns true; returns whether
// it did.
template <typename Visit>
bool visitBits(std::span<const std::uint64_t> bits, Visit visit)
{
    for (std::size_t word = 0; word < bits.size(); ++word) {
        for (auto rest = bits[word]; rest != 0; rest &= rest - 1) {
            if (visit(static_cast<index_t>(word * 64 + std::countr_zero(rest)))) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

const strategy *findStrategy(std::string_view name)
{
    const auto it = std::ranges::find(strategies, name, &strategy::name);
    return it == strategies.end() ? nullptr : &*it;
}

std::uint32_t capacity_index::bucketOf(const amount &available)
{
    const auto level = std::min<std::uint32_t>(available.accelerators, levels - 1);
    return level * 64 + coreLevel(available.cores) * 8 + memoryLevel(available.memoryMb);
}

std::uint64_t capacity_index::sizesAtLeast(const amount &need)
{
    const auto row = (0xFFULL << memoryLevel(need.memoryMb)) & 0xFFULL;
    std::uint64_t mask = 0;
    for (auto level = coreLevel(need.cores); level < 8; ++level) {
        mask |= row << (level * 8);
    }
    return mask;
}

std::uint32_t capacity_index::columnOf(const amount &task)
{
    return std::min<std::uint32_t>(task.accelerators, levels - 1);
}

std::uint32_t capacity_index::minimumSlots(const request &need)
{
    const auto column = columnOf(need.task);
    const auto slots
            = column == 0 ? need.tasks * std::uint32_t(need.task.cores) / coresPerSlot : need.tasks;
    return std::min(slots, maxSlots);
}

void capacity_index::addWorkersUpTo(index_t worker)
{
    const auto known = static_cast<index_t>(available_.size());
    available_.resize(worker + 1);
    for (auto next = known; next <= worker; ++next) {
        moveWorker(next, noIndex, 0);
    }
    zones_.resize(places_->zones());
    for (auto rack = rackSlots_.size(); rack < places_->racks(); ++rack) {
        rackSlots_.emplace_back();
        insertRack(static_cast<index_t>(rack));
    }
}

void capacity_index::growZone(index_t zone)
{
    auto &lists = zones_[zone];
    const auto words = lists.words + 1;
    std::vector<std::uint64_t> bits(std::size_t(levels) * (maxSlots + 1) * words);
    for (std::size_t list = 0; list < std::size_t(levels) * (maxSlots + 1); ++list) {
        std::copy_n(lists.bits.begin() + std::ptrdiff_t(list * lists.words), lists.words,
                    bits.begin() + std::ptrdiff_t(list * words));
    }
    lists.words = words;
    lists.bits = std::move(bits);
}

void capacity_index::insertRack(index_t rack)
{
    const auto zone = places_->zoneOf(rack);
    const auto position = places_->positionInZone(rack);
    while (zones_[zone].words * 64 <= position) {
        growZone(zone);
    }
    auto &lists = zones_[zone];
    for (std::uint32_t column = 0; column < levels; ++column) {
        lists.bits[column * (maxSlots + 1) * lists.words + position / 64] |= 1ULL
                << (position % 64);
        ++lists.counts[column][0];
    }
}

void capacity_index::moveWorker(index_t worker, std::uint32_t from, std::uint32_t to)
{
    const auto bit = 1ULL << (worker % 64);
    if (from != noIndex) {
        auto &list = buckets_[from];
        list.bits[worker / 64] &= ~bit;
        if (--list.count == 0) {
            nonEmptyBuckets_[from / 64] &= ~(1ULL << (from % 64));
        }
    }
    auto &list = buckets_[to];
    if (list.bits.size() <= worker / 64) {
        list.bits.resize(worker / 64 + 1);
    }
    list.bits[worker / 64] |= bit;
    ++list.count;
    nonEmptyBuckets_[to / 64] |= 1ULL << (to % 64);
}

void capacity_index::moveRack(index_t rack, const columns &before, const columns &after)
{
    auto &lists = zones_[places_->zoneOf(rack)];
    const auto position = places_->positionInZone(rack);
    const auto bit = 1ULL << (position % 64);
    for (std::uint32_t column = 0; column < levels; ++column) {
        const auto from = std::min(before[column], maxSlots);
        const auto to = std::min(after[column], maxSlots);
        lists.slots[column] += after[column] - before[column];
        if (from != to) {
            const auto base = std::size_t(column) * (maxSlots + 1);
            lists.bits[(base + from) * lists.words + position / 64] &= ~bit;
            lists.bits[(base + to) * lists.words + position / 64] |= bit;
            --lists.counts[column][from];
            ++lists.counts[column][to];
        }
    }
}

void capacity_index::set(index_t worker, const amount &value)
{
    if (worker >= available_.size()) {
        addWorkersUpTo(worker);
    }
    const amount current {std::max(value.accelerators, 0), std::max(value.cores, 0),
                          std::max(value.memoryMb, 0)};
    const auto previous = available_[worker];
    if (previous == current) {
        return;
    }
    largest_ = larger(largest_, current);
    available_[worker] = current;
    if (const auto from = bucketOf(previous), to = bucketOf(current); from != to) {
        moveWorker(worker, from, to);
    }
    const auto rack = places_->rackOf(worker);
    const auto before = rackSlots_[rack];
    auto &after = rackSlots_[rack];
    after[0] += std::uint32_t(current.cores - previous.cores);
    for (std::uint32_t size = 1; size < levels; ++size) {
        after[size] += std::uint32_t(current.accelerators) / size;
        after[size] -= std::uint32_t(previous.accelerators) / size;
    }
    auto from = before;
    auto to = after;
    from[0] /= coresPerSlot;
    to[0] /= coresPerSlot;
    moveRack(rack, from, to);
}

index_t capacity_index::firstWorker(const amount &need) const
{
    const auto sizes = sizesAtLeast(need);
    auto found = noIndex;
    for (auto level = columnOf(need); level < levels; ++level) {
        for (auto rest = nonEmptyBuckets_[level] & sizes; rest != 0; rest &= rest - 1) {
            visitBits(buckets_[level * 64 + std::countr_zero(rest)].bits, [&](index_t worker) {
                if (worker < found && fits(need, available_[worker])) {
                    found = worker;
                }
                return worker >= found;
            });
        }
    }
    return found;
}

index_t capacity_index::smallestWorker(const amount &need) const
{
    const auto sizes = sizesAtLeast(need);
    auto found = noIndex;
    const auto test = [&](index_t worker) {
        found = fits(need, available_[worker]) ? worker : noIndex;
        return found != noIndex;
    };
    for (auto level = columnOf(need); level < levels; ++level) {
        for (auto rest = nonEmptyBuckets_[level] & sizes; rest != 0; rest &= rest - 1) {
            if (visitBits(buckets_[level * 64 + std::countr_zero(rest)].bits, test)) {
                return found;
            }
        }
    }
    return noIndex;
}

index_t capacity_index::buddyWorker(const amount &need) const
{
    const auto partial = smallestWorker(need);
    if (partial == noIndex || available_[partial].accelerators < std::int32_t(levels) - 1) {
        return partial;
    }
    // Only workers with all accelerators free fit. Take one from the rack with the fewest of them,
    // so that the other racks keep capacity for larger blocks.
    const auto rack = smallestRack({{std::int32_t(levels) - 1, need.cores, need.memoryMb}, 1});
    if (rack == noIndex) {
        return partial;
    }
    for (const auto worker : places_->workersOf(rack)) {
        if (available_[worker].accelerators >= std::int32_t(levels) - 1
            && fits(need, available_[worker])) {
            return worker;
        }
    }
    return partial;
}

template <typename Visit>
bool capacity_index::visitRacks(index_t zone, std::uint32_t column, std::uint32_t slots,
                                Visit visit) const
{
    const auto &lists = zones_[zone];
    if (lists.counts[column][slots] == 0) {
        return false;
    }
    const auto base = (std::size_t(column) * (maxSlots + 1) + slots) * lists.words;
    const auto &racks = places_->racksOf(zone);
    return visitBits(std::span(lists.bits).subspan(base, lists.words),
                     [&](index_t position) { return visit(racks[position]); });
}

std::uint32_t capacity_index::slotsOfRack(index_t rack, const amount &task) const
{
    std::uint32_t slots = 0;
    for (const auto worker : places_->workersOf(rack)) {
        slots += slotsOf(task, available_[worker]);
    }
    return slots;
}

index_t capacity_index::firstRack(const request &need) const
{
    auto found = noIndex;
    for (index_t zone = 0; zone < zones_.size(); ++zone) {
        for (auto slots = minimumSlots(need); slots <= maxSlots; ++slots) {
            visitRacks(zone, columnOf(need.task), slots, [&](index_t rack) {
                if (rack < found && slotsOfRack(rack, need.task) >= need.tasks) {
                    found = rack;
                }
                return rack >= found;
            });
        }
    }
    return found;
}

index_t capacity_index::smallestRack(const request &need) const
{
    auto found = noIndex;
    for (auto slots = minimumSlots(need); slots <= maxSlots; ++slots) {
        for (index_t zone = 0; zone < zones_.size(); ++zone) {
            const auto test = [&](index_t rack) {
                found = slotsOfRack(rack, need.task) >= need.tasks ? rack : noIndex;
                return found != noIndex;
            };
            if (visitRacks(zone, columnOf(need.task), slots, test)) {
                return found;
            }
        }
    }
    return noIndex;
}

void capacity_index::fillRack(const strategy &policy, index_t rack, const amount &task,
                              std::uint32_t tasks, std::vector<index_t> &out) const
{
    std::vector<std::pair<std::uint32_t, index_t>> candidates; // slots and worker
    for (const auto worker : places_->workersOf(rack)) {
        if (const auto slots = slotsOf(task, available_[worker]); slots > 0) {
            candidates.emplace_back(slots, worker);
        }
    }
    if (policy.fewestWorkers) {
        std::ranges::stable_sort(candidates, std::greater {},
                                 &decltype(candidates)::value_type::first);
    }
    while (tasks > 0 && !candidates.empty()) {
        auto next = candidates.begin();
        if (policy.fewestWorkers && next->first >= tasks) {
            // One worker holds the remaining tasks: use the one with the fewest slots that suffice.
            next = std::prev(std::ranges::upper_bound(candidates, tasks, std::greater {},
                                                      &decltype(candidates)::value_type::first));
        }
        const auto count = std::min(next->first, tasks);
        out.insert(out.end(), count, next->second);
        tasks -= count;
        candidates.erase(next);
    }
}

// Returns an upper bound of the number of tasks that all workers together hold, computed from the
// free lists alone and capped at the number of tasks needed.
std::uint32_t capacity_index::slotBound(const request &need) const
{
    const auto sizes = sizesAtLeast(need.task);
    std::uint32_t total = 0;
    for (std::size_t level = columnOf(need.task); level < levels; ++level) {
        for (auto rest = nonEmptyBuckets_[level] & sizes; rest != 0; rest &= rest - 1) {
            const auto size = static_cast<std::uint32_t>(std::countr_zero(rest));
            auto largest = largest_;
            if (level < levels - 1) {
                largest.accelerators = static_cast<std::int32_t>(level);
            }
            if (size / 8 < 7) {
                largest.cores = (1 << (size / 8)) - 1;
            }
            if (size % 8 < 7) {
                largest.memoryMb = (1 << (size % 8 + 12)) - 1;
            }
            total += buckets_[level * 64 + size].count * slotsOf(need.task, largest);
            if (total >= need.tasks) {
                return need.tasks;
            }
        }
    }
    return total;
}

bool capacity_index::findInOneWorker(const strategy &policy, const request &need,
                                     std::vector<index_t> &out) const
{
    const auto total = need.task * std::int32_t(need.tasks);
    const auto worker = fits(total, largest_) ? (this->*policy.pickWorker)(total) : noIndex;
    if (worker == noIndex) {
        return false;
    }
    out.assign(need.tasks, worker);
    return true;
}

bool capacity_index::findInOneRack(const strategy &policy, const request &need,
                                   std::vector<index_t> &out) const
{
    const auto rack = (this->*policy.pickRack)(need);
    if (rack == noIndex) {
        return false;
    }
    fillRack(policy, rack, need.task, need.tasks, out);
    return true;
}

bool capacity_index::findInZones(const strategy &policy, const request &need,
                                 std::span<const index_t> zones, std::vector<index_t> &out) const
{
    out.clear();
    auto remaining = need.tasks;
    const auto take = [&](index_t rack) {
        const auto count = std::min(remaining, slotsOfRack(rack, need.task));
        if (count == 0) {
            return false;
        }
        fillRack(policy, rack, need.task, count, out);
        remaining -= count;
        return remaining == 0;
    };
    for (const auto zone : zones) {
        if (!policy.fewestWorkers) {
            for (const auto rack : places_->racksOf(zone)) {
                if (rackSlots_[rack][columnOf(need.task)] > 0 && take(rack)) {
                    return true;
                }
            }
            continue;
        }
        const auto least = columnOf(need.task) == 0 ? 0U : 1U;
        for (auto slots = maxSlots + 1; slots-- > least;) {
            if (visitRacks(zone, columnOf(need.task), slots, take)) {
                return true;
            }
        }
    }
    return false;
}

bool capacity_index::findInOneZone(const strategy &policy, const request &need,
                                   std::vector<index_t> &out) const
{
    const auto column = columnOf(need.task);
    std::vector<index_t> zones;
    for (index_t zone = 0; zone < zones_.size(); ++zone) {
        // In column 0 the slots of each rack are rounded down.
        const auto slack = column == 0 ? places_->racksOf(zone).size() : 0;
        if (zones_[zone].slots[column] + slack >= minimumSlots(need)) {
            zones.push_back(zone);
        }
    }
    if (policy.fewestWorkers) {
        std::ranges::stable_sort(zones, {},
                                 [&](index_t zone) { return zones_[zone].slots[column]; });
    }
    return std::ranges::any_of(zones, [&](const index_t &zone) {
        return findInZones(policy, need, {&zone, 1}, out);
    });
}

bool capacity_index::findInOneRegion(const strategy &policy, const request &need,
                                     std::vector<index_t> &out) const
{
    const auto column = columnOf(need.task);
    for (index_t region = 0; region < places_->regions(); ++region) {
        std::uint32_t slots = 0;
        for (const auto zone : places_->zonesOf(region)) {
            slots += zones_[zone].slots[column];
            slots += column == 0 ? std::uint32_t(places_->racksOf(zone).size()) : 0;
        }
        if (slots >= minimumSlots(need)
            && findInZones(policy, need, places_->zonesOf(region), out)) {
            return true;
        }
    }
    return false;
}

bool capacity_index::find(const strategy &policy, const request &need,
                          std::vector<index_t> &workers) const
{
    workers.clear();
    if (zones_.size() < places_->zones()) {
        return false; // no worker of the newest zone has been set yet
    }
    if (findInOneWorker(policy, need, workers)) {
        return true;
    }
    if (need.tasks > 1 && fits(need.task, largest_) && slotBound(need) >= need.tasks) {
        if (findInOneRack(policy, need, workers)) {
            return true;
        }
        if (need.within == locality::Region
            && (findInOneZone(policy, need, workers) || findInOneRegion(policy, need, workers))) {
            return true;
        }
    }
    workers.clear();
    return false;
}

std::size_t capacity_index::bytes() const
{
    auto total = sizeof(*this) + available_.capacity() * sizeof(amount)
            + rackSlots_.capacity() * sizeof(columns);
    for (const auto &list : buckets_) {
        total += list.bits.capacity() * sizeof(std::uint64_t);
    }
    for (const auto &zone : zones_) {
        total += sizeof(zone) + zone.bits.capacity() * sizeof(std::uint64_t);
    }
    return total;
}

} // namespace persimmon::placement::detail
