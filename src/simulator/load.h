// An open-loop HTTP load generator on real sockets. Requests are due at times that do not depend on
// responses, and latency is measured from the due time, so that the requests delayed by a stalled server are
// not hidden (coordinated omission).
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/reactor.h"
#include "base/net/stream.h"

namespace shaletray::testbed {

// The due times of requests since the start, in ascending order.
class Arrivals {
public:
    virtual ~Arrivals() = default;
    // Returns nothing after the last arrival.
    virtual std::optional<Duration> next_arrival() = 0;
};
std::unique_ptr<Arrivals> constant_arrivals(double rate);
std::unique_ptr<Arrivals> poisson_arrivals(double rate, std::uint64_t seed);
// Poisson arrivals at four times the rate in the first quarter of each period, none in the rest.
std::unique_ptr<Arrivals> on_off_arrivals(double rate, Duration period, std::uint64_t seed);
struct RecordedArrivals {
    std::vector<Duration> arrival_times;
    std::size_t out_of_order_count = 0;    // times before the previous line's; due at that line's time
    bool is_truncated = false;             // the last line has no newline and is not replayed
};
// Parses one whole number of microseconds per line. Throws std::runtime_error with the number of an invalid
// line.
RecordedArrivals parse_recorded_arrivals(const std::string& text);
std::unique_ptr<Arrivals> recorded_arrivals(RecordedArrivals recorded);

struct LoadSettings {
    std::string address;
    std::string class_name = "claim-read", method = "GET", plan_name = "empresa";
    std::uint64_t customer_count = 1000;
    int units = 1, unit_spread = 1;
    Duration duration{10'000'000}, time_budget{2'000'000};
    std::size_t max_connections = 1000;    // further requests wait, and the wait counts as latency
    // Opens all connections before the first request is due and uses them in turn, to load a server with
    // them.
    bool open_in_advance = false;
    std::uint64_t seed = 1;
};

using LatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(3000, 1e-3, 1e5)));
// Returns a quantile with an error of at most 0.4%, half a bin.
double histogram_quantile(const LatencyHistogram& h, double q);

struct LoadStatistics {
    LoadStatistics();
    std::uint64_t due_count = 0, sent_count = 0, broken_count = 0, unanswered_count = 0,
                  connections_opened = 0;
    std::uint64_t resent_count =
        0;    // sent again, as HTTP allows, since the server closed the reused connection at that time
    std::map<int, std::uint64_t> by_status;
    LatencyHistogram latency;           // ms from the due time to any response
    LatencyHistogram scheduling_lag;    // ms of the generator itself: from the due time until a free
                                        // connection got the request
    double seconds = 0.0;
    // Whether this machine was too slow for the load, so that the results reflect it more than the server.
    bool ran_late() const;
};

class LoadGenerator {
public:
    LoadGenerator(Reactor& reactor, LoadSettings settings, std::unique_ptr<Arrivals> arrivals,
                  std::function<void()> done);
    ~LoadGenerator();
    void start_load();
    const LoadStatistics& statistics() const { return statistics_; }

private:
    class Connection;
    void start_arrivals();
    void open_connections();
    void process_due();
    struct DueRequest {
        Duration due_at{0};
        bool is_resend = false;    // sent again after the server closed an idle connection
    };
    void assign_request(DueRequest due);
    std::string make_request(std::uint64_t number);
    void on_request_ended(Connection& connection, int status, bool keep);
    void finish_run();

    Reactor& reactor_;
    LoadSettings settings_;
    std::unique_ptr<Arrivals> arrivals_;
    std::function<void()> on_done_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Connection>> connections_;
    std::deque<Connection*> idle_connections_;    // the most recently used is last
    std::deque<DueRequest> waiting_requests_;
    std::optional<Duration> next_arrival_;
    TimePoint started_at_{};
    Timers::Id timer_ = 0;
    std::uint64_t last_request_number_ = 0;
    bool is_finished_ = false;
    LoadStatistics statistics_;
};

}    // namespace shaletray::testbed
