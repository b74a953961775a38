#include "cluster/quota/peers.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// How long an unused peer and its last sequence number are kept. Far above the maximum age of an accepted
// transfer, so that a late duplicate of a message cannot be applied again.
constexpr Duration kUnusedPeerRetention = 10s;

}    // namespace

PeerTable::Index PeerTable::find_or_create(const std::string& address) {
    const auto found = index_by_address_.find(address);
    if (found != index_by_address_.end()) return found->second;
    auto index = static_cast<Index>(peers_.size());
    if (free_indices_.empty()) {
        peers_.emplace_back();
    } else {
        index = free_indices_.back();
        free_indices_.pop_back();
    }
    peers_[index] = Peer{.address = address};
    index_by_address_[address] = index;
    return index;
}

void PeerTable::erase_unused(const std::function<bool(Index)>& is_used, TimePoint now) {
    for (auto it = index_by_address_.begin(); it != index_by_address_.end();) {
        const Index index = it->second;
        const bool silent = now - peers_[index].last_received > kUnusedPeerRetention;
        if (!silent || peers_[index].urgent || is_used(index)) {
            ++it;
            continue;
        }
        peers_[index] = Peer{};
        free_indices_.push_back(index);
        it = index_by_address_.erase(it);
    }
}

}    // namespace shaletray::quota
