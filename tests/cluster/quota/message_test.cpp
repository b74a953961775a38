// Tests of the encoding of balancing messages, its compatibility between versions, and malformed input.
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

Message make_message(std::size_t entries) {
    Message message{7, 8, 1'700'000'000'000'001, 9, 1'699'999'999'999'999, 250'000, {}};
    std::mt19937_64 random(1);
    for (std::size_t i = 0; i < entries; ++i)
        message.entries.push_back(
            {random(), -1.37F * static_cast<float>(i), 0.015625F, 3.3F, i % 2 == 0, i % 3 == 0});
    return message;
}

std::string packed(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    return {reinterpret_cast<const char*>(stream.getArray().begin()), stream.getArray().size()};
}

}    // namespace

Test(message, round_trips_and_fits_into_a_datagram) {
    for (const std::size_t entry_count : {std::size_t{0}, std::size_t{1}, kMaxEntries}) {
        const std::string bytes = encode(make_message(entry_count));
        cr_assert_leq(bytes.size(), 1200u);
        cr_assert(decode(bytes).value() == make_message(entry_count));
    }
}

Test(message, is_compatible_with_earlier_and_later_versions) {
    const Message current = make_message(2);
    {
        const std::string bytes = encode(current);
        kj::ArrayInputStream input(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(input);
        const auto earlier = reader.getRoot<versions::Earlier>();
        cr_assert_eq(earlier.getSequence(), current.sequence);
        cr_assert_eq(earlier.getEntries()[1].getTransfer(), current.entries[1].transfer);
    }
    const auto fill = [&](auto root) {
        root.setIncarnation(current.incarnation);
        root.setSequence(current.sequence);
        root.setTimestamp(current.timestamp);
        root.setEchoedIncarnation(current.echoed_incarnation);
        root.setEchoedTimestamp(current.echoed_timestamp);
        root.setEchoDelay(current.echo_delay);
        auto entries = root.initEntries(2);
        for (unsigned i = 0; i < 2; ++i) {
            entries[i].setTenant(current.entries[i].tenant);
            entries[i].setAvailable(current.entries[i].available);
            entries[i].setTransfer(current.entries[i].transfer);
        }
        return entries;
    };
    {
        capnp::MallocMessageBuilder builder;
        fill(builder.initRoot<versions::Earlier>());
        Message expected = current;    // the earlier version permits no transfer and has no flags
        for (Entry& entry : expected.entries)
            entry = {entry.tenant, entry.available, entry.transfer, 0.0F, false, false};
        cr_assert(decode(packed(builder)).value() == expected);
    }
    {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<versions::Later>();
        root.setRemark("a field that we do not know");
        auto entries = fill(root);
        for (unsigned i = 0; i < 2; ++i) {
            entries[i].setMaxTransfer(current.entries[i].max_transfer);
            entries[i].setFlags(static_cast<std::uint8_t>(0xf0 | (current.entries[i].urgent ? 1 : 0) |
                                                          (current.entries[i].under_pressure ? 2 : 0)));
            entries[i].setPrice(0.5);
            entries[i].initTags(1).set(0, "x");
        }
        cr_assert(decode(packed(builder)).value() == current);
    }
}

Test(message, decodes_arbitrary_bytes_safely) {
    std::mt19937_64 random(2);
    const std::string valid = encode(make_message(kMaxEntries));
    int decoded_count = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = valid.substr(0, random() % 2 == 0 ? valid.size() : random() % valid.size());
        for (int changes = static_cast<int>(random() % 8); changes > 0 && !bytes.empty(); --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (const auto message = decode(bytes)) {
            ++decoded_count;
            for (const Entry& entry : message->entries)
                cr_assert(entry.transfer >= 0.0F && entry.max_transfer >= 0.0F &&
                          entry.available == entry.available);
        }
    }
    cr_assert_gt(decoded_count, 0);
    cr_assert(!decode(std::string(5000, '\0')));
    Message invalid = make_message(1);
    for (const float transfer : {-1.0F, std::numeric_limits<float>::quiet_NaN(), 1e30F}) {
        invalid.entries[0].transfer = transfer;
        cr_assert(!decode(encode(invalid)));
    }
}
