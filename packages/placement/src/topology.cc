#include "topology.h"

namespace persimmon::placement::detail {

index_t interner::intern(std::string_view name)
{
    const auto [it, added] = ids_.emplace(name, static_cast<index_t>(names_.size()));
    if (added) {
        names_.push_back(&it->first);
    }
    return it->second;
}

index_t interner::find(std::string_view name) const
{
    const auto it = ids_.find(std::string(name));
    return it == ids_.end() ? noIndex : it->second;
}

std::size_t interner::bytes() const
{
    // A hash node holds the string, the index, the hash and a link; a bucket is one pointer.
    std::size_t total = names_.capacity() * sizeof(void *) + ids_.bucket_count() * sizeof(void *);
    for (const auto *name : names_) {
        total += sizeof(std::string) + 3 * sizeof(void *)
                + (name->capacity() > 15 ? name->capacity() + 1 : 0);
    }
    return total;
}

index_t topology::add(const location &place)
{
    const auto regionKey = names_.intern(place.region);
    const auto region = regionByName_.emplace(regionKey, regions_.size()).first->second;
    if (region == regions_.size()) {
        regions_.emplace_back();
    }
    // Names can't contain the separator, since the tables restrict them to printable characters.
    const auto zoneName = place.region + '\n' + place.zone;
    const auto zone = zoneByName_.emplace(names_.intern(zoneName), zones_.size()).first->second;
    if (zone == zones_.size()) {
        zones_.push_back({region, {}});
        regions_[region].push_back(zone);
    }
    const auto rackKey = names_.intern(zoneName + '\n' + place.rack);
    const auto rack = rackByName_.emplace(rackKey, racks_.size()).first->second;
    if (rack == racks_.size()) {
        racks_.push_back({zone, static_cast<index_t>(zones_[zone].racks.size()), {}});
        zones_[zone].racks.push_back(rack);
    }
    const auto worker = static_cast<index_t>(rackOf_.size());
    racks_[rack].workers.push_back(worker);
    rackOf_.push_back(rack);
    return worker;
}

std::size_t topology::bytes() const
{
    std::size_t total = names_.bytes() + rackOf_.capacity() * sizeof(index_t);
    for (const auto &rack : racks_) {
        total += sizeof(rack) + rack.workers.capacity() * sizeof(index_t) + 4 * sizeof(void *);
    }
    for (const auto &zone : zones_) {
        total += sizeof(zone) + zone.racks.capacity() * sizeof(index_t);
    }
    return total;
}

} // namespace persimmon::placement::detail
