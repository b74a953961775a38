// One tenant's free units at this pilot, and this pilot's right to refill over time. Pure.
//
// Why the sum holds. Let B = burst + half of what the rule allows on top, and let every pilot that may refill
// divide by at least the number n of such pilots. Each store keeps
//     level + held <= B / divisor                                                                     (1)
// where `held` is what it gave away within the last kHold. A gift is taken only while it is younger than
// kGiftAge < kHold. Of what comes, the part that fits under (1) joins the level; the rest is `passing`, which
// ends when the giver stops holding its place free. So at any moment all that can be granted anywhere without
// further refill is covered by some store's (1), and sums up to at most B, in flight or not. What is refilled
// in a time t sums up to at most rate x t. So in any window all grants are at most B + rate x window, and
// the rule's bound is above that by the other half of what it allows on top: that is for requests that were
// sent before the window in which they are granted, or wait in a frozen process.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/common/clock.h"

namespace shaletray::quota {

struct Quota;

constexpr Duration kMaxTransferAge = std::chrono::milliseconds(200);
constexpr Duration kReservationTime = std::chrono::milliseconds(300);
constexpr Duration kReservationStep = std::chrono::milliseconds(75);
constexpr int kReservationSteps = 5;    // the steps in which kHold may end, and the one that is running

// The integral of 1/divisor over the time in which this life may refill.
class RefillClock {
public:
    explicit RefillClock(TimePoint start) : current_time_(start) {}
    void advance(TimePoint now);
    void set_divisor(std::uint32_t divisor, TimePoint deadline, TimePoint now);    // 0: stands still
    bool is_running(TimePoint now) const { return divisor_ > 0 && now < refill_until_; }
    double integral() const { return integral_; }
    double integral_at(TimePoint time) const;    // t: up to now, since the divisor was last changed
    double share() const { return share_; }      // 1/divisor, as last known; 0: never known
    TimePoint refill_until() const { return refill_until_; }
    TimePoint current_time() const { return current_time_; }

private:
    double integral_ = 0.0, share_ = 0.0;
    std::uint32_t divisor_ = 0;
    TimePoint current_time_{}, refill_until_{};
};

constexpr int kNearNeighbours = 3, kFarNeighbours = 3;    // neighbours on each side
constexpr int kMaxNeighbours = 2 * (kNearNeighbours + kFarNeighbours);

// What is known between this pilot and a neighbour of one tenant.
struct NeighbourState {
    TimePoint announced_at{}, reported_at{}, requested_at{};
    float announced_units = 0.0F,
          reported_units = 0.0F;    // free amounts: ours as it knows it, its as we know it
    float announced_max_transfer = 0.0F;
    float max_transfer = 0.0F;           // the most that we may still give
    float pending_request = 0.0F;        // to be asked for with the next message,
    float outstanding_request = 0.0F;    // and with the last one that was not answered yet
    bool announced = false, reported = false, announced_pressure = false, under_pressure = false;
};

struct TenantBucket {
    std::uint64_t id = 0;
    std::string name;                          // empty until a request of it came here
    double rate = 0.0, full_capacity = 0.0;    // size: B above
    double level = 0.0, capacity_share = 0.0, refilled_until = 0.0;    // at: of the flow
    double expiring_units = 0.0;
    TimePoint expiring_until{};
    std::array<float, kReservationSteps> transferred{};
    std::int64_t newest_step = 0;    // of the newest of them
    int queued = 0;
    double demand = 0.0;                            // requests in the last second, about
    bool in_use = false, update_pending = false;    // listed: something may have to be said of it
    TimePoint last_used{}, last_shortage{}, next_retry_slot{}, last_wakeup{}, next_plan{};
    std::array<NeighbourState, kMaxNeighbours> neighbours{};

    void advance_to(const RefillClock& clock);
    double reserved_units() const;
    double total_units() const { return level + expiring_units; }
    double available_units() const { return level + expiring_units - queued; }
    bool consume_unit();    // one unit
    void transfer_out(double amount, TimePoint now);
    void transfer_in(double amount, TimePoint expires_at);
    void clear();    // nothing is here any more, and nothing may come back
    bool under_pressure(TimePoint now) const;

private:
    void refill_to(double integral);
};

}    // namespace shaletray::quota
