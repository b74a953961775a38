// Counts admission outcomes by tenant and by route, for the metrics. Does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shaletray::gateway {

// The decision on a request by quotas and capacity.
enum class AdmissionOutcome {
    Granted,               // a quota unit was taken, or none was needed
    RejectedAtOnce,        // no quota unit was available or expected from other gateways
    RejectedAfterWait,     // expected quota units did not arrive in time
    RejectedByCapacity,    // granted, but no server had capacity
    kCount
};
std::string_view outcome_name(AdmissionOutcome outcome);

// Totals since the start of the process. Not thread-safe.
class AdmissionStatistics {
public:
    using Counts = std::array<std::uint64_t, static_cast<std::size_t>(AdmissionOutcome::kCount)>;
    // An empty `tenant` stands for requests without a quota.
    void record(const std::string& tenant, const std::string& route, AdmissionOutcome outcome);
    // Names beyond kMaxNames are counted together as "other".
    const std::map<std::string, Counts>& by_tenant() const { return by_tenant_; }
    const std::map<std::string, Counts>& by_route() const { return by_route_; }

    // Bounds the memory, about 100 bytes a name, regardless of what clients send.
    static constexpr std::size_t kMaxNames = 2000;

private:
    std::map<std::string, Counts> by_tenant_, by_route_;
};

}    // namespace shaletray::gateway
