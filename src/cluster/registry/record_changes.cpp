// Modifications of an EndpointView's records.
#include <algorithm>

#include "cluster/registry/endpoint_view_impl.h"

namespace shaletray::registry {
namespace {

// The approximate precision of heartbeat times. A server is displaced by another one at its address only if
// its last heartbeat precedes the first one of the other by more than this.
constexpr Duration kMinHeartbeatGap = std::chrono::seconds(1);

}    // namespace

void EndpointView::Impl::mark_changed(RecordIterator it) {
    records_.modify(it, [this](Record& record) {
        record.sequence = ++sequence_;
        record.announced_call_count = record.server->second.call_count;
    });
    if (is_announced_to_peers(*it)) own_sequence_ = sequence_;
}

void EndpointView::Impl::mark_checked(RecordIterator it, TimePoint now) {
    records_.modify(it, [&](Record& record) { record.checked_at = now; });
    auto& by_check_time = records_.get<ByCheckTime>();
    by_check_time.relocate(by_check_time.end(), records_.project<ByCheckTime>(it));
}

RecordIterator EndpointView::Impl::add_record(Server server, Ownership ownership,
                                              TimePoint first_heartbeat_at, bool deregistered,
                                              TimePoint now) {
    Record record;
    record.server = servers_.emplace(server.id, std::move(server)).first;
    record.ownership = ownership;
    record.first_heartbeat_at = first_heartbeat_at;
    record.checked_at = now;
    record.ended_at = now;
    record.deregistered = deregistered;
    const RecordIterator added = records_.insert(record).first;
    mark_changed(added);
    return added;
}

void EndpointView::Impl::replace_server(RecordIterator it, Server server, Ownership ownership,
                                        TimePoint first_heartbeat_at, TimePoint now) {
    records_.modify(it, [&](Record& record) {
        record.was_owned = record.was_owned || is_owned(record);
        record.ownership = ownership;
        record.first_heartbeat_at = std::min(record.first_heartbeat_at, first_heartbeat_at);
        record.owner_unreachable = false;
        record.displaced = false;
        if (!is_running(server.state)) record.ended_at = now;
        record.server->second = std::move(server);
    });
    mark_changed(it);
    mark_checked(it, now);
    displace_older(it, now);
}

void EndpointView::Impl::mark_deregistered(RecordIterator it, Ownership ownership, TimePoint now) {
    records_.modify(it, [&](Record& record) {
        record.was_owned = record.was_owned || is_owned(record);
        record.ownership = ownership;
        record.deregistered = true;
        record.owner_unreachable = false;
        record.displaced = false;
        record.ended_at = now;
        record.server->second.state = State::Departed;
    });
    mark_changed(it);
    mark_checked(it, now);
}

void EndpointView::Impl::mark_expired(RecordIterator it, ExpiryReason reason, TimePoint now) {
    records_.modify(it, [&](Record& record) {
        record.reported_state = record.server->second.state;
        record.owner_unreachable = reason == ExpiryReason::OwnerUnreachable;
        record.ended_at = now;
        record.server->second.state = State::Expired;
    });
    mark_changed(it);
}

void EndpointView::Impl::erase_record(RecordIterator it) {
    // If the owner becomes reachable again, all of its entries are needed again.
    if (it->owner_unreachable) owners_[it->ownership.owner].known_sequence = 0;
    const Servers::iterator server = it->server;
    records_.erase(it);
    servers_.erase(server);
}

void EndpointView::Impl::displace_older(RecordIterator it, TimePoint now) {
    const Server& server = it->server->second;
    if (!is_running(server.state) || it->address().empty()) return;
    std::vector<RecordIterator> displaced;
    const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
    for (auto other = begin; other != end; ++other) {
        const Server& other_server = other->server->second;
        if (other->id() == it->id() || other_server.state == State::Departed) continue;
        if (other_server.last_called_at + kMinHeartbeatGap < it->first_heartbeat_at) {
            displaced.push_back(records_.project<ById>(other));
        } else if (server.last_called_at + kMinHeartbeatGap < other->first_heartbeat_at &&
                   is_running(other_server.state)) {
            displaced.push_back(it);
        }
    }
    for (const RecordIterator record : displaced) displace(record, now);
}

void EndpointView::Impl::displace(RecordIterator it, TimePoint now) {
    if (it->displaced) return;
    records_.modify(it, [&](Record& record) {
        record.reported_state = record.advertised_state();
        record.ended_at = now;
        record.owner_unreachable = false;
        record.displaced = true;
        record.server->second.state = State::Departed;
    });
    mark_changed(it);
}

}    // namespace shaletray::registry
