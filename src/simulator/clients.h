// The clients of one front: whose requests come when, through which gateway, and what clients do with a
// refusal, a failure or their patience at its end. The same in virtual time and on sockets. Pure.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

// What a latency in milliseconds is kept in: bins of equal ratio, 0.7% wide.
using FineLatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5)));
FineLatencyHistogram make_latency_histogram();
double latency_quantile_ms(const FineLatencyHistogram& h, double q);

enum class RequestEnd : std::uint8_t { Served, Rejected, Failed };

struct ClientRequest {
    std::uint64_t request_number = 0;    // of the front; the same over its tries
    int attempt_number = 0;              // of its client, from 1
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 1.0;
    Duration time_left{0};
    int gateway_index = 0;
};

class FrontendEnvironment {
public:
    virtual ~FrontendEnvironment() = default;
    virtual TimePoint current_time() const = 0;
    // Calls Clients::woken with `what` then.
    virtual void schedule_wakeup(TimePoint at, std::uint64_t what) = 0;
    virtual void send_request(const ClientRequest& asked) = 0;
    virtual void abandon_request(std::uint64_t request, int gateway_index) = 0;
};

// How customers are drawn: Zipf over those of one front, added up.
std::vector<double> customer_activity(const Scenario& s);

class Clients {
public:
    // `slack`: how much later than a client's patience an answer may still be written, without the way to the
    // client and back. `shares` is activity()'s and outlives this.
    Clients(const Scenario& scenario, int me, const std::vector<double>& shares, TimePoint start,
            Duration slack, FrontendEnvironment& world);

    void start_arrivals() {
        environment_.schedule_wakeup(started_at_ + Duration(1000 + frontend_index_), NewRequest);
    }
    void on_wakeup(std::uint64_t what);
    void on_answer(std::uint64_t request, RequestEnd end, Duration retry_after);
    // The front notices, late, that a gateway ended, or is back.
    void on_gateway_state(int gateway_index, bool is_alive);
    // Once all is over: what was never answered.
    void finish_run();

    RunStatistics statistics;
    const FineLatencyHistogram& latency_histogram() const { return latency_histogram_; }
    std::size_t distinct_customers() const { return seen_customers_.size(); }

private:
    struct Request {
        decision::CustomerId customer{};
        int class_index = 0, attempt_count = 0, gateway_index = 0;
        double units = 1.0;
        TimePoint first_sent_at{}, last_sent_at{};
        bool is_in_flight = false, is_abandoned = false;
    };
    enum WakeupKind : std::uint64_t { NewRequest = 0, Retry = 1, Abandon = 2 };
    double draw_fraction() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    std::string describe_request(std::uint64_t number, const Request& r, const std::string& what) const;
    void start_request();
    int pick_gateway(const Request& r);
    void send_attempt(std::uint64_t number, Request& r);
    void finish_request(std::unordered_map<std::uint64_t, Request>::iterator it, std::uint64_t how);

    const Scenario& settings_;
    int frontend_index_;
    const std::vector<double>& cumulative_shares_;
    TimePoint started_at_;
    Duration answer_slack_;
    FrontendEnvironment& environment_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, Request> open_requests_;
    std::set<std::uint64_t> abandoned_requests_, seen_customers_;
    std::vector<int> live_gateways_;
    std::uint64_t last_request_ = 0;
    std::uint64_t favourite_draw_ = 0;    // which of each set, for a while
    TimePoint favourite_until_{};
    FineLatencyHistogram latency_histogram_;
};

}    // namespace shaletray::testbed
