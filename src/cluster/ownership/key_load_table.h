// A controller's estimate of the request rate of each key, from the samples that its subscribed gateways
// report.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "cluster/ownership/key_sampler.h"
#include "cluster/ownership/load_profile.h"

namespace shaletray::ownership {

// Keeps exponentially decaying request counts per service and key: a count falls to 1/e within
// `kDecayTimeConstant`. A decay is skipped where the total would fall below the number of requests that a
// profile needs, so a service with few requests keeps older ones. Not thread-safe.
class KeyLoadTable {
public:
    static constexpr Duration kDecayTimeConstant = std::chrono::seconds(20);

    // Keeps only the counts of these services, and accepts samples for no others.
    void set_services(const std::set<std::string, std::less<>>& services);
    // Adds a gateway's samples. Ignores samples of unknown services and implausible ones.
    void add(const KeySamples& samples, TimePoint now);
    // Returns the profile by request counts, or one that weighs by the number of keys alone where too few
    // requests were seen for `server_count` servers.
    LoadProfile profile(const std::string& service, std::size_t server_count, TimePoint now);

    // Whether gateways have reported samples of the service recently, so that its profile is current.
    bool is_current(const std::string& service, TimePoint now) const;

private:
    struct ServiceLoad {
        std::map<Key, double> requests;
        TimePoint last_sample_at{};
        TimePoint decayed_at{};
    };
    static void decay(ServiceLoad& load, double min_requests, TimePoint now);

    std::map<std::string, ServiceLoad> services_;
};

}    // namespace shaletray::ownership
