#include "gateway/control_plane_client.h"

#include <algorithm>

#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_update.h"

namespace shaletray::gateway {
namespace {

// An update that is missing is asked for at most so many times in one request interval.
constexpr int kRepairsPerInterval = 5;

// A fixed order for each gateway, and another one for each: the controllers get even parts of the load.
std::size_t preference(const std::string& self, const std::string& controller_address) {
    return std::hash<std::string>{}(self + "|" + controller_address);
}

}    // namespace

ControlPlaneClient::ControlPlaneClient(Settings settings) : settings_(std::move(settings)) {}

void ControlPlaneClient::set_controllers(std::vector<std::string> controllers,
                                         std::vector<std::string> suspect_controllers) {
    const auto by_preference = [this](const std::string& a, const std::string& b) {
        return preference(settings_.self, a) < preference(settings_.self, b);
    };
    std::sort(controllers.begin(), controllers.end(), by_preference);
    std::sort(suspect_controllers.begin(), suspect_controllers.end(), by_preference);
    controllers_ = std::move(controllers);
    controllers_.insert(controllers_.end(), suspect_controllers.begin(), suspect_controllers.end());
    std::erase_if(controller_states_, [this](const auto& item) {
        return std::find(controllers_.begin(), controllers_.end(), item.first) == controllers_.end();
    });
}

std::vector<std::string> ControlPlaneClient::confirmed_controllers(TimePoint now, Duration timeout) const {
    std::vector<std::string> addresses;
    for (const auto& [address, controller_state] : controller_states_)
        if (controller_state.confirmed && now - controller_state.last_heard <= timeout)
            addresses.push_back(address);
    return addresses;
}

// Controllers that answer stay; one that doesn't is replaced by the next. So is one that no quorum confirms:
// the subscribed ones may be partitioned from the others together, and their information old.
void ControlPlaneClient::select_controllers(TimePoint now) {
    const auto silent = [&](const ControllerState& candidate) {
        return candidate.requested_at != TimePoint{} &&
               now - std::max(candidate.last_heard, candidate.requested_at) > settings_.response_timeout;
    };
    const auto unconfirmed = [&](const ControllerState& candidate) {
        return candidate.requested_at != TimePoint{} &&
               now - std::max(candidate.last_confirmed, candidate.subscribed_since) >
                   settings_.response_timeout;
    };
    if (controllers_.size() > settings_.max_controllers)
        std::erase_if(controller_states_,
                      [&](const auto& item) { return silent(item.second) || unconfirmed(item.second); });
    for (std::size_t tried = 0;
         controller_states_.size() < settings_.max_controllers && tried < controllers_.size(); ++tried) {
        const std::string& address = controllers_[next_candidate_++ % controllers_.size()];
        const auto [it, is_new] = controller_states_.try_emplace(address);
        if (is_new) it->second.subscribed_since = now;
    }
}

void ControlPlaneClient::send_client_state(const std::string& to, ControllerState& controller_state,
                                           TimePoint now, Actions& actions) {
    subscription::ClientState client_state;
    client_state.incarnation = settings_.incarnation;
    if (configuration_index_ && !needs_full_update_) {
        client_state.version = configuration_index_->config().version;
        client_state.digest = digest_;
    }
    client_state.known_incarnation = controller_state.incarnation;
    client_state.known_sequence = controller_state.sequence;
    client_state.quota_divisor = quota_divisor_;
    if (controller_state.requested_at < controller_state.last_heard ||
        controller_state.requested_at == TimePoint{})
        controller_state.requested_at = now;
    actions.sends.push_back({to, subscription::encode(client_state)});
}

void ControlPlaneClient::tick(TimePoint now, std::uint32_t quota_divisor, Actions& actions) {
    quota_divisor_ = quota_divisor;
    if (now < next_tick_) return;
    next_tick_ = now + settings_.request_interval;
    select_controllers(now);
    for (auto& [address, controller_state] : controller_states_)
        send_client_state(address, controller_state, now, actions);
}

void ControlPlaneClient::on_message(const std::string& from, std::uint64_t incarnation,
                                    std::string_view bytes, TimePoint now, Actions& actions) {
    const auto it = controller_states_.find(from);
    if (it == controller_states_.end()) return;    // not subscribed to, or not any more
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
    if (!apply_endpoint_changes(update, now, actions)) return;
    if (update.since_sequence <= controller_state.sequence)
        controller_state.sequence = std::max(controller_state.sequence, update.sequence);
    else incomplete = true;
    const bool complete = !incomplete && controller_state.sequence >= update.sequence;
    if (update.quorum_confirmed && complete && update.version > 0 &&
        configuration_version() >= update.version)
        caught_up_ = true;
    const Duration min_repair_interval = settings_.request_interval / kRepairsPerInterval;
    if (incomplete && now - controller_state.last_repair >= min_repair_interval) {
        controller_state.last_repair = now;
        send_client_state(from, controller_state, now, actions);
    }
}

void ControlPlaneClient::record_contact(const subscription::ControlUpdate& update,
                                        ControllerState& controller_state, TimePoint now) {
    controller_state.last_heard = now;
    controller_state.confirmed = update.quorum_confirmed;
    if (update.quorum_confirmed) controller_state.last_confirmed = now;
    if (controller_state.incarnation == update.incarnation) return;
    controller_state.incarnation = update.incarnation;
    controller_state.sequence = 0;
}

// False where the changes are malformed.
bool ControlPlaneClient::apply_endpoint_changes(const subscription::ControlUpdate& update, TimePoint now,
                                                Actions& actions) {
    if (update.endpoint_changes.empty()) return true;
    const boost::leaf::result<std::vector<std::string>> changed_servers =
        endpoints_.apply_changes(update.endpoint_changes, now);
    if (!changed_servers) {
        ++statistics_.malformed_updates;
        return false;
    }
    actions.servers_changed = actions.servers_changed || !changed_servers->empty();
    return true;
}

// Applies the configuration of the update. True where this gateway is still behind the update's version.
bool ControlPlaneClient::apply_update(const subscription::ControlUpdate& update, Actions& actions) {
    if (update.version <= configuration_version()) return false;    // never go back
    if (update.configuration_delta.empty()) return true;
    boost::leaf::result<configuration::Configuration> new_configuration = configuration::apply_update(
        configuration_index_ ? configuration_index_->config() : empty_configuration_,
        update.configuration_delta);
    if (!new_configuration || new_configuration->version != update.version) {
        // The delta is for another configuration, or damaged: the next message asks for a full one.
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
