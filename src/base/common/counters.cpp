#include "base/common/counters.h"

#include <fmt/format.h>

namespace shaletray {

std::string Counters::text() const {
    static constexpr std::array<const char*, 8> kOutcomes = {
        "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};
    std::string out = fmt::format("requests: taken={} gone={} overdue={} turned_away={}\n", taken, gone,
                                  overdue, turned_away);
    out += fmt::format("attempts: sent={}", sent);
    for (std::size_t i = 0; i < outcomes.size(); ++i) out += fmt::format(" {}={}", kOutcomes[i], outcomes[i]);
    out += fmt::format(" called_off={}\nanswers:", cancelled);
    for (const auto& [status, count] : answered) out += fmt::format(" {}={}", status, count);
    out += fmt::format("\nprobes: sent={} failed={}\n", probes, probes_failed);
    out += fmt::format("peers: sent={} send_failed={} taken={} dropped={}\n", peer_sent, peer_send_failed,
                       peer_taken, peer_dropped);
    out += fmt::format("clients: accepted={} open={} rejected={}\n", clients_accepted, clients_open,
                       clients_rejected);
    out += fmt::format("flows: begun={} open={} broken={} uploads={}\n", flows, flows_open, flows_broken,
                       uploads);
    out += fmt::format("servers: dialled={} dial_failed={} reused={} open={} bad_answers={}\n",
                       servers_dialled, servers_dial_failed, servers_reused, servers_open, bad_answers);
    out += fmt::format("lists: full={} changed={} watches={} bad_lines={}\n", lists_full, lists_changed,
                       watches, bad_lines);
    out += fmt::format("reloads: done={} failed={} taken={}\n", reloads, reloads_failed, loads);
    out += fmt::format("units: settled={} untold={}\n", units_settled, units_untold);
    return out;
}

}    // namespace shaletray
