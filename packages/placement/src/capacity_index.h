#pragma once

#include "topology.h"

#include <array>
#include <span>
#include <string_view>

namespace persimmon::placement::detail {

class capacity_index;

// Largest part of a pool over which a gang may be spread.
enum class reach : std::uint8_t { Rack, Region };

// A gang to be placed: all tasks have the same size.
struct request
{
    amount task;
    std::uint32_t tasks = 1;
    reach within = reach::Region;
};

// Order in which a strategy looks for room. Each member names a search of capacity_index.
struct strategy
{
    std::string_view name;
    index_t (capacity_index::*pickWorker)(const amount &need) const;
    index_t (capacity_index::*pickRack)(const request &need) const;
    bool fewestWorkers; // fill the emptiest workers and racks first, so that gangs are adjacent
    bool strictOrder; // baseline: jobs start in order of arrival, without guarantees
};

// Returns null for an unknown name.
const strategy *findStrategy(std::string_view name);

// Available resources of the workers of one pool, for one kind of use. Keeps free lists of workers
// by accelerators, cores and memory, free lists of racks by the number of tasks they hold, and
// counts for each zone, so that a search does not visit all workers.
class capacity_index
{
public:
    explicit capacity_index(const topology &places)
        : places_(&places)
    {
    }

    // Sets what is available on a worker. Negative amounts count as nothing.
    void set(index_t worker, const amount &available);

    amount available(index_t worker) const
    {
        return worker < available_.size() ? available_[worker] : amount {};
    }

    // Finds one worker for each task, all in one region, as close together as possible.
    bool find(const strategy &order, const request &need, std::vector<index_t> &workers) const;

    std::size_t bytes() const;

    // Searches used by the strategies; noIndex when nothing fits.
    index_t firstWorker(const amount &need) const;
    index_t smallestWorker(const amount &need) const;
    index_t buddyWorker(const amount &need) const;
    index_t firstRack(const request &need) const;
    index_t smallestRack(const request &need) const;

private:
    static constexpr std::size_t levels = 9; // 0 to 8 accelerators
    static constexpr std::uint32_t maxSlots = maxGangTasks;
    static constexpr std::uint32_t coresPerSlot = 16; // unit of column 0, for tasks of cores

    using columns = std::array<std::uint32_t, levels>;

    // Free lists of one zone: for each column and number of slots, one bit for each rack.
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
    static std::uint32_t firstSlots(const request &need);

    void grow(index_t worker);
    void growZone(index_t zone);
    void moveWorker(index_t worker, std::uint32_t from, std::uint32_t to);
    void moveRack(index_t rack, const columns &before, const columns &after);
    void insertRack(index_t rack);
    std::uint32_t slotBound(const request &need) const;
    bool inOneWorker(const strategy &order, const request &need, std::vector<index_t> &out) const;
    bool inOneRack(const strategy &order, const request &need, std::vector<index_t> &out) const;
    bool inZones(const strategy &order, const request &need, std::span<const index_t> zones,
                 std::vector<index_t> &out) const;
    bool inOneZone(const strategy &order, const request &need, std::vector<index_t> &out) const;
    bool inOneRegion(const strategy &order, const request &need, std::vector<index_t> &out) const;
    std::uint32_t slotsOfRack(index_t rack, const amount &task) const;
    void fillRack(const strategy &order, index_t rack, const amount &task, std::uint32_t tasks,
                  std::vector<index_t> &out) const;
    template <typename Visit>
    bool visitRacks(index_t zone, std::uint32_t column, std::uint32_t slots, Visit visit) const;

    const topology *places_;
    std::vector<amount> available_;
    amount largest_; // per resource, the most that any worker ever had; bounds futile searches
    std::array<bucket, levels * 64> buckets_;
    std::array<std::uint64_t, levels> used_ {}; // non-empty buckets of each level
    std::vector<columns> rackSlots_;
    std::vector<zone_lists> zones_;
};

} // namespace persimmon::placement::detail
