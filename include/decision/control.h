// Interface of the decision module: settings, events, actions, and the Gateway that turns events into
// actions. It has no clock, threads or I/O, so that other gateways can embed it. The decisions are in
// src/decision/, one file per concern. "Units" are those in which quotas are counted; rates are per second.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shaletray::decision {

// The caller supplies all times, which must not go back.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

enum class RequestId : std::uint32_t {};
enum class HostId : std::uint32_t {};
enum class CustomerId : std::uint64_t {};
enum class PeerId : std::int32_t {};

// ---- settings ----
// Whether a request may be sent again after it may have run: always, only to hosts of a key group that drop
// duplicates, or never.
enum class Repeat { Safe, Keyed, Unsafe };
// The hosts that drop duplicates of each other's requests.
enum class KeyGroup { All, Zone, Cell };
// How hosts report their load: not at all, with responses, or in response to probes.
enum class ReportVia { Off, Inline, Probe };

// A class of requests with the same expectations.
struct ClassSettings {
    std::string name;
    Repeat repeat = Repeat::Unsafe;
    KeyGroup group = KeyGroup::All;
    Duration window{0};         // Keyed: how long hosts of the group drop duplicates
    Duration aim{0};            // target latency: a response within it counts with its full value
    Duration give_up{0};        // the client's deadline over all of its own retries
    double worth = 1.0;         // value of a response in time, relative to other classes
    double late_share = 0.0;    // part of the value that a later response still has
    int max_attempts = 0;       // of a request, if below send_cap; 0: send_cap applies

    bool operator==(const ClassSettings&) const = default;
};

// A plan: the quota of each of its customers, over all gateways. The ceiling is a second token bucket: a hard
// limit that no grant may exceed, not even one beyond the quota.
struct PlanSettings {
    std::string name;
    double rate = 0.0;             // units per second for each customer; 0: no rate quota
    double burst = 0.0;            // capacity of the token bucket, in units
    int max_out = 0;               // attempts in flight at once for each customer; 0: no such quota
    double ceiling_rate = 0.0;     // units per second; 0: no ceiling
    double ceiling_burst = 0.0;    // units
    double ceiling_slack = 0.0;    // units by which a check of the ceiling may be exceeded
    double price = 1.0;            // relative value of a unit of its customers
    double over_worth = 0.0;       // value of a request beyond the quota
    double over_cost = 0.0;        // its cost; it is admitted if its value is larger and there is capacity
};

// Limits that may change at runtime, beside the classes.
struct RequestLimits {
    int send_cap = 1;               // attempts of a request, the first included
    bool second_copies = false;     // whether requests may be hedged
    bool may_cancel = false;        // whether attempts may be cancelled
    bool may_probe = false;         // whether hosts may be probed
    Duration max_retry_after{0};    // longest retry time of a rejection; 0: rejections have none
    int max_open = 20000;           // open requests
    int sharing = 0;                // number of gateways that send to the same servers; 0: Settings::gateways
    // Retry budget: each further attempt takes a token, whatever the outcome of the one before.
    double retry_share = 0.2;           // tokens that each request's first attempt adds
    double retry_burst = 20.0;          // most tokens kept
    double retry_start = 20.0;          // tokens at the start; adopt() adds none
    double retry_refill_per_s = 0.0;    // tokens added per second
    // Only attempts that may have reached a server count: after one that could not connect or was never sent,
    // the next attempt takes no further token.
    bool retry_refunds = false;
    // If responses take longer on average than this part of their target latency, the concurrency limit
    // shrinks, but not below `least_out` attempts per server, over all gateways.
    double latency_goal = 0.3;
    double least_out = 2.0;

    bool operator==(const RequestLimits&) const = default;
};

// All settings of one gateway; classes and RequestLimits may change at runtime (Gateway::adopt).
struct Settings : RequestLimits {
    int me = 0;          // this gateway's index, which is also its PeerId
    int gateways = 1;    // number of all gateways
    int zone = 0;        // this gateway's failure domain
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    bool may_tell = false;          // whether peer messages may be sent
    Duration drain_grace{0};        // how long a draining host may still get requests
    Duration cold{0};               // slow start: at most this long after its start a host is warm
    double start_capacity = 1.0;    // part of its capacity that a host has at its start
    // A cold host may get at most `fall_multiple` times its share of the work in each period of `fall`.
    double fall_multiple = 1.0;
    Duration fall{0};
    bool ask_for_list = false;    // whether host lists must be requested (Subscribe)
    ReportVia reports = ReportVia::Off;
    double peer_messages_per_s = 0.0;    // peer messages that a gateway can receive
    double most_units = 1.0;             // highest cost of one request, in units
    bool settles = false;                // whether AttemptFinished reports the actual units
};

// ---- events ----
// A client's request has arrived.
struct RequestArrived {
    RequestId request{};
    CustomerId customer{};
    int class_index = 0;
    int plan_index = 0;
    double units = 1.0;    // estimated cost
    Duration budget{0};    // until its deadline
    // The customer's gateway set: first index, and how many gateways share its quota.
    int first_gateway = 0;
    int width = 1;
    HostId only_host{};    // only this host may run it; HostId{}: any host
};
// How an attempt or probe ended. After Full (rejected), ConnectFailed and NotSent nothing of the request ran.
enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotSent };
// Load figures of a host by name.
using LoadReport = std::map<std::string, double>;
// The response to a streaming request has begun: its latency ends here.
struct AttemptStarted {
    RequestId request{};
    int attempt = 0;
    HostId host{};
};
// An attempt has ended; reported once for each Send.
struct AttemptFinished {
    RequestId request{};
    int attempt = 0;
    HostId host{};
    Outcome outcome = Outcome::Ok;
    Duration took{0};
    double settled_units = 0.0;    // actual cost; 0: the estimate stands
    bool final = false;            // the client has its response: nothing more is decided on the request
    LoadReport report;
};
// The client cancelled the request.
struct RequestAborted {
    RequestId request{};
};
// The time of a SetTimer has come.
struct TimerFired {
    std::uint64_t token = 0;
};
// A Probe has ended.
struct ProbeFinished {
    HostId host{};
    Outcome outcome = Outcome::Ok;
    Duration took{0};
    LoadReport report;
};
// Full replaces all hosts, Delta changes some, Cached is a full list that may be old, Failed has no hosts.
enum class ListKind { Full, Delta, Cached, Failed };
enum class HostState { Healthy, Draining, Gone };
// A server as the host list describes it.
struct HostEntry {
    HostId host{};
    HostState state = HostState::Healthy;
    TimePoint born{};       // start of its process; zero: long ago
    double rating = 1.0;    // capacity relative to other hosts
    int kind = 0;
    int zone = 0;
    int cell = 0;
};
// A host list, or a change of it.
struct HostList {
    ListKind kind = ListKind::Full;
    std::vector<HostEntry> hosts;
};
// A message from another gateway.
struct PeerBytes {
    PeerId from{};
    std::vector<std::uint8_t> bytes;
};
// What this gateway may grant a customer from now on, if shares are computed outside of the module: its share
// of the quota, units moved into (or, if negative, out of) it, and its share of the ceiling with its level.
struct Allowance {
    CustomerId customer{};
    int plan_index = 0, first_gateway = 0, width = 1;
    double rate = 0.0, burst = 0.0, gain = 0.0;
    double ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_level = 0.0;
};
using Event = std::variant<RequestArrived, AttemptStarted, AttemptFinished, RequestAborted, TimerFired,
                           ProbeFinished, HostList, PeerBytes, Allowance>;

// ---- actions ----
// Send an attempt to a host.
struct Send {
    RequestId request{};
    HostId host{};
    Duration limit{0};    // time-out of the attempt; 0: the client's deadline
};
// Abandon an attempt in flight.
struct CancelAttempt {
    RequestId request{};
    int attempt = 0;
};
// Reject a request that did not run, with a retry time.
struct Refuse {
    RequestId request{};
    Duration retry_after{0};
};
// Fail a request that may have run or cannot be served in time.
struct Fail {
    RequestId request{};
};
// Report TimerFired at this time; replaces a later one that is set.
struct SetTimer {
    TimePoint at{};
    std::uint64_t token = 0;
};
// Check a host's health.
struct Probe {
    HostId host{};
};
// Send a message to another gateway; it may be lost.
struct TellPeer {
    PeerId peer{};
    std::vector<std::uint8_t> bytes;
};
// Request a host list.
struct Subscribe {};
using Action = std::variant<Send, CancelAttempt, Refuse, Fail, SetTimer, Probe, TellPeer, Subscribe>;

// Thrown for invalid settings, with the reason.
class BadSettings : public std::invalid_argument {
public:
    using std::invalid_argument::invalid_argument;
};

// One gateway's decisions. Not thread-safe: one caller at a time, with `now` never going back. Deterministic:
// equal settings, seed and events give equal actions.
class Gateway {
public:
    // Throws BadSettings.
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;

    // Appends the actions to carry out now, in order.
    void handle(TimePoint now, const Event& event, std::vector<Action>& actions);
    // Applies the classes and the RequestLimits of `next`; all else stays. A class must keep its index as
    // long as a request of it is open; statistics of a class follow its name. Throws BadSettings, and changes
    // nothing, if they are invalid.
    void adopt(const Settings& next);
    // Returns the state for the successor process, as text: everything that must not be granted twice. From
    // then on this instance grants only the units that its queued requests wait for; it must get no new
    // requests.
    std::string hand_over(TimePoint now);
    // Takes over a predecessor's state, before any event other than TimerFired. Throws std::invalid_argument
    // if the text is malformed; the instance must then be replaced.
    void take_over(std::string_view text, TimePoint now);
    // Number of healthy hosts that are ejected now.
    std::size_t avoided() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::decision
