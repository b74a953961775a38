// The table of gateways with which this one exchanges balancing messages. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::quota {

// Maximum time from receiving a message to echoing its timestamp. After a longer time, the echo bounds the
// age of a transfer too loosely.
constexpr Duration kMaxEchoDelay = std::chrono::seconds(120);

// Another gateway, and the state of the messages exchanged with it.
struct Peer {
    std::string address;              // empty: the table slot is free
    std::uint64_t incarnation = 0;    // of its last message; 0: none was received
    std::uint64_t sequence = 0;       // of its last message
    std::uint64_t timestamp = 0;      // of its last message, by its clock
    TimePoint last_received{};
    TimePoint last_sent{};
    bool urgent = false;    // the next message to it contains a request

    // Whether its last message is recent enough to echo its timestamp, and to transfer units to it.
    bool has_recent_message(TimePoint now) const {
        return incarnation != 0 && now - last_received <= kMaxEchoDelay;
    }
};

// Peers by address. The index of a peer is stable until the peer is erased. Not thread-safe.
class PeerTable {
public:
    using Index = std::uint32_t;

    Peer& operator[](Index index) { return peers_[index]; }
    const Peer& operator[](Index index) const { return peers_[index]; }
    bool contains(const std::string& address) const { return index_by_address_.contains(address); }
    // Returns the peer of this address, which is created where there is none.
    Index find_or_create(const std::string& address);
    // Erases peers that are not used according to `is_used` and have sent nothing for a while. Peers are kept
    // that long as a late duplicate message of an erased peer could be applied a second time.
    void erase_unused(const std::function<bool(Index)>& is_used, TimePoint now);
    std::size_t size() const { return index_by_address_.size(); }
    // Returns the largest index plus one.
    std::size_t capacity() const { return peers_.size(); }

private:
    std::vector<Peer> peers_;
    std::vector<Index> free_indices_;
    std::unordered_map<std::string, Index> index_by_address_;
};

}    // namespace shaletray::quota
