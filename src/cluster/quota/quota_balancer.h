// Enforces tenants' quotas over all gateways together. A tenant's units are held by the members of its
// gateway set, each of which has a token bucket. A member refills its bucket by its share of the rate, and
// balances it with neighbouring members by messages that move half of a difference. A gateway outside of the
// set requests the units that it needs from members. Pure: the caller passes the time and sends the messages.
//
// The sum over all gateways stays within the quota when gateways join, stop, restart or are partitioned (the
// argument is in tenant_bucket.h):
// - A member's share is the rate divided by the size of the set, or by PeerSet::divisor where that is
//   smaller. The caller sets the divisor to the largest number of gateways that any known gateway divides by.
//   A gateway that knows fewer gateways refills proportionally less.
// - An incarnation starts with empty buckets and refills only while its lease is confirmed. A gateway outside
//   of a set needs no lease: units that members have transferred to it count as theirs until they expire.
// - What a tenant refills depends only on the time for which the lease was confirmed, whether its bucket
//   exists or not: a bucket that is created for the first time, or again after it was erased when full, holds
//   as much as if it had always existed. The same applies to a tenant that a later configuration adds: no
//   other gateway counts on this one's share of it, and all grants of an earlier incarnation of this gateway
//   were made before this one started. A tenant that was removed and is added again, or that had no limit,
//   starts with nothing.
// - At PeerSet::refill_until all buckets are emptied, as from some time on the other gateways count on this
//   share. When the lease is confirmed again, the buckets refill from empty.
// - Transferred units are removed from the bucket before they are sent, and added at the receiver at most
//   once.
// - A lower limit takes effect at once, a higher one by refill. A larger divisor cuts the buckets at once,
//   with a smaller one they refill to a higher level.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::quota {

// The quota of one tenant, as configured.
struct Quota {
    double rate = 0.0;     // units per second; 0: no limit
    double burst = 0.0;    // units on top of the rate in any window
    bool operator==(const Quota&) const = default;
};

// The other gateways as known to this one, from the membership.
struct PeerSet {
    // Internal addresses of all gateways that are not dead, including this one, sorted.
    std::vector<std::string> ring;
    // The number of gateways to divide by, at least ring.size(). 0: the lease is not confirmed, no refill.
    std::uint32_t divisor = 0;
    // Refill ends at this time, unless the lease is renewed.
    TimePoint refill_until{};
    // Internal addresses of all gateways that may refill, including this one, sorted: those of the ring, and
    // unresponsive ones whose lease may not have expired. Empty: the same as the ring.
    std::vector<std::string> sharers{};
};

struct Settings {
    std::string self;                 // internal address of this gateway
    std::uint64_t incarnation = 0;    // increases with each start of this gateway
    std::uint64_t seed = 0;           // of the random number generator
    // Grants in any window may exceed the quota by the permitted overshoot. The balancer uses at most half of
    // it.
    Duration window = std::chrono::seconds(5);
    double overshoot = 0.1;    // part of the permitted overshoot, as a fraction of the quota
    double slack = 20.0;       // part of the permitted overshoot, in units
    // Minimum interval between two routine messages to a neighbour.
    Duration message_interval = std::chrono::milliseconds(250);
    // Minimum interval where a request is waiting for units.
    Duration urgent_interval = std::chrono::milliseconds(20);
};

enum class AdmissionDecision {
    Granted,
    Queued,    // units may arrive in time, so the request may wait
    Rejected,
};

// What the caller has to do after a call.
struct Actions {
    struct Send {
        std::string to;
        std::string bytes;
    };
    std::vector<Send> sends;
    // Tenants for which units arrived: the caller retries request_unit() for their queued requests.
    std::vector<std::string> replenished_tenants;
};

// Totals since the start of the incarnation, except for `buckets`.
struct Statistics {
    std::uint64_t granted = 0;    // by request_unit(), as the next two
    std::uint64_t queued = 0;
    std::uint64_t rejected = 0;
    std::uint64_t rejected_without_lease = 0;    // part of `rejected`: the lease was not confirmed
    std::uint64_t sent = 0;                      // messages
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    // Messages that were malformed, out of order or from an unacceptable sender, and entries of unknown
    // tenants.
    std::uint64_t ignored = 0;
    std::uint64_t expired_transfers = 0;    // rejected: too old, or for another incarnation
    double units_sent = 0.0;
    double units_received = 0.0;
    std::size_t buckets = 0;    // current number
};

// See the top of this file. Not thread-safe. No method throws, except std::bad_alloc.
class QuotaBalancer {
public:
    QuotaBalancer(Settings settings, TimePoint now);
    QuotaBalancer(const QuotaBalancer&);    // for tests that explore different orders of events
    QuotaBalancer(QuotaBalancer&&) noexcept;
    QuotaBalancer& operator=(QuotaBalancer&&) noexcept;
    ~QuotaBalancer();

    // Replaces the configuration: the quotas of all tenants by name.
    void set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now);
    void set_peers(PeerSet peer_set, TimePoint now);

    // Takes one unit for a request of this tenant. Returns Queued where units may arrive within `max_wait`;
    // see Actions::replenished_tenants. Sets `retry_after` unless the unit is granted. A tenant that is not
    // configured has no limit. Before a queued request is retried, the caller subtracts it by
    // adjust_queued(). After this call, next_deadline() may be due at once.
    AdmissionDecision request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                   Duration& retry_after);
    // Adds `change` to the number of the tenant's requests that are queued at this gateway.
    void adjust_queued(const std::string& tenant, int change);
    // Puts back the unit of a request that was not executed.
    void return_unit(const std::string& tenant, TimePoint now);
    void on_message(const std::string& from, std::string_view bytes, TimePoint now, Actions& actions);
    // Has to be called at next_deadline(); may be called more often.
    void tick(TimePoint now, Actions& actions);
    // Returns when to call tick(), or TimePoint::max() where nothing is due until another call.
    TimePoint next_deadline() const;
    // Returns the units that could be granted now.
    double available_units(const std::string& tenant, TimePoint now) const;
    // The same for all tenants with recent requests at this gateway.
    std::map<std::string, double> available_units_by_tenant(TimePoint now) const;
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::quota
