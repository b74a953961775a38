// The token bucket of one tenant at this gateway. Pure.
//
// Why the sum over all gateways stays within the quota: let B = burst + half of the permitted overshoot. Only
// the members of the tenant's gateway set refill, and their shares sum up to at most one (gateway_sets.h).
// Each bucket maintains
//     level + reserved <= B * share                                                                   (1)
// where `reserved` is the amount that it transferred to others within the last kReservationTime, and the
// share of gateways outside of the set is 0. A gateway that joins the set starts with no units, and one that
// leaves it drops its units. A transfer is accepted only while its age is below kMaxTransferAge <
// kReservationTime. Of the units that arrive, the part that fits under (1) is added to the level. The rest is
// `expiring`: it expires when the sender's reservation ends. So at any time, all units that can be granted
// anywhere without further refill are covered by (1) of some bucket and sum up to at most B, whether they are
// in flight or not. The units refilled in a time t sum up to at most rate * t. So all grants in any window
// sum up to at most B + rate * window. The configured bound is above that by the other half of the permitted
// overshoot, which covers requests that were sent before the window in which they are granted, or that wait
// in a frozen process.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/common/clock.h"
#include "cluster/quota/gateway_sets.h"
#include "cluster/quota/neighbour_state.h"
#include "cluster/quota/refill_clock.h"

namespace shaletray::quota {

// Maximum age of a transfer that is accepted. Has to be below kReservationTime.
constexpr Duration kMaxTransferAge = std::chrono::milliseconds(200);
// How long the sender keeps the capacity of transferred units free.
constexpr Duration kReservationTime = std::chrono::milliseconds(300);
// Reservations are summed up per step of this length, so that a bucket has to store only a few sums.
constexpr Duration kReservationStep = std::chrono::milliseconds(75);
// Number of steps that kReservationTime may touch, including the current one.
constexpr int kReservationSteps = 5;

// One tenant's token bucket and the requests queued for it. Amounts are in units; a request takes one.
// Invariant after advance_to(): level + reserved_units() <= capacity_share.
struct TenantBucket {
    std::uint64_t id = 0;          // tenant_id() of the name
    std::string name;              // empty until this gateway receives a request of this tenant
    double rate = 0.0;             // units per second, for all gateways together
    double full_capacity = 0.0;    // B above, for all gateways together
    SetSizeClass set_size_class = 0;
    bool in_set = false;             // this gateway is in the tenant's set
    double member_capacity = 0.0;    // part of full_capacity that each member of the set may hold
    double capacity_share = 0.0;     // this gateway's part: member_capacity in the set, else 0
    double level = 0.0;              // units that do not expire
    double refilled_until = 0.0;     // the RefillClock's integral at the last refill
    double expiring_units = 0.0;     // received units above the capacity; expire at expiring_until
    TimePoint expiring_until{};
    std::array<float, kReservationSteps> transferred{};    // units sent to others, by time step
    std::int64_t newest_step = 0;                          // latest time step in `transferred`
    int queued = 0;                                        // requests that wait for a unit
    double demand = 0.0;                                   // requests in the last second, estimated
    bool update_pending = false;                           // a change may have to be announced
    TimePoint last_used{};                                 // last request
    TimePoint last_shortage{};                             // last request that found no unit
    TimePoint next_retry_slot{};                           // retry time given to the last rejected request
    TimePoint last_wakeup{};                               // last wakeup of queued requests
    TimePoint next_plan{};                                 // next planning of requests for units
    // Other members of the set. For a member: its neighbours. For a gateway outside of the set: the members
    // that it may ask for units.
    std::array<NeighbourState, kMaxNeighbours> neighbours{};
    std::size_t neighbour_count = 0;

    // Refills the bucket and ends reservations and expiring units, up to the current time of the clock.
    // `clock` has to be the clock of set_size_class.
    void advance_to(const RefillClock& clock);
    // Capacity that is kept free for units recently transferred to others.
    double reserved_units() const;
    double total_units() const { return level + expiring_units; }
    // Units minus the requests queued for them; may be negative.
    double available_units() const { return level + expiring_units - queued; }
    // Whether the bucket holds at least one unit, up to rounding errors.
    bool has_unit() const;
    // Takes one unit, expiring ones first. Returns false where there is none.
    bool consume_unit();
    // Puts back the unit of a request that was not executed, as far as it fits.
    void return_unit();
    // Removes units that are sent to a neighbour and reserves their capacity. advance_to() has to be called
    // before.
    void transfer_out(double amount, TimePoint now);
    // Adds units that a neighbour sent. Those that exceed the capacity expire at `expires_at`.
    void transfer_in(double amount, TimePoint expires_at);
    // Drops all units, but keeps reservations.
    void clear();
    // Makes this gateway a member of the tenant's set, which refills from the time when the clock's integral
    // is `start`.
    void join_set(double start);
    // Ends the membership in the tenant's set, and drops all units.
    void leave_set();
    // Returns null where the peer is not a neighbour.
    NeighbourState* find_neighbour(PeerTable::Index peer);
    // Whether requests are queued, or recently found no unit.
    bool under_pressure(TimePoint now) const;

private:
    void refill_to(double integral);
    void end_reservations(const RefillClock& clock);
    void absorb_expiring_units(TimePoint now);
};

}    // namespace shaletray::quota
