// A controller's estimate of how often each key is asked for, from the samples of the gateways that are
// subscribed to it.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "cluster/ownership/key_sampler.h"
#include "cluster/ownership/load_profile.h"

namespace shaletray::ownership {

// Recent requests count for more: a count falls to a third within `kLoadMemory`, but not so far that all
// together say too little: where few requests come, the memory is longer. Not thread-safe.
class KeyLoadTable {
public:
    static constexpr Duration kLoadMemory = std::chrono::seconds(20);

    // Only these services are kept.
    void set_services(const std::set<std::string, std::less<>>& services);
    // Samples of unknown services, and such as cannot be, are ignored.
    void add(const KeySamples& samples, TimePoint now);
    // By the number of keys alone where too few requests were seen for so many servers.
    LoadProfile profile(const std::string& service, std::size_t server_count, TimePoint now);

    // Whether gateways have told something of the service lately, so that its profile is that of now.
    bool is_current(const std::string& service, TimePoint now) const;

private:
    struct ServiceLoad {
        std::map<Key, double> requests;
        TimePoint heard_at{};
        TimePoint decayed_at{};
    };
    static void decay(ServiceLoad& load, double min_requests, TimePoint now);

    std::map<std::string, ServiceLoad> services_;
};

}    // namespace shaletray::ownership
