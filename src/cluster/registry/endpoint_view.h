// A view of all servers, kept by controllers and gateways. Entries of several controllers are merged to the
// same result regardless of the order in which they arrive.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

// Merges the entries of servers that controllers announce. An entry is the state that a server reported to
// its owner, the controller that received its latest heartbeat; call counts order the entries of a server. A
// server's own deregistration is final. Two states are concluded, and reverted by a later heartbeat: a server
// is Expired when its owner has received no heartbeat for `heartbeat_timeout`, and Departed when the first
// heartbeat of another server at its address came after its own last heartbeat.
//
// An owner may be unreachable because of a network partition. Its servers become Expired only when no process
// has had contact with it for twice the heartbeat timeout, and are restored on the next contact.
//
// Does no I/O and reads no clock. Not thread-safe.
class EndpointView {
public:
    struct Settings {
        std::string self_address;    // empty for a gateway, which owns no servers
        std::uint64_t incarnation = 0;
        Duration heartbeat_timeout = std::chrono::seconds(6);    // a server without heartbeats then expires
        Duration ended_retention = std::chrono::seconds(60);     // of Departed and Expired servers
        // Retention of servers that are Expired because their owner is unreachable.
        Duration orphan_retention = std::chrono::minutes(10);
    };
    explicit EndpointView(Settings settings);
    ~EndpointView();
    // Sets a higher incarnation of this process, which keeps the servers that the previous one owned.
    void set_incarnation(std::uint64_t new_incarnation);

    // Records a heartbeat that this process received. Returns false, without changes, where it is not later
    // than the known one or the server has deregistered.
    bool record_heartbeat(const Server& server, TimePoint now);
    // Records a deregistration that this process received. Returns false where the server was already
    // deregistered.
    bool deregister(std::string_view id, TimePoint now);
    // Merges an update and returns the ids of the servers that changed. `from` is the address of the sender,
    // or empty where it is unknown. Error: runtime::MalformedMessage, without changes.
    boost::leaf::result<std::vector<std::string>> apply_changes(const std::string& from,
                                                                std::string_view bytes, TimePoint now);
    // Expires servers whose heartbeats stopped, and erases ended ones after their retention. Returns the ids
    // of both.
    std::vector<std::string> tick(TimePoint now);
    // Encodes the entries that changed after `since`; see ServiceRegistry::encode_changes().
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;

    std::uint64_t sequence() const;
    std::uint64_t own_sequence() const;
    std::uint64_t known_sequence(const std::string& owner_address, std::uint64_t incarnation) const;
    const std::map<std::string, Server>& servers() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::registry
