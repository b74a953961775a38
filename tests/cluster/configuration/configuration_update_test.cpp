// Tests of complete updates and deltas: round trips, malformed input and compatibility of versions.
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>
#include <kj/io.h>

#include <algorithm>

#include "base/runtime/capnp_codec.h"
#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/next_configuration.capnp.h"
#include "cluster/configuration/random_configurations.h"

namespace shaletray::configuration {
namespace {

Test(configuration_update, converts_any_configuration_into_any_other) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomSource random(seed);
        const Configuration from = random.one_in(10) ? Configuration{} : random_configuration(random, 20);
        const Configuration to =
            random.one_in(4) ? random_configuration(random, 20) : random_change(random, from, 20);
        const std::string full = write_full(to), delta = write_delta(from, to);
        cr_assert(apply_update(from, full).value() == to, "seed %lu", seed);
        cr_assert(apply_update(from, delta).value() == to, "seed %lu", seed);
        cr_assert(apply_update(from, write_delta(from, from)).value() == from, "seed %lu", seed);
        if (digest_of(from) != digest_of(to))
            cr_assert_eq(rejected_update_field(to, delta), "base", "seed %lu", seed);
        // The order of entries affects neither the digest nor a delta.
        Configuration reordered = from;
        reordered.routes = reversed(reordered.routes);
        if (reordered.tenants) reordered.tenants = reversed(*reordered.tenants);
        cr_assert_eq(digest_of(reordered), digest_of(from), "seed %lu", seed);
        cr_assert(apply_update(reordered, delta).value() == to, "seed %lu", seed);
        cr_assert(write_delta(reordered, to) == delta, "seed %lu", seed);
    }
}

// A truncated update is rejected. One with flipped bits is rejected, or results in the same configuration
// where the corrupted bytes carry no information. With sanitizers this also detects reads out of bounds.
Test(configuration_update, rejects_corrupted_updates) {
    RandomSource random(11);
    const Configuration from = random_configuration(random, 12), to = random_change(random, from, 12);
    for (const std::string& valid_update : {write_full(to), write_delta(from, to)}) {
        for (std::size_t length = 0; length < valid_update.size(); ++length)
            cr_assert_neq(rejected_update_field(from, std::string(valid_update, 0, length)), "",
                          "truncated at %zu", length);
        for (int i = 0; i < 20000; ++i) {
            std::string corrupted = valid_update;
            for (int flips = 1 + random.up_to(3); flips > 0; --flips) {
                const int flipped = 1 << random.up_to(7);
                char& byte = corrupted[random.random_bits() % corrupted.size()];
                byte = static_cast<char>(byte ^ flipped);
            }
            if (random.one_in(10))
                corrupted.insert(random.random_bits() % corrupted.size(),
                                 std::string(1 + random.random_bits() % 20, '\0'));
            if (rejected_update_field(from, corrupted).empty())
                cr_assert(apply_update(from, corrupted).value() == to, "corruption %d was accepted", i);
        }
    }
    for (int i = 0; i < 5000; ++i) {
        std::string noise(static_cast<std::size_t>(random.up_to(300)), '\0');
        for (char& byte : noise) byte = static_cast<char>(random.one_in(2) ? 0 : random.random_bits());
        cr_assert_neq(rejected_update_field(from, noise), "");
    }
}

// The next version reads an update of this one, sets its new fields and encodes it again. This version reads
// the result and ignores the unknown fields.
Test(configuration_update, is_compatible_with_the_next_version) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RandomSource random(seed);
        const Configuration from = random_configuration(random, 8), to = random_change(random, from, 8);
        for (const std::string& encoded : {write_full(to), write_delta(from, to)}) {
            kj::ArrayInputStream stream(
                kj::arrayPtr(reinterpret_cast<const unsigned char*>(encoded.data()), encoded.size()));
            ::capnp::PackedMessageReader received(stream);
            const auto update = received.getRoot<next::Update>();
            cr_assert_eq(update.getVersion(), to.version);
            cr_assert_eq(update.getDigestOfAll(), 0);
            cr_assert(!update.hasSender());

            ::capnp::MallocMessageBuilder message;
            message.setRoot(update);
            auto next_update = message.getRoot<next::Update>();
            next_update.setSender("edge-b-2");
            next_update.setDigestOfAll(random.random_bits());
            next_update.getLimits().setHeaders(50);
            // Lists of the older structs are copied into lists of the newer ones, which have more fields.
            const auto routes = update.getRoutes();
            auto next_routes = next_update.initRoutes(routes.size());
            for (unsigned i = 0; i < routes.size(); ++i) {
                cr_assert_eq(routes[i].getCost(), 1.5);
                next_routes[i].setName(routes[i].getName());
                next_routes[i].setHostname(routes[i].getHostname());
                next_routes[i].setPathPrefix(routes[i].getPathPrefix());
                next_routes[i].setIdempotent(routes[i].getIdempotent());
                next_routes[i].setIsPublic(routes[i].getIsPublic());
                next_routes[i].setPriority(routes[i].getPriority());
                next_routes[i].setTimeout(routes[i].getTimeout());
                next_routes[i].setTargetLatency(routes[i].getTargetLatency());
                next_routes[i].setMaxAttempts(routes[i].getMaxAttempts());
                auto next_targets = next_routes[i].initTargets(routes[i].getTargets().size());
                for (unsigned j = 0; j < next_targets.size(); ++j) {
                    next_targets[j].setService(routes[i].getTargets()[j].getService());
                    next_targets[j].setWeight(routes[i].getTargets()[j].getWeight());
                    next_targets[j].setSticky(true);
                    next_targets[j].setZone("b");
                }
                next_routes[i].initMirror().setService("elsewhere");
                next_routes[i].setCost(9.0);
            }
            cr_assert(apply_update(from, runtime::pack(message)).value() == to, "seed %lu", seed);
        }
    }
}

}    // namespace
}    // namespace shaletray::configuration
