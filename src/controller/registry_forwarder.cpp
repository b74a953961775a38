#include "controller/registry_forwarder.h"

#include <algorithm>
#include <functional>

#include "base/runtime/capnp_codec.h"
#include "controller/registry_forwarder.capnp.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;

// Interval between two messages to a peer when nothing changes.
constexpr Duration kMessageInterval = 1s;
// Half an interval longer than a peer takes to acknowledge with its periodic messages: changes that are still
// unacknowledged then were lost.
constexpr Duration kResendTimeout = 1500ms;

}    // namespace

void RegistryForwarder::set_peers(const std::vector<std::string>& addresses) {
    std::erase_if(peers_, [&](const auto& item) {
        return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end();
    });
    for (const std::string& address : addresses) peers_.try_emplace(address);
}

void RegistryForwarder::reset_peers() {
    for (auto& [address, peer] : peers_) {
        peer.sent_sequence = 0;
        peer.acknowledged_sequence = 0;
    }
}

void RegistryForwarder::on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes,
                                   TimePoint now) {
    using Reader = wire::RegistryUpdate::Reader;
    const auto handle_update = [&](Reader update) -> leaf::result<int> {
        registry_.merge_changes(from, runtime::text_of(update.getChanges()), now);
        const auto entry = peers_.find(from);
        if (entry == peers_.end()) return 0;    // will be a known peer when its next message comes
        Peer& peer = entry->second;
        if (peer.incarnation != incarnation) peer.sent_sequence = 0;
        peer.incarnation = incarnation;
        peer.wants_acknowledgement = peer.wants_acknowledgement || update.getAcknowledgeNow();
        const bool is_current = update.getKnownIncarnation() == registry_.incarnation();
        record_acknowledgement(peer, is_current ? update.getKnownSequence() : 0, now);
        return 0;
    };
    if (!runtime::unpack<wire::RegistryUpdate>(bytes, handle_update)) ++malformed_messages_;
}

void RegistryForwarder::record_acknowledgement(Peer& peer, std::uint64_t acknowledged_sequence,
                                               TimePoint now) {
    const std::uint64_t acknowledged = std::min(acknowledged_sequence, registry_.sequence());
    if (acknowledged > peer.acknowledged_sequence) peer.waiting_since = now;
    peer.acknowledged_sequence = acknowledged;
}

void RegistryForwarder::send_to_peer(const std::string& recipient, Peer& peer, TimePoint now,
                                     std::vector<OutgoingMessage>& messages) {
    capnp::MallocMessageBuilder message;
    auto update = message.initRoot<wire::RegistryUpdate>();
    update.setKnownIncarnation(peer.incarnation);
    update.setKnownSequence(registry_.known_sequence(recipient, peer.incarnation));
    update.setChanges(runtime::data_of(registry_.encode_changes(peer.sent_sequence, true, now)));
    update.setAcknowledgeNow(peer.acknowledged_sequence < requested_sequence_);
    peer.wants_acknowledgement = false;
    if (peer.acknowledged_sequence >= peer.sent_sequence) peer.waiting_since = now;
    peer.sent_sequence = registry_.sequence();
    messages.push_back({recipient, runtime::pack(message)});
}

bool RegistryForwarder::has_unsent_changes() const {
    return std::any_of(peers_.begin(), peers_.end(),
                       [this](const auto& entry) { return must_send_to(entry.second); });
}

bool RegistryForwarder::must_send_to(const Peer& peer) const {
    return peer.sent_sequence < std::max(registry_.own_sequence(), requested_sequence_) ||
           peer.wants_acknowledgement;
}

std::uint64_t RegistryForwarder::majority_acknowledged_sequence(const std::vector<std::string>& voters,
                                                                const std::string& self_address) const {
    std::vector<std::uint64_t> known;
    for (const std::string& voter : voters) {
        const auto peer = peers_.find(voter);
        if (voter == self_address) known.push_back(registry_.sequence());
        else known.push_back(peer == peers_.end() ? 0 : peer->second.acknowledged_sequence);
    }
    if (known.empty()) return 0;
    const auto majority = static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), known.begin() + majority, known.end(), std::greater<>());
    return known[static_cast<std::size_t>(majority)];
}

void RegistryForwarder::send_changes(TimePoint now, std::vector<OutgoingMessage>& messages) {
    for (auto& [address, peer] : peers_)
        if (must_send_to(peer)) send_to_peer(address, peer, now, messages);
}

void RegistryForwarder::tick(TimePoint now, std::vector<OutgoingMessage>& messages) {
    if (now < next_deadline_) return;
    next_deadline_ = now + kMessageInterval;
    for (auto& [address, peer] : peers_) {
        const bool awaits_acknowledgement = peer.acknowledged_sequence < peer.sent_sequence;
        if (awaits_acknowledgement && now - peer.waiting_since >= kResendTimeout)
            peer.sent_sequence = peer.acknowledged_sequence;
        send_to_peer(address, peer, now, messages);
    }
}

}    // namespace shaletray::controller
