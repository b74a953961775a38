// Counters of the data plane since the process's start, as the metrics report them. Written and read by the
// reactor's thread only.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace shaletray {

// Results of one request class. `dropped`: rejected for lack of quota or capacity.
struct RequestClassCounters {
    std::uint64_t answered = 0, dropped = 0, failed = 0;
};

// All counters only grow, apart from those named open_*, which count what is open now.
struct Counters {
    using Counter = std::uint64_t;

    std::map<std::string, RequestClassCounters>
        classes;    // by class name; entries are never removed, so pointers to them stay valid

    Counter requests_accepted = 0, requests_cancelled = 0, requests_overdue = 0,
            requests_rejected = 0;    // requests
    Counter attempts_sent = 0,
            attempts_written = 0;         // attempts begun; requests written completely to a server
    std::array<Counter, 8> outcomes{};    // by decision::Outcome
    Counter attempts_cancelled = 0, health_checks = 0, health_checks_failed = 0;
    std::map<int, Counter> answers_by_status;    // by HTTP status of the response to the client
    Counter peer_messages_sent = 0, peer_send_failed = 0, peer_messages_received = 0,
            peer_messages_dropped = 0;
    Counter clients_accepted = 0, open_clients = 0, clients_rejected = 0;
    // A message of a client is submitted once at most: requests_submitted never exceeds request_heads_read.
    Counter request_heads_read = 0, requests_submitted = 0;
    Counter streamed_uploads = 0;    // requests forwarded while they are received
    // Of these, answered before their body was passed on whole: whether its end had arrived by then.
    Counter uploads_answered_received = 0, uploads_answered_incomplete = 0;
    Counter streamed_answers = 0, open_streamed_answers = 0,
            broken_streamed_answers = 0;    // responses forwarded in pieces
    Counter server_connections_dialled = 0, server_dials_failed = 0, server_connections_reused = 0,
            open_server_connections = 0;
    Counter full_lists_received = 0, list_updates_received = 0, discovery_watches = 0,
            malformed_list_lines = 0, malformed_answers = 0;
    Counter reloads = 0, reloads_failed = 0;            // discovery address changed; files rejected
    Counter configurations_loaded = 0;                  // files applied
    Counter units_settled = 0, units_unreported = 0;    // successful responses with or without usable units

    // One line per subject, for the log.
    std::string to_text() const;
};

}    // namespace shaletray
