// What gateways tell the controllers about the keys that their requests ask for: a bounded random sample.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// Of one service, since the previous ones.
struct KeySamples {
    std::string service;
    std::vector<Key> keys;         // one for each sampled request
    std::uint32_t arrivals = 0;    // requests that the sample was drawn from
    bool operator==(const KeySamples&) const = default;
};

// Keeps an even sample of the requests of each service (Vitter's algorithm R). Not thread-safe.
class KeySampler {
public:
    // `max_samples`: keys kept of each service between two calls of take().
    explicit KeySampler(std::uint64_t seed, std::size_t max_samples = 96)
        : random_(seed), max_samples_(max_samples) {}
    void record(const std::string& service, Key key);
    // The samples since the last call; services without requests are left out.
    std::vector<KeySamples> take();

private:
    std::mt19937_64 random_;
    std::size_t max_samples_;
    std::map<std::string, KeySamples> samples_;    // by service
};

}    // namespace shaletray::ownership
