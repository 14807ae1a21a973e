#include "core.h"

namespace persimmon::placement::detail {

namespace {

// Returns the number of accelerators of bound cells that other workspaces use.
std::int32_t lentAcceleratorsOn(const worker_entry &worker)
{
    const auto used = worker.preemptibleUse.accelerators + worker.nonPreemptibleUse.accelerators;
    const auto idle = worker.bound.accelerators - worker.guaranteedUse.accelerators;
    const auto unboundCapacity = worker.capacity.accelerators - worker.bound.accelerators;
    return std::clamp(used - unboundCapacity, 0, std::max(idle, 0));
}

} // namespace

std::vector<pool_usage> core::poolUsage() const
{
    std::vector<pool_usage> usage;
    for (index_t id = 0; id < state_.pools.size(); ++id) {
        pool_usage row {state_.poolName(id)};
        for (const auto worker : state_.pools[id].workers) {
            const auto &entry = state_.workers[worker];
            if (entry.present) {
                const auto used = entry.capacity.accelerators - entry.free().accelerators;
                ++row.workers;
                row.accelerators += std::uint32_t(entry.capacity.accelerators);
                row.used += std::uint32_t(std::clamp(used, 0, entry.capacity.accelerators));
                row.borrowed += std::uint32_t(lentAcceleratorsOn(entry));
            }
        }
        usage.push_back(std::move(row));
    }
    return usage;
}

std::vector<workspace_usage> core::workspaceUsage() const
{
    std::vector<workspace_usage> usage;
    for (index_t id = 0; id < state_.workspaces.size(); ++id) {
        const auto &entry = state_.workspaces[id];
        usage.push_back({state_.workspaceName(id), std::uint32_t(entry.guaranteed),
                         std::uint32_t(entry.used), std::uint32_t(entry.borrowed), 0,
                         entry.waiting});
    }
    for (const auto &worker : state_.workers) {
        auto lent = lentAcceleratorsOn(worker);
        for (const auto sliceId : worker.slices) {
            const auto &slice = state_.slices[sliceId];
            const auto lentHere = std::min(lent, (slice.size - slice.used).accelerators);
            usage[state_.cells[slice.cell].workspace].lent += std::uint32_t(lentHere);
            lent -= lentHere;
        }
    }
    return usage;
}

std::size_t core::stateBytes() const
{
    return sizeof(*this) + state_.bytes() + queue_.bytes() + estimator_.bytes();
}

} // namespace persimmon::placement::detail
