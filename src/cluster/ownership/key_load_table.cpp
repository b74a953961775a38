#include "cluster/ownership/key_load_table.h"

#include <cmath>

namespace shaletray::ownership {
namespace {

using namespace std::chrono_literals;

// Counts are lowered at such intervals.
constexpr Duration kDecayInterval = 1s;
// Gateways report twice a second where they have requests.
constexpr Duration kSampleValidity = 3s;
// Smaller counts are forgotten, which bounds how many keys are kept.
constexpr double kMinRequests = 0.005;
// A gateway that reports more requests than this for one sampled key is not believed.
constexpr std::uint32_t kMaxRequestsPerSample = 10000;
// Fewer requests than this for each server say too little.
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
    found->second.heard_at = now;
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
    return found != services_.end() && now - found->second.heard_at < kSampleValidity;
}

void KeyLoadTable::decay(ServiceLoad& load, double min_requests, TimePoint now) {
    if (load.decayed_at == TimePoint{}) load.decayed_at = now;
    const Duration elapsed = now - load.decayed_at;
    if (elapsed < kDecayInterval) return;
    load.decayed_at = now;
    const double factor =
        std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(kLoadMemory));
    double sum = 0;
    for (const auto& [key, count] : load.requests) sum += count;
    if (sum * factor < min_requests) return;
    for (auto& [key, count] : load.requests) count *= factor;
    std::erase_if(load.requests, [](const auto& entry) { return entry.second < kMinRequests; });
}

}    // namespace shaletray::ownership
