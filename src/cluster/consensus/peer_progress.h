// The progress that the other replicas last reported.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/common/clock.h"
#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// Tracks how far the other replicas have advanced in the log, from the messages that they send.
class PeerProgress {
public:
    // Records the sender's disk and progress. New senders are ignored once the table is full.
    void record(const std::string& from, const Message& message, TimePoint now);
    // Removes the reports of all senders but these.
    void retain(const std::vector<std::string>& addresses);
    // Whether this replica reported, at or after `since`, that it has the entries before `next_instance`,
    // except at most the last few.
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
