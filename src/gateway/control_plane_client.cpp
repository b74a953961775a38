#include "gateway/control_plane_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_update.h"

namespace shaletray::gateway {
namespace {

// Maximum number of requests for missing updates to a controller in one request interval.
constexpr int kMaxRepairRequestsPerInterval = 5;

// Preferred controllers in the gateway's own zone; the others stay available if the zone fails.
constexpr std::size_t kPreferredInZone = 2;

// Gives each gateway its own fixed order of the controllers, which balances the load among them.
std::size_t preference_hash(const std::string& self, const std::string& controller_address) {
    return std::hash<std::string>{}(self + "|" + controller_address);
}

}    // namespace

ControlPlaneClient::ControlPlaneClient(Settings settings) : settings_(std::move(settings)) {}

void ControlPlaneClient::set_controllers(std::vector<Controller> controllers) {
    std::sort(controllers.begin(), controllers.end(), [this](const Controller& a, const Controller& b) {
        return preference_hash(settings_.self, a.address) < preference_hash(settings_.self, b.address);
    });
    std::size_t in_zone = 0;
    const auto tier_of = [&](const Controller& controller) {
        if (controller.suspect) return 4;
        if (!controller.may_vote) return 3;
        if (!controller.same_zone) return 1;
        return in_zone++ < kPreferredInZone ? 0 : 2;
    };
    std::vector<std::pair<int, std::string>> tiers;
    for (Controller& controller : controllers) {
        const int tier = tier_of(controller);
        tiers.emplace_back(tier, std::move(controller.address));
    }
    std::stable_sort(tiers.begin(), tiers.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    controllers_.clear();
    for (auto& [tier, address] : tiers) controllers_.push_back(std::move(address));
    const auto is_unknown = [this](const auto& item) { return rank_of(item.first) == controllers_.size(); };
    std::erase_if(controller_states_, is_unknown);
    std::erase_if(failed_at_, is_unknown);
}

// Position in the order of preference; controllers_.size() for an unknown controller.
std::size_t ControlPlaneClient::rank_of(const std::string& address) const {
    const auto it = std::find(controllers_.begin(), controllers_.end(), address);
    return static_cast<std::size_t>(it - controllers_.begin());
}

std::vector<std::string> ControlPlaneClient::confirmed_controllers(TimePoint now, Duration timeout) const {
    std::vector<std::string> addresses;
    for (const auto& [address, controller_state] : controller_states_)
        if (controller_state.confirmed && now - controller_state.last_update_at <= timeout)
            addresses.push_back(address);
    return addresses;
}

void ControlPlaneClient::select_controllers(TimePoint now) {
    if (controllers_.size() > settings_.max_controllers) replace_failed(now);
    while (controller_states_.size() < std::min(settings_.max_controllers, controllers_.size())) {
        // The first without a recent failure, otherwise the one whose failure is the oldest.
        const std::string* best = nullptr;
        TimePoint best_failure = TimePoint::max();
        for (const std::string& address : controllers_) {
            if (controller_states_.contains(address)) continue;
            const TimePoint failure = failed_recently(address, now) ? failed_at_.at(address) : TimePoint{};
            if (best != nullptr && failure >= best_failure) continue;
            best = &address;
            best_failure = failure;
        }
        subscribe_to(*best, now);
    }
    move_to_preferred(now);
}

void ControlPlaneClient::subscribe_to(const std::string& address, TimePoint now) {
    controller_states_[address].subscribed_since = now;
}

bool ControlPlaneClient::is_unresponsive(const ControllerState& controller_state, TimePoint now) const {
    return controller_state.requested_at != TimePoint{} &&
           now - std::max(controller_state.last_update_at, controller_state.requested_at) >
               settings_.response_timeout;
}

bool ControlPlaneClient::is_unconfirmed(const ControllerState& controller_state, TimePoint now) const {
    return controller_state.requested_at != TimePoint{} &&
           now - std::max(controller_state.last_confirmed_at, controller_state.subscribed_since) >
               settings_.response_timeout;
}

bool ControlPlaneClient::failed_recently(const std::string& address, TimePoint now) const {
    const auto it = failed_at_.find(address);
    return it != failed_at_.end() && now - it->second < settings_.failure_retention;
}

// Unsubscribes from controllers that do not respond and from those that no quorum confirms: the subscribed
// controllers may be partitioned from the others together, and their state outdated.
void ControlPlaneClient::replace_failed(TimePoint now) {
    std::erase_if(controller_states_, [&](const auto& item) {
        if (!is_unresponsive(item.second, now) && !is_unconfirmed(item.second, now)) return false;
        failed_at_[item.first] = now;
        return true;
    });
}

// Subscribes to one preferred controller beyond the limit; once all are confirmed, leaves the least
// preferred.
void ControlPlaneClient::move_to_preferred(TimePoint now) {
    if (controllers_.size() <= settings_.max_controllers) return;
    if (controller_states_.size() > settings_.max_controllers) {
        const auto by_rank = [this](const auto& a, const auto& b) {
            return rank_of(a.first) < rank_of(b.first);
        };
        const bool all_confirmed = std::all_of(controller_states_.begin(), controller_states_.end(),
                                               [](const auto& item) { return item.second.confirmed; });
        if (all_confirmed)
            controller_states_.erase(
                std::max_element(controller_states_.begin(), controller_states_.end(), by_rank));
        return;
    }
    for (std::size_t rank = 0; rank < settings_.max_controllers; ++rank) {
        const std::string& address = controllers_[rank];
        if (controller_states_.contains(address) || failed_recently(address, now)) continue;
        return subscribe_to(address, now);
    }
}

void ControlPlaneClient::send_client_state(const std::string& to, ControllerState& controller_state,
                                           TimePoint now,
                                           const std::vector<ownership::KeySamples>& key_samples,
                                           Actions& actions) {
    subscription::ClientState client_state;
    client_state.incarnation = settings_.incarnation;
    if (configuration_index_ && !needs_full_update_) {
        client_state.version = configuration_index_->config().version;
        client_state.digest = digest_;
    }
    client_state.known_incarnation = controller_state.incarnation;
    client_state.known_sequence = controller_state.sequence;
    client_state.quota_divisor = quota_divisor_;
    client_state.ownership_version = owners_.version();
    client_state.last_update = controller_state.last_update;
    client_state.key_samples = key_samples;
    if (controller_state.requested_at < controller_state.last_update_at ||
        controller_state.requested_at == TimePoint{})
        controller_state.requested_at = now;
    actions.sends.push_back({to, subscription::encode(client_state)});
}

void ControlPlaneClient::tick(TimePoint now, std::uint32_t quota_divisor, Actions& actions) {
    quota_divisor_ = quota_divisor;
    if (now < next_tick_) return;
    next_tick_ = now + settings_.request_interval;
    select_controllers(now);
    const std::vector<ownership::KeySamples> key_samples = std::exchange(key_samples_, {});
    for (auto& [address, controller_state] : controller_states_)
        send_client_state(address, controller_state, now, key_samples, actions);
}

void ControlPlaneClient::on_message(const std::string& from, std::uint64_t incarnation,
                                    std::string_view bytes, TimePoint now, Actions& actions) {
    const auto it = controller_states_.find(from);
    if (it == controller_states_.end()) return;    // not subscribed, or no longer
    const boost::leaf::result<subscription::ControlUpdate> decoded =
        subscription::decode_control_update(bytes);
    if (!decoded || decoded->incarnation != incarnation) {
        ++statistics_.malformed_updates;
        return;
    }
    const subscription::ControlUpdate& update = *decoded;
    ControllerState& controller_state = it->second;
    ++statistics_.updates;
    record_contact(update, controller_state, now);
    bool incomplete = apply_update(update, actions);
    incomplete = apply_ownership(update) || incomplete;
    if (!apply_endpoint_changes(update, now, actions)) return;
    if (update.since_sequence <= controller_state.sequence)
        controller_state.sequence = std::max(controller_state.sequence, update.sequence);
    else incomplete = true;
    const bool complete = !incomplete && controller_state.sequence >= update.sequence;
    if (update.quorum_confirmed && complete && update.version > 0 &&
        configuration_version() >= update.version)
        caught_up_ = true;
    const Duration min_repair_interval = settings_.request_interval / kMaxRepairRequestsPerInterval;
    if (incomplete && now - controller_state.last_repair_request_at >= min_repair_interval) {
        controller_state.last_repair_request_at = now;
        send_client_state(from, controller_state, now, {}, actions);
    }
}

void ControlPlaneClient::record_contact(const subscription::ControlUpdate& update,
                                        ControllerState& controller_state, TimePoint now) {
    controller_state.last_update_at = now;
    controller_state.confirmed = update.quorum_confirmed;
    if (update.quorum_confirmed) controller_state.last_confirmed_at = now;
    if (controller_state.incarnation != update.incarnation) {
        controller_state.incarnation = update.incarnation;
        controller_state.sequence = 0;
        controller_state.last_update = subscription::kNoUpdate;
    }
    const bool is_first = controller_state.last_update == subscription::kNoUpdate;
    const bool is_numbered = update.number != subscription::kNotTold;
    if (is_numbered &&
        (is_first || subscription::is_later_update(update.number, controller_state.last_update)))
        controller_state.last_update = update.number;
}

// Returns false where the changes are malformed.
bool ControlPlaneClient::apply_endpoint_changes(const subscription::ControlUpdate& update, TimePoint now,
                                                Actions& actions) {
    if (update.endpoint_changes.empty()) return true;
    boost::leaf::result<std::vector<std::string>> changed_servers =
        endpoints_.apply_changes(update.endpoint_changes, now);
    if (!changed_servers) {
        ++statistics_.malformed_updates;
        return false;
    }
    std::move(changed_servers->begin(), changed_servers->end(), std::back_inserter(actions.changed_servers));
    return true;
}

// Applies the owners of shard keys. Returns true where this gateway is still behind the update's version.
bool ControlPlaneClient::apply_ownership(const subscription::ControlUpdate& update) {
    if (update.ownership_version <= owners_.version()) return false;    // versions never decrease
    if (update.ownership_changes.empty() || update.ownership_since > owners_.version()) return true;
    if (!owners_.apply(update.ownership_changes)) ++statistics_.malformed_updates;
    return owners_.version() < update.ownership_version;
}

// Applies the configuration of the update. Returns true where this gateway is still behind its version.
bool ControlPlaneClient::apply_update(const subscription::ControlUpdate& update, Actions& actions) {
    if (update.version <= configuration_version()) return false;    // versions never decrease
    if (update.configuration_delta.empty()) return true;
    boost::leaf::result<configuration::Configuration> new_configuration = configuration::apply_update(
        configuration_index_ ? configuration_index_->config() : empty_configuration_,
        update.configuration_delta);
    if (!new_configuration || new_configuration->version != update.version) {
        // The delta has another base, or is corrupt: the next message requests a full configuration.
        ++statistics_.malformed_updates;
        needs_full_update_ = true;
        return true;
    }
    ++(configuration_index_ && !needs_full_update_ ? statistics_.delta_updates : statistics_.full_updates);
    needs_full_update_ = false;
    configuration_index_ =
        std::make_shared<const configuration::ConfigurationIndex>(std::move(*new_configuration));
    digest_ = configuration::digest_of(configuration_index_->config());
    actions.configuration_changed = true;
    return false;
}

}    // namespace shaletray::gateway
