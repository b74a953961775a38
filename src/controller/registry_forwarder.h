// Replicates the servers that each controller owns to the other controllers. Changes of them are sent
// immediately; what other controllers announced is not passed on, so that a change costs one message to each.
// Every second, a message to each peer proves that the sender runs and acknowledges the peer's changes up to
// a sequence number; the peer resends what was lost after that number. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/service_registry.h"

namespace shaletray::controller {

// Sends the registry's changes and merges received changes into it. The registry must outlive the forwarder.
class RegistryForwarder {
public:
    struct OutgoingMessage {
        std::string to, bytes;
    };
    explicit RegistryForwarder(registry::ServiceRegistry& service_registry) : registry_(service_registry) {}

    // Sets the internal addresses of all known controllers except this one.
    void set_peers(const std::vector<std::string>& addresses);
    // Call after this controller's incarnation has risen: all changes are sent to all peers again.
    void reset_peers();
    // Merges the changes into the registry. Malformed messages are counted and ignored.
    void on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes,
                    TimePoint now);
    // Whether send_changes() would send anything.
    bool has_unsent_changes() const;
    // Asks the peers to acknowledge all changes so far immediately, not with their next periodic message.
    void request_acknowledgement() { requested_sequence_ = registry_.sequence(); }
    // Highest sequence number up to which a majority of the voters has acknowledged this registry's changes.
    // `voters` are internal addresses, including this controller's own if it votes.
    std::uint64_t majority_acknowledged_sequence(const std::vector<std::string>& voters,
                                                 const std::string& self_address) const;
    // Sends each peer the changes since the last message to it, if there are any.
    void send_changes(TimePoint now, std::vector<OutgoingMessage>& messages);
    // Sends the periodic message to every peer. Call at next_deadline() or later.
    void tick(TimePoint now, std::vector<OutgoingMessage>& messages);
    TimePoint next_deadline() const { return next_deadline_; }
    std::uint64_t malformed_messages() const { return malformed_messages_; }

private:
    struct Peer {
        std::uint64_t incarnation = 0;              // 0: no message received from it yet
        std::uint64_t sent_sequence = 0;            // this registry's changes were sent up to here
        std::uint64_t acknowledged_sequence = 0;    // and acknowledged up to here
        TimePoint waiting_since{};                  // when the oldest unacknowledged change was sent
        bool wants_acknowledgement = false;         // it asked for an immediate acknowledgement
    };
    bool must_send_to(const Peer& peer) const;
    void record_acknowledgement(Peer& peer, std::uint64_t acknowledged_sequence, TimePoint now);
    void send_to_peer(const std::string& recipient, Peer& peer, TimePoint now,
                      std::vector<OutgoingMessage>& messages);

    registry::ServiceRegistry& registry_;
    std::map<std::string, Peer> peers_;       // by address
    std::uint64_t requested_sequence_ = 0;    // peers must acknowledge up to here at once
    TimePoint next_deadline_{};
    std::uint64_t malformed_messages_ = 0;
};

}    // namespace shaletray::controller
