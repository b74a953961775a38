#include "gateway/quota_lease.h"

#include <algorithm>
#include <vector>

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTimeout = 4s;
constexpr Duration kMaxUpdateGap = 1s;       // without a look: this process did not run
constexpr Duration kPropagationTime = 2s;    // in which most have heard what one has
constexpr Duration kReconnectGrace = 5s;     // in which the others come to count a pilot that is back

// Both ways, within the last moments.
bool is_in_contact(const membership::Membership& cluster, const membership::Member& member, TimePoint now) {
    if (member.state != membership::State::Alive) return false;
    if (!cluster.contacts_every_member()) return true;    // heard_part and answered_part stand for all
    return member.last_heard != TimePoint{} && now - member.last_heard <= kContactTimeout &&
           member.last_acknowledged != TimePoint{} && now - member.last_acknowledged <= kContactTimeout;
}

}    // namespace

quota::PeerSet QuotaLease::update(const membership::Membership& cluster,
                                  const std::vector<std::string>& confirmed_controllers, TimePoint now) {
    if (now - last_update_ > kMaxUpdateGap) {
        for (auto& [address, peer] : peers_) peer.unheard_since = TimePoint{};
        unknown_unheard_since_ = TimePoint{};
    }
    last_update_ = now;
    contact_sampled_ = !cluster.contacts_every_member();
    bool quorum = false;
    for (const std::string& controller_address : confirmed_controllers) {
        const auto it = cluster.members().find(controller_address);
        if (it == cluster.members().end() || !is_in_contact(cluster, it->second, now)) continue;
        quorum = quorum || cluster.contacts_every_member() ||
                 cluster.acknowledged_fraction(now, kContactTimeout) > 0.0;
        membership_agreed_ = membership_agreed_ || it->second.last_in_sync != TimePoint{};
    }
    update_peers(cluster, now);
    drop_unheard_peers(quorum, now);
    recent_divisors_.emplace_back(now, divisor_);
    while (now - recent_divisors_.front().first > kPropagationTime) recent_divisors_.pop_front();

    quota::PeerSet peer_set;
    peer_set.ring.push_back(self_);
    for (const auto& [address, member] : cluster.members())
        if (member.info.role == membership::Role::Gateway && member.state != membership::State::Dead)
            peer_set.ring.push_back(address);
    std::sort(peer_set.ring.begin(), peer_set.ring.end());
    std::uint32_t largest_divisor = std::max(divisor_, static_cast<std::uint32_t>(peer_set.ring.size()));
    std::size_t contacts = 1;
    for (const auto& [address, peer] : peers_) {
        largest_divisor = std::max(largest_divisor, peer.quota_divisor);
        contacts += peer.in_contact ? 1 : 0;
    }

    const bool connected = cluster.joined() && (quorum || (ever_held_ && majority_in_contact_));
    if (now >= last_renewal_ + kLeaseDuration) held_ = false;
    if (!connected) {
        reconnected_at_ = TimePoint{};
    } else {
        if (reconnected_at_ == TimePoint{}) reconnected_at_ = now;
        membership_agreed_ =
            membership_agreed_ || !cluster.contacts_every_member();    // so many that some always differ
        const bool counted =
            (membership_agreed_ && is_counted(cluster, contacts)) || now - reconnected_at_ >= kReconnectGrace;
        held_ = held_ || (counted && (ever_held_ || may_start(now)));
        if (held_) last_renewal_ = now;
        ever_held_ = ever_held_ || held_;
    }
    peer_set.divisor = held_ ? largest_divisor : 0;
    peer_set.refill_until = last_renewal_ + kLeaseDuration;
    return peer_set;
}

void QuotaLease::update_peers(const membership::Membership& cluster, TimePoint now) {
    const bool majority_reachable =
        cluster.contacts_every_member() || (cluster.heard_fraction(now, kContactTimeout) >= 0.5 &&
                                            cluster.acknowledged_fraction(now, kContactTimeout) >= 0.5);
    for (auto& [address, peer] : peers_) peer.in_contact = false;
    for (const auto& [address, member] : cluster.members()) {
        if (member.info.role != membership::Role::Gateway) continue;
        auto it = peers_.find(address);
        if (member.departed) {
            if (it == peers_.end()) continue;
            retain_unknown_peers(it->second);
            peers_.erase(it);
            continue;
        }
        if (it == peers_.end()) {
            // Dropped before, or told to a newcomer, which has dropped nobody that it didn't hear.
            if (member.state == membership::State::Dead && (ever_held_ || member.last_heard != TimePoint{}))
                continue;
            it = peers_.emplace(address, Peer{}).first;
            it->second.discovered_at = it->second.last_heard = now;
        }
        Peer& peer = it->second;
        if (peer.incarnation != member.info.incarnation) {
            if (peer.incarnation != 0) retain_unknown_peers(peer);
            peer.incarnation = member.info.incarnation;
        }
        if (member.info.quota_divisor == 0 && peer.quota_divisor > 0)
            retain_unknown_peers(peer);    // its lease has ended
        peer.quota_divisor = member.info.quota_divisor;
        peer.dead = member.state == membership::State::Dead;
        peer.indirect_only = peer.indirect_only && member.last_heard == TimePoint{};
        peer.last_heard = std::max(peer.last_heard, member.last_heard);
        if (!cluster.contacts_every_member() && member.state == membership::State::Alive)
            peer.last_heard = now;
        peer.in_contact = majority_reachable && is_in_contact(cluster, member, now);
    }
}

// What it knew more than this pilot knew lately stays counted.
void QuotaLease::retain_unknown_peers(const Peer& peer) {
    std::uint32_t largest_divisor = std::max(divisor_, possible_gateway_count());
    for (const auto& [at, divisor] : recent_divisors_) largest_divisor = std::max(largest_divisor, divisor);
    if (peer.quota_divisor > largest_divisor) unknown_peers_ += peer.quota_divisor - largest_divisor;
}

void QuotaLease::drop_unheard_peers(bool quorum, TimePoint now) {
    if (unknown_peers_ == 0 &&
        std::all_of(peers_.begin(), peers_.end(), [](const auto& item) { return item.second.in_contact; })) {
        majority_in_contact_ = true;
        divisor_ = possible_gateway_count();
        for (auto& [address, peer] : peers_) peer.unheard_since = TimePoint{};
        return;
    }
    std::vector<const Peer*> by_discovery;
    for (const auto& [address, peer] : peers_) by_discovery.push_back(&peer);
    std::sort(by_discovery.begin(), by_discovery.end(),
              [](const Peer* a, const Peer* b) { return a->discovered_at < b->discovered_at; });
    std::vector<std::size_t> contact_counts{1};    // of the first so many
    for (const Peer* peer : by_discovery)
        contact_counts.push_back(contact_counts.back() + (peer->in_contact ? 1 : 0));

    divisor_ = possible_gateway_count();
    majority_in_contact_ = 2 * contact_counts.back() > peers_.size() + 1 + unknown_peers_;
    std::vector<std::string> dropped;
    for (auto& [address, peer] : peers_) {
        if (peer.in_contact) {
            peer.unheard_since = TimePoint{};
            continue;
        }
        const auto end = std::upper_bound(
            by_discovery.begin(), by_discovery.end(), peer.last_heard + kPropagationTime,
            [](TimePoint time, const Peer* candidate) { return time < candidate->discovered_at; });
        const auto known_before = static_cast<std::size_t>(end - by_discovery.begin());
        const std::size_t peers_then = std::max<std::size_t>(known_before + 1, peer.quota_divisor);
        majority_in_contact_ = majority_in_contact_ && 2 * contact_counts[known_before] > peers_then;
        // Touch that is a sample tells no shares: who knew fewer than the unheard one leaves them to those
        // who knew as many and tell theirs.
        if (!peer.indirect_only)    // rounded up
            divisor_ = std::max(
                divisor_, static_cast<std::uint32_t>(
                              contact_sampled_ && known_before + 1 < peers_then
                                  ? peers_then
                                  : (peers_then * contact_counts.back() + contact_counts[known_before] - 1) /
                                        contact_counts[known_before]));
        const bool droppable = quorum && (ever_held_ || !peer.indirect_only) &&
                               2 * contact_counts[known_before] >= peers_then &&
                               now - peer.last_heard > kContactTimeout;
        if (!droppable) {
            peer.unheard_since = TimePoint{};
        } else if (peer.unheard_since == TimePoint{}) {
            peer.unheard_since = now;
        } else if (now - peer.unheard_since >= kDropTimeout) {
            dropped.push_back(address);
        }
    }
    for (const std::string& address : dropped) {
        const Peer peer = peers_.at(address);
        retain_unknown_peers(peer);
        peers_.erase(address);
    }
    // Figures by samples compound over many restarts: never so many that those in touch could not drop them.
    if (contact_sampled_)
        unknown_peers_ = std::min(unknown_peers_, 2 * contact_counts.back() -
                                                      std::min(2 * contact_counts.back(), peers_.size() + 1));
    if (unknown_peers_ == 0 || !quorum || 2 * contact_counts.back() < peers_.size() + 1 + unknown_peers_) {
        unknown_unheard_since_ = TimePoint{};
    } else if (unknown_unheard_since_ == TimePoint{}) {
        unknown_unheard_since_ = now;
    } else if (now - unknown_unheard_since_ >= kDropTimeout) {
        unknown_peers_ = 0;
        unknown_unheard_since_ = TimePoint{};
    }
}

// A newcomer: whether nobody holds a lease that may not count it, or those do that hold one and so count the
// others. By the lighthouses' word who is there and holds none begins after it has heard of this one.
bool QuotaLease::may_start(TimePoint now) {
    const auto holds_lease = [](const auto& item) {
        return item.second.in_contact && item.second.quota_divisor > 0;
    };
    if (std::any_of(peers_.begin(), peers_.end(), holds_lease)) {
        std::erase_if(peers_,
                      [](const auto& item) { return item.second.indirect_only && !item.second.in_contact; });
        return true;
    }
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        const Peer& peer = item.second;
        return peer.in_contact || (!peer.dead && peer.quota_divisor == 0) ||
               (peer.indirect_only && now - peer.discovered_at >= kUnknownPeerTimeout);
    });
}

// Those that are in touch and hold a lease divide by as many as are in touch here, at least: all, or nearly
// all of many.
bool QuotaLease::is_counted(const membership::Membership& cluster, std::size_t contacts) const {
    const double min_divisor = static_cast<double>(contacts) * (cluster.contacts_every_member() ? 1.0 : 0.9);
    std::size_t smaller_divisors = 0;
    for (const auto& [address, peer] : peers_)
        smaller_divisors +=
            peer.in_contact && peer.quota_divisor > 0 && static_cast<double>(peer.quota_divisor) < min_divisor
                ? 1
                : 0;
    return cluster.contacts_every_member() ? smaller_divisors == 0 : 4 * smaller_divisors <= contacts;
}

}    // namespace shaletray::gateway
