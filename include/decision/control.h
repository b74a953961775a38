// The decision module's interface: settings, events, actions and the Gateway that turns one into the other.
// Plain values only: no clock, no threads, no I/O, so an operator's own gateway can load it.
// Everything is decided in src/decision/, one file a concern.
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

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

enum class RequestId : std::uint32_t {};
enum class HostId : std::uint32_t {};
enum class CustomerId : std::uint64_t {};
enum class PeerId : std::int32_t {};

// ---- settings, given once at start ----
enum class Repeat { Safe, Keyed, Unsafe };
enum class KeyGroup { All, Zone, Cell };
enum class ReportVia { Off, Inline, Probe };

struct ClassSettings {
    std::string name;
    Repeat repeat = Repeat::Unsafe;
    KeyGroup group = KeyGroup::All;
    Duration window{0};     // Keyed: how long hosts of the group drop repeats
    Duration aim{0};        // an answer within this earns the full worth
    Duration give_up{0};    // the client's total patience over all of its tries
    double worth = 1.0;
    double late_share = 0.0;    // part of the worth that an answer after the aim still earns
    int max_attempts = 0;       // of a request, where that is below send_cap; 0: not stated

    bool operator==(const ClassSettings&) const = default;
};

struct PlanSettings {
    std::string name;
    double rate = 0.0;            // units a second for each customer; 0: no rate quota
    double burst = 0.0;           // most units the store holds
    int max_out = 0;              // most attempts out at once for each customer; 0: no such quota
    double ceiling_rate = 0.0;    // 0: no ceiling
    double ceiling_burst = 0.0;
    double ceiling_slack = 0.0;
    double price = 1.0;
    double over_worth = 0.0;
    double over_cost = 0.0;
};

// What may change in service beside the classes.
struct RequestLimits {
    int send_cap = 1;    // attempts of a request
    bool second_copies = false;
    bool may_cancel = false;
    bool may_probe = false;
    Duration max_retry_after{0};
    int max_open = 20000;
    int sharing = 0;    // gateways that send to the same servers; 0: Settings::gateways
    // Further attempts draw on tokens: one each, whatever became of the attempt before.
    double retry_share = 0.2;           // tokens that each request's first send adds
    double retry_burst = 20.0;          // most tokens kept
    double retry_start = 20.0;          // at the start; adopting changes what is kept only by the cap
    double retry_refill_per_s = 0.0;    // added as time passes
    // Only what may have reached a server counts: an attempt that could not connect, or was never sent, takes
    // no token, nor does the one after it that is then the first to arrive.
    bool retry_refunds = false;
    // Where answers take longer on average than this part of the aim, less is let out at once, but this many
    // for each server, over all gateways.
    double latency_goal = 0.3;
    double least_out = 2.0;

    bool operator==(const RequestLimits&) const = default;
};

struct Settings : RequestLimits {
    int me = 0;
    int gateways = 1;
    int zone = 0;
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    // limits
    bool may_tell = false;
    // rules
    Duration drain_grace{0};
    Duration cold{0};               // a started host is warm after this at the latest
    double start_capacity = 1.0;    // and begins at this share of its capacity
    double fall_multiple = 1.0;
    Duration fall{0};
    // lists, reports, peers
    bool ask_for_list = false;
    ReportVia reports = ReportVia::Off;
    double peer_messages_per_s = 0.0;
    double most_units = 1.0;
    bool settles = false;
};

// ---- events ----
struct RequestArrived {
    RequestId request{};
    CustomerId customer{};
    int class_index = 0;
    int plan_index = 0;
    double units = 1.0;
    Duration budget{0};
    int first_gateway = 0;
    int width = 1;
};
enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, NotSent };
using LoadReport = std::map<std::string, double>;
struct AttemptStarted {
    RequestId request{};
    int attempt = 0;
    HostId host{};
};
struct AttemptFinished {
    RequestId request{};
    int attempt = 0;
    HostId host{};
    Outcome outcome = Outcome::Ok;
    Duration took{0};
    double settled_units = 0.0;    // 0: the guess stands
    bool final = false;
    LoadReport report;
};
struct RequestAborted {
    RequestId request{};
};
struct TimerFired {
    std::uint64_t token = 0;
};
struct ProbeFinished {
    HostId host{};
    Outcome outcome = Outcome::Ok;
    Duration took{0};
    LoadReport report;
};
enum class ListKind { Full, Delta, Cached, Failed };
enum class HostState { Healthy, Draining, Gone };
struct HostEntry {
    HostId host{};
    HostState state = HostState::Healthy;
    TimePoint born{};    // zero: long ago
    double rating = 1.0;
    int kind = 0;
    int zone = 0;
    int cell = 0;
};
struct HostList {
    ListKind kind = ListKind::Full;
    std::vector<HostEntry> hosts;
};
struct PeerBytes {
    PeerId from{};
    std::vector<std::uint8_t> bytes;
};
// What this gateway may grant a customer from now on, where that is worked out outside (an allowance ledger):
// its part of the quota, units moved into or out of it, and its part of the ceiling as it stands.
struct Allowance {
    CustomerId customer{};
    int plan_index = 0, first_gateway = 0, width = 1;
    double rate = 0.0, burst = 0.0, gain = 0.0;
    double ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_level = 0.0;
};
using Event = std::variant<RequestArrived, AttemptStarted, AttemptFinished, RequestAborted, TimerFired,
                           ProbeFinished, HostList, PeerBytes, Allowance>;

// ---- actions ----
struct Send {
    RequestId request{};
    HostId host{};
    Duration limit{0};    // 0: until the client gives up
};
struct CancelAttempt {
    RequestId request{};
    int attempt = 0;
};
struct Refuse {
    RequestId request{};
    Duration retry_after{0};
};
struct Fail {
    RequestId request{};
};
struct SetTimer {
    TimePoint at{};
    std::uint64_t token = 0;
};
struct Probe {
    HostId host{};
};
struct TellPeer {
    PeerId peer{};
    std::vector<std::uint8_t> bytes;
};
struct Subscribe {};
using Action = std::variant<Send, CancelAttempt, Refuse, Fail, SetTimer, Probe, TellPeer, Subscribe>;

// Settings that make no sense are refused with this at construction.
class BadSettings : public std::invalid_argument {
public:
    using std::invalid_argument::invalid_argument;
};

// One gateway's decisions. Not thread-safe: one caller at a time, with `now` never going back.
class Gateway {
public:
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;

    // Appends what is to be done now, in order.
    void handle(TimePoint now, const Event& event, std::vector<Action>& actions);
    // Takes over the classes and the RequestLimits of `next`; all else stays. A class keeps its
    // place as long as a request of it is open; what was learned of a class goes with its name. Throws
    // BadSettings and changes nothing where they make no sense.
    void adopt(const Settings& next);
    // For the process that takes this one's place: everything that both must not grant twice, as text. From
    // then on this instance grants only what its held requests were promised; it must not be asked anything
    // new.
    std::string hand_over(TimePoint now);
    // To be called when the instance has handled nothing but a timer. Throws std::invalid_argument where the
    // text cannot be read; the instance is then to be made anew.
    void take_over(std::string_view text, TimePoint now);
    // Healthy servers of the list that are ejected now.
    std::size_t avoided() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::decision
