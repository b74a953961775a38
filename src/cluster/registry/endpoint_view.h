// The servers as a controller or a gateway knows them: entries of several controllers, merged to the same
// result in whatever order they arrive.
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

// Merges what servers say to controllers. An entry is what a server said to its owner, the controller that
// had its latest call; the call counts order the entries of a server. A server's own deregistration is final.
// Two more things are concluded, and refuted by a later call: that a server is Expired, since its owner had
// no call of it for too long, and that it has Departed, since another server called from its address for the
// first time after its last call.
//
// An owner may be silent because it is partitioned: its servers are Expired for that only when nobody has
// heard of it for twice that time, and are restored as soon as somebody hears of it again.
//
// Does no input or output and reads no clock. Not thread-safe.
class EndpointView {
public:
    struct Settings {
        std::string self_address;    // empty: a gateway, which owns no servers
        std::uint64_t incarnation = 0;
        Duration heartbeat_timeout = std::chrono::seconds(6);    // without calls until a server is Expired
        Duration ended_retention = std::chrono::seconds(60);     // of Departed and Expired servers
        Duration orphan_retention =
            std::chrono::minutes(10);    // of those that Expired for their owner's silence
    };
    explicit EndpointView(Settings settings);
    ~EndpointView();
    // This process has taken a higher incarnation, which owns what the previous one did.
    void set_incarnation(std::uint64_t new_incarnation);

    // A server called this process. False: the call is not later than the known one, nothing changed.
    bool record_call(const Server& server, TimePoint now);
    // A server deregistered with this process. False: it had done so before.
    bool deregister(std::string_view id, TimePoint now);
    // Merges an update and returns the ids of the servers that changed. `from`: the address of the sender;
    // empty if it is not known. Error: runtime::MalformedMessage; then nothing changed.
    boost::leaf::result<std::vector<std::string>> apply_changes(const std::string& from,
                                                                std::string_view bytes, TimePoint now);
    // Expires and erases servers whose time is over; returns the ids of those.
    std::vector<std::string> tick(TimePoint now);
    // The entries changed after `since`, see ServiceRegistry::encode_changes().
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;

    std::uint64_t sequence() const;
    std::uint64_t known_sequence(const std::string& owner_address, std::uint64_t incarnation) const;
    const std::map<std::string, Server>& servers() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::registry
