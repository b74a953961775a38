// What lighthouses tell each other of the servers that each keeps: changes at once, and every second a word
// that they run, which also says up to where the reader is known. What was lost with a connection is told
// again from there. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/service_registry.h"

namespace shaletray::controller {

class RegistryForwarder {
public:
    struct OutgoingMessage {
        std::string to, bytes;
    };
    explicit RegistryForwarder(registry::ServiceRegistry& service_registry) : registry_(service_registry) {}

    void set_peers(
        const std::vector<std::string>& addresses);    // all lighthouses that are known, without this
    void reset_peers();                                // this lighthouse's was raised: all are told all anew
    // Bytes that are no such message are counted, and nothing else. What they tell is in the muster then.
    void on_message(const std::string& from, std::uint64_t incarnation, std::string_view bytes,
                    TimePoint now);
    // What changed since the others were told.
    void send_changes(TimePoint now, std::vector<OutgoingMessage>& messages);
    void tick(TimePoint now, std::vector<OutgoingMessage>& messages);
    TimePoint next_deadline() const { return next_deadline_; }
    std::uint64_t malformed_messages() const { return malformed_messages_; }

private:
    struct Peer {
        std::uint64_t incarnation = 0;              // 0: not heard yet
        std::uint64_t sent_sequence = 0;            // our changes up to this one were sent
        std::uint64_t acknowledged_sequence = 0;    // these it has, as it says
        TimePoint waiting_since{};                  // for it to know more of what was told
    };
    void send_to_peer(const std::string& recipient, Peer& peer, TimePoint now,
                      std::vector<OutgoingMessage>& messages);

    registry::ServiceRegistry& registry_;
    std::map<std::string, Peer> peers_;
    TimePoint next_deadline_{};
    std::uint64_t malformed_messages_ = 0;
};

}    // namespace shaletray::controller
