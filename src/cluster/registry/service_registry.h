// Service registry: which servers exist, as learned from their heartbeats. Each controller has a registry,
// and passes what it learns to the other controllers and to all gateways. The state is not persisted: it
// lives as long as the processes do.
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
    Draining,    // finishes what it has and gets no new requests
    Departed,    // deregistered, or replaced by a newer server at its address
    Expired      // its heartbeats stopped
};

// What is known of a server.
struct Server {
    std::string id;
    std::string service;
    std::string address;    // "host:port"
    std::string zone;
    std::string revision;
    int capacity = 1;    // concurrent requests
    State state = State::InService;
    std::uint64_t call_count = 0;    // of its latest call: the entry with the higher one is the later one
    Duration slow_start_left{0};     // at last_called_at
    TimePoint last_called_at{};      // when it last called its owner, as far as is known here
};

// A heartbeat of a server.
struct Heartbeat {
    Server server;    // last_called_at is not set
    // Of a server whose service divides its keys. Rows that are malformed are left out and counted.
    ownership::HoldReport holds{};
    std::size_t malformed_rows = 0;
};
// Parses the JSON body of a heartbeat; unknown fields are ignored. Error: std::string with field and reason.
boost::leaf::result<Heartbeat> parse_heartbeat(std::string_view id, std::string_view text);

class EndpointView;

// The registry of a controller. Does no input or output and reads no clock. Not thread-safe.
//
// The controller that had a server's latest call is its owner, and declares it Expired when its heartbeats
// stop. A server with another id at the address of an older one proves that the older one has Departed.
// Servers that are Departed or Expired are erased after 60 s.
class ServiceRegistry {
public:
    struct Settings {
        std::string self_address;         // this controller's internal address
        std::uint64_t incarnation = 0;    // of this controller
        Duration heartbeat_interval = std::chrono::milliseconds(1500);
        int max_missed_heartbeats = 4;    // after so many a server is Expired
    };
    explicit ServiceRegistry(Settings settings);
    ~ServiceRegistry();
    ServiceRegistry(ServiceRegistry&&) noexcept;
    ServiceRegistry& operator=(ServiceRegistry&&) noexcept;
    // This controller has taken a higher incarnation. All changes have to be sent to others again.
    void incarnation(std::uint64_t new_incarnation);
    std::uint64_t incarnation() const { return incarnation_; }
    // A server called here; this controller owns it from now on. False if its call count is not above the
    // known one, or it has deregistered: then nothing changes.
    bool record_heartbeat(const Heartbeat& heartbeat, TimePoint now);
    // A server announced its end, which is final. False if it had done so before.
    bool deregister(std::string_view id, TimePoint now);
    // Merges an update of another controller. Malformed bytes are counted and change nothing.
    void merge_changes(const std::string& from, std::string_view bytes, TimePoint now);
    // Detects heartbeats that stopped; to be called a few times a second.
    void tick(TimePoint now);

    // The number of the latest change in this incarnation. Readers ask for the changes after the last one
    // that they have. Heartbeats that merely repeat what is known are no changes.
    std::uint64_t sequence() const;
    // The entries changed after `since` (0: all) as bytes for merge_changes() and
    // EndpointDirectory::apply_changes(). Without changes these are a few bytes that still show which owners
    // run. own_only: just the entries that this controller owns or once owned, for other controllers.
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;
    // The sequence number up to which another controller's changes are known here; 0 for another incarnation
    // than the known one. The changes after it make up for all updates that were lost.
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

// The servers as a gateway sees them: the union of what the controllers send. Not thread-safe.
class EndpointDirectory {
public:
    EndpointDirectory();
    ~EndpointDirectory();
    EndpointDirectory(EndpointDirectory&&) noexcept;
    EndpointDirectory& operator=(EndpointDirectory&&) noexcept;
    // Merges an update of a controller and returns the ids of the servers that changed or were erased.
    // Updates without changes count too: they show that the owners run. Error: runtime::MalformedMessage;
    // then nothing changed.
    boost::leaf::result<std::vector<std::string>> apply_changes(std::string_view bytes, TimePoint now);
    // The servers by id.
    const std::map<std::string, Server>& servers() const;

private:
    std::unique_ptr<EndpointView> view_;
};

}    // namespace shaletray::registry
