// Compatibility of packets between versions, and damaged packets.
#include "cluster/membership/packet.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>

#include "cluster/membership/cluster_helpers.h"
#include "cluster/membership/versions.capnp.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

namespace {

std::string pack_with_checksum(capnp::MessageBuilder& message) {
    kj::VectorOutputStream stream;
    const kj::byte checksum_space[kChecksumBytes] = {};
    stream.write(checksum_space, kChecksumBytes);
    capnp::writePackedMessage(stream, message);
    std::string bytes(stream.getArray().asChars().begin(), stream.getArray().size());
    write_checksum(bytes);
    return bytes;
}

// The packet as written by an older version that knows only the first fields, or by a newer one with more
// fields.
std::string rewrite_as_version(bool older, const std::string& bytes) {
    kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size())
                                    .slice(kChecksumBytes, bytes.size()));
    capnp::PackedMessageReader reader(stream);
    capnp::MallocMessageBuilder holder_message, rewritten;
    auto holder = holder_message.initRoot<versions::Holder>();
    if (older) {
        holder.initOld(1).setWithCaveats(0, reader.getRoot<versions::OldPacket>());
        rewritten.setRoot(holder.getOld()[0].asReader());
    } else {
        auto packets = holder.initNew(1);
        packets.setWithCaveats(0, reader.getRoot<versions::NewPacket>());
        const auto entries = reader.getRoot<versions::NewPacket>().getEntries();
        auto newer = packets[0].initEntries(entries.size());
        for (unsigned i = 0; i < entries.size(); ++i) {
            newer.setWithCaveats(i, entries[i]);
            newer[i].setLoad(0.5);
            newer[i].initLabels(1).set(0, "canary");
        }
        packets[0].initSizes(3).set(1, 77);
        packets[0].initOffer().setName("more");
        packets[0].setFormat(2);
        rewritten.setRoot(packets[0].asReader());
    }
    return pack_with_checksum(rewritten);
}

}    // namespace

Test(membership, older_and_newer_versions_work_together) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Network net(seed);
        net.alter_bytes = [](const std::string& from, std::string bytes) {
            const std::size_t kind = std::hash<std::string>{}(from) % 3;
            return kind == 0 ? std::move(bytes) : rewrite_as_version(kind == 1, bytes);
        };
        start_stable_cluster(net);
        StateObserver observer(net);
        net[Network::gateway_address(2)].set_quota_divisor(4);
        net.reschedule_tick(Network::gateway_address(2));
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(20s);
        cr_expect(net.all_agree() && observer.suspected.empty(), "seed %lu", seed);
        for (const auto& [address, process] : net.processes)
            cr_expect_eq(process.member->statistics().malformed, 0u);
    }
}

Test(membership, damaged_packets_are_dropped_and_counted) {
    Network net(9);
    start_stable_cluster(net);
    std::mt19937_64 random(4);
    std::uint64_t damaged = 0;
    net.alter_bytes = [&](const std::string&, std::string bytes) {
        if (random() % 10 != 0) return bytes;
        ++damaged;
        if (random() % 3 == 0) return bytes.substr(0, random() % bytes.size());
        const auto flipped = static_cast<int>(1 + random() % 255);
        char& byte = bytes[random() % bytes.size()];
        byte = static_cast<char>(byte ^ flipped);
        return bytes;
    };
    net.run_for(30s);
    net.alter_bytes = nullptr;
    net.run_for(1s);
    std::uint64_t malformed = 0;
    for (const auto& [address, process] : net.processes) malformed += process.member->statistics().malformed;
    cr_expect_eq(malformed, damaged);
    cr_expect(net.all_agree());
    // Arbitrary changes under a valid checksum must do no harm.
    Actions actions;
    Membership& target = net[Network::gateway_address(0)];
    std::vector<std::string> packets;
    net.alter_bytes = [&](const std::string&, std::string bytes) {
        return packets.emplace_back(std::move(bytes));
    };
    net.depart(Network::gateway_address(5));
    net.start_process(Network::gateway_address(5), seed_addresses(), 9);
    net.run_for(5s);
    for (int i = 0; i < 30000; ++i) {
        std::string bytes = packets[random() % packets.size()];
        for (std::uint64_t changes_left = random() % 4 + 1; changes_left > 0; --changes_left)
            bytes[kChecksumBytes + random() % (bytes.size() - kChecksumBytes)] = static_cast<char>(random());
        if (random() % 4 == 0) bytes.resize(kChecksumBytes + 1 + random() % (bytes.size() - kChecksumBytes));
        write_checksum(bytes);
        target.on_message(Network::gateway_address(static_cast<int>(random() % 12) + 1), bytes, net.now,
                          actions);
        target.tick(net.now, actions);
    }
    cr_expect_leq(target.members().size(), 8000);
}
