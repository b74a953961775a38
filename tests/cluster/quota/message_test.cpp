#include "cluster/quota/message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>
#include <kj/io.h>

#include <limits>
#include <random>

#include "cluster/quota/versions.capnp.h"

using namespace shaletray::quota;

namespace {

Message sample(std::size_t entries) {
    Message m{7, 8, 1'700'000'000'000'001, 9, 1'699'999'999'999'999, 250'000, {}};
    std::mt19937_64 random(1);
    for (std::size_t i = 0; i < entries; ++i)
        m.entries.push_back(
            {random(), -1.37F * static_cast<float>(i), 0.015625F, 3.3F, i % 2 == 0, i % 3 == 0});
    return m;
}

std::string packed(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    return {reinterpret_cast<const char*>(out.getArray().begin()), out.getArray().size()};
}

}    // namespace

Test(message, comes_back_as_it_was_and_fits_a_datagram) {
    for (const std::size_t n : {std::size_t{0}, std::size_t{1}, kMostEntries}) {
        const std::string bytes = encode(sample(n));
        cr_assert_leq(bytes.size(), 1200u);
        cr_assert(decode(bytes).value() == sample(n));
    }
}

Test(message, earlier_and_later_versions_read_each_other) {
    const Message now = sample(2);
    {
        const std::string bytes = encode(now);
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        const auto earlier = reader.getRoot<versions::Earlier>();
        cr_assert_eq(earlier.getSequence(), now.sequence);
        cr_assert_eq(earlier.getEntries()[1].getGift(), now.entries[1].gift);
    }
    const auto fill = [&](auto root) {
        root.setLife(now.life);
        root.setSequence(now.sequence);
        root.setStamp(now.stamp);
        root.setEchoLife(now.echo_life);
        root.setEcho(now.echo);
        root.setHeld(now.held);
        auto entries = root.initEntries(2);
        for (unsigned i = 0; i < 2; ++i) {
            entries[i].setTenant(now.entries[i].tenant);
            entries[i].setFree(now.entries[i].free);
            entries[i].setGift(now.entries[i].gift);
        }
        return entries;
    };
    {
        capnp::MallocMessageBuilder builder;
        fill(builder.initRoot<versions::Earlier>());
        Message expected = now;    // it wants nothing and presses for nothing
        for (Entry& e : expected.entries) e = {e.tenant, e.free, e.gift, 0.0F, false, false};
        cr_assert(decode(packed(builder)).value() == expected);
    }
    {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<versions::Later>();
        root.setRemark("a field that we do not know");
        auto entries = fill(root);
        for (unsigned i = 0; i < 2; ++i) {
            entries[i].setWant(now.entries[i].want);
            entries[i].setFlags(static_cast<std::uint8_t>(0xf0 | (now.entries[i].urgent ? 1 : 0) |
                                                          (now.entries[i].pressed ? 2 : 0)));
            entries[i].setPrice(0.5);
            entries[i].initTags(1).set(0, "x");
        }
        cr_assert(decode(packed(builder)).value() == now);
    }
}

Test(message, any_bytes_are_safe) {
    std::mt19937_64 random(2);
    const std::string good = encode(sample(kMostEntries));
    int read = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = good.substr(0, random() % 2 == 0 ? good.size() : random() % good.size());
        for (int flips = static_cast<int>(random() % 8); flips > 0 && !bytes.empty(); --flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (const auto m = decode(bytes)) {
            ++read;
            for (const Entry& e : m->entries) cr_assert(e.gift >= 0.0F && e.want >= 0.0F && e.free == e.free);
        }
    }
    cr_assert_gt(read, 0);
    cr_assert(!decode(std::string(5000, '\0')));
    Message absurd = sample(1);
    for (const float gift : {-1.0F, std::numeric_limits<float>::quiet_NaN(), 1e30F}) {
        absurd.entries[0].gift = gift;
        cr_assert(!decode(encode(absurd)));
    }
}
