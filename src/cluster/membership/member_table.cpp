#include "cluster/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>

namespace shaletray::membership {

Entry Record::to_full_entry() const {
    Entry entry;
    entry.info = member->info;
    entry.version = version;
    entry.state = advertised_state();
    entry.unheard = member->state == State::Dead && !member->departed;
    return entry;
}

State Record::advertised_state() const {
    if (member->state == State::Dead) return member->departed ? State::Dead : State::Suspect;
    return suspected_in_isolation ? State::Alive : member->state;
}

Entry Record::to_entry() const {
    if (gossip_form == EntryForm::Full) return to_full_entry();
    Entry entry;
    entry.brief = true;
    entry.info.address = address;
    entry.info.incarnation = member->info.incarnation;
    entry.info.quota_divisor = member->info.quota_divisor;
    entry.info.disk_id = member->info.disk_id;
    entry.version = version;
    entry.state = advertised_state();
    return entry;
}

std::uint64_t MemberTable::hash_address(const std::string& address) {
    return XXH64(address.data(), address.size(), 0);
}

std::uint64_t MemberTable::compute_digest(std::uint64_t address_hash, std::uint64_t incarnation,
                                          std::uint32_t version) {
    const std::uint64_t parts[] = {address_hash, incarnation, version};
    return XXH64(parts, sizeof(parts), 1);
}

std::uint32_t MemberTable::identity_hash(std::uint64_t address_hash, std::uint64_t incarnation) {
    return static_cast<std::uint32_t>(compute_digest(address_hash, incarnation, 0));
}

Record* MemberTable::find(const std::string& address) const {
    const auto& index = records_.get<ByAddress>();
    const auto it = index.find(address);
    return it == index.end() ? nullptr : it->get();
}

Record* MemberTable::find_by_hash(std::uint32_t hash) const {
    const auto& index = records_.get<ByHash>();
    const auto it = index.find(hash);
    return it == index.end() ? nullptr : it->get();
}

void MemberTable::adjust_counts(const Record& record, int delta) {
    if (record.member->state == State::Dead) return;
    live_count_ += static_cast<std::size_t>(delta);
    if (record.member->info.role == Role::Gateway) gateway_count_ += static_cast<std::size_t>(delta);
}

void MemberTable::update_digest(Record& record) {
    digest_ ^= record.digest;
    record.digest =
        record.member->state == State::Dead
            ? 0
            : compute_digest(record.address_hash, record.member->info.incarnation, record.version);
    digest_ ^= record.digest;
}

Record& MemberTable::add(const MemberInfo& info, std::uint32_t version, State state, TimePoint now) {
    const auto record = std::make_shared<Record>();
    record->address = info.address;
    record->address_hash = hash_address(info.address);
    record->hash = identity_hash(record->address_hash, info.incarnation);
    record->member = &members_[info.address];
    record->member->state = State::Dead;    // not counted until replace_incarnation() sets the state
    records_.push_back(record);
    replace_incarnation(*record, info, version, state, now);
    return *record;
}

void MemberTable::replace_incarnation(Record& record, const MemberInfo& info, std::uint32_t version,
                                      State state, TimePoint now) {
    adjust_counts(record, -1);
    Member& member = *record.member;
    member.info = info;
    member.state = state;
    member.state_changed_at = now;
    member.last_heard = member.last_acknowledged = member.last_in_sync = TimePoint{};
    record.version = version;
    record.heartbeat = 0;
    record.heartbeat_at = TimePoint{};
    record.probing = false;
    member.departed = state == State::Dead;
    record.known_since = now;
    record.suspected_since = state == State::Suspect ? now : TimePoint{};
    record.suspected_in_isolation = false;
    list_if_unreachable(record);
    auto& index = records_.get<ByAddress>();
    index.modify(index.find(record.address), [&](const std::shared_ptr<Record>& element) {
        element->hash = identity_hash(element->address_hash, info.incarnation);
    });
    update_digest(record);
    adjust_counts(record, 1);
}

void MemberTable::list_if_unreachable(Record& record) {
    if (record.member->state == State::Alive || record.unreachable) return;
    record.unreachable = true;
    unreachable_.push_back(&record);
}

void MemberTable::prune_unreachable() {
    std::erase_if(unreachable_, [](Record* record) {
        record->unreachable = record->member->state != State::Alive;
        return !record->unreachable;
    });
}

void MemberTable::apply_entry(Record& record, const Entry& entry) {
    Member& member = *record.member;
    adjust_counts(record, -1);
    if (entry.brief) {
        member.info.quota_divisor = entry.info.quota_divisor;
        member.info.disk_id = entry.info.disk_id;
    } else {
        member.info = entry.info;
    }
    record.version = entry.version;
    update_digest(record);
    adjust_counts(record, 1);
}

void MemberTable::set_state(Record& record, State state, TimePoint now) {
    adjust_counts(record, -1);
    record.member->state = state;
    record.member->state_changed_at = now;
    record.suspected_since = state == State::Suspect ? now : TimePoint{};
    record.suspected_in_isolation = false;
    list_if_unreachable(record);
    update_digest(record);
    adjust_counts(record, 1);
}

void MemberTable::erase(Record& record) {
    adjust_counts(record, -1);
    digest_ ^= record.digest;
    std::erase(unreachable_, &record);
    members_.erase(record.address);
    auto& index = records_.get<ByAddress>();
    index.erase(index.find(record.address));
}

std::vector<std::uint64_t> MemberTable::digest_buckets(std::size_t bucket_count) const {
    std::vector<std::uint64_t> sums(bucket_count, 0);
    for (const auto& record : records_)
        sums[bucket_index(record->address_hash, bucket_count)] ^= record->digest;
    return sums;
}

}    // namespace shaletray::membership
