// The gateways with which this one balances its buckets. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::quota {

// A gateway near this one on the ring of addresses.
struct Neighbour {
    std::string address;
    std::uint64_t incarnation = 0;    // of its last message; 0: none was received
    std::uint64_t sequence = 0;       // of its last message
    std::uint64_t timestamp = 0;      // of its last message, by its clock
    TimePoint last_heard{};
    TimePoint last_sent{};
    bool urgent = false;    // a request waits for the next message to it

    // Whether its last message is recent enough to be echoed, and to transfer units to it.
    bool is_recently_heard(TimePoint now) const;
};

// The longest time from receiving a message to echoing it. Beyond it, an echo says too little about the age
// of a transfer.
constexpr Duration kMaxEchoDelay = std::chrono::seconds(120);

// The neighbours, chosen from the ring of all gateways. They are named by their index, which changes only in
// set_ring().
class Neighbours {
public:
    explicit Neighbours(std::string self) : self_(std::move(self)) {}

    // For each new index, the index that the neighbour had before, if any.
    using IndexMapping = std::vector<std::optional<std::size_t>>;
    // A new list of all gateways' addresses, sorted. Returns nothing where it is the same as before.
    std::optional<IndexMapping> set_ring(std::vector<std::string> ring, TimePoint now);

    std::size_t size() const { return neighbours_.size(); }
    bool empty() const { return neighbours_.empty(); }
    Neighbour& operator[](std::size_t index) { return neighbours_[index]; }
    const Neighbour& operator[](std::size_t index) const { return neighbours_[index]; }
    auto begin() const { return neighbours_.begin(); }
    auto end() const { return neighbours_.end(); }
    // Nothing where the address is no neighbour's.
    std::optional<std::size_t> index_of(const std::string& address) const;

private:
    std::vector<std::string> select_addresses() const;
    Neighbour take_former(const std::string& address);

    std::string self_;
    std::vector<std::string> ring_;
    std::vector<Neighbour> neighbours_;
    std::vector<Neighbour> former_neighbours_;    // kept for a moment: they may become neighbours again
};

}    // namespace shaletray::quota
