// A bounded random sample of the shard keys of requests, which gateways report to the controllers.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// The samples of one service since the previous report.
struct KeySamples {
    std::string service;
    std::vector<Key> keys;         // one for each sampled request
    std::uint32_t arrivals = 0;    // requests that the sample was drawn from
    bool operator==(const KeySamples&) const = default;
};

// Keeps a uniform sample of the requests of each service (reservoir sampling, Vitter's algorithm R). Not
// thread-safe.
class KeySampler {
public:
    // `max_samples`: maximum number of keys kept per service between two calls of take().
    explicit KeySampler(std::uint64_t seed, std::size_t max_samples = 96)
        : random_(seed), max_samples_(max_samples) {}
    void record(const std::string& service, Key key);
    // Returns and removes the samples since the last call. Omits services without requests.
    std::vector<KeySamples> take();

private:
    std::mt19937_64 random_;
    std::size_t max_samples_;
    std::map<std::string, KeySamples> samples_;    // by service
};

}    // namespace shaletray::ownership
