#include "cluster/ownership/key_load_table.h"

#include <cmath>

namespace shaletray::ownership {
namespace {

using namespace std::chrono_literals;

// Minimum interval between two decays of a service's counts.
constexpr Duration kDecayInterval = 1s;
// Gateways that have requests report twice a second.
constexpr Duration kSampleValidity = 3s;
// Keys with smaller counts are dropped, which bounds the number of keys kept.
constexpr double kMinRequestCount = 0.005;
// Reports with more requests per sampled key are rejected as implausible.
constexpr std::uint32_t kMaxRequestsPerSample = 10000;
// With fewer requests per server, the sample is too small for a profile.
constexpr double kMinRequestsPerServer = 4.0;

}    // namespace

void KeyLoadTable::set_services(const std::set<std::string, std::less<>>& services) {
    std::erase_if(services_, [&](const auto& entry) { return !services.contains(entry.first); });
    for (const std::string& service : services) services_.try_emplace(service);
}

void KeyLoadTable::add(const KeySamples& samples, TimePoint now) {
    const auto found = services_.find(samples.service);
    if (found == services_.end() || samples.keys.empty()) return;
    const double requests_per_sample =
        static_cast<double>(samples.arrivals) / static_cast<double>(samples.keys.size());
    if (requests_per_sample < 1 || requests_per_sample > kMaxRequestsPerSample) return;
    found->second.last_sample_at = now;
    for (const Key key : samples.keys) found->second.requests[key] += requests_per_sample;
}

LoadProfile KeyLoadTable::profile(const std::string& service, std::size_t server_count, TimePoint now) {
    const auto found = services_.find(service);
    if (found == services_.end()) return {};
    const double needed = kMinRequestsPerServer * static_cast<double>(server_count);
    decay(found->second, needed, now);
    LoadProfile result(found->second.requests);
    return result.request_count() < needed ? LoadProfile() : result;
}

bool KeyLoadTable::is_current(const std::string& service, TimePoint now) const {
    const auto found = services_.find(service);
    return found != services_.end() && now - found->second.last_sample_at < kSampleValidity;
}

void KeyLoadTable::decay(ServiceLoad& load, double min_requests, TimePoint now) {
    if (load.decayed_at == TimePoint{}) load.decayed_at = now;
    const Duration elapsed = now - load.decayed_at;
    if (elapsed < kDecayInterval) return;
    load.decayed_at = now;
    const double factor =
        std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(kDecayTimeConstant));
    double total = 0;
    for (const auto& [key, count] : load.requests) total += count;
    if (total * factor < min_requests) return;
    for (auto& [key, count] : load.requests) count *= factor;
    std::erase_if(load.requests, [](const auto& entry) { return entry.second < kMinRequestCount; });
}

}    // namespace shaletray::ownership
