#pragma once

#include "topology.h"

#include <array>
#include <span>
#include <string_view>

namespace persimmon::placement::detail {

class capacity_index;

// Largest failure domain over which a gang may be spread.
enum class locality : std::uint8_t { Rack, Region };

// Resources of a gang, whose tasks all have the same size.
struct request
{
    amount task;
    std::uint32_t tasks = 1;
    locality within = locality::Region;
};

// Search order of a placement strategy; the member pointers select searches of capacity_index.
struct strategy
{
    std::string_view name;
    index_t (capacity_index::*pickWorker)(const amount &need) const;
    index_t (capacity_index::*pickRack)(const request &need) const;
    bool fewestWorkers; // prefer the emptiest workers and racks, so that gangs span few
    bool strictOrder; // benchmark baseline: jobs start in order of arrival, without guarantees
};

// Returns null for an unknown name.
const strategy *findStrategy(std::string_view name);

// Available resources of the workers of one pool in one view. Keeps free lists of workers by
// accelerators, cores and memory, free lists of racks by the number of tasks they hold, and counts
// per zone, so that a search does not visit all workers.
class capacity_index
{
public:
    explicit capacity_index(const topology &places)
        : places_(&places)
    {
    }

    // Sets the available resources of a worker. Negative amounts are treated as zero.
    void set(index_t worker, const amount &available);

    amount available(index_t worker) const
    {
        return worker < available_.size() ? available_[worker] : amount {};
    }

    // Finds one worker per task, all in one region and as close together as possible.
    bool find(const strategy &policy, const request &need, std::vector<index_t> &workers) const;

    std::size_t bytes() const;

    // Searches used by the strategies; they return noIndex when nothing fits.
    index_t firstWorker(const amount &need) const;
    index_t smallestWorker(const amount &need) const;
    index_t buddyWorker(const amount &need) const;
    index_t firstRack(const request &need) const;
    index_t smallestRack(const request &need) const;

private:
    static constexpr std::size_t levels = 9; // 0 to 8 accelerators
    static constexpr std::uint32_t maxSlots = maxGangTasks;
    // Slot size of column 0, which holds tasks without accelerators.
    static constexpr std::uint32_t coresPerSlot = 16;

    using columns = std::array<std::uint32_t, levels>;

    // Free lists of one zone: a bitmap of racks per column and number of slots.
    struct zone_lists
    {
        std::uint32_t words = 0;
        std::vector<std::uint64_t> bits;
        std::array<std::array<std::uint16_t, maxSlots + 1>, levels> counts {};
        columns slots {};
    };

    struct bucket
    {
        std::uint32_t count = 0;
        std::vector<std::uint64_t> bits;
    };

    static std::uint32_t bucketOf(const amount &available);
    static std::uint64_t sizesAtLeast(const amount &need);
    static std::uint32_t columnOf(const amount &task);
    static std::uint32_t minimumSlots(const request &need);

    void addWorkersUpTo(index_t worker);
    void growZone(index_t zone);
    void moveWorker(index_t worker, std::uint32_t from, std::uint32_t to);
    void moveRack(index_t rack, const columns &before, const columns &after);
    void insertRack(index_t rack);
    std::uint32_t slotBound(const request &need) const;
    bool findInOneWorker(const strategy &policy, const request &need,
                         std::vector<index_t> &out) const;
    bool findInOneRack(const strategy &policy, const request &need,
                       std::vector<index_t> &out) const;
    bool findInZones(const strategy &policy, const request &need, std::span<const index_t> zones,
                     std::vector<index_t> &out) const;
    bool findInOneZone(const strategy &policy, const request &need,
                       std::vector<index_t> &out) const;
    bool findInOneRegion(const strategy &policy, const request &need,
                         std::vector<index_t> &out) const;
    std::uint32_t slotsOfRack(index_t rack, const amount &task) const;
    void fillRack(const strategy &policy, index_t rack, const amount &task, std::uint32_t tasks,
                  std::vector<index_t> &out) const;
    template <typename Visit>
    bool visitRacks(index_t zone, std::uint32_t column, std::uint32_t slots, Visit visit) const;

    const topology *places_;
    std::vector<amount> available_;
    amount largest_; // per-resource maximum over all workers and time; rules out futile searches
    std::array<bucket, levels * 64> buckets_;
    std::array<std::uint64_t, levels> nonEmptyBuckets_ {}; // one bit per bucket, by level
    std::vector<columns> rackSlots_;
    std::vector<zone_lists> zones_;
};

} // namespace persimmon::placement::detail
