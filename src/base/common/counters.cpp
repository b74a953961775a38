#include "base/common/counters.h"

#include <fmt/format.h>

namespace shaletray {

std::string Counters::to_text() const {
    static constexpr std::array<const char*, 8> kOutcomeNames = {
        "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};
    std::string text =
        fmt::format("requests: taken={} gone={} overdue={} turned_away={}\n", requests_accepted,
                    requests_cancelled, requests_overdue, requests_rejected);
    text += fmt::format("attempts: sent={}", attempts_sent);
    for (std::size_t index = 0; index < outcomes.size(); ++index)
        text += fmt::format(" {}={}", kOutcomeNames[index], outcomes[index]);
    text += fmt::format(" called_off={}\nanswers:", attempts_cancelled);
    for (const auto& [status, count] : answers_by_status) text += fmt::format(" {}={}", status, count);
    text += fmt::format("\nprobes: sent={} failed={}\n", health_checks, health_checks_failed);
    text += fmt::format("peers: sent={} send_failed={} taken={} dropped={}\n", peer_messages_sent,
                        peer_send_failed, peer_messages_received, peer_messages_dropped);
    text += fmt::format("clients: accepted={} open={} rejected={}\n", clients_accepted, open_clients,
                        clients_rejected);
    text += fmt::format("messages: heads={} submitted={}\n", request_heads_read, requests_submitted);
    text += fmt::format(
        "flows: begun={} open={} broken={} uploads={} answered_received={} answered_incomplete={}\n",
        streamed_answers, open_streamed_answers, broken_streamed_answers, streamed_uploads,
        uploads_answered_received, uploads_answered_incomplete);
    text += fmt::format("servers: dialled={} dial_failed={} reused={} open={} bad_answers={}\n",
                        server_connections_dialled, server_dials_failed, server_connections_reused,
                        open_server_connections, malformed_answers);
    text += fmt::format("lists: full={} changed={} watches={} bad_lines={}\n", full_lists_received,
                        list_updates_received, discovery_watches, malformed_list_lines);
    text +=
        fmt::format("reloads: done={} failed={} taken={}\n", reloads, reloads_failed, configurations_loaded);
    text += fmt::format("units: settled={} untold={}\n", units_settled, units_unreported);
    return text;
}

}    // namespace shaletray
