#include "gateway/quota_lease.h"

#include <algorithm>
#include <vector>

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTimeout = 4s;
// Minimum interval between two announcements of a changed divisor in a large cluster: when hundreds of
// gateways start together, each discovers the others within seconds, and announcing every step would make up
// most of the membership's traffic.
constexpr Duration kAnnouncementInterval = 2s;
// A longer gap between updates means that this process was suspended.
constexpr Duration kMaxUpdateGap = 1s;
// Time in which membership changes that one gateway receives reach most others.
constexpr Duration kPropagationTime = 2s;
// Time in which the others count a gateway again after it has reconnected.
constexpr Duration kReconnectGrace = 5s;

// Whether messages passed in both directions within kContactTimeout.
bool is_in_contact(const membership::Membership& cluster, const membership::Member& member, TimePoint now) {
    if (member.state != membership::State::Alive) return false;
    if (!cluster.contacts_every_member())
        return true;    // estimated by heard_fraction and acknowledged_fraction instead
    return member.last_heard != TimePoint{} && now - member.last_heard <= kContactTimeout &&
           member.last_acknowledged != TimePoint{} && now - member.last_acknowledged <= kContactTimeout;
}

}    // namespace

// The peers in order of discovery, and the number in contact among each number of the first ones.
struct QuotaLease::ContactHistory {
    explicit ContactHistory(const std::map<std::string, Peer>& peers) {
        for (const auto& [address, peer] : peers) by_discovery.push_back(&peer);
        std::sort(by_discovery.begin(), by_discovery.end(),
                  [](const Peer* a, const Peer* b) { return a->discovered_at < b->discovered_at; });
        for (const Peer* peer : by_discovery)
            contact_counts.push_back(contact_counts.back() + (peer->in_contact ? 1 : 0));
    }
    // Number of other gateways that were known before the peer became silent.
    std::size_t known_before_silence(const Peer& peer) const {
        const auto end = std::upper_bound(
            by_discovery.begin(), by_discovery.end(), peer.last_alive_at + kPropagationTime,
            [](TimePoint time, const Peer* candidate) { return time < candidate->discovered_at; });
        return static_cast<std::size_t>(end - by_discovery.begin());
    }
    // Number of gateways at that time, including this one, as far as this gateway or the peer knew.
    std::size_t gateways_before_silence(const Peer& peer) const {
        return std::max<std::size_t>(known_before_silence(peer) + 1, peer.quota_divisor);
    }
    // Number of these gateways that are in contact now, including this one.
    std::size_t contacts_before_silence(const Peer& peer) const {
        return contact_counts[known_before_silence(peer)];
    }
    std::size_t contacts() const { return contact_counts.back(); }

    std::vector<const Peer*> by_discovery;
    // contact_counts[i]: gateways in contact among this one and the first i peers.
    std::vector<std::size_t> contact_counts{1};
};

quota::PeerSet QuotaLease::update(const membership::Membership& cluster,
                                  const std::vector<std::string>& confirmed_controllers, TimePoint now) {
    reset_drop_timers_after_gap(now);
    contact_sampled_ = !cluster.contacts_every_member();
    const bool quorum = is_quorum_in_contact(cluster, confirmed_controllers, now);
    update_peers(cluster, now);
    drop_silent_peers(quorum, now);
    remember_divisor(now);

    quota::PeerSet peer_set;
    peer_set.ring.push_back(self_);
    for (const auto& [address, member] : cluster.members()) {
        if (member.info.role == membership::Role::Gateway && member.state != membership::State::Dead)
            peer_set.ring.push_back(address);
    }
    std::sort(peer_set.ring.begin(), peer_set.ring.end());
    peer_set.sharers = addresses_of_possible_gateways(peer_set.ring);
    std::uint32_t largest_divisor = std::max(divisor_, static_cast<std::uint32_t>(peer_set.ring.size()));
    for (const auto& [address, peer] : peers_)
        largest_divisor = std::max(largest_divisor, peer.quota_divisor);

    renew(cluster, quorum, now);
    update_announcement(now);
    peer_set.divisor = held_ ? largest_divisor : 0;
    peer_set.refill_until = last_renewal_ + kLeaseDuration;
    return peer_set;
}

// The gateways of the ring, and silent ones whose lease may still be valid.
std::vector<std::string> QuotaLease::addresses_of_possible_gateways(
    const std::vector<std::string>& ring) const {
    std::vector<std::string> addresses = ring;
    for (const auto& [address, peer] : peers_) addresses.push_back(address);
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

// After this process was suspended, the lack of messages says nothing about the other gateways.
void QuotaLease::reset_drop_timers_after_gap(TimePoint now) {
    if (now - last_update_ > kMaxUpdateGap) {
        for (auto& [address, peer] : peers_) peer.droppable_since = TimePoint{};
        unknown_droppable_since_ = TimePoint{};
    }
    last_update_ = now;
}

// Whether one of the confirmed controllers is in contact. Also records whether one agrees on the members.
bool QuotaLease::is_quorum_in_contact(const membership::Membership& cluster,
                                      const std::vector<std::string>& confirmed_controllers, TimePoint now) {
    bool quorum = false;
    for (const std::string& controller_address : confirmed_controllers) {
        const auto it = cluster.members().find(controller_address);
        if (it == cluster.members().end() || !is_in_contact(cluster, it->second, now)) continue;
        quorum = quorum || cluster.contacts_every_member() ||
                 cluster.acknowledged_fraction(now, kContactTimeout) > 0.0;
        membership_agreed_ = membership_agreed_ || it->second.last_in_sync != TimePoint{};
    }
    return quorum;
}

void QuotaLease::remember_divisor(TimePoint now) {
    recent_divisors_.push_back({now, divisor_});
    while (now - recent_divisors_.front().recorded_at > kPropagationTime) recent_divisors_.pop_front();
}

// The start and the end of a lease are announced immediately. Other changes are announced immediately only
// where every member is contacted.
void QuotaLease::update_announcement(TimePoint now) {
    const std::uint32_t current = held_ ? divisor_ : 0;
    if (current == announced_divisor_) return;
    const bool lease_changes = (current == 0) != (announced_divisor_ == 0);
    if (contact_sampled_ && !lease_changes && now - announced_at_ < kAnnouncementInterval) return;
    announced_divisor_ = current;
    announced_at_ = now;
}

// Renews, starts or ends the lease.
void QuotaLease::renew(const membership::Membership& cluster, bool quorum, TimePoint now) {
    const std::size_t contacts = contact_count();
    const bool connected = cluster.joined() && (quorum || (ever_held_ && majority_in_contact_));
    if (now >= last_renewal_ + kLeaseDuration) held_ = false;
    if (!connected) {
        reconnected_at_ = TimePoint{};
        return;
    }
    if (reconnected_at_ == TimePoint{}) reconnected_at_ = now;
    // In a cluster so large that contact is sampled, views of the members always differ a little.
    membership_agreed_ = membership_agreed_ || !cluster.contacts_every_member();
    const bool counted =
        (membership_agreed_ && is_counted(cluster, contacts)) || now - reconnected_at_ >= kReconnectGrace;
    held_ = held_ || (counted && (ever_held_ || may_start(now)));
    if (held_) last_renewal_ = now;
    ever_held_ = ever_held_ || held_;
}

// Number of gateways in contact, including this one.
std::size_t QuotaLease::contact_count() const {
    std::size_t contacts = 1;
    for (const auto& [address, peer] : peers_) contacts += peer.in_contact ? 1 : 0;
    return contacts;
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
            // A dead member without a peer was dropped before, except where this gateway is a newcomer that
            // knows it only from others: a newcomer has to count it.
            if (member.state == membership::State::Dead && (ever_held_ || member.last_heard != TimePoint{}))
                continue;
            it = peers_.emplace(address, Peer{}).first;
            it->second.discovered_at = it->second.last_alive_at = now;
        }
        Peer& peer = it->second;
        update_peer(peer, member);
        if (!cluster.contacts_every_member() && member.state == membership::State::Alive)
            peer.last_alive_at = now;
        peer.in_contact = majority_reachable && is_in_contact(cluster, member, now);
    }
}

// Updates the peer from the membership. Where the peer's lease or incarnation has ended, the gateways that
// only it knew stay counted.
void QuotaLease::update_peer(Peer& peer, const membership::Member& member) {
    if (peer.incarnation != member.info.incarnation) {
        if (peer.incarnation != 0) retain_unknown_peers(peer);
        peer.incarnation = member.info.incarnation;
    }
    if (member.info.quota_divisor == 0 && peer.quota_divisor > 0) retain_unknown_peers(peer);
    peer.quota_divisor = member.info.quota_divisor;
    peer.dead = member.state == membership::State::Dead;
    peer.indirect_only = peer.indirect_only && member.last_heard == TimePoint{};
    peer.last_alive_at = std::max(peer.last_alive_at, member.last_heard);
}

// Keeps counting the gateways that the peer knew of, according to its divisor, beyond those that this gateway
// knew recently.
void QuotaLease::retain_unknown_peers(const Peer& peer) {
    std::uint32_t largest_divisor = std::max(divisor_, possible_gateway_count());
    for (const DivisorRecord& record : recent_divisors_)
        largest_divisor = std::max(largest_divisor, record.divisor);
    if (peer.quota_divisor > largest_divisor) unknown_peers_ += peer.quota_divisor - largest_divisor;
}

bool QuotaLease::all_in_contact() const {
    return unknown_peers_ == 0 &&
           std::all_of(peers_.begin(), peers_.end(), [](const auto& item) { return item.second.in_contact; });
}

// Drops the peers that were silent for long enough, and computes divisor_ and majority_in_contact_.
void QuotaLease::drop_silent_peers(bool quorum, TimePoint now) {
    divisor_ = possible_gateway_count();
    if (all_in_contact()) {
        majority_in_contact_ = true;
        for (auto& [address, peer] : peers_) peer.droppable_since = TimePoint{};
        return;
    }
    const ContactHistory history(peers_);
    majority_in_contact_ = 2 * history.contacts() > peers_.size() + 1 + unknown_peers_;
    std::vector<std::string> dropped;
    for (auto& [address, peer] : peers_) {
        if (peer.in_contact) {
            peer.droppable_since = TimePoint{};
            continue;
        }
        const bool majority_before_silence =
            2 * history.contacts_before_silence(peer) > history.gateways_before_silence(peer);
        majority_in_contact_ = majority_in_contact_ && majority_before_silence;
        if (!peer.indirect_only) raise_divisor_for(peer, history);
        if (!may_drop(peer, history, quorum, now)) {
            peer.droppable_since = TimePoint{};
        } else if (peer.droppable_since == TimePoint{}) {
            peer.droppable_since = now;
        } else if (now - peer.droppable_since >= kDropTimeout) {
            dropped.push_back(address);
        }
    }
    for (const std::string& address : dropped) {
        const Peer peer = peers_.at(address);
        retain_unknown_peers(peer);
        peers_.erase(address);
    }
    drop_unknown_peers(history.contacts(), quorum, now);
}

// Whether the conditions for dropping a peer that is not in contact hold at this moment.
bool QuotaLease::may_drop(const Peer& peer, const ContactHistory& history, bool quorum, TimePoint now) const {
    return quorum && (ever_held_ || !peer.indirect_only) &&
           2 * history.contacts_before_silence(peer) >= history.gateways_before_silence(peer) &&
           now - peer.last_alive_at > kContactTimeout;
}

// Reserves the silent peer's share: the gateways in contact divide only the part of the quota that they had
// before the peer became silent.
void QuotaLease::raise_divisor_for(const Peer& peer, const ContactHistory& history) {
    const std::size_t gateways_before_silence = history.gateways_before_silence(peer);
    const std::size_t contacts_before_silence = history.contacts_before_silence(peer);
    std::size_t divisor = (gateways_before_silence * history.contacts() + contacts_before_silence - 1) /
                          contacts_before_silence;    // rounded up
    // Sampled contact says nothing about shares. A gateway that knew fewer gateways than the silent one
    // divides by that one's count only; gateways that knew as many reserve the share, and announce their
    // divisors.
    if (contact_sampled_ && history.known_before_silence(peer) + 1 < gateways_before_silence)
        divisor = gateways_before_silence;
    divisor_ = std::max(divisor_, static_cast<std::uint32_t>(divisor));
}

void QuotaLease::drop_unknown_peers(std::size_t contacts, bool quorum, TimePoint now) {
    // Errors of estimates from samples add up over many restarts, so unknown peers are limited to a number
    // that the gateways in contact can drop.
    if (contact_sampled_) {
        const std::size_t droppable = 2 * contacts - std::min(2 * contacts, peers_.size() + 1);
        unknown_peers_ = std::min(unknown_peers_, droppable);
    }
    if (unknown_peers_ == 0 || !quorum || 2 * contacts < peers_.size() + 1 + unknown_peers_) {
        unknown_droppable_since_ = TimePoint{};
    } else if (unknown_droppable_since_ == TimePoint{}) {
        unknown_droppable_since_ = now;
    } else if (now - unknown_droppable_since_ >= kDropTimeout) {
        unknown_peers_ = 0;
        unknown_droppable_since_ = TimePoint{};
    }
}

// Whether a newcomer may start a lease. Where gateways in contact hold a lease, their divisors cover all
// others, so it may start at once. Otherwise no gateway may hold a lease without counting this one. That is
// so if each peer is in contact, or is not dead and announced to hold no lease (it starts only after it has
// discovered this gateway), or sent nothing in kUnknownPeerTimeout since it was discovered.
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

// Whether the divisor of each gateway in contact that holds a lease is at least the number of gateways in
// contact here. In a cluster too large to contact each member, nearly all of them suffice.
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
