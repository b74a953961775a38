// Quotas over all gateways. Each tenant has a gateway set, in which its units are held: a token bucket at
// each member, refilled by the member's share of the rate, and balanced with neighbouring members by messages
// that move half of a difference. A gateway outside of the set asks members for the units that its requests
// need. Pure: the caller hands in the time and sends the messages.
//
// The sum over all gateways stays within the quota whatever joins, ends, is partitioned or restarts (the
// argument is in tenant_bucket.h):
// - A share is the rate divided by the size of the set, or by PeerSet::divisor where that is smaller. The
// caller
//   takes as the divisor the largest number of gateways that any known gateway divides by. Who knows fewer
//   gateways refills less, in proportion.
// - An incarnation starts with empty buckets and refills only while its lease is confirmed. Outside of a set
// no
//   lease is needed: what members have moved here is theirs until it ends. What a tenant
//   refills depends on that time alone, whether its bucket exists or not: one that is created for the first
//   time, or again after it was erased when full, has as much as if it had always existed. So has a tenant
//   that comes with a later configuration: no other gateway counts on this one's share of it, and what an
//   earlier incarnation here granted was granted before this one started. A tenant that was removed and comes
//   back, or had no limit, starts with nothing.
// - At PeerSet::refill_until all buckets are emptied: from some time on the others count on this share. When
//   the lease is confirmed again, they refill from there.
// - Transferred units are taken from the bucket before they are sent, and added at the receiver once at most.
// - A lower limit takes effect at once, a higher one by refill. A larger divisor cuts the buckets at once, a
//   smaller one lets them refill to more.
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

// What this gateway knows of the others; comes from the membership.
struct PeerSet {
    // Internal addresses of all gateways that are not dead, this one included, sorted.
    std::vector<std::string> ring;
    // The number of gateways to divide by, at least ring.size(). 0: no lease is confirmed, no refill.
    std::uint32_t divisor = 0;
    // No refill after this moment, unless the lease is renewed.
    TimePoint refill_until{};
    // Internal addresses of all gateways that may refill, this one included, sorted: those of the ring, and
    // silent ones whose lease may not have ended. Empty: the same as the ring.
    std::vector<std::string> sharers{};
};

struct Settings {
    std::string self;                 // internal address of this gateway
    std::uint64_t incarnation = 0;    // rises with each start of this gateway
    std::uint64_t seed = 0;           // of the random draws
    // The bound on grants in any window is the quota and this much on top; half of that is used at most.
    Duration window = std::chrono::seconds(5);
    double overshoot = 0.1;    // fraction of the quota
    double slack = 20.0;       // units
    // A neighbour gets at most one message in this time,
    Duration message_interval = std::chrono::milliseconds(250);
    // or in this one, where a request waits for units.
    Duration urgent_interval = std::chrono::milliseconds(20);
};

enum class AdmissionDecision {
    Granted,
    Queued,    // units may arrive in time: the request may wait for them
    Rejected,
};

// What the caller has to do.
struct Actions {
    struct Send {
        std::string to;
        std::string bytes;
    };
    std::vector<Send> sends;
    // Tenants for which units arrived: their queued requests call request_unit() again.
    std::vector<std::string> replenished_tenants;
};

// Totals since the start of the incarnation, except for `buckets`.
struct Statistics {
    std::uint64_t granted = 0;    // decisions of request_unit()
    std::uint64_t queued = 0;
    std::uint64_t rejected = 0;
    std::uint64_t rejected_without_lease = 0;    // of these, while no refill was permitted
    std::uint64_t sent = 0;                      // messages
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    // Messages that were malformed, out of order or of no neighbour, and entries of unknown tenants.
    std::uint64_t ignored = 0;
    std::uint64_t expired_transfers = 0;    // not accepted: too old, or for another incarnation
    double units_sent = 0.0;
    double units_received = 0.0;
    std::size_t buckets = 0;    // that exist now
};

// Not thread-safe. No method throws, except for lack of memory.
class QuotaBalancer {
public:
    QuotaBalancer(Settings settings, TimePoint now);
    QuotaBalancer(const QuotaBalancer&);    // for tests that explore the orders of events
    QuotaBalancer(QuotaBalancer&&) noexcept;
    QuotaBalancer& operator=(QuotaBalancer&&) noexcept;
    ~QuotaBalancer();

    // A new configuration: the quotas of all tenants by name.
    void set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now);
    void set_peers(PeerSet peer_set, TimePoint now);

    // Requests one unit for a request of this tenant. Queued: units may arrive within `max_wait`; see
    // Actions::replenished_tenants. `retry_after` is set unless the unit is granted. A tenant that is not
    // configured has no limit. A queued request that tries again is taken out of adjust_queued() before.
    // next_deadline() may be due at once after this call.
    AdmissionDecision request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                   Duration& retry_after);
    // Adds `change` to the number of the tenant's requests that are queued here.
    void adjust_queued(const std::string& tenant, int change);
    // Returns the unit of a request that never ran.
    void return_unit(const std::string& tenant, TimePoint now);
    void on_message(const std::string& from, std::string_view bytes, TimePoint now, Actions& actions);
    // To be called at next_deadline(); calling it more often does no harm.
    void tick(TimePoint now, Actions& actions);
    // TimePoint::max(): nothing to do until another call.
    TimePoint next_deadline() const;
    // Units that could be granted now.
    double available_units(const std::string& tenant, TimePoint now) const;
    // The same for all tenants of which requests came to this gateway of late.
    std::map<std::string, double> available_units_by_tenant(TimePoint now) const;
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::quota
