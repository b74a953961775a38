// Messages of pairs of versions, and bytes that are none.
#include "cluster/consensus/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <random>

#include "cluster/consensus/newer_schema.capnp.h"
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

std::string sealed(const std::string& body) {
    const std::uint64_t sum = checksum(body);
    return std::string(reinterpret_cast<const char*>(&sum), sizeof sum) + body;
}

Message example() {
    Message m;
    m.kind = Message::Kind::Accept;
    m.disk = 5;
    m.at = m.instance = 3;
    m.nonce = 8;
    m.ballot = {2, "10.1.0.1:7100#a"};
    m.value = Decree{3, {{"10.1.0.1:7100", 5}, {"10.1.0.2:7100", 0}}, 12, std::string("{\0}", 3), {}};
    m.value->earlier = {digest(9, "a"), digest(11, "b")};
    return m;
}

// Our bytes as a later program reads them, and as it writes them with what it adds.
std::string through_later(const Message& m, std::uint16_t kind) {
    const std::string ours = encode(m).substr(8);
    auto words = kj::heapArray<capnp::word>(ours.size() / 8);
    std::memcpy(words.asBytes().begin(), ours.data(), ours.size());
    capnp::FlatArrayMessageReader reader(words);
    capnp::MallocMessageBuilder builder;
    builder.setRoot(reader.getRoot<later::Message>());
    auto root = builder.getRoot<later::Message>();
    cr_assert(root.getInstance() == m.instance && root.getUrgent() && !root.hasWhy());
    root.setKind(kind);
    root.getBallot().setLife(9);
    root.setUrgent(false);
    root.setWhy("a word that nobody knows yet");
    const auto theirs = capnp::messageToFlatArray(builder);
    return sealed({reinterpret_cast<const char*>(theirs.asBytes().begin()), theirs.asBytes().size()});
}

Test(message, is_read_by_earlier_and_later_programs) {
    const Message m = example();
    for (const std::string& bytes : {encode(m), through_later(m, static_cast<std::uint16_t>(m.kind))}) {
        const Message read = decode(bytes).value();
        cr_assert(read.kind == m.kind && read.disk == m.disk && read.at == m.at && read.nonce == m.nonce &&
                  read.instance == m.instance && read.ballot == m.ballot && read.other == m.other &&
                  read.value == m.value && !read.pending && !read.text_as_before);
    }
}

Test(message, that_is_none_is_dropped_and_counted) {
    Settings settings;
    settings.me = {"10.1.0.1:7100", 0};
    settings.founders = {"10.1.0.1:7100", "10.1.0.2:7100"};
    Lamp lamp(settings, {}, TimePoint{});
    Actions founding, out;
    lamp.tick(TimePoint{}, founding);
    const std::string before = lamp.picture(), whole = encode(example());
    std::vector<std::string> bad{through_later(example(), 12)};    // of a kind that is not known yet
    for (std::size_t size = 0; size < whole.size(); ++size) bad.push_back(whole.substr(0, size));
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        bad.push_back(whole);
        const int flipped = 1 << random() % 8;
        char& byte = bad.back()[random() % whole.size()];
        byte = static_cast<char>(byte ^ flipped);
        // Under a right checksum too, nothing but its own fields is read.
        std::string body = whole.substr(8);
        for (int n = 0; n < 4; ++n) body[random() % body.size()] = static_cast<char>(random());
        (void)decode(sealed(body));
    }
    for (const std::string& bytes : bad) lamp.heard("10.1.0.2:7100", bytes, TimePoint{}, out);
    cr_assert_eq(lamp.dropped(), bad.size());
    cr_assert(out.sends.empty() && out.stores.empty() && lamp.picture() == before);
}

}    // namespace
}    // namespace shaletray::consensus::test
