#include "cluster/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>

namespace shaletray::membership {

Entry Record::whole_entry() const {
    Entry e;
    e.facts = member->facts;
    e.version = version;
    e.state = told_state();
    e.unheard = member->state == State::Gone && !member->ended;
    return e;
}

// What another one may make of it: nobody is Gone for having been unheard here, nor Suspected for our own
// trouble.
State Record::told_state() const {
    if (member->state == State::Gone) return member->ended ? State::Gone : State::Suspected;
    return alone ? State::Alive : member->state;
}

Entry Record::entry() const {
    if (whole) return whole_entry();
    Entry e;
    e.brief = true;
    e.facts.address = address;
    e.facts.life = member->facts.life;
    e.facts.counts = member->facts.counts;
    e.facts.disk = member->facts.disk;
    e.version = version;
    e.state = told_state();
    return e;
}

std::uint64_t Roll::place(const std::string& address) { return XXH64(address.data(), address.size(), 0); }

std::uint64_t Roll::sum(std::uint64_t place, std::uint64_t life, std::uint32_t version) {
    const std::uint64_t parts[] = {place, life, version};
    return XXH64(parts, sizeof(parts), 1);
}

std::uint32_t Roll::short_hash(std::uint64_t place, std::uint64_t life) {
    return static_cast<std::uint32_t>(sum(place, life, 0));
}

Record* Roll::find(const std::string& address) const {
    const auto& index = records_.get<ByAddress>();
    const auto it = index.find(address);
    return it == index.end() ? nullptr : it->get();
}

Record* Roll::by_hash(std::uint32_t hash) const {
    const auto& index = records_.get<ByHash>();
    const auto it = index.find(hash);
    return it == index.end() ? nullptr : it->get();
}

void Roll::count(const Record& record, int by) {
    if (record.member->state == State::Gone) return;
    here_ += static_cast<std::size_t>(by);
    if (record.member->facts.role == Role::Pilot) pilots_ += static_cast<std::size_t>(by);
}

void Roll::sum(Record& record) {
    digest_ ^= record.sum;
    record.sum = record.member->state == State::Gone
                     ? 0
                     : sum(record.place, record.member->facts.life, record.version);
    digest_ ^= record.sum;
}

Record& Roll::add(const Facts& facts, std::uint32_t version, State state, TimePoint now) {
    const auto record = std::make_shared<Record>();
    record->address = facts.address;
    record->place = place(facts.address);
    record->hash = short_hash(record->place, facts.life);
    record->member = &members_[facts.address];
    record->member->state = State::Gone;    // so far it counts as nothing
    records_.push_back(record);
    renew(*record, facts, version, state, now);
    return *record;
}

void Roll::renew(Record& record, const Facts& facts, std::uint32_t version, State state, TimePoint now) {
    count(record, -1);
    Member& m = *record.member;
    m.facts = facts;
    m.state = state;
    m.changed = now;
    m.heard = m.answered = m.agreed = TimePoint{};
    record.version = version;
    record.beat = 0;
    record.beat_at = TimePoint{};
    record.probed = false;
    m.ended = state == State::Gone;
    record.known = now;
    record.suspected = state == State::Suspected ? now : TimePoint{};
    record.alone = false;
    if (state != State::Alive && !record.lost) {
        record.lost = true;
        lost_.push_back(&record);
    }
    auto& index = records_.get<ByAddress>();
    index.modify(index.find(record.address),
                 [&](const std::shared_ptr<Record>& r) { r->hash = short_hash(r->place, facts.life); });
    sum(record);
    count(record, 1);
}

void Roll::update(Record& record, const Entry& entry) {
    Member& m = *record.member;
    count(record, -1);
    if (entry.brief) {
        m.facts.counts = entry.facts.counts;
        m.facts.disk = entry.facts.disk;
    } else {
        m.facts = entry.facts;
    }
    record.version = entry.version;
    sum(record);
    count(record, 1);
}

void Roll::become(Record& record, State state, TimePoint now) {
    count(record, -1);
    record.member->state = state;
    record.member->changed = now;
    record.suspected = state == State::Suspected ? now : TimePoint{};
    record.alone = false;
    if (state != State::Alive && !record.lost) {
        record.lost = true;
        lost_.push_back(&record);
    }
    sum(record);
    count(record, 1);
}

void Roll::erase(Record& record) {
    count(record, -1);
    digest_ ^= record.sum;
    std::erase(lost_, &record);
    members_.erase(record.address);
    auto& index = records_.get<ByAddress>();
    index.erase(index.find(record.address));
}

std::vector<std::uint64_t> Roll::buckets(std::size_t count) const {
    std::vector<std::uint64_t> sums(count, 0);
    for (const auto& record : records_) sums[bucket(record->place, count)] ^= record->sum;
    return sums;
}

}    // namespace shaletray::membership
