// Queue of membership changes that still have to be sent to other members.
#pragma once

#include <deque>

#include "cluster/membership/member_table.h"

namespace shaletray::membership {

// The records whose latest change still has to be sent, ordered by ascending number of transmissions. Holds
// at most kMaxQueuedGossip records: beyond that the ones with the most transmissions are dropped. Does not
// own the records: call remove() before erasing one. Maintains Record::gossip_queued, gossip_form and
// transmissions.
class GossipQueue {
public:
    bool empty() const { return records_.empty(); }
    std::size_t size() const { return records_.size(); }
    // The record with the fewest transmissions.
    Record& front() const { return *records_.front(); }
    Record& pop_front();
    // Queues the latest change of a record, a new one (without transmissions) in front of all others. If a
    // full entry was already queued for the record, the form stays Full.
    void push(Record& record, EntryForm form, int transmissions);
    // Reinserts a record that pop_front() returned.
    void put_back(Record& record) { insert(record); }
    void remove(Record& record) { std::erase(records_, &record); }
    // Drops records with at least min_transmissions, except those of Suspect members.
    void drop_disseminated(int min_transmissions);

private:
    void insert(Record& record);

    std::deque<Record*> records_;    // ordered by transmissions
};

}    // namespace shaletray::membership
