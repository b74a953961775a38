#include "cluster/registry/service_registry.h"

#include "cluster/registry/endpoint_view.h"

namespace shaletray::registry {

namespace leaf = boost::leaf;

ServiceRegistry::ServiceRegistry(Settings settings) {
    EndpointView::Settings view_settings;
    view_settings.self_address = std::move(settings.self_address);
    view_settings.incarnation = incarnation_ = settings.incarnation;
    view_settings.heartbeat_timeout = settings.heartbeat_interval * settings.max_missed_heartbeats;
    view_ = std::make_unique<EndpointView>(std::move(view_settings));
}
ServiceRegistry::~ServiceRegistry() = default;
ServiceRegistry::ServiceRegistry(ServiceRegistry&&) noexcept = default;
ServiceRegistry& ServiceRegistry::operator=(ServiceRegistry&&) noexcept = default;

void ServiceRegistry::incarnation(std::uint64_t new_incarnation) {
    incarnation_ = new_incarnation;
    view_->set_incarnation(new_incarnation);
}
bool ServiceRegistry::record_heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    return view_->record_heartbeat(heartbeat.server, now);
}
bool ServiceRegistry::deregister(std::string_view id, TimePoint now) { return view_->deregister(id, now); }
void ServiceRegistry::merge_changes(const std::string& from, std::string_view bytes, TimePoint now) {
    if (!view_->apply_changes(from, bytes, now)) ++malformed_messages_;
}
void ServiceRegistry::tick(TimePoint now) { view_->tick(now); }
std::uint64_t ServiceRegistry::sequence() const { return view_->sequence(); }
std::uint64_t ServiceRegistry::own_sequence() const { return view_->own_sequence(); }
std::string ServiceRegistry::encode_changes(std::uint64_t since, bool own_only, TimePoint now) const {
    return view_->encode_changes(since, own_only, now);
}
std::uint64_t ServiceRegistry::known_sequence(const std::string& controller_address,
                                              std::uint64_t controller_incarnation) const {
    return view_->known_sequence(controller_address, controller_incarnation);
}
const std::map<std::string, Server>& ServiceRegistry::servers() const { return view_->servers(); }

EndpointDirectory::EndpointDirectory() : view_(std::make_unique<EndpointView>(EndpointView::Settings{})) {}
EndpointDirectory::~EndpointDirectory() = default;
EndpointDirectory::EndpointDirectory(EndpointDirectory&&) noexcept = default;
EndpointDirectory& EndpointDirectory::operator=(EndpointDirectory&&) noexcept = default;
leaf::result<std::vector<std::string>> EndpointDirectory::apply_changes(std::string_view bytes,
                                                                        TimePoint now) {
    BOOST_LEAF_AUTO(changed_ids, view_->apply_changes({}, bytes, now));
    for (std::string& id : view_->tick(now)) changed_ids.push_back(std::move(id));
    return changed_ids;
}
const std::map<std::string, Server>& EndpointDirectory::servers() const { return view_->servers(); }

}    // namespace shaletray::registry
