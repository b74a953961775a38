#include "cluster/membership/gossip_queue.h"

#include <algorithm>

#include "cluster/membership/protocol_constants.h"

namespace shaletray::membership {

Record& GossipQueue::pop_front() {
    Record& record = *records_.front();
    records_.pop_front();
    return record;
}

void GossipQueue::push(Record& record, EntryForm form, int transmissions) {
    if (record.gossip_queued) {
        remove(record);
        if (record.gossip_form == EntryForm::Full) form = EntryForm::Full;
    }
    record.gossip_form = form;
    record.transmissions = transmissions;
    record.gossip_queued = true;
    insert(record);
    while (records_.size() > kMaxQueuedGossip) {
        records_.back()->gossip_queued = false;
        records_.pop_back();
    }
}

void GossipQueue::insert(Record& record) {
    const auto fewer_transmissions = [](const Record* a, const Record* b) {
        return a->transmissions < b->transmissions;
    };
    // A new change goes in front of the others that have not been sent yet.
    const auto position = record.transmissions == 0 ? records_.begin()
                                                    : std::upper_bound(records_.begin(), records_.end(),
                                                                       &record, fewer_transmissions);
    records_.insert(position, &record);
}

void GossipQueue::drop_disseminated(int min_transmissions) {
    std::erase_if(records_, [min_transmissions](Record* record) {
        if (record->transmissions < min_transmissions || record->member->state == State::Suspect)
            return false;
        record->gossip_queued = false;
        return true;
    });
}

}    // namespace shaletray::membership
