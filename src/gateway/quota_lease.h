// A gateway's lease on its share of the quotas: the divisor (the number of gateways by which it divides every
// quota) and the time until which it may refill its token buckets. Does no I/O.
//
// Invariant: at any moment, the shares 1/divisor of all gateways that may refill sum up to at most one. Each
// gateway that may refill counts every other one that may refill in its divisor, or leaves that one's share
// unused:
// - A gateway counts every gateway that it ever discovered until that one announces its departure or returns
//   as a later incarnation. Neither silence alone nor the failure detector's verdict Dead ends the counting.
// - A lease ends kLeaseDuration after this gateway was last in contact, in both directions, with a controller
//   that a quorum of controllers confirmed, or with more than half of the gateways. A lease starts, also
//   after it had ended, once the gateways that hold a lease and are in contact count this one.
// - A gateway from which nothing was received for kDropTimeout (a silent gateway) is dropped, that is, no
//   longer counted, if during all that time this gateway was in contact with the quorum of controllers and
//   with at least half of the gateways. That half is taken of the gateways that were known when the silent
//   one was last heard from, since the silent one does not know those that were discovered later. This is
//   safe: to keep its lease, the silent one would need a majority of these gateways or a controller confirmed
//   by a quorum. A majority and at least half of the same gateways have a member in common, and so have two
//   quorums of controllers; that common member would pass on the heartbeats of both sides. So the lease of a
//   gateway that can be dropped has ended.
// - Until a silent gateway is dropped, newcomers share only the part of the gateways in contact: with n known
//   gateways, a of them in contact, and k newcomers, each of the a + k divides by n (a + k) / a. That leaves
//   the n - a silent gateways their n - a shares of 1/n.
// - A newcomer starts once a controller that a quorum confirmed knows no further gateways, and it divides by
//   the largest divisor of the gateways that hold a lease. Where no gateway in contact holds a lease,
//   gateways may be running that the controllers announce but that cannot be reached: the newcomer waits
//   until it is in contact with them, or until they were silent for kUnknownPeerTimeout.
// - When a gateway is no longer counted, its divisor may show that it knew of more gateways than this one.
//   The difference stays counted as peers without an address, and is dropped on the same terms.
//
// Limitation: in a cluster too large to contact each member, contact is estimated from samples, and the
// estimate may drop to zero for a moment. There, newcomers that know too few gateways reserve nothing beyond
// the divisors that others announce, and the peers without an address are limited to a number that the
// gateways in contact can drop. Otherwise a restart of all gateways doubles the divisors again and again
// (incident quotas-after-a-mass-restart). The cost: where more than half of the gateways are lost at once,
// never return and announced no departure, the others keep only the shares that they had until they are
// restarted themselves.
//
// Limitation: the invariant may fail for gateways that are in contact with each other but with no quorum of
// controllers for longer than kUnknownPeerTimeout, if no gateway that was ever in contact with them is left
// on the side of the quorum.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cluster/membership/membership.h"
#include "cluster/quota/quota_balancer.h"

namespace shaletray::gateway {

constexpr Duration kLeaseDuration = std::chrono::seconds(10);
// Twice kLeaseDuration, since messages may be delayed and clocks drift.
constexpr Duration kDropTimeout = std::chrono::seconds(20);
// Less than the time for which the membership keeps members from which nothing is received.
constexpr Duration kUnknownPeerTimeout = std::chrono::seconds(150);

// Not thread-safe. The times passed to update() must never decrease.
class QuotaLease {
public:
    explicit QuotaLease(std::string self) : self_(std::move(self)) {}

    // Recomputes the peers and the lease, and returns what the quota balancer needs. Must be called a few
    // times a second. `confirmed_controllers`: the controllers that a quorum confirmed in the last seconds.
    quota::PeerSet update(const membership::Membership& cluster,
                          const std::vector<std::string>& confirmed_controllers, TimePoint now);
    // The divisor that the membership announces for this gateway: the number of gateways as far as it knows
    // itself; 0 without a lease. In a large cluster changes are announced at intervals, since each change is
    // sent to all members.
    std::uint32_t quota_divisor() const { return announced_divisor_; }
    // Number of gateways that may be running, including this one.
    std::uint32_t possible_gateway_count() const {
        return static_cast<std::uint32_t>(peers_.size() + 1 + unknown_peers_);
    }
    // Ends the lease, since this gateway continues as a later incarnation.
    void release() {
        held_ = membership_agreed_ = ever_held_ = false;
        announced_divisor_ = 0;
    }

private:
    // Another gateway that may be running.
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint32_t quota_divisor = 0;    // as announced by the peer; 0: it has no lease
        TimePoint discovered_at{};          // when its address became known
        TimePoint last_alive_at{};          // when it was last known to be running
        TimePoint droppable_since{};        // since when it may be dropped; zero: it may not
        bool in_contact = false;
        bool indirect_only = true;    // this incarnation never received a message from it
        bool dead = false;            // according to the failure detector
    };
    std::vector<std::string> addresses_of_possible_gateways(const std::vector<std::string>& ring) const;
    void update_peers(const membership::Membership& cluster, TimePoint now);
    void retain_unknown_peers(const Peer& peer);
    // The value of divisor_ at a moment.
    struct DivisorRecord {
        TimePoint recorded_at{};
        std::uint32_t divisor = 0;
    };
    struct ContactHistory;
    void reset_drop_timers_after_gap(TimePoint now);
    bool is_quorum_in_contact(const membership::Membership& cluster,
                              const std::vector<std::string>& confirmed_controllers, TimePoint now);
    void remember_divisor(TimePoint now);
    void renew(const membership::Membership& cluster, bool quorum, TimePoint now);
    void update_peer(Peer& peer, const membership::Member& member);
    void update_announcement(TimePoint now);
    bool all_in_contact() const;
    void drop_silent_peers(bool quorum, TimePoint now);
    bool may_drop(const Peer& peer, const ContactHistory& history, bool quorum, TimePoint now) const;
    void raise_divisor_for(const Peer& peer, const ContactHistory& history);
    void drop_unknown_peers(std::size_t contacts, bool quorum, TimePoint now);
    std::size_t contact_count() const;
    bool is_counted(const membership::Membership& cluster, std::size_t contacts) const;
    bool may_start(TimePoint now);

    std::string self_;
    std::map<std::string, Peer> peers_;            // by internal address
    std::size_t unknown_peers_ = 0;                // that other gateways knew, without an address
    TimePoint unknown_droppable_since_{};          // since when these may be dropped; zero: they may not
    std::deque<DivisorRecord> recent_divisors_;    // during the last kPropagationTime
    TimePoint last_update_{};
    TimePoint last_renewal_{};
    TimePoint reconnected_at_{};          // start of the current connection; zero: not connected
    bool contact_sampled_ = false;        // contact is estimated from samples, in a large cluster
    bool majority_in_contact_ = false;    // with more than half of the gateways
    bool membership_agreed_ = false;      // a confirmed controller has once agreed on the members
    bool ever_held_ = false;              // this incarnation has had a lease
    bool held_ = false;
    std::uint32_t divisor_ = 1;    // as far as this gateway knows itself
    std::uint32_t announced_divisor_ = 0;
    TimePoint announced_at_{};    // last change of announced_divisor_
};

}    // namespace shaletray::gateway
