// Tests of the distribution of requests over keys: sampling in gateways, decaying counts in controllers, and
// the weights of key ranges in plans.
#include <criterion/criterion.h>

#include <cmath>

#include "cluster/ownership/key_load_table.h"
#include "cluster/ownership/key_sampler.h"
#include "cluster/ownership/load_profile.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart = TimePoint{} + 100s;
const KeyRange kAllKeys{0, 65535};

bool near(double value, double expected) { return std::abs(value - expected) < 0.01 * kKeyCount; }

}    // namespace

Test(key_sampler, keeps_a_uniform_sample_and_counts_all_requests) {
    KeySampler sampler(1, 50);
    for (int i = 0; i < 1000; ++i) sampler.record("saves", static_cast<Key>(i));
    sampler.record("items", 7);
    const std::vector<KeySamples> samples = sampler.take();
    cr_assert(samples.size() == 2 && samples[0] == (KeySamples{"items", {7}, 1}));
    cr_assert(samples[1].keys.size() == 50 && samples[1].arrivals == 1000);
    const auto from_second_half =
        std::count_if(samples[1].keys.begin(), samples[1].keys.end(), [](Key key) { return key >= 500; });
    cr_assert(from_second_half > 10 && from_second_half < 40, "%ld of 50 samples are from the second half",
              static_cast<long>(from_second_half));
    cr_assert(sampler.take().empty());
}

Test(load_profile, weighs_by_number_of_keys_without_requests) {
    const LoadProfile profile;
    cr_assert(near(profile.weight({0, 16383}), 0.25 * kKeyCount));
    cr_assert(profile.longest_prefix({100, 199}, 30) == 30 &&
              profile.longest_suffix({100, 199}, 1000) == 100);
    cr_assert(!profile.exceeds(kKeyCount, 1), "without load data");
}

Test(load_profile, weighs_mostly_by_requests) {
    const LoadProfile profile(std::map<Key, double>{{10, 600}, {20, 300}, {65535, 100}});
    cr_assert(near(profile.weight(kAllKeys), kKeyCount));
    cr_assert(near(profile.weight({10, 10}), 0.9 * 0.6 * kKeyCount));
    cr_assert(near(profile.weight({11, 65534}), (0.9 * 0.3 + 0.1) * kKeyCount));
    cr_assert(profile.longest_prefix({0, 100}, 0.1 * kKeyCount) == 10, "stops before the busy key");
    cr_assert(profile.longest_suffix({0, 100}, 0.5 * kKeyCount) == 90, "includes one of two busy keys");
}

Test(load_profile, tolerates_sampling_error_of_few_requests) {
    const LoadProfile few(std::map<Key, double>{{1, 10}, {2, 10}}),
        many(std::map<Key, double>{{1, 1000}, {2, 1000}});
    const double share = kKeyCount / 10.0;
    cr_assert(!few.exceeds(1.4 * share, 1.25 * share) && many.exceeds(1.4 * share, 1.25 * share));
    cr_assert(few.exceeds(3 * share, 1.25 * share));
}

Test(key_load_table, scales_samples_and_decays_old_requests) {
    KeyLoadTable table;
    table.set_services({"saves"});
    table.add({"saves", {1, 2}, 2000}, kStart);
    cr_assert(near(table.profile("saves", 2, kStart).weight({1, 1}), 0.45 * kKeyCount));
    table.add({"saves", {2, 2}, 200}, kStart);
    const LoadProfile later = table.profile("saves", 2, kStart + KeyLoadTable::kDecayTimeConstant);
    cr_assert(std::abs(later.request_count() - 2200 / std::exp(1.0)) < 10, "%f", later.request_count());
    for (int second = 21; second < 600; ++second) table.profile("saves", 2, kStart + second * 1s);
    cr_assert(table.is_current("saves", kStart + 2s) && !table.is_current("saves", kStart + 600s));
    cr_assert(table.profile("saves", 2, kStart + 600s).request_count() >= 8,
              "the last counts are kept when requests stop");
}

Test(key_load_table, ignores_implausible_samples_and_too_few_requests) {
    KeyLoadTable table;
    table.set_services({"saves"});
    table.add({"saves", {1, 2, 3}, 3}, kStart);
    cr_assert(table.profile("saves", 1, kStart).request_count() == 0, "fewer requests than a profile needs");
    table.add({"saves", {4, 4, 4}, 1}, kStart);       // more samples than requests
    table.add({"saves", {4}, 4000000000}, kStart);    // more than a gateway can receive
    table.add({"saves", {}, 50}, kStart);
    table.add({"unknown", {4, 4, 4, 4, 4, 4}, 6}, kStart);
    cr_assert(table.profile("saves", 1, kStart).request_count() == 0);
    cr_assert(table.profile("unknown", 1, kStart).request_count() == 0);
    table.add({"saves", {1}, 1}, kStart);
    cr_assert(table.profile("saves", 1, kStart).request_count() == 4);
    table.set_services({});
    cr_assert(table.profile("saves", 1, kStart).request_count() == 0, "the service was removed");
}
