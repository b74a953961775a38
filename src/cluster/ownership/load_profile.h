// The distribution of a service's requests over its keys, by which the planner weighs key ranges. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Weights of key ranges; all keys together weigh kKeyCount. Most of the weight is in proportion to the
// requests that were seen, a small part to the number of keys, so that keys without recent requests have a
// weight too. Without any requests, the weight is the number of keys.
class LoadProfile {
public:
    LoadProfile() = default;
    // `requests`: the (decayed) number of requests by key. Keys without requests may be omitted.
    explicit LoadProfile(const std::map<Key, double>& requests);

    double weight(const KeyRange& keys) const;
    // Returns the largest number of keys at the beginning, or the end, of the range whose total weight is at
    // most `max_weight`.
    std::uint32_t longest_prefix(const KeyRange& keys, double max_weight) const;
    std::uint32_t longest_suffix(const KeyRange& keys, double max_weight) const;
    // The number of requests from which the weights were estimated.
    double request_count() const { return cumulative_.empty() ? 0.0 : cumulative_.back().requests; }
    // Whether `weight` is above `limit` by more than sampling error explains.
    bool exceeds(double weight, double limit) const;

private:
    struct Step {
        Key key = 0;
        double requests = 0;    // of this key and all lower ones
    };
    double requests_below(std::uint32_t key) const;

    std::vector<Step> cumulative_;    // ascending by key
};

using LoadProfiles = std::map<std::string, LoadProfile>;    // by service

}    // namespace shaletray::ownership
