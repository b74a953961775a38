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

constexpr Duration kGiftAge = std::chrono::milliseconds(200);
constexpr Duration kHold = std::chrono::milliseconds(300);
constexpr Duration kHoldStep = std::chrono::milliseconds(75);
constexpr int kHoldSteps = 5;    // the steps in which kHold may end, and the one that is running

// The integral of 1/divisor over the time in which this life may refill.
class Flow {
public:
    explicit Flow(TimePoint begin) : now_(begin) {}
    void advance(TimePoint now);
    void set(std::uint32_t divisor, TimePoint until, TimePoint now);    // 0: stands still
    bool flows(TimePoint now) const { return divisor_ > 0 && now < until_; }
    double sum() const { return sum_; }
    double sum_at(TimePoint t) const;        // t: up to now, since the divisor was last changed
    double part() const { return part_; }    // 1/divisor, as last known; 0: never known
    TimePoint until() const { return until_; }
    TimePoint now() const { return now_; }

private:
    double sum_ = 0.0, part_ = 0.0;
    std::uint32_t divisor_ = 0;
    TimePoint now_{}, until_{};
};

constexpr int kNearest = 3, kFurther = 3;    // neighbours on each side
constexpr int kMostNeighbours = 2 * (kNearest + kFurther);

// What is known between this pilot and a neighbour of one tenant.
struct Towards {
    TimePoint told_at{}, heard_at{}, asked_at{};
    float told = 0.0F, heard = 0.0F;    // free amounts: ours as it knows it, its as we know it
    float told_want = 0.0F;
    float want = 0.0F;     // the most that we may still give
    float ask = 0.0F;      // to be asked for with the next message,
    float asked = 0.0F;    // and with the last one that was not answered yet
    bool knows = false, known = false, told_pressed = false, pressed = false;
};

struct Store {
    std::uint64_t id = 0;
    std::string name;                           // empty until a request of it came here
    double rate = 0.0, size = 0.0;              // size: B above
    double level = 0.0, cap = 0.0, at = 0.0;    // at: of the flow
    double passing = 0.0;
    TimePoint passing_until{};
    std::array<float, kHoldSteps> given{};
    std::int64_t given_step = 0;    // of the newest of them
    int waiting = 0;
    double demand = 0.0;                  // requests in the last second, about
    bool used = false, listed = false;    // listed: something may have to be said of it
    TimePoint touched{}, short_at{}, slot{}, woken_at{}, plan_at{};
    std::array<Towards, kMostNeighbours> near{};

    void settle(const Flow& flow);
    double held() const;
    double units() const { return level + passing; }
    double free() const { return level + passing - waiting; }
    bool take();    // one unit
    void give(double amount, TimePoint now);
    void receive(double amount, TimePoint ends);
    void drain();    // nothing is here any more, and nothing may come back
    bool pressed(TimePoint now) const;

private:
    void refill(double sum);
};

}    // namespace shaletray::quota
