#include "controller/registry_forwarder.h"

#include <algorithm>

#include "base/runtime/capnp_codec.h"
#include "controller/registry_forwarder.capnp.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;

constexpr Duration kInterval = 1s;
constexpr Duration kResendTimeout = 1500ms;    // for what was told to be known, else it is told again

}    // namespace

void RegistryForwarder::set_peers(const std::vector<std::string>& addresses) {
    std::erase_if(peers_, [&](const auto& item) {
        return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end();
    });
    for (const std::string& address : addresses) peers_.try_emplace(address);
}

void RegistryForwarder::reset_peers() {
    for (auto& [address, peer] : peers_) peer.sent_sequence = peer.acknowledged_sequence = 0;
}

void RegistryForwarder::on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes,
                                   TimePoint now) {
    const auto decoded =
        runtime::unpack<wire::Relay>(bytes, [&](wire::Relay::Reader reader) -> leaf::result<int> {
            const std::uint64_t known_sequence = reader.getKnownSequence(),
                                known_incarnation = reader.getKnownLife();
            registry_.merge_changes(from, runtime::text_of(reader.getWords()), now);
            const auto entry = peers_.find(from);
            if (entry == peers_.end()) return 0;    // it will be known by the time of its next word
            Peer& peer = entry->second;
            if (peer.incarnation != incarnation) peer.sent_sequence = 0;
            peer.incarnation = incarnation;
            const std::uint64_t acknowledged = known_incarnation == registry_.incarnation()
                                                   ? std::min(known_sequence, registry_.sequence())
                                                   : 0;
            if (acknowledged > peer.acknowledged_sequence) peer.waiting_since = now;
            peer.acknowledged_sequence = acknowledged;
            return 0;
        });
    if (!decoded) ++malformed_messages_;
}

void RegistryForwarder::send_to_peer(const std::string& recipient, Peer& peer, TimePoint now,
                                     std::vector<OutgoingMessage>& messages) {
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Relay>();
    builder.setKnownLife(peer.incarnation);
    builder.setKnownSequence(registry_.known_sequence(recipient, peer.incarnation));
    builder.setWords(runtime::data_of(registry_.encode_changes(peer.sent_sequence, true, now)));
    if (peer.acknowledged_sequence >= peer.sent_sequence) peer.waiting_since = now;
    peer.sent_sequence = registry_.sequence();
    messages.push_back({recipient, runtime::pack(message)});
}

void RegistryForwarder::send_changes(TimePoint now, std::vector<OutgoingMessage>& messages) {
    for (auto& [address, peer] : peers_)
        if (peer.sent_sequence < registry_.sequence()) send_to_peer(address, peer, now, messages);
}

void RegistryForwarder::tick(TimePoint now, std::vector<OutgoingMessage>& messages) {
    if (now < next_deadline_) return;
    next_deadline_ = now + kInterval;
    for (auto& [address, peer] : peers_) {
        if (peer.acknowledged_sequence < peer.sent_sequence && now - peer.waiting_since >= kResendTimeout)
            peer.sent_sequence = peer.acknowledged_sequence;
        send_to_peer(address, peer, now, messages);
    }
}

}    // namespace shaletray::controller
