// The laboratory's world: fronts with customers that ask, gateways with the program's own engine, servers
// that work, queue, fall over and come back, and a network between them. In virtual time, from one seed.
// Pure.
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
    double work_ms = 20.0;               // median of a request's work
    double work_sigma = 0.5;             // sigma of its logarithm
    double heavy_fraction = 0.0;         // part of the requests that take ten times as long
    double full_queue_slowdown = 0.3;    // of its speed, with the queue full
    double initial_speed = 0.5;          // at its start, growing to 1
    Duration warm_up_time{2'000'000};
    bool cancel_stops_work = true;      // work that is called off ends, also where it runs
    Duration connection_work{0};        // work of a new connection, on top of its first request's
    Duration max_report_age{0};         // what it says of its load is up to so old
    double report_noise_sigma = 0.0;    // and off by a factor of this sigma of its logarithm
    // A cold one that is sent more than so many times what it can do, for so long, falls over and stays down.
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
        HeavyRequests,      // part of a class's requests cost `by` times as much, at all servers
        GatewayCrash,       // its process ends; fronts notice late
        DiscoveryOutage,    // what changes is told once it speaks again
        PeerMessageLoss,    // part of the datagrams between gateways
        StoreOutage         // the shared counter answers nobody
    };
    Kind kind{};
    Duration starts_at{0}, duration{0};
    int server_index = -1, room_index = -1;    // which; RoomLost: a room
    double magnitude = 1.0;            // Slow, Heavy: times slower; Errors, LinkLoss, MailLoss: part of them
    double request_fraction = 1.0;     // Heavy: of the requests
    int class_index = -1;              // Heavy: of this class; -1: of all
    int gateway_index = -1;            // GatewayLost
    bool includes_gateways = false;    // RoomLost: those of the room too
    double server_fraction = 0.0;      // instead of one server: this part of them, drawn anew for each seed
    // Above the above: drawn between, anew for each seed.
    Duration starts_at_max{0}, duration_max{0};
    double magnitude_max = 0.0, request_fraction_max = 0.0;
};
bool affects_servers(Fault::Kind kind);
struct Scenario;
// Whether a fault that is drawn is one of that server.
bool fault_affects_server(const Scenario& s, const Fault& f, int server);
const char* fault_name(Fault::Kind kind);

// A plan that changes in service, by the plan book; takes effect a lead after `at`.
struct PlanChange {
    Duration proposed_at{0};
    int plan_index = 0;
    double rate = 0.0, burst = 0.0, rate_limit = 0.0, rate_limit_burst = 0.0, rate_limit_slack = 0.0;
};

struct Scenario {
    // How gateways share what customers use: their own datagrams, or a counter that all reach.
    enum class QuotaSharing { PeerMessages, SharedCounter };
    std::string name = "calm";
    std::uint64_t seed = 1;
    Duration duration{30'000'000};
    int gateway_count = 3, server_count = 9, room_count = 3, frontend_count = 4;
    std::uint64_t customer_count = 1000;
    double zipf_exponent = 1.1;         // skew of who asks
    double request_rate = 300.0;        // requests a second, all customers together
    double burst_fraction = 0.0;        // part of the time at which a front asks three times as much
    double favourite_fraction = 0.3;    // of a front's requests, to one gateway that changes
    double request_units = 1.0;
    int max_attempts = 3;                   // of a client, refusals and failures together
    double abandon_fraction = 0.0;          // part of the clients that leave before their answer
    Duration request_timeout{2'000'000};    // of a client, over all of its tries
    Duration network_delay{300};            // one way, and up to twice that; the lookahead
    Duration list_delay{50'000};       // until a gateway hears of a server's change, and up to twice that
    double peer_message_loss = 0.0;    // part of the datagrams between gateways
    QuotaSharing quota_sharing = QuotaSharing::PeerMessages;
    ServerModel server_model;
    std::vector<PlanChange> plan_changes;    // Sharing::Counter only
    std::vector<decision::PlanSettings>
        plans;    // customers by number, one after the other; empty: one wide one
    std::vector<Fault> faults;

    // Throws std::invalid_argument with what is wrong, naming the field.
    void validate() const;
    // With what is drawn for each seed drawn: faults without ranges and shares, each of one server or room.
    Scenario with_drawn_faults() const;
};

// A customer's set of gateways, as its requests name it.
inline int gateway_set_size(const Scenario& s) { return s.gateway_count < 3 ? s.gateway_count : 3; }
inline int first_gateway_of(const Scenario& s, decision::CustomerId customer) {
    return static_cast<int>(static_cast<std::uint64_t>(customer) %
                            static_cast<std::uint64_t>(s.gateway_count));
}

// What a scenario's gateways are told; the same in virtual time and on sockets.
enum SimulatedClass : int { ClaimRead, Approve, ClaimSubmit };
const std::vector<decision::ClassSettings>& simulated_classes();
decision::Settings gateway_settings(const Scenario& s, int me);
// All as discovery has them at the start.
decision::HostList all_servers(const Scenario& s);
inline decision::HostId host_of(int server) {
    return decision::HostId{static_cast<std::uint32_t>(server + 1)};
}
// What discovery comes to say in the course of a scenario that is drawn.
struct HostListChange {
    Duration known_at{0};    // when discovery knows it
    int server_index = 0;
    decision::HostState state{};
    Duration started_at{-1};    // below 0: long ago
};
std::vector<HostListChange> host_list_changes(const Scenario& s);

// Bins an eighth wide, for each second of a run.
using CoarseHistogram = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint32_t>(),
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e5)));
CoarseHistogram make_coarse_histogram();

struct RunStatistics {
    std::uint64_t requests = 0, client_attempts = 0;    // of clients
    std::uint64_t served = 0, within_target = 0, rejected = 0, failed = 0,
                  abandoned = 0;            // how requests ended
    std::uint64_t rejected_attempts = 0;    // tries that were refused
    std::uint64_t attempts = 0, cancelled_attempts = 0;
    std::uint64_t wasted_work_us = 0, work_us = 0;    // for nobody any more; all
    std::uint64_t events = 0, messages = 0;
    std::uint64_t distinct_customers = 0;
    double p50_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;    // of those served, from the client's first try
    struct Rule {
        std::uint64_t check_count = 0, violation_count = 0;
        std::string first_violation;            // what broke it first
        std::uint64_t violating_request = 0;    // and whose request that was, of its front; 0: nobody's
    };
    std::map<std::string, Rule> rules;
    std::vector<std::uint64_t> served_by_second, rejected_by_second, failed_by_second;
    std::vector<CoarseHistogram> latency_by_second;        // of those served
    std::vector<std::uint64_t> wasted_work_by_second;      // us of work for nobody
    std::vector<std::uint64_t> peer_messages_by_second;    // messages between gateways, or with the store
    std::vector<double> work_by_second, admitted_units_by_second;    // us of work begun; units let in
    std::vector<std::pair<double, std::string>> request_trace;       // of the traced request: seconds, what
    std::uint64_t digest = 0;    // of all of the above and each request's end, in their order
    bool all_rules_hold() const;
};

// Counts a rule's case, and keeps the first that broke it.
template <class Course>
void record_rule_check(RunStatistics::Rule& rule, bool kept, const Course& course,
                       std::uint64_t request = 0) {
    ++rule.check_count;
    if (kept) return;
    if (rule.violation_count++ > 0) return;
    rule.first_violation = course();
    rule.violating_request = request;
}
// A request that was let in, for the rule on ceilings.
struct AdmittedRequestUnits {
    TimePoint admitted_at;
    decision::CustomerId customer;
    float units;
};
// Terms of plans as they held from then on.
struct RateLimitTerms {
    TimePoint effective_at;
    int plan_index;
    double rate_limit, rate_limit_burst, rate_limit_slack;
};
// One store that sees all gateways. `late`: of what is told of a send, at most.
void check_rate_limits(const Scenario& s, std::vector<AdmittedRequestUnits>&& sent,
                       const std::vector<RateLimitTerms>& changes, TimePoint start, Duration late,
                       RunStatistics& figures);
// All rules, so that one that nothing called for is told as such.
void register_rules(RunStatistics& figures);
// Takes what one front, server or gateway counted into the whole.
void merge_statistics(RunStatistics& to, const RunStatistics& from);

// Threads that are worth their waiting for each other at each window, at most so many.
std::size_t useful_thread_count(const Scenario& scenario, std::size_t most);

// The same for any number of threads. `traced`: a request of a front whose course is wanted; 0: none.
RunStatistics run_scenario(const Scenario& scenario, std::size_t threads, std::uint64_t traced = 0);

}    // namespace shaletray::testbed
