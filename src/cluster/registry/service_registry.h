// Which servers there are, as their beats tell. Each lighthouse keeps a muster; what one learns it passes to
// the others and to all pilots, as entries. Pure. Soft state: it lives as long as the processes do.
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

namespace shaletray::registry {

// Lost: its beats stopped coming.
enum class State : std::uint8_t { InService, Draining, Departed, Expired };

struct Server {
    std::string id, service, address, zone, revision;
    int capacity = 1;
    State state = State::InService;
    std::uint64_t call_count = 0;    // its call_count: the later word wins; a farewell is final
    Duration slow_start_left{0};     // at `at`
    TimePoint last_called_at{};      // when it last called its keeper, as far as is known here
};

struct Heartbeat {    // as decoded from a call
    Server server;
};
// The body of a heartbeat; fields that are not known are passed over. Errors: std::string with field and
// reason.
boost::leaf::result<Heartbeat> parse_heartbeat(std::string_view id, std::string_view text);

class EndpointView;

class ServiceRegistry {
public:
    struct Settings {
        std::string self_address;         // this lighthouse's internal address
        std::uint64_t incarnation = 0;    // and its life
        Duration heartbeat_interval = std::chrono::milliseconds(1500);
        int max_missed_heartbeats = 4;    // beats after which its keeper calls a server Lost
    };
    explicit ServiceRegistry(Settings settings);
    ~ServiceRegistry();
    ServiceRegistry(ServiceRegistry&&) noexcept;
    ServiceRegistry& operator=(ServiceRegistry&&) noexcept;
    // This lighthouse's life turned out to be a later one. Others are then to be told all anew.
    void incarnation(std::uint64_t new_incarnation);
    std::uint64_t incarnation() const { return incarnation_; }
    // A server called here, which is its keeper from now on. False where its count is not above the one
    // known, or it has said farewell: nothing changes.
    bool record_heartbeat(const Heartbeat& heartbeat, TimePoint now);
    bool deregister(std::string_view id, TimePoint now);
    // Entries that another lighthouse keeps. Bytes that are not such are counted, and nothing else.
    void merge_changes(const std::string& from, std::string_view bytes, TimePoint now);
    void tick(TimePoint now);    // looks for beats that stopped; a few times a second
    // A server with another id at the address of an older one proves that the older one is Gone.

    // Changes are numbered in this process's life, so that a reader asks for what is new to it. Calls that
    // merely repeat what is known are none.
    std::uint64_t sequence() const;
    // Entries changed after `since` (0: all that are known), as bytes for merge and for Roster::take; with
    // none, a few bytes that still prove that those who keep servers run.
    // `own_only`: just those that this muster keeps (heard itself) or once kept, for other lighthouses.
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;
    // Up to which of its changes another lighthouse's are known here; 0 for another life than the known one.
    // What is told again from there on makes up for all that was lost.
    std::uint64_t known_sequence(const std::string& controller_address,
                                 std::uint64_t controller_incarnation) const;
    const std::map<std::string, Server>& servers() const;    // by id
    // Entries that are Gone or Lost are dropped after 60 s.
    std::uint64_t malformed_messages() const { return malformed_messages_; }

private:
    std::unique_ptr<EndpointView> view_;
    std::uint64_t incarnation_ = 0, malformed_messages_ = 0;
};

// A pilot's view: the union of what the lighthouses tell.
class EndpointDirectory {
public:
    EndpointDirectory();
    ~EndpointDirectory();
    EndpointDirectory(EndpointDirectory&&) noexcept;
    EndpointDirectory& operator=(EndpointDirectory&&) noexcept;
    // Ids of servers whose entry changed, also those that were forgotten now. To be called with all that
    // lighthouses tell, changes or none: who keeps on being told of is not Lost. Errors: std::string; nothing
    // was taken then.
    boost::leaf::result<std::vector<std::string>> apply_changes(std::string_view bytes, TimePoint now);
    const std::map<std::string, Server>& servers() const;

private:
    std::unique_ptr<EndpointView> view_;
};

}    // namespace shaletray::registry
