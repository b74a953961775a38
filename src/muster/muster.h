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

#include "core/clock.h"

namespace shaletray::muster {

enum class State : std::uint8_t { InService, Draining, Gone, Lost };    // Lost: its beats stopped coming

struct Server {
    std::string id, service, address, zone, revision;
    int capacity = 1;
    State state = State::InService;
    std::uint64_t calls = 0;    // its call_count: the later word wins; Gone is final
    Duration ramp_left{0};      // at `at`
    TimePoint at{};             // when this was last told here, by this process's clock
};

struct Beat {    // as decoded from a call
    Server server;
};
// Errors: std::string with field and reason.
boost::leaf::result<Beat> read_beat(std::string_view id, std::string_view json);

class Muster {
public:
    struct Settings {
        Duration heartbeat = std::chrono::milliseconds(1500);
        int missed = 4;    // beats after which its keeper calls a server Lost
    };
    explicit Muster(Settings settings);
    // A server called here. False where its count is not above the one known: nothing changes.
    bool beat(const Beat& beat, TimePoint now);
    bool deregister(std::string_view id, TimePoint now);
    // Entries of another lighthouse. `from`: its address, the keeper of those servers from now on.
    void merge(const std::string& from, std::string_view bytes, TimePoint now);
    void tick(TimePoint now);    // looks for beats that stopped
    // A server with another id at the address of an older one proves that the older one is Gone.

    // All changes are numbered in this process's life, so that a reader asks for what is new to it.
    std::uint64_t sequence() const;
    // Entries changed after `since` (0: all that are known), as bytes for merge and for Roster::take.
    // `own_only`: just those that this muster keeps (heard itself), for other lighthouses.
    std::string changes(std::uint64_t since, bool own_only, TimePoint now) const;
    const std::map<std::string, Server>& servers() const;    // by id
    // Entries that are Gone or Lost are dropped once nobody can need them.

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

// A pilot's view: the union of what the lighthouses tell.
class Roster {
public:
    // Ids of servers whose entry changed. Errors: std::string.
    boost::leaf::result<std::vector<std::string>> take(std::string_view bytes, TimePoint now);
    const std::map<std::string, Server>& servers() const { return servers_; }

private:
    std::map<std::string, Server> servers_;
};

}    // namespace shaletray::muster
