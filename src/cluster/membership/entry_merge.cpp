// Merges entries of received packets into the member table.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {

Membership::Impl::EntrySource Membership::Impl::source_of(const Packet& packet) const {
    if (packet.kind != PacketKind::SyncPage) return EntrySource::Gossip;
    return joined_ ? EntrySource::Sync : EntrySource::Join;
}

// A change found by a synchronization has already been sent by others for a while; a change learned when
// joining is known to all others.
int Membership::Impl::initial_transmissions(EntrySource source) const {
    switch (source) {
        case EntrySource::Gossip: return 0;
        case EntrySource::Sync: return max_transmissions() / 2;
        case EntrySource::Join: break;
    }
    return max_transmissions();
}

void Membership::Impl::merge_entries(Reception& reception) {
    for (const Entry& entry : reception.packet.entries)
        if (merge_entry(entry, reception)) reception.learned = true;
}

bool Membership::Impl::merge_entry(const Entry& entry, Reception& reception) {
    if (entry.info.address == self_record_.address) {
        handle_self_entry(entry);
        return false;
    }
    // Computed before the entry changes the number of members, on which max_transmissions() depends.
    const int transmissions = initial_transmissions(source_of(reception.packet));
    Record* const record = table_.find(entry.info.address);
    if (record == nullptr) return add_unknown_member(entry, transmissions, reception);
    const Member& member = *record->member;
    if (entry.info.incarnation < member.info.incarnation) {
        reception.corrections.push_back(record->to_full_entry());
        return false;
    }
    if (entry.info.incarnation > member.info.incarnation)
        return merge_later_incarnation(*record, entry, transmissions, reception);
    if (member.departed) {
        if (entry.state != State::Dead) reception.corrections.push_back(record->to_entry());
        return false;
    }
    if (entry.state == State::Dead) return merge_departure(*record, entry, transmissions, reception);
    if (entry.version < record->version) {
        if (entry.info.address != reception.from) reception.corrections.push_back(record->to_full_entry());
        return false;
    }
    return merge_same_incarnation(*record, entry, transmissions, reception);
}

bool Membership::Impl::add_unknown_member(const Entry& entry, int transmissions, Reception& reception) {
    if (entry.brief || entry.state == State::Dead) return false;
    if (table_.full()) {
        ++statistics_.rejected_members;
        return false;
    }
    if (entry.unheard && source_of(reception.packet) == EntrySource::Join) {
        // The others already consider it dead, so it is not passed on.
        Record& record = table_.add(entry.info, entry.version, State::Dead, reception.now);
        record.member->departed = false;
        add_changed_member(entry.info.address, reception.actions.changed_members);
        return false;
    }
    Record& record = table_.add(entry.info, entry.version, entry.state, reception.now);
    return publish_change(record, EntryForm::Full, transmissions, reception);
}

bool Membership::Impl::merge_later_incarnation(Record& record, const Entry& entry, int transmissions,
                                               Reception& reception) {
    if (entry.brief && entry.state != State::Dead) return false;
    MemberInfo info = entry.info;
    if (entry.brief) {    // the later process departed before it was known here
        info = record.member->info;
        info.incarnation = entry.info.incarnation;
    }
    table_.replace_incarnation(record, info, entry.version, entry.state, reception.now);
    return publish_change(record, EntryForm::Full, transmissions, reception);
}

bool Membership::Impl::merge_departure(Record& record, const Entry& entry, int transmissions,
                                       Reception& reception) {
    record.member->departed = true;
    record.version = std::max(record.version, entry.version);
    table_.set_state(record, State::Dead, reception.now);
    return publish_change(record, EntryForm::Brief, transmissions, reception);
}

bool Membership::Impl::merge_same_incarnation(Record& record, const Entry& entry, int transmissions,
                                              Reception& reception) {
    const Member& member = *record.member;
    // Only recent suspicions are adopted, and only of members that have been silent here, too.
    const bool suspicion = entry.state == State::Suspect && member.state == State::Alive &&
                           source_of(reception.packet) == EntrySource::Gossip;
    const bool accept_suspicion = suspicion && !reception.packet.verify_suspicions &&
                                  reception.now - reachable_since(record) >= settings_.suspect_after;
    if (entry.version > record.version)
        return merge_later_version(record, entry, accept_suspicion, transmissions, reception);
    if (accept_suspicion) {
        table_.set_state(record, State::Suspect, reception.now);
        return publish_change(record, EntryForm::Brief, transmissions, reception);
    }
    if (suspicion) {
        start_probe(record, reception.now, reception.actions);
        return false;
    }
    if (entry.state == State::Alive && member.state == State::Dead && entry.info.address != reception.from)
        reception.corrections.push_back(record.to_entry());
    return false;
}

bool Membership::Impl::merge_later_version(Record& record, const Entry& entry, bool accept_suspicion,
                                           int transmissions, Reception& reception) {
    table_.apply_entry(record, entry);
    if (entry.state == State::Alive) {    // the member refuted a suspicion
        if (record.member->state != State::Alive)
            confirm_alive(record, reception.now, reception.actions.changed_members);
    } else if (accept_suspicion) {
        table_.set_state(record, State::Suspect, reception.now);
    }
    const EntryForm form = entry.brief ? EntryForm::Brief : EntryForm::Full;
    return publish_change(record, form, transmissions, reception);
}

void Membership::Impl::handle_self_entry(const Entry& entry) {
    const std::uint64_t incarnation = self_member_.info.incarnation;
    const bool presumed_dead = entry.info.incarnation == incarnation && entry.state == State::Dead;
    if (entry.info.incarnation > incarnation || presumed_dead) {
        self_member_.info.incarnation = entry.info.incarnation + 1;
        self_record_.version = 0;
        update_self_digest();
        queue_gossip(self_record_, EntryForm::Full);
        return;
    }
    if (entry.info.incarnation < incarnation) return;
    const bool suspected = entry.version == self_record_.version && entry.state == State::Suspect;
    if (entry.version <= self_record_.version && !suspected) return;
    self_record_.version = entry.version;
    bump_version(EntryForm::Brief);
}

bool Membership::Impl::publish_change(Record& record, EntryForm form, int transmissions,
                                      Reception& reception) {
    publish_change(record, form, transmissions, reception.now, reception.actions);
    return true;
}

void Membership::Impl::publish_change(Record& record, EntryForm form, int transmissions, TimePoint now,
                                      Actions& actions) {
    add_changed_member(record.address, actions.changed_members);
    last_change_at_ = now;
    queue_gossip(record, form, transmissions);
}

void Membership::Impl::confirm_alive(Record& record, TimePoint now,
                                     std::vector<std::string>& changed_members) {
    record.member->last_heard = std::max(record.member->last_heard, now);
    record.probing = false;
    if (record.member->state == State::Alive || record.member->departed) return;
    const bool was_isolated = record.suspected_in_isolation && is_large();
    table_.set_state(record, State::Alive, now);
    add_changed_member(record.address, changed_members);
    last_change_at_ = now;
    if (was_isolated) restore_isolated_suspects(now, changed_members);
}

// Clears the suspicions from the time in which this process, not the suspected members, was partitioned.
void Membership::Impl::restore_isolated_suspects(TimePoint now, std::vector<std::string>& changed_members) {
    for (Record* other : table_.unreachable()) {
        if (other->member->state != State::Suspect || !other->suspected_in_isolation) continue;
        other->known_since = now;
        table_.set_state(*other, State::Alive, now);
        add_changed_member(other->address, changed_members);
    }
    for (Probe& probe : probes_) {
        probe.record->known_since = now;
        probe.started_at = now;
        probe.attempts = 1;
    }
}

}    // namespace shaletray::membership
