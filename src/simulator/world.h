// The simulation of a whole site in virtual time: frontends with clients, gateways that run the real engine,
// emulated servers, and the network between them. A run is a deterministic function of scenario and seed and
// does no I/O.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/control.h"

namespace shaletray::testbed {

using decision::Duration;
using decision::TimePoint;

struct ServerModel {
    int cores = 4, queue_length = 64;
    double work_ms = 20.0;               // median work of a request
    double work_sigma = 0.5;             // sigma of the logarithm of the work
    double heavy_fraction = 0.0;         // fraction of requests with ten times the work
    double full_queue_slowdown = 0.3;    // fraction of the speed lost with a full queue
    double initial_speed = 0.5;          // relative speed at start; grows to 1 within warm_up_time
    Duration warm_up_time{2'000'000};
    bool cancel_stops_work = true;      // cancelling also stops running work
    Duration connection_work{0};        // extra work of a connection's first request
    Duration max_report_age{0};         // maximum age of a load report
    double report_noise_sigma = 0.0;    // sigma of the logarithm of its error factor
    // A server that receives more than overload_factor times its capacity for overload_duration while it
    // warms up collapses and stays down.
    double overload_factor = 4.0;
    Duration overload_duration{1'500'000};
};

struct Fault {
    enum class Kind {
        Crash,
        Slowdown,
        Hang,
        Errors,
        Drain,
        RoomLost,
        LinkLoss,
        HeavyRequests,    // a fraction of a class's requests have `magnitude` times the work, at all servers
        GatewayCrash,     // its process ends; frontends detect it with a delay
        DiscoveryOutage,    // changes become known at the end of the outage
        PeerMessageLoss,    // loss of datagrams between gateways
        StoreOutage         // the shared counter does not respond
    };
    Kind kind{};
    Duration starts_at{0}, duration{0};
    int server_index = -1, room_index = -1;    // the server, or for RoomLost the room
    double magnitude =
        1.0;    // Slowdown, HeavyRequests: factor of the work; Errors, LinkLoss, PeerMessageLoss: fraction
    double request_fraction = 1.0;     // HeavyRequests: fraction of the requests
    int class_index = -1;              // HeavyRequests: class of the requests; -1: all
    int gateway_index = -1;            // GatewayCrash: the gateway
    bool includes_gateways = false;    // RoomLost: the room's gateways crash too
    double server_fraction =
        0.0;    // instead of server_index: a fraction of all servers, drawn for each seed
    // If above the fields of the same name without _max, the values are drawn in between for each seed.
    Duration starts_at_max{0}, duration_max{0};
    double magnitude_max = 0.0, request_fraction_max = 0.0;
};
bool affects_servers(Fault::Kind kind);
struct Scenario;
// Whether a fault, after its draws, affects that server.
bool fault_affects_server(const Scenario& s, const Fault& f, int server);
const char* fault_name(Fault::Kind kind);

// A change of a plan during the run, made in the plan table; takes effect a lead time after proposed_at.
struct PlanChange {
    Duration proposed_at{0};
    int plan_index = 0;
    double rate = 0.0, burst = 0.0, rate_limit = 0.0, rate_limit_burst = 0.0, rate_limit_slack = 0.0;
};

struct Scenario {
    // How gateways exchange customers' usage: by datagrams to each other, or through a shared counter.
    enum class QuotaSharing { PeerMessages, SharedCounter };
    std::string name = "calm";
    std::uint64_t seed = 1;
    Duration duration{30'000'000};
    int gateway_count = 3, server_count = 9, room_count = 3, frontend_count = 4;
    std::uint64_t customer_count = 1000;
    double zipf_exponent = 1.1;     // skew of requests over customers
    double request_rate = 300.0;    // requests a second, all customers together
    double burst_fraction = 0.0;    // fraction of the time in which a frontend sends at three times the rate
    double favourite_fraction =
        0.3;    // fraction of a frontend's requests to a favourite gateway, which changes
    double request_units = 1.0;
    int max_attempts = 3;                   // of a client, after rejections and failures
    double abandon_fraction = 0.0;          // fraction of clients that abandon their request early
    Duration request_timeout{2'000'000};    // of a client, over all of its attempts
    Duration network_delay{300};       // one way, at least this and at most twice; the kernel's lookahead
    Duration list_delay{50'000};       // until a gateway receives a server's change; at most twice that
    double peer_message_loss = 0.0;    // fraction of the datagrams between gateways
    QuotaSharing quota_sharing = QuotaSharing::PeerMessages;
    ServerModel server_model;
    std::vector<PlanChange> plan_changes;    // QuotaSharing::SharedCounter only
    std::vector<decision::PlanSettings>
        plans;    // assigned to customers in turn; empty: one practically unlimited plan
    std::vector<Fault> faults;

    // Throws std::invalid_argument that names the invalid field.
    void validate() const;
    // Returns the scenario with the seed's random draws made: its faults have no ranges or fractions, and
    // each affects one server or room.
    Scenario with_drawn_faults() const;
};

// Size and first member of the set of gateways that serve a customer, as its requests name it.
inline int gateway_set_size(const Scenario& s) { return s.gateway_count < 3 ? s.gateway_count : 3; }
inline int first_gateway_of(const Scenario& s, decision::CustomerId customer) {
    return static_cast<int>(static_cast<std::uint64_t>(customer) %
                            static_cast<std::uint64_t>(s.gateway_count));
}

// Classes and settings of the gateways; the same in virtual time and on sockets.
enum SimulatedClass : int { ClaimRead, Approve, ClaimSubmit };
const std::vector<decision::ClassSettings>& simulated_classes();
decision::Settings gateway_settings(const Scenario& s, int self_index);
// The host list of discovery at the start.
decision::HostList all_servers(const Scenario& s);
inline decision::HostId host_of(int server) {
    return decision::HostId{static_cast<std::uint32_t>(server + 1)};
}
// A change of the host list during a run.
struct HostListChange {
    Duration known_at{0};    // to discovery
    int server_index = 0;
    decision::HostState state{};
    Duration started_at{-1};    // below 0: before the run
};
// `s` must be a result of with_drawn_faults().
std::vector<HostListChange> host_list_changes(const Scenario& s);

// Latency in milliseconds of one second of a run, in logarithmic bins of about an eighth.
using CoarseHistogram = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint32_t>(),
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e5)));
CoarseHistogram make_coarse_histogram();

struct RunStatistics {
    std::uint64_t requests = 0, client_attempts = 0;    // of clients
    std::uint64_t served = 0, within_target = 0, rejected = 0, failed = 0,
                  abandoned = 0;            // by how requests ended
    std::uint64_t rejected_attempts = 0;    // rejected attempts of clients
    std::uint64_t attempts = 0, cancelled_attempts = 0;
    std::uint64_t wasted_work_us = 0, work_us = 0;    // work for cancelled requests; all work
    std::uint64_t events = 0, messages = 0;
    std::uint64_t distinct_customers = 0;
    double p50_ms = 0.0, p99_ms = 0.0,
           p999_ms = 0.0;    // of served requests, from the client's first attempt
    struct Rule {
        std::uint64_t check_count = 0, violation_count = 0;
        std::string first_violation;            // description of the first violation
        std::uint64_t violating_request = 0;    // number of its request; 0: none
    };
    std::map<std::string, Rule> rules;
    std::vector<std::uint64_t> served_by_second, rejected_by_second, failed_by_second;
    std::vector<CoarseHistogram> latency_by_second;                  // of served requests
    std::vector<std::uint64_t> wasted_work_by_second;                // us
    std::vector<std::uint64_t> peer_messages_by_second;              // between gateways, or sent to the store
    std::vector<double> work_by_second, admitted_units_by_second;    // us of work done; units admitted
    std::vector<std::pair<double, std::string>> request_trace;       // of the traced request: seconds, event
    std::uint64_t digest = 0;    // hash of the main totals and of each request's end, in order
    bool all_rules_hold() const;
};

// Counts a check of a rule and keeps the description of the first violation.
template <class Describe>
void record_rule_check(RunStatistics::Rule& rule, bool satisfied, const Describe& describe,
                       std::uint64_t request = 0) {
    ++rule.check_count;
    if (satisfied) return;
    if (rule.violation_count++ > 0) return;
    rule.first_violation = describe();
    rule.violating_request = request;
}
// An admitted request, for the rule on hard limits ("ceilings").
struct AdmittedRequestUnits {
    TimePoint admitted_at;
    decision::CustomerId customer;
    float units;
};
// The hard limit of a plan from effective_at on.
struct RateLimitTerms {
    TimePoint effective_at;
    int plan_index;
    double rate_limit, rate_limit_burst, rate_limit_slack;
};
// Checks the hard limits with one token bucket per customer over the admissions of all gateways. `max_delay`:
// how late an admission may have been recorded.
void check_rate_limits(const Scenario& s, std::vector<AdmittedRequestUnits>&& sent,
                       const std::vector<RateLimitTerms>& changes, TimePoint start, Duration max_delay,
                       RunStatistics& figures);
// Adds all rules, so that a rule that was never checked is reported as such.
void register_rules(RunStatistics& figures);
// Adds the statistics of one frontend, server or gateway to the total.
void merge_statistics(RunStatistics& to, const RunStatistics& from);

// Returns the number of threads whose work in a window outweighs the wait at its barrier, at most
// `max_threads`.
std::size_t useful_thread_count(const Scenario& scenario, std::size_t max_threads);

// Runs a scenario. The result is the same for any number of threads. `traced`: number of the request whose
// events are recorded in request_trace; 0: none.
RunStatistics run_scenario(const Scenario& scenario, std::size_t threads, std::uint64_t traced = 0);

}    // namespace shaletray::testbed
