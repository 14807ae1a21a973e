#pragma once

#include "amount.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon::placement::detail {

// Assigns dense indices to names in order of first use.
class interner
{
public:
    index_t intern(std::string_view name);

    // Returns noIndex for an unknown name.
    index_t find(std::string_view name) const;

    const std::string &nameOf(index_t id) const { return *names_[id]; }
    std::size_t size() const { return names_.size(); }
    std::size_t bytes() const;

private:
    std::unordered_map<std::string, index_t> ids_;
    std::vector<const std::string *> names_; // keys of ids_, whose addresses are stable
};

// Workers, racks, zones and regions of one pool, indexed in order of first arrival.
class topology
{
public:
    // Registers a worker at a location and returns its index within the pool.
    index_t add(const location &place);

    std::size_t workers() const { return rackOf_.size(); }
    std::size_t racks() const { return racks_.size(); }
    std::size_t zones() const { return zones_.size(); }
    std::size_t regions() const { return regions_.size(); }

    index_t rackOf(index_t worker) const { return rackOf_[worker]; }
    index_t zoneOf(index_t rack) const { return racks_[rack].zone; }
    index_t regionOf(index_t zone) const { return zones_[zone].region; }
    index_t positionInZone(index_t rack) const { return racks_[rack].position; }
    const std::vector<index_t> &workersOf(index_t rack) const { return racks_[rack].workers; }
    const std::vector<index_t> &racksOf(index_t zone) const { return zones_[zone].racks; }
    const std::vector<index_t> &zonesOf(index_t region) const { return regions_[region]; }
    std::size_t bytes() const;

private:
    struct rack_entry
    {
        index_t zone = 0;
        index_t position = 0;
        std::vector<index_t> workers;
    };
    struct zone_entry
    {
        index_t region = 0;
        std::vector<index_t> racks;
    };

    interner names_;
    std::unordered_map<index_t, index_t> rackByName_;
    std::unordered_map<index_t, index_t> zoneByName_;
    std::unordered_map<index_t, index_t> regionByName_;
    std::vector<index_t> rackOf_;
    std::vector<rack_entry> racks_;
    std::vector<zone_entry> zones_;
    std::vector<std::vector<index_t>> regions_;
};

} // namespace persimmon::placement::detail
