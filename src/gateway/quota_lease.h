// A pilot's lease on its part of the quotas: by how many it divides them, and until when it may refill. Pure.
//
// Invariant: the parts 1/divisor of all pilots that may refill at any moment sum up to at most one. It holds
// because each of them divides by all others that may, or leaves room for them:
// - Whoever was ever met counts until it said goodbye or came back as a later incarnation. Silence alone
//   takes nobody out; the failure detector's Gone doesn't either.
// - A lease ends kLease after this pilot last was in touch, both ways, with a lighthouse whose word a
//   quorum of lighthouses bore out, or with more than half of the pilots. It begins, or begins again, when
//   those in touch that hold one count this pilot.
// - A pilot that was unheard for kDropAfter is no longer counted if, all that time, this one was in touch
//   with the quorum of lighthouses and with at least half of the pilots. Half of which ones: of those that
//   were known when the unheard one was last heard, for newcomers since then are unknown to it. More than
//   half and at least half of the same ones meet in one pilot, two quorums of lighthouses in a lighthouse,
//   and that one hands on the beats of both: so who could be dropped has no lease any more.
// - Until then newcomers share the part of those that they are in touch with: n that were known, a of them
//   in touch and k newcomers divide by n (a + k) / a, and leave the unheard their n - a parts.
// - A newcomer begins when a lighthouse that a quorum bore out knows no others, and by the figures of
//   those that hold a lease. Where nobody in touch does, those may run that its lighthouses tell of and
//   nobody hears: it waits until it hears them, or they were unheard for kUnknown.
// - What a pilot that is counted no longer knew of others and this one doesn't, by its figure, stays counted
//   without a name, on the same terms.
// Limit: where members are too many to meet each, touch is a sample that may fall to nothing for a moment.
// There newcomers that know too little leave no room beyond the figures of others, and the nameless stay so
// few that those in touch can drop them: else a mass restart doubles the divisors again and again (the
// incident quotas-after-a-mass-restart). Price: where more than half of the pilots are lost at once, never
// come back and said no goodbye, the others share what was their part until they were restarted themselves.
// Limit: pilots that hear each other but no quorum of lighthouses for over kUnknown, while on the quorum's
// side no pilot is left that ever met them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership/membership.h"
#include "cluster/quota/quota_balancer.h"

namespace shaletray::gateway {

constexpr Duration kLeaseDuration = std::chrono::seconds(10);
constexpr Duration kDropTimeout = std::chrono::seconds(20);    // twice the lease: late proofs of touch, drift
constexpr Duration kUnknownPeerTimeout =
    std::chrono::seconds(150);    // less than what convoy keeps of the unheard

class QuotaLease {
public:
    explicit QuotaLease(std::string self) : self_(std::move(self)) {}

    // To be called a few times a second. `confirmed`: the lighthouses that a quorum bore out, by their word
    // of the last seconds.
    quota::PeerSet update(const membership::Membership& cluster,
                          const std::vector<std::string>& confirmed_controllers, TimePoint now);
    // For Convoy::counts: how many pilots this one divides by of its own knowledge; 0: it has no lease.
    std::uint32_t quota_divisor() const { return held_ ? divisor_ : 0; }
    // How many pilots may run, this one included.
    std::uint32_t possible_gateway_count() const {
        return static_cast<std::uint32_t>(peers_.size() + 1 + unknown_peers_);
    }
    // A later life of this pilot begins without a lease.
    void release() { held_ = membership_agreed_ = ever_held_ = false; }

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint32_t quota_divisor = 0;    // by its own word
        TimePoint discovered_at{},
            last_heard{};             // since when its address is known; when it was last heard of
        TimePoint unheard_since{};    // since when it may be dropped; zero: it may not
        bool in_contact = false;
        bool indirect_only = true;    // this life never heard of it itself
        bool dead = false;            // for the failure detector
    };
    void update_peers(const membership::Membership& cluster, TimePoint now);
    void retain_unknown_peers(const Peer& peer);
    void drop_unheard_peers(bool quorum, TimePoint now);
    bool is_counted(const membership::Membership& cluster, std::size_t contacts) const;
    bool may_start(TimePoint now);

    std::string self_;
    std::map<std::string, Peer> peers_;
    std::size_t unknown_peers_ = 0;
    TimePoint unknown_unheard_since_{};
    std::deque<std::pair<TimePoint, std::uint32_t>> recent_divisors_;    // divisor_, and when
    TimePoint last_update_{}, last_renewal_{}, reconnected_at_{};
    bool contact_sampled_ = false;        // so many that touch is reckoned from samples
    bool majority_in_contact_ = false;    // more than half of the pilots are in touch
    bool membership_agreed_ = false;      // a lighthouse that a quorum bore out knew no others, once
    bool ever_held_ = false;              // it had a lease
    bool held_ = false;
    std::uint32_t divisor_ = 1;    // by this pilot's own knowledge
};

}    // namespace shaletray::gateway
