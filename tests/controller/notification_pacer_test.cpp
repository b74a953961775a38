// Rounds of changes to different numbers of recipients.
#include "controller/notification_pacer.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::NotificationPacer;

// Changes come every millisecond, as when all servers of a fleet start at once.
Test(notification_pacer, bounds_the_message_rate_and_the_delay_of_changes) {
    for (const std::size_t recipients : {1U, 10U, 100U, 300U, 900U}) {
        NotificationPacer pacer{NotificationPacer::Settings{}};
        const TimePoint start = TimePoint{} + 100s;
        std::size_t messages = 0;
        TimePoint last_round = start;
        for (TimePoint now = start; now < start + 10s; now += 1ms) {
            if (!pacer.is_due(now)) continue;
            cr_assert(now - last_round <= 301ms, "rounds to %zu recipients are too far apart", recipients);
            last_round = now;
            pacer.record_round(recipients, now);
            messages += recipients;
        }
        cr_assert(messages <= std::max<std::size_t>(recipients * 34, 10'000),
                  "%zu messages to %zu recipients", messages, recipients);
    }
}

Test(notification_pacer, sends_the_first_change_after_an_idle_period_at_once) {
    NotificationPacer pacer{NotificationPacer::Settings{}};
    const TimePoint start = TimePoint{} + 100s;
    cr_assert(pacer.is_due(start));
    pacer.record_round(300, start);
    cr_assert(!pacer.is_due(start + 100ms) && pacer.next_round() == start + 300ms);
    cr_assert(pacer.is_due(start + 1s));
}
