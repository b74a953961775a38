// Departures that wait for the confirmation of a majority.
#include "controller/departure_barrier.h"

#include <criterion/criterion.h>

#include <string>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::DepartureBarrier;

Test(departure_barrier, completes_each_departure_once_by_confirmation_or_timeout) {
    const TimePoint start = TimePoint{} + 100s;
    DepartureBarrier barrier;
    std::string log;
    const auto wait = [&](std::uint64_t sequence, TimePoint now, const char* name) {
        barrier.wait(sequence, now, [&log, name](DepartureBarrier::Result result) {
            log += std::string(name) + (result == DepartureBarrier::Result::Confirmed ? "+" : "-");
        });
    };
    cr_assert(barrier.next_deadline() == TimePoint::max());
    wait(5, start, "a");
    wait(7, start + 100ms, "b");
    wait(6, start + 200ms, "c");
    barrier.on_majority_acknowledged(4);
    cr_assert(log.empty() && barrier.next_deadline() == start + DepartureBarrier::kTimeout);
    barrier.on_majority_acknowledged(6);
    cr_assert(log == "a+c+", "%s", log.c_str());
    barrier.expire(start + 899ms);
    cr_assert(log == "a+c+");
    barrier.expire(start + 900ms);
    cr_assert(log == "a+c+b-" && barrier.empty());
    wait(9, start + 1s, "d");
    barrier.reset();
    cr_assert(log == "a+c+b-d-", "%s", log.c_str());
}
