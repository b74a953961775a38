// Compatibility of messages between versions, and malformed messages.
#include "cluster/consensus/message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <random>

#include "cluster/consensus/newer_schema.capnp.h"
#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

std::string add_checksum(const std::string& body) {
    const std::uint64_t value = checksum(body);
    return std::string(reinterpret_cast<const char*>(&value), sizeof value) + body;
}

Message make_example_message() {
    Message message;
    message.kind = Message::Kind::Accept;
    message.disk_id = 5;
    message.next_instance = message.instance = 3;
    message.nonce = 8;
    message.ballot = {2, "10.1.0.1:7100#a"};
    message.entry = LogEntry{3, {{"10.1.0.1:7100", 5}, {"10.1.0.2:7100", 0}}, 12, std::string("{\0}", 3), {}};
    message.entry->earlier_digests = {make_digest(9, "a"), make_digest(11, "b")};
    return message;
}

// Reads an encoded message with the newer schema, and writes it again with the additional fields.
std::string round_trip_newer_schema(const Message& message, std::uint16_t kind) {
    const std::string encoded = encode(message).substr(8);
    auto words = kj::heapArray<capnp::word>(encoded.size() / 8);
    std::memcpy(words.asBytes().begin(), encoded.data(), encoded.size());
    capnp::FlatArrayMessageReader reader(words);
    capnp::MallocMessageBuilder builder;
    builder.setRoot(reader.getRoot<newer::Message>());
    auto root = builder.getRoot<newer::Message>();
    cr_assert(root.getInstance() == message.instance && root.getUrgent() && !root.hasReason());
    root.setKind(kind);
    root.getBallot().setIncarnation(9);
    root.setUrgent(false);
    root.setReason("a field that this version does not know");
    const auto rewritten = capnp::messageToFlatArray(builder);
    return add_checksum(
        {reinterpret_cast<const char*>(rewritten.asBytes().begin()), rewritten.asBytes().size()});
}

Test(message, is_compatible_with_a_newer_schema) {
    const Message message = make_example_message();
    for (const std::string& bytes :
         {encode(message), round_trip_newer_schema(message, static_cast<std::uint16_t>(message.kind))}) {
        const Message read = decode(bytes).value();
        cr_assert(read.kind == message.kind && read.disk_id == message.disk_id &&
                  read.next_instance == message.next_instance && read.nonce == message.nonce &&
                  read.instance == message.instance && read.ballot == message.ballot &&
                  read.other_ballot == message.other_ballot && read.entry == message.entry &&
                  !read.has_accepted_entry && !read.text_omitted);
    }
}

Test(message, malformed_bytes_are_dropped_and_counted) {
    Settings settings;
    settings.self = {"10.1.0.1:7100", 0};
    settings.founders = {"10.1.0.1:7100", "10.1.0.2:7100"};
    ReplicatedRegister replica(settings, {}, TimePoint{});
    Actions founding, actions;
    replica.tick(TimePoint{}, founding);
    const std::string before = replica.describe_state(), complete = encode(make_example_message());
    std::vector<std::string> malformed{
        round_trip_newer_schema(make_example_message(), 12)};    // an unknown kind
    for (std::size_t size = 0; size < complete.size(); ++size) malformed.push_back(complete.substr(0, size));
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        malformed.push_back(complete);
        const int flipped = 1 << random() % 8;
        char& byte = malformed.back()[random() % complete.size()];
        byte = static_cast<char>(byte ^ flipped);
        // Damage under a correct checksum must not make decode() read outside the message.
        std::string body = complete.substr(8);
        for (int change = 0; change < 4; ++change) body[random() % body.size()] = static_cast<char>(random());
        (void)decode(add_checksum(body));
    }
    for (const std::string& bytes : malformed)
        replica.on_message("10.1.0.2:7100", bytes, TimePoint{}, actions);
    cr_assert_eq(replica.dropped_messages(), malformed.size());
    cr_assert(actions.messages.empty() && actions.writes.empty() && replica.describe_state() == before);
}

}    // namespace
}    // namespace shaletray::consensus::test
