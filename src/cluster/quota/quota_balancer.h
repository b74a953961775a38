// Quotas over all pilots: a store of free units for each tenant, refilled by this pilot's share of the rate,
// and balanced with up to three nearest pilots on each side by messages that move half of a difference. Pure.
//
// The sum over all pilots stays under the quota whatever joins, ends, is cut off or forgets (why: store.h):
// - A share is the rate over peers().divisor, which the caller takes as the largest number of pilots that
//   anybody heard of divides by.
// - A life begins with nothing and refills only while it is confirmed. What a tenant refills goes by that
//   time alone, whether a store is kept or not: one met for the first time, or again after its full store was
//   forgotten, has as much as if its store had always been there. So has a tenant that comes with a later
//   configuration: no other pilot counts on this one's share of it, and what an earlier life here granted
//   was granted before this life's first moment. A tenant that left and comes back, or was without a limit,
//   begins with nothing.
// - At refill_until all stores fall to nothing: from some time on the others count on this share. When it is
//   confirmed again, they refill from there.
// - What is given is taken here before it is sent, and applied once at most.
// - Limits: a lower one takes hold at once, a higher one by refill. A larger divisor cuts the stores at once,
//   a smaller one lets them refill to more.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::quota {

struct Quota {    // of one tenant, as configured; rate 0: no limit
    double rate = 0.0, burst = 0.0;
    bool operator==(const Quota&) const = default;
};
// What this pilot knows of the others: filled from the convoy.
struct PeerSet {
    std::vector<std::string>
        ring;    // internal addresses of all pilots that are not Gone, this one included, sorted
    std::uint32_t divisor = 0;    // pilots to divide by: at least ring.size(); 0: not confirmed, no refill
    TimePoint refill_until{};     // no refill after this: unheard by the others
};
struct Settings {
    std::string self;
    std::uint64_t incarnation = 0, seed = 0;
    Duration window = std::chrono::seconds(5);
    double overshoot = 0.1, slack = 20.0;    // what the rule allows on top; half of it is used at most
    Duration message_interval =
        std::chrono::milliseconds(250);    // a neighbour gets one message in this time at most,
    Duration urgent_interval =
        std::chrono::milliseconds(20);    // or in this, where a request waits for units
};
enum class AdmissionDecision { Granted, Queued, Rejected };
struct Actions {
    struct Send {
        std::string to, bytes;
    };
    std::vector<Send> sends;
    std::vector<std::string>
        replenished_tenants;    // tenants for whom units came in: ask again for those that wait
};
struct Statistics {
    std::uint64_t granted = 0, queued = 0, rejected = 0;     // answers of ask()
    std::uint64_t sent = 0, sent_bytes = 0, received = 0;    // messages
    std::uint64_t ignored = 0;    // messages that were spoilt, old, or of no neighbour; entries of no tenant
    std::uint64_t expired_transfers = 0;    // not taken: too old, or meant for another life
    double units_sent = 0.0, units_received = 0.0,
           units_expired = 0.0;    // units moved; passed: of those taken, ran out unused
    std::size_t buckets = 0;
};

class QuotaBalancer {
public:
    QuotaBalancer(Settings settings, TimePoint now);
    QuotaBalancer(const QuotaBalancer&);    // for tests that explore
    QuotaBalancer(QuotaBalancer&&) noexcept;
    QuotaBalancer& operator=(QuotaBalancer&&) noexcept;
    ~QuotaBalancer();
    void set_quotas(const std::map<std::string, Quota>& quotas_by_tenant,
                    TimePoint now);    // a new configuration
    void set_peers(PeerSet peer_set, TimePoint now);
    // One unit for a request of this tenant. Wait: units may come in within `patience` (see woken); Refused
    // otherwise. `retry_after` is set where it is not Granted. A tenant that is not configured has no limit.
    // A request that waited and asks again is taken out of waits() before. next() may be due at once after
    // it.
    AdmissionDecision request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                   Duration& retry_after);
    void adjust_queued(const std::string& tenant, int change);     // +1, -1: how many wait here now
    void return_unit(const std::string& tenant, TimePoint now);    // its request never ran
    void on_message(const std::string& from, std::string_view bytes, TimePoint now, Actions& actions);
    void tick(TimePoint now, Actions& actions);
    TimePoint next_deadline() const;    // TimePoint::max(): nothing to do
    double available_units(const std::string& tenant,
                           TimePoint now) const;    // units that could be granted now
    Statistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::quota
