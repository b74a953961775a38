// What a gateway is told when it starts: the configuration file and the settings in it.
#pragma once

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/platform/host_directory.h"
#include "base/common/clock.h"
#include "decision/control.h"

namespace shaletray {

// What is wrong, in one plain line.
class BadConfig : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

constexpr std::size_t kFewestSockets = 64;

struct Config {
    std::string name, listen, discovery, peer_listen, peers_all;
    std::string admin;                 // the second address; empty: none
    std::vector<std::string> peers;    // by their numbers, our own included
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    double memory_mb = 32.0;
    decision::Settings settings;
    // What the settings say beyond what the module reads.
    PlaceNames places;
    std::vector<bool> streams;       // by class, as the settings list them
    std::vector<int> class_index;    // the engine's, likewise
    bool reservations = false;       // requests may name one; set where plans change in service
    Duration conn_idle{0}, dial_timeout{0};
    MemberList known;
    // Every field that the file holds, as a path; of a list's entries those that all have.
    std::set<std::string> fields;

    Duration longest_deadline() const;
};

Config parse_config(const std::string& text);
// A file that lacks what the running one holds was cut, or belongs to something else: throws BadConfig.
void check_whole(const Config& next, const Config& running);
// Reads the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what it says.
Config config_from_environment();
// The same file once more, for a reload: what it says now is newer than the environment, and goes before it.
Config config_from_file();

}    // namespace shaletray
