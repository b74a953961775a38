// The clients behind one frontend. Generates their requests, picks the gateway of each attempt, and handles
// rejections, failures, retries and timeouts. Used in virtual time and on sockets; does no I/O.
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

// Latency in milliseconds, in logarithmic bins 0.7% wide.
using FineLatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5)));
FineLatencyHistogram make_latency_histogram();
double latency_quantile_ms(const FineLatencyHistogram& h, double q);

enum class RequestEnd : std::uint8_t { Served, Rejected, Failed };

struct ClientRequest {
    std::uint64_t request_number = 0;    // unique; the same for all attempts
    int attempt_number = 0;              // counts the client's attempts from 1
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
    // Calls Clients::on_wakeup with that value at that time.
    virtual void schedule_wakeup(TimePoint at, std::uint64_t wakeup) = 0;
    virtual void send_request(const ClientRequest& request) = 0;
    virtual void abandon_request(std::uint64_t request, int gateway_index) = 0;
};

// Returns the cumulative Zipf weights of the customers of one frontend.
std::vector<double> customer_activity(const Scenario& s);

class Clients {
public:
    // `slack`: how long after a client's timeout a response may still be sent, without the network delay.
    // `shares` is the result of customer_activity() and must outlive this object.
    Clients(const Scenario& scenario, int frontend_index, const std::vector<double>& shares, TimePoint start,
            Duration slack, FrontendEnvironment& environment);

    void start_arrivals() {
        environment_.schedule_wakeup(started_at_ + Duration(1000 + frontend_index_), NewRequest);
    }
    void on_wakeup(std::uint64_t wakeup);
    void on_answer(std::uint64_t request, RequestEnd end, Duration retry_after);
    // The frontend detects, with a delay, that a gateway has stopped or is running again.
    void on_gateway_state(int gateway_index, bool is_alive);
    // Accounts for unanswered requests after the run.
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
    void finish_request(std::unordered_map<std::uint64_t, Request>::iterator it, std::uint64_t end_code);

    const Scenario& settings_;
    int frontend_index_;
    const std::vector<double>& cumulative_shares_;
    TimePoint started_at_;
    Duration response_slack_;
    FrontendEnvironment& environment_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, Request> open_requests_;
    std::set<std::uint64_t> abandoned_requests_, seen_customers_;
    std::vector<int> live_gateways_;
    std::uint64_t last_request_ = 0;
    std::uint64_t favourite_draw_ = 0;    // selects the favourite gateway of each set until favourite_until_
    TimePoint favourite_until_{};
    FineLatencyHistogram latency_histogram_;
};

}    // namespace shaletray::testbed
