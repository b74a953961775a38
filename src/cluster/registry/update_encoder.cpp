// Encodes updates for other controllers and for gateways.
#include <algorithm>
#include <unordered_map>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/endpoint_view_impl.h"
#include "cluster/registry/wire_time.h"

namespace shaletray::registry {
namespace {

// All owners are listed only in every n-th update, where n is half the number of owners but at least this. A
// reader receives several updates per second and an owner counts as lost only after many seconds, so listing
// all of them each time is unnecessary, and would make up most of the bytes that gateways receive.
constexpr std::uint64_t kMinOwnerAnnouncementPeriod = 4;
// Size of the first segment of a message, in words: fixed part, and part per entry.
constexpr std::size_t kHeaderWords = 64;
constexpr std::size_t kEntryWords = 16;

// The distinct names of an update, numbered in the order of their first use. Points to the strings, which
// must outlive it.
class NameList {
public:
    std::uint32_t index_of(const std::string& name) {
        const auto [it, inserted] = indices_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (inserted) names_.push_back(&name);
        return it->second;
    }
    void write(wire::RegistryUpdate::Builder update) const {
        auto list = update.initNames(static_cast<unsigned>(names_.size()));
        for (std::size_t i = 0; i < names_.size(); ++i)
            list.set(static_cast<unsigned>(i), runtime::text_reader_of(*names_[i]));
    }

private:
    std::unordered_map<std::string_view, std::uint32_t> indices_;
    std::vector<const std::string*> names_;
};

}    // namespace

// The owners listed in an update, the sender first, and the position of each.
class EndpointView::Impl::OwnerList {
public:
    explicit OwnerList(std::size_t owner_count) : positions_(owner_count, kNotListed) { add(kSelfOwner); }
    void add(std::uint32_t owner) {
        if (positions_[owner] != kNotListed) return;
        positions_[owner] = static_cast<std::uint16_t>(listed_.size());
        listed_.push_back(owner);
    }
    std::uint16_t position_of(std::uint32_t owner) const { return positions_[owner]; }
    const std::vector<std::uint32_t>& listed() const { return listed_; }

private:
    static constexpr std::uint16_t kNotListed = 0xffff;
    std::vector<std::uint16_t> positions_;    // by owner index in this process
    std::vector<std::uint32_t> listed_;
};

std::string EndpointView::Impl::encode_changes(std::uint64_t since, bool own_only, TimePoint now) const {
    const std::vector<const Record*> announced = announced_records(since, own_only);
    capnp::MallocMessageBuilder message(static_cast<unsigned>(kHeaderWords + kEntryWords * announced.size()));
    auto update = message.initRoot<wire::RegistryUpdate>();
    update.setSince(since);
    update.setSequence(sequence_);
    const OwnerList owners = owners_to_announce(announced);
    write_owners(update, owners, now);
    if (!announced.empty()) write_entries(update, announced, owners, now);
    return runtime::pack(message);
}

EndpointView::Impl::OwnerList EndpointView::Impl::owners_to_announce(
    const std::vector<const Record*>& announced) const {
    OwnerList owners(owners_.size());
    for (const Record* record : announced) owners.add(record->ownership.owner);
    const std::uint64_t period = std::max<std::uint64_t>(kMinOwnerAnnouncementPeriod, owners_.size() / 2);
    if (++encoded_updates_ % period == 0)
        for (std::uint32_t owner = 0; owner < owners_.size(); ++owner) owners.add(owner);
    return owners;
}

std::vector<const Record*> EndpointView::Impl::announced_records(std::uint64_t since, bool own_only) const {
    std::vector<const Record*> announced;
    const auto& by_sequence = records_.get<BySequence>();
    for (auto it = by_sequence.upper_bound(since); it != by_sequence.end(); ++it)
        if (!own_only || is_announced_to_peers(*it)) announced.push_back(&*it);
    return announced;
}

void EndpointView::Impl::write_owners(wire::RegistryUpdate::Builder update, const OwnerList& owners,
                                      TimePoint now) const {
    auto owner_list = update.initOwners(static_cast<unsigned>(owners.listed().size()));
    for (std::size_t i = 0; i < owners.listed().size(); ++i) {
        const Owner& owner = owners_[owners.listed()[i]];
        const bool is_self = owners.listed()[i] == kSelfOwner;
        auto builder = owner_list[static_cast<unsigned>(i)];
        builder.setAddress(runtime::text_reader_of(owner.address));
        builder.setIncarnation(owner.incarnation);
        builder.setRegistrationsComplete(is_self ? now - started_at_ >= owner_timeout()
                                                 : owner.registrations_complete);
        builder.setSilentMs(is_self ? 0 : to_milliseconds(now - owner.last_contact_at));
    }
}

void EndpointView::Impl::write_entry(const Record& record, const OwnerList& owners,
                                     wire::Entry::Builder builder, TimePoint now) const {
    const Server& server = record.server->second;
    builder.setId(runtime::text_reader_of(server.id));
    builder.setAddress(runtime::text_reader_of(server.address));
    builder.setCallCount(server.call_count);
    builder.setOwner(owners.position_of(record.ownership.owner));
    builder.setCapacity(static_cast<std::uint32_t>(server.capacity));
    builder.setSlowStartLeftMs(to_milliseconds(server.slow_start_left));
    builder.setSilentMs(to_milliseconds(now - server.last_called_at));
    builder.setAgeMs(to_milliseconds(now - record.first_heartbeat_at));
    builder.setState(static_cast<std::uint8_t>(record.advertised_state()));
    builder.setDeregistered(record.deregistered);
    if (record.ownership.incarnation != owners_[record.ownership.owner].incarnation)
        builder.setOwnerIncarnation(record.ownership.incarnation);
}

void EndpointView::Impl::write_entries(wire::RegistryUpdate::Builder update,
                                       const std::vector<const Record*>& announced, const OwnerList& owners,
                                       TimePoint now) const {
    NameList names;
    auto entries = update.initEntries(static_cast<unsigned>(announced.size()));
    for (std::size_t i = 0; i < announced.size(); ++i) {
        const Server& server = announced[i]->server->second;
        auto builder = entries[static_cast<unsigned>(i)];
        builder.setService(names.index_of(server.service));
        builder.setZone(names.index_of(server.zone));
        builder.setRevision(names.index_of(server.revision));
        write_entry(*announced[i], owners, builder, now);
    }
    names.write(update);
}

}    // namespace shaletray::registry
