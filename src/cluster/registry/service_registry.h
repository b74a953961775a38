// Service registry: the servers that exist, as known from their heartbeats. Each controller has a registry
// and sends its changes to the other controllers and to all gateways. The state is kept in memory only.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::registry {

enum class State : std::uint8_t {
    InService,
    Draining,    // finishes its requests in progress and receives no new ones
    Departed,    // deregistered, or replaced by a newer server at its address
    Expired      // its heartbeats stopped
};

// A server and its state according to its latest heartbeat.
struct Server {
    std::string id;
    std::string service;
    std::string address;    // "host:port"
    std::string zone;
    std::string revision;
    int capacity = 1;    // concurrent requests
    State state = State::InService;
    std::uint64_t call_count = 0;    // of its latest heartbeat; orders the entries of a server
    Duration slow_start_left{0};     // remaining slow start at last_called_at
    TimePoint last_called_at{};      // when its owner received its latest heartbeat, as far as known
};

// A heartbeat of a server.
struct Heartbeat {
    Server server;    // without last_called_at
    // Key ranges held or released by a server of a sharded service. Malformed rows are skipped and counted.
    ownership::HoldReport holds{};
    std::size_t malformed_rows = 0;
};
// Parses the JSON body of a heartbeat; unknown fields are ignored. Error: std::string, "field: reason".
boost::leaf::result<Heartbeat> parse_heartbeat(std::string_view id, std::string_view text);

class EndpointView;

// The registry of a controller. Does no I/O and reads no clock. Not thread-safe.
//
// The controller that received a server's latest heartbeat is its owner, and sets it to Expired when its
// heartbeats stop. A server with another id at the address of an older one proves that the older one has
// Departed. Departed and Expired servers are erased after 60 s.
class ServiceRegistry {
public:
    struct Settings {
        std::string self_address;         // this controller's internal address
        std::uint64_t incarnation = 0;    // of this controller
        Duration heartbeat_interval = std::chrono::milliseconds(1500);
        int max_missed_heartbeats = 4;    // a server is Expired after this number of them
    };
    explicit ServiceRegistry(Settings settings);
    ~ServiceRegistry();
    ServiceRegistry(ServiceRegistry&&) noexcept;
    ServiceRegistry& operator=(ServiceRegistry&&) noexcept;
    // Sets a higher incarnation of this controller. All changes must be sent to the other processes again.
    void incarnation(std::uint64_t new_incarnation);
    std::uint64_t incarnation() const { return incarnation_; }
    // Records a heartbeat; this controller owns the server from now on. Returns false, without changes, where
    // the call count is not above the known one or the server has deregistered.
    bool record_heartbeat(const Heartbeat& heartbeat, TimePoint now);
    // Records a deregistration, which is final. Returns false where the server was already deregistered.
    bool deregister(std::string_view id, TimePoint now);
    // Merges an update of another controller. A malformed update is counted and changes nothing.
    void merge_changes(const std::string& from, std::string_view bytes, TimePoint now);
    // Expires servers whose heartbeats stopped. To be called a few times per second.
    void tick(TimePoint now);

    // Returns the sequence number of the latest change in this incarnation. Readers request the changes after
    // the last one that they have. A heartbeat without new information is not a change.
    std::uint64_t sequence() const;
    // Returns the sequence number of the latest change that encode_changes() contains with `own_only`.
    std::uint64_t own_sequence() const;
    // Encodes the entries that changed after `since` (0: all) for merge_changes() and
    // EndpointDirectory::apply_changes(). Without changes the result is a few bytes that still show which
    // owners are running. With `own_only`, which is for other controllers, it contains just the entries that
    // this controller owns or owned before.
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;
    // Returns the sequence number up to which another controller's changes are known; 0 for another
    // incarnation than the known one. Resending the changes after it replaces all lost updates.
    std::uint64_t known_sequence(const std::string& controller_address,
                                 std::uint64_t controller_incarnation) const;
    // The servers by id.
    const std::map<std::string, Server>& servers() const;
    std::uint64_t malformed_messages() const { return malformed_messages_; }

private:
    std::unique_ptr<EndpointView> view_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t malformed_messages_ = 0;
};

// The servers as known to a gateway: the merged updates of all controllers. Not thread-safe.
class EndpointDirectory {
public:
    EndpointDirectory();
    ~EndpointDirectory();
    EndpointDirectory(EndpointDirectory&&) noexcept;
    EndpointDirectory& operator=(EndpointDirectory&&) noexcept;
    // Merges an update of a controller and returns the ids of the servers that changed or were erased.
    // Updates without changes must be applied too, as they show that the owners are running. Error:
    // runtime::MalformedMessage, without changes.
    boost::leaf::result<std::vector<std::string>> apply_changes(std::string_view bytes, TimePoint now);
    // The servers by id.
    const std::map<std::string, Server>& servers() const;

private:
    std::unique_ptr<EndpointView> view_;
};

}    // namespace shaletray::registry
