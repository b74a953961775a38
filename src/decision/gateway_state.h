// The state of one gateway (Gateway::Impl) and the declarations of the functions that decide on it. The
// policy files beside this header define them, one concern per file.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/control.h"
#include "decision/fleet/cold_start.h"
#include "decision/peer_message.h"

namespace shaletray::decision {

// Conversions between Duration and seconds. from_seconds() limits its result to +-1e9 seconds.
inline double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
inline Duration from_seconds(double count) {
    return Duration(static_cast<std::int64_t>(std::clamp(count, -1e9, 1e9) * 1e6));
}

// A visitor for std::visit, made of one lambda per type.
template <class... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// All state and decisions of one gateway. The public functions have the contracts of class Gateway. Actions
// of the event at hand are appended to *actions_, which is valid during handle() only. Levels and amounts are
// in units of the quota, rates in units per second.
class Gateway::Impl {
public:
    Impl(Settings settings, std::uint64_t seed);
    void handle(TimePoint now, const Event& event, std::vector<Action>& actions);
    void adopt(const Settings& next);
    std::string hand_over(TimePoint now);
    void take_over(std::string_view text, TimePoint now);
    std::size_t avoided() const;

private:
    // A token bucket. The level may be negative, as costs are settled after the fact.
    struct TokenBucket {
        double level = 0.0, burst = 0.0, rate = 0.0;    // burst: the level at which refilling stops
        TimePoint refilled_at{};

        void refill(TimePoint now) {
            if (level < burst) level = std::min(burst, level + rate * seconds(now - refilled_at));
            refilled_at = now;
        }
    };
    struct Request;
    // Hard limit units sent to a peer, which may accept them until they expire. Until then they lower the
    // capacity of the sender's bucket, so that they cannot be granted twice.
    struct PendingTransfer {
        TimePoint expires_at;
        double units;
    };
    struct Peer;
    // The balancing link between one customer's bucket here and its bucket at a neighbour gateway. A new link
    // assumes that the neighbour takes our bucket to be full.
    struct Link {
        Link(PeerId id, Peer& of, double full, TimePoint now)
            : peer_id(id), peer(&of), announced(full), announced_at(now) {}
        PeerId peer_id{};
        Peer* peer;                        // points into peers_, which keeps its entries
        std::optional<double> reported;    // the neighbour's free units as last reported by it
        TimePoint reported_at{};
        double announced = 0.0;    // our free units as last announced to it
        TimePoint announced_at{};
        double units_sent = 0.0, units_received = 0.0;    // net transfers over this link, in either direction
    };
    // One customer's share of its plan: 1 / width of the quota, and a part of the hard limit.
    struct Customer {
        int plan = 0, first_gateway = 0, width = 1;    // index of the plan; the customer's gateway set
        // The share is too small for large requests, so that grants count the units of the whole set.
        bool pooled = false;
        TokenBucket quota, hard_limit;
        std::vector<PendingTransfer> transfers;
        // Part of the set's free units that is left for grants which other gateways make meanwhile.
        double reserve = 0.0;
        double backlog = 0.0;                       // units of the requests in `queue`
        std::map<std::uint64_t, Request*> queue;    // requests that wait for units, by queue position
        int in_flight = 0;                          // attempts
        TimePoint last_used{};
        std::vector<Link> links;
    };
    // What is known of another gateway, and the pacing of messages to it.
    struct Peer {
        // The first three are those of its last accepted message.
        std::uint64_t incarnation = 0, received_sequence = 0, stamp_ms = 0, sent_sequence = 0;
        double priority = 0.0;    // of a message to it in this send interval
        TimePoint last_received_at{}, last_sent_at{};
        bool known = false, ever_sent = false;    // known: a message of it has been accepted
    };
    // Decayed counts of one class's attempts at one server: responses on time, and attempts that took far
    // longer than is typical for the class.
    struct ClassLatency {
        double on_time = 0.0, slow = 0.0;
        TimePoint updated_at{};

        void decay(TimePoint now, double half_life) {
            const double remaining = std::exp2(-seconds(now - updated_at) / half_life);
            on_time *= remaining;
            slow *= remaining;
            updated_at = now;
        }
        double slow_share() const { return slow / (2.0 + on_time + slow); }
    };
    // A server, its health and its load. All but `entry` and `in_flight` is reset when its process restarts.
    struct Server {
        HostEntry entry;
        std::map<int, ClassLatency> class_latency;    // by class index
        TimePoint cold_since{};                       // start of its slow start; zero: warm
        int in_flight = 0, success_streak = 0, ejection_count = 0;
        int connection_failures = 0;               // since its last response; a failed connect counts as two
        double successes = 0.0, failures = 0.0;    // decayed, as of `counted_at`
        TimePoint counted_at{};
        double slowness = 1.0;      // latency relative to the typical latency of the class
        double other_load = 0.0;    // attempts of other gateways there, from its load reports
        // When other_load was reported; since when it has not responded while attempts are in flight; until
        // when it is ejected, or avoided after a rejection; when it was last probed.
        TimePoint reported{}, silent_since{}, ejected_until{}, avoid_until{}, probed_at{};
        // unreachable: ejected for silence or failed connections, and without trial traffic until a probe
        // succeeds. probing: a probe is in flight.
        bool ejected = false, unreachable = false, probing = false;
        bool may_have_restarted = false;    // connections failed, so that its process may have ended
        double slow_start_budget = 0.0;     // seconds of work that it may still be sent while cold
    };
    // What a message to a neighbour would contain for one customer.
    struct BalanceUpdate {
        double transfer = 0.0, free = 0.0;    // units to move (negative: debt to pass on), and our free units
        double priority = 0.0;                // 0: nothing to send
    };
    // Whether an attempt is in flight, did not run, or may have run.
    enum class Run { Pending, NotRun, MaybeRun };
    struct Attempt {
        HostId host{};
        TimePoint sent_at{};
        Run state = Run::Pending;
        bool cancelled = false;
        bool hung = false;    // no longer counted as load
        bool slow = false;    // counted as slow at its server
    };
    // An open request. Only the last of its attempts may be pending.
    struct Request {
        RequestArrived arrival;
        // Null if there are too many customers. A customer is not dropped while it has queued requests or
        // attempts in flight.
        Customer* customer = nullptr;
        TimePoint arrived_at{}, deadline{}, hold_until{};
        bool over_quota = false;        // admitted beyond the quota
        bool hold_shortened = false;    // once, when there was no capacity at the servers
        std::vector<Attempt> attempts;
        bool held = false, charged = false, streaming = false;    // queued; units taken; response has begun
        bool reached_server = false;                              // an attempt may have reached its server
        bool retry_token = false;         // taken for the next attempt, or for the one in flight
        bool queued_for_units = false;    // queued for units, not for capacity at the servers
        std::uint64_t queue_position = 0;
    };

    // ---- settings and lookups (gateway.cpp) ----
    // Throws BadSettings.
    static void validate(const Settings& settings);
    // Throws std::out_of_range for an unknown class or plan or negative units.
    static void validate(const Settings& settings, const RequestArrived& arrival);
    // The open request, or null.
    Request* find_request(RequestId id) {
        const auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }
    const ClassSettings& class_of(const Request& request) const {
        return settings_.classes[static_cast<std::size_t>(request.arrival.class_index)];
    }
    // Attempts that the request may have in all.
    int max_attempts(const Request& request) const {
        const int own = class_of(request).max_attempts;
        return own > 0 ? std::min(own, settings_.send_cap) : settings_.send_cap;
    }
    // Gateways that send to the same servers.
    int sharing() const { return settings_.sharing > 0 ? settings_.sharing : settings_.gateways; }
    // Position of gateway `member` in the set that begins with gateway `first`. A position of at least the
    // set's width means that it is not a member.
    int position_in_set(int member, int first) const {
        return ((member - first) % settings_.gateways + settings_.gateways) % settings_.gateways;
    }
    const PlanSettings& plan_at(int index) const { return settings_.plans[static_cast<std::size_t>(index)]; }

    // ---- quota token buckets (token_buckets.cpp) ----
    // Finds or creates the customer's state; null if there are too many customers. Links go to gateways at
    // doubling distances in both directions, so that they are mutual and units cross a wide set in a few
    // steps. The fewer gateways of the set are linked, the more units are reserved for grants of the
    // others. If shares of the hard limit are smaller than the largest request, only the first gateways of
    // the set get one.
    Customer* customer_for(TimePoint now, CustomerId id, int plan_index, int first, int width);
    // The customer of a peer's entry, which may introduce it: units have to pass through gateways that no
    // request of the customer has reached yet. Null if it is unknown and the introduction is not valid.
    Customer* customer_from(const PeerEntry& entry, PeerId from, TimePoint now);
    // Refills both buckets. Requests over quota are not charged, so that debts of a pooled customer's whole
    // set are forgiven over time.
    void refill(Customer& customer, TimePoint now);
    // Shares computed outside of the module, which has counted every send against the hard limit.
    void on_allowance(const Allowance& allowance, TimePoint now);
    // Whether the quota covers `units` and the plan's limit on attempts in flight allows another one. A full
    // bucket covers a request of any size; a pooled one also covers what the whole set has, less the reserve.
    bool quota_allows(const Customer& customer, double units, TimePoint now) const;
    // Free units of a pooled customer over its whole set, with the links as a sample of all other gateways.
    double free_in_set(const Customer& customer, TimePoint now) const;
    // Units expected here within `horizon` seconds: own refill, and half of what neighbours have more.
    // Negative for pooled customers, since all gateways of the set would grant the same refill at once.
    double expected_units(const Customer& customer, double horizon) const;
    // Retry time of a rejection: until `units` are refilled here, or in the set of a pooled customer, as
    // another try may reach any of its gateways.
    Duration refill_time(const Customer& customer, double units, TimePoint now) const;

    // ---- balancing between gateways (quota_balancing.cpp) ----
    // The level now of a bucket elsewhere that was at `level` at `as_of`: refilled at the same rate as ours.
    double estimate(const Customer& customer, double level, TimePoint as_of, TimePoint now) const;
    // The neighbour's estimated level; a full bucket until it has reported.
    double estimated_level(const Customer& customer, const Link& link, TimePoint now) const;
    // Sends at most one message per send interval, to the peer with the highest priority, so that halvings
    // follow each other. Takes time proportional to customers_to_balance_ times their links.
    void send_peer_update(TimePoint now);
    // What to send over the link: half of the gap between the two levels, if it is large enough, along with
    // as many hard limit units, without which the neighbour could not use them. Pooled buckets pass on debts
    // too; to a peer that has sent nothing yet only if others do send. In a sparse fleet most entries do not
    // fit into the messages: customers of expensive plans go first there, else those with small shares.
    BalanceUpdate plan_update(const Customer& customer, const Link& link, TimePoint now) const;
    void send_to_peer(PeerId id, Peer& peer, TimePoint now);
    // All gateways send at the same rate, so that each receives as much as it sends on average. If every
    // gateway can reach all others at the rate of DQMP, buckets are not pooled.
    void init_message_pacing();
    // Each request adds to the message budget, so that messages cost a fixed part of what requests do.
    void earn_send_budget();
    // Ignores malformed, duplicate and reordered messages, whose transfers would count twice or whose levels
    // would mislead. A restarted peer starts with fresh links.
    void on_peer_message(const PeerBytes& event, TimePoint now);

    // ---- hard limit (hard_limit.cpp) ----
    // Invariant: the levels of all gateways plus the pending transfers that can still be accepted never
    // exceed the true bucket of the hard limit. The gateways' shares of its rate and burst add up to the
    // plan's.
    //
    // The burst of the customer's bucket less its pending transfers. Drops those that have expired.
    double hard_limit_burst(Customer& customer, TimePoint now) const;
    bool hard_limit_allows(const Customer& customer, double units) const;

    // ---- servers (servers.cpp) ----
    // Until the concurrency limit has been cut once it grows with the list, which may come server by server.
    void on_host_list(const HostList& list, TimePoint now);
    // Marks the server as cold. Its budget may be overdrawn by one request; it starts with a random part of
    // one request owed, so that hundreds of gateways do not all begin with a request at once.
    void slow_start(Server& server, TimePoint started_at);
    void refill_slow_start_budgets(TimePoint now);
    // The share of its full capacity that the server has at least; 1: warm.
    double capacity_share(const Server& server, TimePoint now) const {
        return fleet::capacity_share(settings_, server.cold_since, now);
    }
    // Counts a success or failure of a server that responded; ejects it or ends its ejection.
    void record_outcome(Server& server, bool success, TimePoint now);
    // Outlier ejection, with a duration that doubles. If most servers look bad the cause is a common one, so
    // that no more are ejected.
    void eject(Server& server, TimePoint now, bool unreachable);
    // What the end of an attempt says about its server. Only a response of the server itself ends its
    // silence. Idle connections break for many reasons, so that a single reset is no sign that the process
    // ended.
    void on_server_outcome(Server& server, const AttemptFinished& event, TimePoint now);
    void on_load_report(Server& server, const LoadReport& report, TimePoint now);
    // Ejects unresponsive servers and cancels attempts there that can be retried in time, so that the rest of
    // the latency target is not lost. Probes unreachable servers in place of sending them clients' requests.
    void check_servers(TimePoint now);
    // Whether nothing has come back for far longer than its attempts in flight would take. A single long
    // attempt is no sign of it.
    bool is_unresponsive(const Server& server, TimePoint now) const;
    // An unreachable server that responds may have restarted, which host lists report only seconds later: it
    // goes through a slow start and gets trial traffic.
    void on_probe_finished(const ProbeFinished& event, TimePoint now);

    // ---- server selection (server_selection.cpp, overload_control.cpp) ----
    // Whether the request may be sent to `target`, or rejected if that is null. All sends and rejections are
    // checked here: an attempt at a time, repetition only as the class allows, no draining servers.
    bool permitted(const Request& request, const Server* target, TimePoint now) const;
    // The server of the lowest cost among a few random candidates, so that gateways do not all choose the
    // same one; null if there is none. A partial shuffle finds candidates without testing every server.
    Server* select_server(const Request& request, TimePoint now);
    // Expected wait at the server, in relative terms. In a sparse fleet cold servers are drawn less often in
    // place of costing more: this gateway's own attempts there are too few to outweigh their smaller
    // capacity.
    double selection_cost(const Request& request, const Server& server, TimePoint now) const;
    // Counts an attempt of the class as on time or slow. Part of a class may hang at a server that serves all
    // else quickly, which neither silence nor errors show.
    void add_pace(Server& server, int class_index, bool slow, TimePoint now);
    // Whether far more attempts of the class are slow there than at the median server. Costly requests are
    // slow everywhere, and if all servers are slow the cause is load.
    bool slow_outlier(const Server& server, int class_index, TimePoint now) const;
    // Counts attempts that take far too long; cancels them at slow outliers if they can be retried.
    void detect_slow_attempts(TimePoint now);
    // Whether the server is a candidate; with `fallback` also if it is ejected, avoided or failed before.
    bool usable(const Request& request, const Server& server, TimePoint now, bool fallback) const;

    // ---- admission, queue and attempts (admission_queue.cpp, overload_control.cpp, attempts.cpp) ----
    // Sends, queues or ends a new request. A customer far over its quota is not queued: the units would not
    // be there in time.
    void on_request_arrived(const RequestArrived& arrival, TimePoint now);
    // Refills, and tells whether the request's units can be granted or already are.
    bool units_allowed(const Request& request, Customer& customer, TimePoint now);
    // Moves a queued request between the queues for units and for capacity. One that waits for capacity must
    // not block its customer's others.
    void set_queued_for_units(Request& request, bool queued);
    // Whether the plan pays for a request beyond its quota, and there is ample capacity, which others may
    // need.
    bool admits_over_quota(const Request& request) const;
    // Load shedding: without capacity a request waits for a short time only, as a long queue here would
    // merely replace the servers' queues.
    void shorten_hold(Request& request, TimePoint now);
    // Time within the latency target, and the client's deadline, that is not needed to serve the request.
    Duration slack_within_target(const Request& request) const;
    // Sends an attempt if units, capacity, time and a server are there; true if it was sent. Only the first
    // attempt of a request takes units.
    bool try_send(Request& request, TimePoint now);
    // Queues the request, or ends it if there is no time; it may then be gone.
    void enqueue(Request& request, TimePoint now);
    void dequeue(Request& request);
    // Ends a request that gets no further attempt: sends it beyond the quota if that pays, else rejects it if
    // this is permitted, else fails it.
    void reject_or_fail(Request& request, TimePoint now);
    void remove_request(Request& request);
    // An attempt that did not reach its server leaves its retry token to the next one if tokens are refunded.
    // Quotas are corrected to the actual cost; the hard limit keeps the estimate.
    void on_attempt_finished(const AttemptFinished& event, TimePoint now);
    // Refills the retry budget and returns its tokens.
    double retry_tokens(TimePoint now);
    void on_attempt_failed(Request& request, TimePoint now);
    // Tracks the median latency of the class, which a few hung or costly attempts do not move, and the
    // server's relative to it.
    void record_latency(Server& server, const AttemptFinished& event, const Request& request, TimePoint now);
    // Adjusts max_in_flight_ by the latency of a response as a ratio to its target, so that queues at the
    // servers stay within the target. Each gateway finds its own limit.
    void adjust_limit(TimePoint now, double ratio);
    // Cancels an attempt if another one may follow in time; the outcome then decides on the rest.
    void cancel_for_retry(RequestId id, Request& request, TimePoint now);
    // Adds the attempt to, or removes it from, the load of its server and of this gateway.
    void adjust_in_flight(Attempt& attempt, int delta);
    // Attempts far over the typical latency at a server that answers others quickly hang or were lost, as on
    // lossy links: they stop counting as load, since hung attempts of a class once used up the whole limit.
    // Not while the whole class is slow: late attempts are load then.
    void detect_hung_attempts(TimePoint now);
    // Typical (median) latency of a class; a part of its target until one is observed.
    Duration latency_of(std::size_t class_index) const;
    Duration latency_of(const Request& request) const {
        return latency_of(static_cast<std::size_t>(request.arrival.class_index));
    }
    void on_attempt_started(const AttemptStarted& event) {
        if (Request* request = find_request(event.request)) request->streaming = true;
    }
    void on_request_aborted(const RequestAborted& event) {
        if (Request* request = find_request(event.request)) remove_request(*request);
    }

    // ---- timers and the queue (timers.cpp, admission_queue.cpp) ----
    // Brings the next tick forward to `at` if it is later: a client may leave before an idle gateway's tick.
    // on_timer() ignores the timers that this replaces.
    void schedule_tick(TimePoint at);
    void on_timer(TimePoint now);
    // Serves all queued requests in order, but skips those of a customer that waits for units.
    void dispatch_queue(TimePoint now);
    // After an outcome: requests that wait for capacity, and those of its customer that wait for units. The
    // others of a long queue wait for the tick.
    void dispatch_after_outcome(TimePoint now);
    // Ends, sends or keeps a queued request. False if it waits for units.
    bool resume_request(Request& request, TimePoint now);
    // Forgets idle customers (token_buckets.cpp), but only with full buckets, so that no units are gained.
    void expire_customers(TimePoint now);

    Settings settings_;
    std::mt19937_64 random_;
    bool started_ = false;
    TimePoint started_at_{};       // of the first event; this gateway's incarnation in peer messages
    Duration send_interval_{0};    // between two messages to any peers
    bool full_mesh_ = false;       // all gateways can message each other at the rate of DQMP
    TimePoint next_message_at_{}, send_budget_at_{}, last_peer_message_at_{};
    double send_budget_ = 0.0;                     // bytes that may still be spent on messages
    std::set<CustomerId> customers_to_balance_;    // customers that may have something to announce
    std::map<CustomerId, Customer> customers_;
    std::map<PeerId, Peer> peers_;
    std::map<HostId, Server> servers_;
    std::vector<Server*> draw_order_;    // all servers, in an order that drawing candidates shuffles
    std::map<RequestId, Request> requests_;
    std::map<std::uint64_t, Request*> queued_,
        capacity_queue_;                    // by position; all, and those not for units
    Customer* freed_customer_ = nullptr;    // whose attempt the event at hand ended
    std::uint64_t last_queue_position_ = 0;
    std::vector<double> typical_latency_;    // seconds, median of a class's responses; 0 until observed
    double retry_tokens_ = 0.0;              // as of retry_tokens_at_
    TimePoint retry_tokens_at_{};
    int in_flight_ = 0;             // attempts at all servers, without hung ones
    double max_in_flight_ = 0.0;    // concurrency limit of in_flight_
    double latency_ratio_ = 0.0;    // moving average of latency relative to its target
    TimePoint limit_cut_at_{}, next_expiry_at_{}, next_server_check_at_{}, resubscribe_at_{},
        next_tick_at_ = TimePoint::max(), warm_work_at_{};
    double warm_work_ = 0.0;    // decayed seconds of work sent to warm servers
    std::vector<Action>* actions_ = nullptr;
};

}    // namespace shaletray::decision
