// Changes that are still to be sent to other members.
#pragma once

#include <deque>

#include "cluster/membership/member_table.h"

namespace shaletray::membership {

// The records whose latest change is still to be sent, those that were sent least often first. Holds at most
// kMaxGossip records: beyond it the ones sent most often are dropped. Does not own the records; remove() has
// to be called before one is erased. Keeps Record::gossip_queued, gossip_form and transmissions.
class GossipQueue {
public:
    bool empty() const { return records_.empty(); }
    std::size_t size() const { return records_.size(); }
    // The record that was sent least often.
    Record& front() const { return *records_.front(); }
    Record& pop_front();
    // Queues the latest change of a record in front of all that were sent as often. A queued change that was
    // to be sent in full stays so.
    void push(Record& record, EntryForm form, int transmissions);
    // Puts back a record that was taken by pop_front().
    void put_back(Record& record) { insert(record); }
    void remove(Record& record) { std::erase(records_, &record); }
    // Drops records that were sent at least so often, other than suspicions.
    void drop_spread(int min_transmissions);

private:
    void insert(Record& record);

    std::deque<Record*> records_;    // ordered by transmissions
};

}    // namespace shaletray::membership
