// How the requests of a service spread over its keys, as plans weigh it. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Weights of ranges; all keys together weigh kKeyCount. Most of the weight goes by the requests that were
// seen, a small part by the number of keys, so that keys that were not asked for lately weigh something too.
// Without requests, it goes by the number of keys alone.
class LoadProfile {
public:
    LoadProfile() = default;
    // The (decayed) number of requests of each key. Keys without any may be left out.
    explicit LoadProfile(const std::map<Key, double>& requests);

    double weight(const KeyRange& keys) const;
    // How many keys from the beginning, or the end, of the range weigh at most so much together.
    std::uint32_t longest_prefix(const KeyRange& keys, double max_weight) const;
    std::uint32_t longest_suffix(const KeyRange& keys, double max_weight) const;
    // Requests that the weights were estimated from.
    double request_count() const { return cumulative_.empty() ? 0.0 : cumulative_.back().requests; }
    // Whether this weight is above `limit` by more than the chance of sampling explains.
    bool exceeds(double weight, double limit) const;

private:
    struct Step {
        Key key = 0;
        double requests = 0;    // of this and all lower keys
    };
    double requests_below(std::uint32_t key) const;

    std::vector<Step> cumulative_;    // ascending
};

using LoadProfiles = std::map<std::string, LoadProfile>;    // by service

}    // namespace shaletray::ownership
