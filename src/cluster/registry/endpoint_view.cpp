#include "cluster/registry/endpoint_view.h"

#include <algorithm>

#include "cluster/registry/endpoint_view_impl.h"

namespace shaletray::registry {
namespace {

// A smaller difference in the remaining slow start is not a change: the latency of heartbeats varies.
constexpr Duration kSlowStartTolerance = std::chrono::seconds(1);

}    // namespace

EndpointView::Impl::Impl(Settings settings) : settings_(std::move(settings)) {
    owners_.push_back({settings_.self_address, settings_.incarnation, 0, {}, false});
}

void EndpointView::Impl::set_incarnation(std::uint64_t new_incarnation) {
    for (auto it = records_.begin(); it != records_.end(); ++it)
        if (is_owned(*it))
            records_.modify(it, [&](Record& record) { record.ownership.incarnation = new_incarnation; });
    settings_.incarnation = new_incarnation;
    owners_[kSelfOwner].incarnation = new_incarnation;
}

bool EndpointView::Impl::record_heartbeat(const Server& server, TimePoint now) {
    record_activity(now);
    const auto it = records_.find(std::string_view(server.id));
    const auto received_server = [&] {
        Server updated = server;
        updated.last_called_at = now;
        return updated;
    };
    if (it == records_.end()) {
        displace_older(add_record(received_server(), self_ownership(), now, false, now), now);
        return true;
    }
    Server& known = it->server->second;
    if (it->deregistered || server.call_count <= known.call_count) return false;
    if (is_change(it, server, now)) {
        replace_server(it, received_server(), self_ownership(), now, now);
        return true;
    }
    known.call_count = server.call_count;
    known.slow_start_left = server.slow_start_left;
    known.last_called_at = now;
    mark_checked(it, now);
    return true;
}

bool EndpointView::Impl::is_change(RecordIterator it, const Server& server, TimePoint now) const {
    const Server& known = it->server->second;
    const Duration known_slow_start =
        std::max(Duration(0), known.slow_start_left - (now - known.last_called_at));
    return known.state != server.state || !is_owned(*it) || it->owner_unreachable ||
           known.address != server.address || known.service != server.service || known.zone != server.zone ||
           known.revision != server.revision || known.capacity != server.capacity ||
           has_address_conflict(it) ||
           std::chrono::abs(known_slow_start - server.slow_start_left) > kSlowStartTolerance;
}

bool EndpointView::Impl::has_address_conflict(RecordIterator it) const {
    const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
    return std::any_of(begin, end, [&](const Record& other) {
        return other.id() != it->id() && is_running(other.server->second.state);
    });
}

bool EndpointView::Impl::deregister(std::string_view id, TimePoint now) {
    record_activity(now);
    const auto it = records_.find(id);
    if (it == records_.end()) {    // recorded, so that a late heartbeat of the server is rejected
        Server server;
        server.id = std::string(id);
        server.state = State::Departed;
        server.last_called_at = now;
        add_record(std::move(server), self_ownership(), now, true, now);
        return true;
    }
    if (it->deregistered) return false;
    mark_deregistered(it, self_ownership(), now);
    return true;
}

std::vector<std::string> EndpointView::Impl::tick(TimePoint now) {
    record_activity(now);
    std::vector<std::string> changed_ids;
    const auto& by_check_time = records_.get<ByCheckTime>();
    while (!by_check_time.empty() && by_check_time.front().checked_at + settings_.heartbeat_timeout <= now) {
        const RecordIterator it = records_.project<ById>(by_check_time.begin());
        if (is_retention_over(*it, now)) {
            changed_ids.emplace_back(it->id());
            erase_record(it);
            continue;
        }
        if (has_expired(*it, now)) {
            mark_expired(it, is_owned(*it) ? ExpiryReason::MissedHeartbeats : ExpiryReason::OwnerUnreachable,
                         now);
            changed_ids.emplace_back(it->id());
        }
        mark_checked(it, now);
    }
    return changed_ids;
}

bool EndpointView::Impl::is_retention_over(const Record& record, TimePoint now) const {
    if (is_running(record.server->second.state)) return false;
    const Duration retention =
        record.owner_unreachable ? settings_.orphan_retention : settings_.ended_retention;
    return now - record.ended_at >= retention;
}

bool EndpointView::Impl::has_expired(const Record& record, TimePoint now) const {
    const Server& server = record.server->second;
    if (!is_running(server.state)) return false;
    if (is_owned(record)) return server.last_called_at + settings_.heartbeat_timeout <= now;
    return is_owner_lost(record, now);
}

std::uint64_t EndpointView::Impl::known_sequence(const std::string& owner_address,
                                                 std::uint64_t incarnation) const {
    for (const Owner& owner : owners_)
        if (owner.address == owner_address)
            return owner.incarnation == incarnation ? owner.known_sequence : 0;
    return 0;
}

void EndpointView::Impl::record_activity(TimePoint now) {
    if (started_at_ == TimePoint{}) started_at_ = now;
    owners_[kSelfOwner].last_contact_at = now;
    owners_[kSelfOwner].registrations_complete = now - started_at_ >= owner_timeout();
}

bool EndpointView::Impl::is_owned(const Record& record) const {
    return record.ownership.owner == kSelfOwner && record.ownership.incarnation == settings_.incarnation &&
           !settings_.self_address.empty();
}

bool EndpointView::Impl::is_orphaned(const Record& record) const {
    return record.deregistered && record.ownership.incarnation < owners_[record.ownership.owner].incarnation;
}

bool EndpointView::Impl::is_owner_lost(const Record& record, TimePoint now) const {
    const Owner& owner = owners_[record.ownership.owner];
    return now - owner.last_contact_at >= owner_timeout() ||
           (owner.incarnation > record.ownership.incarnation && owner.registrations_complete);
}

EndpointView::EndpointView(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
EndpointView::~EndpointView() = default;
void EndpointView::set_incarnation(std::uint64_t new_incarnation) { impl_->set_incarnation(new_incarnation); }
bool EndpointView::record_heartbeat(const Server& server, TimePoint now) {
    return impl_->record_heartbeat(server, now);
}
bool EndpointView::deregister(std::string_view id, TimePoint now) { return impl_->deregister(id, now); }
boost::leaf::result<std::vector<std::string>> EndpointView::apply_changes(const std::string& from,
                                                                          std::string_view bytes,
                                                                          TimePoint now) {
    return impl_->apply_changes(from, bytes, now);
}
std::vector<std::string> EndpointView::tick(TimePoint now) { return impl_->tick(now); }
std::string EndpointView::encode_changes(std::uint64_t since, bool own_only, TimePoint now) const {
    return impl_->encode_changes(since, own_only, now);
}
std::uint64_t EndpointView::sequence() const { return impl_->sequence(); }
std::uint64_t EndpointView::own_sequence() const { return impl_->own_sequence(); }
std::uint64_t EndpointView::known_sequence(const std::string& owner_address,
                                           std::uint64_t incarnation) const {
    return impl_->known_sequence(owner_address, incarnation);
}
const std::map<std::string, Server>& EndpointView::servers() const { return impl_->servers(); }

}    // namespace shaletray::registry
