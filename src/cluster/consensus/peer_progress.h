// What the other replicas last reported of themselves.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// Tracks how far the other replicas have got in the log, by the messages that they send.
class PeerProgress {
public:
    // Notes the sender's disk and progress. Unknown senders are ignored once the table is full.
    void record(const std::string& from, const Message& message, TimePoint now);
    // Forgets all senders but these.
    void retain(const std::vector<std::string>& addresses);
    // Whether this replica reported, after `since`, to have all entries below `next_instance` or nearly so.
    bool is_caught_up(const Replica& replica, std::uint64_t next_instance, TimePoint since) const;

private:
    struct Report {
        std::uint64_t disk_id = 0;
        std::uint64_t next_instance = 0;
        TimePoint reported_at;
    };
    std::map<std::string, Report> reports_;    // by address
};

}    // namespace shaletray::consensus
