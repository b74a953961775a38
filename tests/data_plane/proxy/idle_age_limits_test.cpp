// How long connections may be idle before reuse, as learned from the results of earlier reuse.
#include "data_plane/proxy/idle_age_limits.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace std::chrono_literals;
using Repetition = IdleAgeLimits::Repetition;

namespace {

const TimePoint kStart = TimePoint{} + 100s;
constexpr decision::HostId kHost{1}, kOtherHost{2};

}    // namespace

Test(idle_age_limits, non_repeatable_request_needs_an_idle_age_of_successful_reuse) {
    IdleAgeLimits limits;
    cr_assert(!limits.may_carry(50ms, Repetition::Forbidden, false, kStart));
    cr_assert(limits.may_carry(4s, Repetition::Allowed, false, kStart),
              "a repeatable request can be sent again");
    cr_assert(limits.may_carry(2s, Repetition::Forbidden, true, kStart),
              "the server has stated a longer timeout");
    limits.record_reuse(800ms, kStart);
    cr_assert(limits.may_carry(800ms, Repetition::Forbidden, false, kStart + 1s));
    cr_assert(!limits.may_carry(801ms, Repetition::Forbidden, false, kStart + 1s));
    cr_assert(!limits.may_carry(800ms, Repetition::Forbidden, false, kStart + 25s),
              "the evidence has expired");
}

Test(idle_age_limits, reset_by_a_running_host_lowers_the_limit_for_all_requests) {
    IdleAgeLimits limits;
    limits.record_reuse(3s, kStart);
    limits.record_reset(kHost, 320ms, kStart);
    cr_assert(limits.may_carry(2s, Repetition::Forbidden, true, kStart), "the host may have crashed");
    limits.record_new_connection(kOtherHost, kStart + 10ms);
    cr_assert(limits.may_carry(2s, Repetition::Forbidden, true, kStart + 10ms));
    limits.record_new_connection(kHost, kStart + 20ms);
    for (const Repetition repetition : {Repetition::Allowed, Repetition::Forbidden}) {
        cr_assert(!limits.may_carry(300ms, repetition, true, kStart + 20ms));
        cr_assert(limits.may_carry(200ms, repetition, true, kStart + 20ms));
    }
    cr_assert(limits.may_carry(2s, Repetition::Allowed, true, kStart + 40s), "the evidence has expired");
}

Test(idle_age_limits, late_response_of_the_host_does_not_confirm_a_reset) {
    IdleAgeLimits limits;
    limits.record_reset(kHost, 320ms, kStart);
    limits.record_new_connection(kHost, kStart + 5s);
    cr_assert(limits.may_carry(2s, Repetition::Allowed, true, kStart + 5s),
              "the host may have been restarted");
}
