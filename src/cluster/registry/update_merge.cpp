// Validates the updates of other controllers and merges their entries.
#include <algorithm>
#include <limits>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/endpoint_view_impl.h"
#include "cluster/registry/wire_time.h"

namespace shaletray::registry {
namespace {

namespace leaf = boost::leaf;

// Limits for received updates, far above what a cluster holds.
constexpr std::size_t kMaxOwners = 1024;
constexpr std::size_t kMaxNames = 1'000'000;

leaf::error_id malformed(const char* reason) { return leaf::new_error(runtime::MalformedMessage{reason}); }

leaf::result<void> validate_owners(const std::string& from, wire::RegistryUpdate::Reader update) {
    const auto owners = update.getOwners();
    if (owners.size() == 0 || owners.size() > kMaxOwners) return malformed("owners: empty or too many");
    for (const auto owner : owners)
        if (owner.getAddress().size() == 0 || owner.getIncarnation() == 0)
            return malformed("owners: address or incarnation is missing");
    if (!from.empty() && runtime::text_of(owners[0].getAddress()) != from)
        return malformed("owners: the first one is not the sender");
    return {};
}

leaf::result<void> validate_entry(wire::Entry::Reader entry, std::size_t name_count,
                                  std::size_t owner_count) {
    if (entry.getId().size() == 0) return malformed("entries: id is missing");
    if (entry.getService() >= name_count || entry.getZone() >= name_count ||
        entry.getRevision() >= name_count)
        return malformed("entries: name index is out of range");
    if (entry.getOwner() >= owner_count) return malformed("entries: owner index is out of range");
    if (entry.getState() > static_cast<std::uint8_t>(State::Expired))
        return malformed("entries: unknown state");
    if (entry.getCapacity() > static_cast<std::uint32_t>(std::numeric_limits<int>::max()))
        return malformed("entries: capacity is out of range");
    static_cast<void>(entry.getAddress().size());    // throws if the text is unreadable
    return {};
}

Server read_server(wire::Entry::Reader entry, const std::vector<std::string>& names, TimePoint now) {
    Server server;
    server.id = runtime::text_of(entry.getId());
    server.service = names[entry.getService()];
    server.address = runtime::text_of(entry.getAddress());
    server.zone = names[entry.getZone()];
    server.revision = names[entry.getRevision()];
    server.capacity = static_cast<int>(entry.getCapacity());
    server.state = static_cast<State>(entry.getState());
    server.call_count = entry.getCallCount();
    server.slow_start_left = from_milliseconds(entry.getSlowStartLeftMs());
    server.last_called_at = now - from_milliseconds(entry.getSilentMs());
    return server;
}

}    // namespace

leaf::result<std::vector<std::string>> EndpointView::Impl::apply_changes(const std::string& from,
                                                                         std::string_view bytes,
                                                                         TimePoint now) {
    record_activity(now);
    const std::uint64_t previous_sequence = sequence_;
    const auto validate_and_apply = [&](wire::RegistryUpdate::Reader update) -> leaf::result<void> {
        BOOST_LEAF_CHECK(validate(from, update));
        apply_update(update, now);
        return {};
    };
    leaf::result<void> applied = runtime::unpack<wire::RegistryUpdate>(bytes, validate_and_apply);
    if (!applied) return applied.error();
    std::vector<std::string> changed_ids;
    const auto& by_sequence = records_.get<BySequence>();
    for (auto it = by_sequence.upper_bound(previous_sequence); it != by_sequence.end(); ++it)
        changed_ids.emplace_back(it->id());
    return changed_ids;
}

// Reads every field that apply_update() reads, so that an unreadable update is rejected before any change.
leaf::result<void> EndpointView::Impl::validate(const std::string& from,
                                                wire::RegistryUpdate::Reader update) const {
    BOOST_LEAF_CHECK(validate_owners(from, update));
    if (update.getSince() > update.getSequence()) return malformed("since: greater than sequence");
    const auto names = update.getNames();
    if (names.size() > kMaxNames) return malformed("names: too many");
    for (const auto name : names) static_cast<void>(name.size());
    const std::size_t owner_count = update.getOwners().size();
    for (const auto entry : update.getEntries())
        BOOST_LEAF_CHECK(validate_entry(entry, names.size(), owner_count));
    return {};
}

std::uint32_t EndpointView::Impl::find_or_add_owner(std::string_view address) {
    for (std::uint32_t i = 0; i < owners_.size(); ++i)
        if (owners_[i].address == address) return i;
    owners_.push_back({std::string(address), 0, 0, {}, false});
    return static_cast<std::uint32_t>(owners_.size() - 1);
}

void EndpointView::Impl::update_owner(std::uint32_t index, std::uint64_t incarnation,
                                      bool registrations_complete, TimePoint contact_at, TimePoint now) {
    if (index == kSelfOwner) return;
    Owner& owner = owners_[index];
    if (incarnation < owner.incarnation) {
        // Either a late message, or a restart after the clock was set back. The latter is assumed only for a
        // message of the owner itself after it was unreachable.
        if (contact_at != now || now - owner.last_contact_at < owner_timeout()) return;
        owner.incarnation = 0;
    }
    if (incarnation > owner.incarnation) {
        owner = {std::move(owner.address), incarnation, 0, contact_at, registrations_complete};
        return;
    }
    owner.registrations_complete |= registrations_complete;
    const bool was_unreachable = now - owner.last_contact_at >= owner_timeout();
    owner.last_contact_at = std::max(owner.last_contact_at, contact_at);
    const bool is_unreachable = now - owner.last_contact_at >= owner_timeout();
    if (was_unreachable && !is_unreachable) restore_servers({index, incarnation});
}

void EndpointView::Impl::restore_servers(Ownership ownership) {
    std::vector<RecordIterator> restored;
    for (auto it = records_.begin(); it != records_.end(); ++it)
        if (it->owner_unreachable && it->ownership == ownership) restored.push_back(it);
    for (const RecordIterator it : restored) {
        records_.modify(it, [](Record& record) {
            record.owner_unreachable = false;
            record.server->second.state = record.reported_state;
        });
        mark_changed(it);
    }
}

void EndpointView::Impl::apply_update(wire::RegistryUpdate::Reader update, TimePoint now) {
    const auto owners = update.getOwners();
    std::vector<std::uint32_t> owner_indices;
    for (const auto owner : owners) {
        const std::uint32_t index = find_or_add_owner(runtime::text_of(owner.getAddress()));
        owner_indices.push_back(index);
        update_owner(index, owner.getIncarnation(), owner.getRegistrationsComplete(),
                     now - from_milliseconds(owner.getSilentMs()), now);
    }
    std::vector<std::string> names;
    for (const auto name : update.getNames()) names.emplace_back(runtime::text_of(name));
    for (const auto entry : update.getEntries()) {
        Ownership ownership{owner_indices[entry.getOwner()], entry.getOwnerIncarnation()};
        if (ownership.incarnation == 0) ownership.incarnation = owners[entry.getOwner()].getIncarnation();
        apply_entry(entry, names, ownership, now);
    }
    Owner& sender = owners_[owner_indices[0]];
    if (sender.incarnation == owners[0].getIncarnation() && update.getSince() <= sender.known_sequence)
        sender.known_sequence = std::max(sender.known_sequence, update.getSequence());
}

void EndpointView::Impl::apply_entry(wire::Entry::Reader entry, const std::vector<std::string>& names,
                                     Ownership ownership, TimePoint now) {
    const TimePoint first_heartbeat_at = now - from_milliseconds(entry.getAgeMs());
    const auto it = records_.find(runtime::text_of(entry.getId()));
    if (it == records_.end()) {
        Server server = read_server(entry, names, now);
        const bool deregistered = entry.getDeregistered();
        displace_older(add_record(std::move(server), ownership, first_heartbeat_at, deregistered, now), now);
        return;
    }
    if (it->deregistered) return;
    if (entry.getDeregistered()) {
        mark_deregistered(it, ownership, now);
        return;
    }
    const std::uint64_t known_call_count = it->server->second.call_count;
    if (entry.getCallCount() < known_call_count) {
        // Another process claims ownership, because a later heartbeat that this process received was not a
        // change and was not announced. Announce it now.
        if (is_owned(*it) && entry.getCallCount() > it->announced_call_count) mark_changed(it);
        return;
    }
    if (entry.getCallCount() == known_call_count) {
        apply_same_heartbeat(it, entry, ownership, now);
        return;
    }
    replace_server(it, read_server(entry, names, now), ownership, first_heartbeat_at, now);
}

void EndpointView::Impl::apply_same_heartbeat(RecordIterator it, wire::Entry::Reader entry,
                                              Ownership ownership, TimePoint now) {
    Server& known_server = it->server->second;
    // A delayed entry yields a time that is too late, so the earliest one is kept.
    const TimePoint received_at = now - from_milliseconds(entry.getSilentMs());
    known_server.last_called_at = std::min(known_server.last_called_at, received_at);
    const Ownership known_ownership = it->ownership;
    if (known_ownership.owner == ownership.owner && ownership.incarnation > known_ownership.incarnation) {
        records_.modify(it, [&](Record& record) { record.ownership = ownership; });
        mark_changed(it);
    }
    const auto state = static_cast<State>(entry.getState());
    const State known_state = it->advertised_state();
    const bool has_later_state = state_rank(state) > state_rank(known_state);
    // Where two processes claim ownership, the one with the greater address wins everywhere.
    const bool owner_changes = it->ownership.owner != ownership.owner &&
                               owners_[ownership.owner].address > owners_[it->ownership.owner].address;
    if (!has_later_state && !owner_changes) return;
    Server updated = known_server;
    updated.state = has_later_state ? state : known_state;
    const TimePoint first_heartbeat_at = now - from_milliseconds(entry.getAgeMs());
    replace_server(it, std::move(updated), owner_changes ? ownership : it->ownership, first_heartbeat_at,
                   now);
}

}    // namespace shaletray::registry
