#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>
#include <kj/io.h>

#include <algorithm>

#include "cluster/configuration/next_configuration.capnp.h"
#include "cluster/configuration/random_configurations.h"

namespace shaletray::configuration {
namespace {

Test(chart_update, leads_from_any_chart_to_any_other) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Draw draw(seed);
        const Chart from = draw.once_in(10) ? Chart{} : any_chart(draw, 20);
        const Chart to = draw.once_in(4) ? any_chart(draw, 20) : changed(draw, from, 20);
        const std::string whole = write_whole(to), patch = write_patch(from, to);
        cr_assert(read_update(from, whole).value() == to, "seed %lu", seed);
        cr_assert(read_update(from, patch).value() == to, "seed %lu", seed);
        cr_assert(read_update(from, write_patch(from, from)).value() == from, "seed %lu", seed);
        if (digest_of(from) != digest_of(to))
            cr_assert_eq(refused_update(to, patch), "base", "seed %lu", seed);
        // Rows in another order are the same chart, to the digest and to a patch.
        Chart other = from;
        other.routes = turned(other.routes);
        if (other.tenants) other.tenants = turned(*other.tenants);
        cr_assert_eq(digest_of(other), digest_of(from), "seed %lu", seed);
        cr_assert(read_update(other, patch).value() == to, "seed %lu", seed);
        cr_assert(write_patch(other, to) == patch, "seed %lu", seed);
    }
}

Test(chart_update, a_digest_tells_of_each_field) {
    Draw draw(5);
    Chart chart = any_chart(draw, 5);
    chart.routes = {any_route(draw, "r")};
    chart.services = {{"s", "/health", 5}};
    chart.tenants = {any_tenant(draw, "t")};
    std::set<std::uint64_t> seen{digest_of(chart)};
    const auto differs = [&](auto change) {
        Chart other = chart;
        change(other);
        cr_expect(seen.insert(digest_of(other)).second);
    };
    differs([](Chart& c) { ++c.version; });
    differs([](Chart& c) { c.routes[0].hostname += 'x'; });
    differs([](Chart& c) { c.routes[0].path_prefix += 'x'; });
    differs([](Chart& c) { c.routes[0].is_public = !c.routes[0].is_public; });
    differs([](Chart& c) { c.routes[0].kind = RouteKind{c.routes[0].kind == RouteKind::Idempotent}; });
    differs([](Chart& c) { c.routes[0].timeout += Duration(1); });
    differs([](Chart& c) { c.routes[0].target_latency += Duration(1); });
    differs([](Chart& c) { ++c.routes[0].max_attempts; });
    differs([](Chart& c) { ++c.routes[0].to[0].weight; });
    differs([](Chart& c) { c.routes.clear(); });
    differs([](Chart& c) { ++c.services[0].max_connections; });
    differs([](Chart& c) { c.services[0].health_check += 'x'; });
    differs([](Chart& c) { (*c.tenants)[0].api_keys.push_back("k"); });
    differs([](Chart& c) { (*c.tenants)[0].priority = 99; });
    differs([](Chart& c) { (*c.tenants)[0].rate_per_s += 0.25; });
    differs([](Chart& c) { (*c.tenants)[0].burst += 0.25; });
    differs([](Chart& c) { c.tenants->clear(); });
    differs([](Chart& c) { c.tenants.reset(); });
    differs([](Chart& c) { ++c.limits.max_header_bytes; });
    differs([](Chart& c) { c.limits.idle_timeout += Duration(1); });
}

// Cut anywhere, or with bits turned, an update is refused, or leads to what it was to lead to (where what was
// hit says nothing). Under the sanitizers this also shows that nothing is read beyond the bytes.
Test(chart_update, what_is_damaged_is_refused) {
    Draw draw(11);
    const Chart from = any_chart(draw, 12), to = changed(draw, from, 12);
    for (const std::string& good : {write_whole(to), write_patch(from, to)}) {
        for (std::size_t length = 0; length < good.size(); ++length)
            cr_assert_neq(refused_update(from, std::string(good, 0, length)), "", "cut at %zu", length);
        for (int i = 0; i < 20000; ++i) {
            std::string bad = good;
            for (int flips = 1 + draw.upto(3); flips > 0; --flips) {
                const int flipped = 1 << draw.upto(7);
                char& byte = bad[draw.bits() % bad.size()];
                byte = static_cast<char>(byte ^ flipped);
            }
            if (draw.once_in(10))
                bad.insert(draw.bits() % bad.size(), std::string(1 + draw.bits() % 20, '\0'));
            if (refused_update(from, bad).empty())
                cr_assert(read_update(from, bad).value() == to, "damage %d was taken", i);
        }
    }
    for (int i = 0; i < 5000; ++i) {
        std::string noise(static_cast<std::size_t>(draw.upto(300)), '\0');
        for (char& c : noise) c = static_cast<char>(draw.once_in(2) ? 0 : draw.bits());
        cr_assert_neq(refused_update(from, noise), "");
    }
}

class IntoText : public kj::OutputStream {
public:
    std::string bytes;
    void write(const void* from, std::size_t size) override {
        bytes.append(static_cast<const char*>(from), size);
    }
};

// An update of this version is read by the next one, which fills its new fields, and writes it out again:
// this version reads that as if nothing were there that it does not know.
Test(chart_update, versions_read_each_other) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Draw draw(seed);
        const Chart from = any_chart(draw, 8), to = changed(draw, from, 8);
        for (const std::string& ours : {write_whole(to), write_patch(from, to)}) {
            kj::ArrayInputStream in(
                kj::arrayPtr(reinterpret_cast<const unsigned char*>(ours.data()), ours.size()));
            ::capnp::PackedMessageReader received(in);
            const auto read = received.getRoot<next::Update>();
            cr_assert_eq(read.getVersion(), to.version);
            cr_assert_eq(read.getDigestOfAll(), 0);
            cr_assert(!read.hasSender());

            ::capnp::MallocMessageBuilder message;
            message.setRoot(read);
            auto theirs = message.getRoot<next::Update>();
            theirs.setSender("edge-b-2");
            theirs.setDigestOfAll(draw.bits());
            theirs.getLimits().setHeaders(50);
            // Lists of the older structs are copied into lists of the newer ones to have room for more.
            const auto routes = read.getRoutes();
            auto wider = theirs.initRoutes(routes.size());
            for (unsigned i = 0; i < routes.size(); ++i) {
                cr_assert_eq(routes[i].getCost(), 1.5);
                wider[i].setName(routes[i].getName());
                wider[i].setHostname(routes[i].getHostname());
                wider[i].setPathPrefix(routes[i].getPathPrefix());
                wider[i].setIdempotent(routes[i].getIdempotent());
                wider[i].setIsPublic(routes[i].getIsPublic());
                wider[i].setPriority(routes[i].getPriority());
                wider[i].setTimeout(routes[i].getTimeout());
                wider[i].setTargetLatency(routes[i].getTargetLatency());
                wider[i].setMaxAttempts(routes[i].getMaxAttempts());
                auto shares = wider[i].initTo(routes[i].getTo().size());
                for (unsigned j = 0; j < shares.size(); ++j) {
                    shares[j].setService(routes[i].getTo()[j].getService());
                    shares[j].setWeight(routes[i].getTo()[j].getWeight());
                    shares[j].setSticky(true);
                    shares[j].setZone("b");
                }
                wider[i].initMirror().setService("elsewhere");
                wider[i].setCost(9.0);
            }
            IntoText out;
            ::capnp::writePackedMessage(out, message);
            cr_assert(read_update(from, out.bytes).value() == to, "seed %lu", seed);
        }
    }
}

}    // namespace
}    // namespace shaletray::configuration
