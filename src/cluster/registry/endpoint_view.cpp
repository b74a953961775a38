#include "cluster/registry/endpoint_view.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <limits>
#include <unordered_map>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/registry.capnp.h"

namespace shaletray::registry {
namespace {

namespace leaf = boost::leaf;
namespace mi = boost::multi_index;

constexpr std::size_t kMaxOwners = 1024, kMaxNames = 1'000'000;
// With nothing changed, who else was heard of is told in one answer of so many: a reader has many such.
constexpr std::uint64_t kOwnerAnnouncementPeriod = 4;

using Servers = std::map<std::string, Server>;

struct Record {
    Servers::iterator server;
    std::uint64_t sequence = 0;                // when it last changed
    std::uint64_t announced_call_count = 0;    // the call's number then
    std::uint64_t owner_incarnation = 0;       // of the life that had its latest call
    TimePoint first_called_at{};               // when a keeper first had a call of it
    TimePoint checked_at{};                    // by tick
    TimePoint ended_at{};                      // when it became Gone or Lost here
    std::uint32_t owner = 0;
    State reported_state = State::InService;    // what the words say, where it is doubted or displaced
    bool deregistered = false;                  // it said farewell itself
    bool owner_unreachable = false;             // called Lost only since its keeper is unheard of
    bool displaced = false;                     // called Gone only since another has its address
    bool was_owned = false;    // this one kept it once: who was told so has to hear what came after

    std::string_view id() const { return server->first; }
    std::string_view address() const { return server->second.address; }
    State advertised_state() const {
        return owner_unreachable || displaced ? reported_state : server->second.state;
    }
};

struct ById;
struct BySequence;
struct ByAddress;
struct ByCheckTime;
using Records = mi::multi_index_container<
    Record, mi::indexed_by<
                mi::hashed_unique<mi::tag<ById>, mi::const_mem_fun<Record, std::string_view, &Record::id>,
                                  std::hash<std::string_view>>,
                mi::ordered_unique<mi::tag<BySequence>, mi::member<Record, std::uint64_t, &Record::sequence>>,
                mi::hashed_non_unique<mi::tag<ByAddress>,
                                      mi::const_mem_fun<Record, std::string_view, &Record::address>,
                                      std::hash<std::string_view>>,
                mi::sequenced<mi::tag<ByCheckTime>>>>;
using RecordIterator = Records::iterator;

struct Owner {
    std::string address;
    std::uint64_t incarnation = 0;       // 0: never heard of
    std::uint64_t known_sequence = 0;    // its changes up to this one
    TimePoint last_heard{};
    bool registrations_complete =
        false;    // each server that lives has called somebody since that life began
};

bool is_alive(State state) { return state == State::InService || state == State::Draining; }
int state_rank(State state) {
    switch (state) {
        case State::InService: return 0;
        case State::Draining: return 1;
        case State::Expired: return 2;
        case State::Departed: break;
    }
    return 3;
}

std::uint32_t to_milliseconds(Duration duration) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}
Duration from_milliseconds(std::uint32_t count) { return std::chrono::milliseconds(count); }

}    // namespace

class EndpointView::Impl {
public:
    explicit Impl(Settings settings) : settings_(std::move(settings)) {
        owners_.push_back({settings_.self_address, settings_.incarnation, 0, {}, false});
    }

    void set_incarnation(std::uint64_t new_incarnation) {
        for (auto it = records_.begin(); it != records_.end(); ++it)
            if (is_owned(*it))
                records_.modify(it, [&](Record& record) { record.owner_incarnation = new_incarnation; });
        settings_.incarnation = owners_[0].incarnation = new_incarnation;
    }

    bool record_call(const Server& server, TimePoint now) {
        record_activity(now);
        const auto it = records_.find(std::string_view(server.id));
        if (it == records_.end()) {
            Server updated = server;
            updated.last_called_at = now;
            displace_older(add_record(std::move(updated), 0, settings_.incarnation, now, false, now), now);
            return true;
        }
        const Server& known = it->server->second;
        if (it->deregistered || server.call_count <= known.call_count) return false;
        const Duration current_slow_start =
            std::max(Duration(0), known.slow_start_left - (now - known.last_called_at));
        const bool is_changed =
            known.state != server.state || !is_owned(*it) || it->owner_unreachable ||
            known.address != server.address || known.service != server.service || known.zone != server.zone ||
            known.revision != server.revision || known.capacity != server.capacity || is_contested(it) ||
            std::chrono::abs(current_slow_start - server.slow_start_left) > kSlowStartTolerance;
        if (!is_changed) {    // what comes all the time
            Server& stored = it->server->second;
            stored.call_count = server.call_count;
            stored.slow_start_left = server.slow_start_left;
            stored.last_called_at = now;
            mark_checked(it, now);
            return true;
        }
        Server updated = server;
        updated.last_called_at = now;
        replace_server(it, std::move(updated), 0, settings_.incarnation, now, now);
        return true;
    }

    bool deregister(std::string_view id, TimePoint now) {
        record_activity(now);
        auto it = records_.find(id);
        if (it == records_.end()) {    // so that a call of it that is late finds out
            Server server;
            server.id = std::string(id);
            server.state = State::Departed;
            server.last_called_at = now;
            add_record(std::move(server), 0, settings_.incarnation, now, true, now);
            return true;
        }
        if (it->deregistered) return false;
        mark_deregistered(it, 0, settings_.incarnation, now);
        return true;
    }

    leaf::result<std::vector<std::string>> apply_changes(const std::string& from, std::string_view bytes,
                                                         TimePoint now) {
        record_activity(now);
        std::vector<std::string> changed_ids;
        const auto previous_sequence = sequence_;
        leaf::result<void> applied = runtime::unpack<wire::RegistryUpdate>(
            bytes, [&](wire::RegistryUpdate::Reader update) -> leaf::result<void> {
                BOOST_LEAF_CHECK(validate(from, update));
                apply_update(update, now);
                return {};
            });
        if (!applied) return applied.error();
        for (auto it = records_.get<BySequence>().upper_bound(previous_sequence);
             it != records_.get<BySequence>().end(); ++it)
            changed_ids.emplace_back(it->id());
        return changed_ids;
    }

    std::vector<std::string> tick(TimePoint now) {
        record_activity(now);
        std::vector<std::string> changed_ids;
        auto& due = records_.get<ByCheckTime>();
        while (!due.empty() && due.front().checked_at + settings_.heartbeat_timeout <= now) {
            const RecordIterator it = records_.project<ById>(due.begin());
            const Record& record = *it;
            const Server& server = record.server->second;
            if (!is_alive(server.state)) {
                if (now - record.ended_at >=
                    (record.owner_unreachable ? settings_.orphan_retention : settings_.ended_retention)) {
                    changed_ids.emplace_back(record.id());
                    erase_record(it);
                    continue;
                }
            } else if (is_owned(record) ? server.last_called_at + settings_.heartbeat_timeout <= now
                                        : is_owner_lost(record, now)) {
                mark_expired(it, !is_owned(record), now);
                changed_ids.emplace_back(record.id());
            }
            mark_checked(it, now);
        }
        return changed_ids;
    }

    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const {
        std::vector<const Record*> announced;
        const auto& by_sequence = records_.get<BySequence>();
        for (auto it = by_sequence.upper_bound(since); it != by_sequence.end(); ++it)
            if (!own_only || is_owned(*it) || it->was_owned || is_orphaned(*it)) announced.push_back(&*it);
        capnp::MallocMessageBuilder message(static_cast<unsigned>(64 + 16 * announced.size()));
        auto update = message.initRoot<wire::RegistryUpdate>();
        update.setSince(since);
        update.setSequence(sequence_);
        write_owners(update, !announced.empty() || ++encoded_updates_ % kOwnerAnnouncementPeriod == 0, now);
        if (!announced.empty()) write_entries(update, announced, now);
        return runtime::pack(message);
    }

    std::uint64_t sequence() const { return sequence_; }
    std::uint64_t known_sequence(const std::string& owner_address, std::uint64_t incarnation) const {
        for (const Owner& owner : owners_)
            if (owner.address == owner_address)
                return owner.incarnation == incarnation ? owner.known_sequence : 0;
        return 0;
    }
    const Servers& servers() const { return servers_; }

private:
    static constexpr Duration kSlowStartTolerance = std::chrono::seconds(1),
                              kMinCallGap = std::chrono::seconds(1);

    void record_activity(TimePoint now) {
        if (started_at_ == TimePoint{}) started_at_ = now;
        owners_[0].last_heard = now;
        owners_[0].registrations_complete = now - started_at_ >= 2 * settings_.heartbeat_timeout;
    }

    bool is_owned(const Record& record) const {
        return record.owner == 0 && record.owner_incarnation == settings_.incarnation &&
               !settings_.self_address.empty();
    }
    // A farewell that its keeper forgot when it began anew.
    bool is_orphaned(const Record& record) const {
        return record.deregistered && record.owner_incarnation < owners_[record.owner].incarnation;
    }
    // Nobody speaks for it any more: its keeper is unheard of, or began anew and knows nothing of it.
    bool is_owner_lost(const Record& record, TimePoint now) const {
        const Owner& owner = owners_[record.owner];
        return now - owner.last_heard >= 2 * settings_.heartbeat_timeout ||
               (owner.incarnation > record.owner_incarnation && owner.registrations_complete);
    }

    void mark_changed(RecordIterator it) {
        records_.modify(it, [this](Record& record) {
            record.sequence = ++sequence_;
            record.announced_call_count = record.server->second.call_count;
        });
    }
    void mark_checked(RecordIterator it, TimePoint now) {
        records_.modify(it, [&](Record& record) { record.checked_at = now; });
        auto& by_check_time = records_.get<ByCheckTime>();
        by_check_time.relocate(by_check_time.end(), records_.project<ByCheckTime>(it));
    }

    RecordIterator add_record(Server server, std::uint32_t owner, std::uint64_t incarnation,
                              TimePoint first_called_at, bool deregistered, TimePoint now) {
        Record record;
        record.server = servers_.emplace(server.id, std::move(server)).first;
        record.sequence = ++sequence_;
        record.announced_call_count = record.server->second.call_count;
        record.owner = owner;
        record.owner_incarnation = incarnation;
        record.first_called_at = first_called_at;
        record.checked_at = record.ended_at = now;
        record.deregistered = deregistered;
        return records_.insert(record).first;
    }

    void replace_server(RecordIterator it, Server server, std::uint32_t owner, std::uint64_t incarnation,
                        TimePoint first_called_at, TimePoint now) {
        records_.modify(it, [&](Record& record) {
            record.was_owned = record.was_owned || is_owned(record);
            record.owner = owner;
            record.owner_incarnation = incarnation;
            record.first_called_at = std::min(record.first_called_at, first_called_at);
            record.owner_unreachable = record.displaced = false;
            if (!is_alive(server.state)) record.ended_at = now;
            record.server->second = std::move(server);
        });
        mark_changed(it);
        mark_checked(it, now);
        displace_older(it, now);
    }

    void mark_deregistered(RecordIterator it, std::uint32_t owner, std::uint64_t incarnation, TimePoint now) {
        records_.modify(it, [&](Record& record) {
            record.was_owned = record.was_owned || is_owned(record);
            record.owner = owner;
            record.owner_incarnation = incarnation;
            record.deregistered = true;
            record.owner_unreachable = record.displaced = false;
            record.ended_at = now;
            record.server->second.state = State::Departed;
        });
        mark_changed(it);
        mark_checked(it, now);
    }

    void mark_expired(RecordIterator it, bool owner_unreachable, TimePoint now) {
        records_.modify(it, [&](Record& record) {
            record.reported_state = record.server->second.state;
            record.owner_unreachable = owner_unreachable;
            record.ended_at = now;
            record.server->second.state = State::Expired;
        });
        mark_changed(it);
    }

    void erase_record(RecordIterator it) {
        if (it->owner_unreachable)
            owners_[it->owner].known_sequence = 0;    // it may be told of again, from the beginning
        const Servers::iterator server = it->server;
        records_.erase(it);
        servers_.erase(server);
    }

    // Two servers at one address: one of them came after the other had ended. Times of what was under way for
    // long are too late, so this can be wrong: it is not told to others, and undone by the next call.
    void displace_older(RecordIterator it, TimePoint now) {
        if (!is_alive(it->server->second.state) || it->address().empty()) return;
        std::vector<RecordIterator> displaced;
        const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
        for (auto other = begin; other != end; ++other) {
            const State state = other->server->second.state;
            if (other->id() == it->id() || state == State::Departed) continue;
            if (other->server->second.last_called_at + kMinCallGap < it->first_called_at)
                displaced.push_back(records_.project<ById>(other));
            else if (it->server->second.last_called_at + kMinCallGap < other->first_called_at &&
                     is_alive(state))
                displaced.push_back(it);
        }
        for (const RecordIterator position : displaced) {
            if (position->displaced) continue;
            records_.modify(position, [&](Record& record) {
                record.reported_state = record.advertised_state();
                record.ended_at = now;
                record.owner_unreachable = false;
                record.displaced = true;
                record.server->second.state = State::Departed;
            });
            mark_changed(position);
        }
    }

    // Others may believe that the other one at its address came later: its next call tells them.
    bool is_contested(RecordIterator it) const {
        const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
        return std::any_of(begin, end, [&](const Record& other) {
            return other.id() != it->id() && is_alive(other.server->second.state);
        });
    }

    // ---- words of others ----

    leaf::result<void> validate(const std::string& from, wire::RegistryUpdate::Reader update) const {
        const auto fail = [](const char* reason) { return leaf::new_error(std::string(reason)); };
        const auto owners = update.getOwners();
        if (owners.size() == 0 || owners.size() > kMaxOwners) return fail("keepers: none or too many");
        for (const auto owner : owners)
            if (owner.getAddress().size() == 0 || owner.getIncarnation() == 0)
                return fail("keepers: no address or no life");
        if (!from.empty() && runtime::text_of(owners[0].getAddress()) != from)
            return fail("keepers: another teller");
        if (update.getSince() > update.getSequence()) return fail("since: after the sequence");
        const auto names = update.getNames();
        if (names.size() > kMaxNames) return fail("names: too many");
        for (const auto name : names) static_cast<void>(name.size());
        for (const auto entry : update.getEntries()) {
            if (entry.getId().size() == 0) return fail("entries: no id");
            if (entry.getService() >= names.size() || entry.getZone() >= names.size() ||
                entry.getRevision() >= names.size())
                return fail("entries: no such name");
            if (entry.getOwner() >= owners.size()) return fail("entries: no such keeper");
            if (entry.getState() > static_cast<std::uint8_t>(State::Expired))
                return fail("entries: no such state");
            if (entry.getCapacity() > static_cast<std::uint32_t>(std::numeric_limits<int>::max()))
                return fail("entries: capacity");
            static_cast<void>(entry.getAddress().size());
        }
        return {};
    }

    std::uint32_t find_or_add_owner(std::string_view address) {
        for (std::uint32_t i = 0; i < owners_.size(); ++i)
            if (owners_[i].address == address) return i;
        owners_.push_back({std::string(address), 0, 0, {}, false});
        return static_cast<std::uint32_t>(owners_.size() - 1);
    }

    void update_owner(std::uint32_t index, std::uint64_t incarnation, bool registrations_complete,
                      TimePoint heard_at, TimePoint now) {
        if (index == 0) return;    // this one
        Owner& owner = owners_[index];
        // An earlier life that speaks on is a late word, or its machine's clock was set back meanwhile.
        if (incarnation < owner.incarnation &&
            (heard_at != now || now - owner.last_heard < 2 * settings_.heartbeat_timeout))
            return;
        if (incarnation < owner.incarnation) owner.incarnation = 0;
        if (incarnation > owner.incarnation) {
            owner = {std::move(owner.address), incarnation, 0, heard_at, registrations_complete};
            return;
        }
        owner.registrations_complete |= registrations_complete;
        const bool was_unreachable = now - owner.last_heard >= 2 * settings_.heartbeat_timeout;
        owner.last_heard = std::max(owner.last_heard, heard_at);
        if (was_unreachable && now - owner.last_heard < 2 * settings_.heartbeat_timeout)
            restore_servers(index, incarnation);
    }

    // The keeper was merely out of reach.
    void restore_servers(std::uint32_t owner, std::uint64_t incarnation) {
        std::vector<RecordIterator> restored;
        for (auto it = records_.begin(); it != records_.end(); ++it)
            if (it->owner_unreachable && it->owner == owner && it->owner_incarnation == incarnation)
                restored.push_back(it);
        for (const RecordIterator it : restored) {
            records_.modify(it, [](Record& record) {
                record.owner_unreachable = false;
                record.server->second.state = record.reported_state;
            });
            mark_changed(it);
        }
    }

    void apply_update(wire::RegistryUpdate::Reader update, TimePoint now) {
        std::vector<std::uint32_t> owner_indices;
        for (const auto owner : update.getOwners()) {
            owner_indices.push_back(find_or_add_owner(runtime::text_of(owner.getAddress())));
            update_owner(owner_indices.back(), owner.getIncarnation(), owner.getRegistrationsComplete(),
                         now - from_milliseconds(owner.getSilentMs()), now);
        }
        std::vector<std::string> names;
        for (const auto name : update.getNames()) names.emplace_back(runtime::text_of(name));
        const auto owners = update.getOwners();
        for (const auto entry : update.getEntries())
            apply_entry(entry, names, owner_indices[entry.getOwner()],
                        entry.getOwnerIncarnation() != 0 ? entry.getOwnerIncarnation()
                                                         : owners[entry.getOwner()].getIncarnation(),
                        now);
        Owner& sender = owners_[owner_indices[0]];
        if (sender.incarnation == owners[0].getIncarnation() && update.getSince() <= sender.known_sequence)
            sender.known_sequence = std::max(sender.known_sequence, update.getSequence());
    }

    void apply_entry(wire::Entry::Reader entry, const std::vector<std::string>& names, std::uint32_t owner,
                     std::uint64_t incarnation, TimePoint now) {
        const auto state = static_cast<State>(entry.getState());
        const TimePoint called_at = now - from_milliseconds(entry.getSilentMs()),
                        first_called_at = now - from_milliseconds(entry.getAgeMs());
        auto it = records_.find(runtime::text_of(entry.getId()));
        if (it != records_.end()) {
            Server& known_server = it->server->second;
            if (it->deregistered) return;
            if (entry.getDeregistered()) return mark_deregistered(it, owner, incarnation, now);
            if (entry.getCallCount() < known_server.call_count) {
                // Another takes itself for the keeper, since a later call here changed nothing and was not
                // told.
                if (is_owned(*it) && entry.getCallCount() > it->announced_call_count) mark_changed(it);
                return;
            }
            if (entry.getCallCount() == known_server.call_count) {
                known_server.last_called_at =
                    std::min(known_server.last_called_at,
                             called_at);    // what was longer under way says too late a time
                if (it->owner == owner && incarnation > it->owner_incarnation) {
                    records_.modify(it, [&](Record& record) { record.owner_incarnation = incarnation; });
                    mark_changed(it);
                }
                const State known_state = it->advertised_state();
                const bool owner_differs =
                    it->owner != owner && owners_[owner].address > owners_[it->owner].address;
                if (state_rank(state) <= state_rank(known_state) && !owner_differs) return;
                Server updated = known_server;
                updated.state = state_rank(state) > state_rank(known_state) ? state : known_state;
                return replace_server(it, std::move(updated), owner_differs ? owner : it->owner,
                                      owner_differs ? incarnation : it->owner_incarnation, first_called_at,
                                      now);
            }
        }
        Server server;
        server.id = runtime::text_of(entry.getId());
        server.service = names[entry.getService()];
        server.address = runtime::text_of(entry.getAddress());
        server.zone = names[entry.getZone()];
        server.revision = names[entry.getRevision()];
        server.capacity = static_cast<int>(entry.getCapacity());
        server.state = state;
        server.call_count = entry.getCallCount();
        server.slow_start_left = from_milliseconds(entry.getSlowStartLeftMs());
        server.last_called_at = called_at;
        if (it != records_.end())
            replace_server(it, std::move(server), owner, incarnation, first_called_at, now);
        else
            displace_older(add_record(std::move(server), owner, incarnation, first_called_at,
                                      entry.getDeregistered(), now),
                           now);
    }

    // ---- our own words ----

    void write_owners(wire::RegistryUpdate::Builder update, bool include_all, TimePoint now) const {
        std::size_t count = 1;
        if (include_all) count = owners_.size();
        auto owner_list = update.initOwners(static_cast<unsigned>(count));
        for (std::size_t i = 0; i < count; ++i) {
            const Owner& owner = owners_[i];
            auto builder = owner_list[static_cast<unsigned>(i)];
            builder.setAddress(runtime::text_reader_of(owner.address));
            builder.setIncarnation(owner.incarnation);
            builder.setRegistrationsComplete(i == 0 ? now - started_at_ >= 2 * settings_.heartbeat_timeout
                                                    : owner.registrations_complete);
            builder.setSilentMs(i == 0 ? 0 : to_milliseconds(now - owner.last_heard));
        }
    }

    void write_entries(wire::RegistryUpdate::Builder update, const std::vector<const Record*>& announced,
                       TimePoint now) const {
        std::unordered_map<std::string_view, std::uint32_t> name_indices;
        std::vector<const std::string*> names;
        const auto index_of = [&](const std::string& name) {
            const auto [it, inserted] =
                name_indices.try_emplace(name, static_cast<std::uint32_t>(names.size()));
            if (inserted) names.push_back(&name);
            return it->second;
        };
        auto entries = update.initEntries(static_cast<unsigned>(announced.size()));
        for (std::size_t i = 0; i < announced.size(); ++i) {
            const Record& record = *announced[i];
            const Server& server = record.server->second;
            auto builder = entries[static_cast<unsigned>(i)];
            builder.setId(runtime::text_reader_of(server.id));
            builder.setAddress(runtime::text_reader_of(server.address));
            builder.setCallCount(server.call_count);
            builder.setService(index_of(server.service));
            builder.setZone(index_of(server.zone));
            builder.setRevision(index_of(server.revision));
            builder.setOwner(static_cast<std::uint16_t>(record.owner));
            builder.setCapacity(static_cast<std::uint32_t>(server.capacity));
            builder.setSlowStartLeftMs(to_milliseconds(server.slow_start_left));
            builder.setSilentMs(to_milliseconds(now - server.last_called_at));
            builder.setAgeMs(to_milliseconds(now - record.first_called_at));
            builder.setState(static_cast<std::uint8_t>(record.advertised_state()));
            builder.setDeregistered(record.deregistered);
            if (record.owner_incarnation != owners_[record.owner].incarnation)
                builder.setOwnerIncarnation(record.owner_incarnation);
        }
        auto name_list = update.initNames(static_cast<unsigned>(names.size()));
        for (std::size_t i = 0; i < names.size(); ++i)
            name_list.set(static_cast<unsigned>(i), runtime::text_reader_of(*names[i]));
    }

    Settings settings_;
    Servers servers_;
    Records records_;
    std::vector<Owner> owners_;    // the first is this one; with a pilot nobody
    std::uint64_t sequence_ = 0;
    mutable std::uint64_t encoded_updates_ = 0;
    TimePoint started_at_{};
};

EndpointView::EndpointView(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
EndpointView::~EndpointView() = default;
void EndpointView::set_incarnation(std::uint64_t new_incarnation) { impl_->set_incarnation(new_incarnation); }
bool EndpointView::record_call(const Server& server, TimePoint now) {
    return impl_->record_call(server, now);
}
bool EndpointView::deregister(std::string_view id, TimePoint now) { return impl_->deregister(id, now); }
leaf::result<std::vector<std::string>> EndpointView::apply_changes(const std::string& from,
                                                                   std::string_view bytes, TimePoint now) {
    return impl_->apply_changes(from, bytes, now);
}
std::vector<std::string> EndpointView::tick(TimePoint now) { return impl_->tick(now); }
std::string EndpointView::encode_changes(std::uint64_t since, bool own_only, TimePoint now) const {
    return impl_->encode_changes(since, own_only, now);
}
std::uint64_t EndpointView::sequence() const { return impl_->sequence(); }
std::uint64_t EndpointView::known_sequence(const std::string& owner_address,
                                           std::uint64_t incarnation) const {
    return impl_->known_sequence(owner_address, incarnation);
}
const std::map<std::string, Server>& EndpointView::servers() const { return impl_->servers(); }

}    // namespace shaletray::registry
