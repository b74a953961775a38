// Counts what became of requests, by tenant and by route, for the metrics. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shaletray::gateway {

// What became of a request at this gateway, as far as quotas and capacity decide.
enum class AdmissionOutcome {
    Granted,               // a unit of its tenant's quota was taken, or none was needed
    RejectedAtOnce,        // no unit was here or expected from other gateways
    RejectedAfterWait,     // units were expected and did not come in time
    RejectedByCapacity,    // granted, but no server could take it
    kCount
};
std::string_view outcome_name(AdmissionOutcome outcome);

// Totals since the start of the process. Not thread-safe.
class AdmissionStatistics {
public:
    using Counts = std::array<std::uint64_t, static_cast<std::size_t>(AdmissionOutcome::kCount)>;
    // An empty tenant is one without a quota.
    void record(const std::string& tenant, const std::string& route, AdmissionOutcome outcome);
    // Those that do not fit kMaxNames are counted together as "other".
    const std::map<std::string, Counts>& by_tenant() const { return by_tenant_; }
    const std::map<std::string, Counts>& by_route() const { return by_route_; }

    // Bounds the memory, whatever clients send: some 100 bytes a name.
    static constexpr std::size_t kMaxNames = 2000;

private:
    std::map<std::string, Counts> by_tenant_, by_route_;
};

}    // namespace shaletray::gateway
