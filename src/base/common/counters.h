// What the gateway took in, sent and answered since its start.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace shaletray {

// Of one class of requests, by its name: how they were answered.
struct ClassCounts {
    std::uint64_t passed = 0, dropped = 0, failed = 0;
};

struct Counters {
    using Count = std::uint64_t;

    std::map<std::string, ClassCounts> classes;    // none is taken out

    Count taken = 0, gone = 0, overdue = 0, turned_away = 0;    // requests
    Count sent = 0, tries_written = 0;                          // attempts begun; written whole to a server
    std::array<Count, 8> outcomes{};                            // by decision::Outcome
    Count cancelled = 0, probes = 0, probes_failed = 0;
    std::map<int, Count> answered;    // by the front's status
    Count peer_sent = 0, peer_send_failed = 0, peer_taken = 0, peer_dropped = 0;
    Count clients_accepted = 0, clients_open = 0, clients_rejected = 0;
    Count uploads = 0;                                    // requests passed on while they come
    Count flows = 0, flows_open = 0, flows_broken = 0;    // answers passed on in pieces
    Count servers_dialled = 0, servers_dial_failed = 0, servers_reused = 0, servers_open = 0;
    Count lists_full = 0, lists_changed = 0, watches = 0, bad_lines = 0, bad_answers = 0;
    Count reloads = 0, reloads_failed = 0;        // discovery moved; files turned down
    Count loads = 0;                              // files taken
    Count units_settled = 0, units_untold = 0;    // good answers that told their true units, or did not

    // One line a subject.
    std::string text() const;
};

}    // namespace shaletray
