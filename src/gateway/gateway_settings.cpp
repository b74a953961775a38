#include "gateway/gateway_settings.h"

#include <functional>

namespace shaletray::gateway {
namespace {

// Descriptors for other files and for the reactor.
constexpr std::size_t kReservedDescriptors = 260;
// Used even where fewer descriptors are available, since a gateway cannot serve with fewer sockets.
constexpr std::size_t kMinSockets = 64;
// The remaining sockets are for servers.
constexpr double kClientSocketShare = 0.65;

std::size_t fraction_of(std::size_t count, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(count) * fraction);
}

}    // namespace

std::vector<std::string> zone_names(const runtime::NodeSettings& settings) {
    std::vector<std::string> names;
    for (const auto& [zone, region] : settings.region_by_zone) names.push_back(zone);
    return names;
}

std::size_t max_sockets(const runtime::NodeSettings& settings) {
    if (settings.max_open_files <= kReservedDescriptors + kMinSockets) return kMinSockets;
    return settings.max_open_files - kReservedDescriptors;
}

std::size_t max_client_sockets(const runtime::NodeSettings& settings) {
    return fraction_of(max_sockets(settings), kClientSocketShare);
}

quota::Settings balancer_settings_of(const runtime::NodeSettings& settings, const std::string& address,
                                     std::uint64_t incarnation) {
    quota::Settings result;
    result.self = address;
    result.incarnation = incarnation;
    result.seed = std::hash<std::string>{}(address) + incarnation;
    result.window = settings.bounds.quota_window;
    result.overshoot = settings.bounds.quota_overshoot;
    result.slack = settings.bounds.quota_slack;
    return result;
}

DispatcherSettings dispatcher_settings_of(const runtime::NodeSettings& settings, int zone,
                                          std::uint64_t seed) {
    DispatcherSettings result;
    result.seed = seed;
    result.pipelines.max_server_connections = fraction_of(max_sockets(settings), 1.0 - kClientSocketShare);
    result.pipelines.zone = zone;
    result.pipelines.retry_ratio = settings.bounds.retry_budget_ratio;
    result.pipelines.retry_slack = settings.bounds.retry_slack;
    result.pipelines.retry_window = settings.bounds.retry_window;
    return result;
}

}    // namespace shaletray::gateway
