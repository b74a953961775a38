// The load tool: open loop over real sockets, each request due at a time that does not depend on any answer,
// and its latency counted from then on, so that a server that stalls cannot hide what it did to those who
// came meanwhile (coordinated omission).
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

// When requests are due, as times since the start, growing.
class Arrivals {
public:
    virtual ~Arrivals() = default;
    // Nothing where there are no more.
    virtual std::optional<Duration> next_arrival() = 0;
};
std::unique_ptr<Arrivals> constant_arrivals(double rate);
std::unique_ptr<Arrivals> poisson_arrivals(double rate, std::uint64_t seed);
// Poisson at a rate that is four times as high for a quarter of each period, and nothing in the rest.
std::unique_ptr<Arrivals> on_off_arrivals(double rate, Duration period, std::uint64_t seed);
struct RecordedArrivals {
    std::vector<Duration> arrival_times;
    std::size_t out_of_order_count = 0;    // lines that went back in time; they are due at once
    bool is_truncated = false;             // the last line has no end: it is not replayed
};
// A whole number of microseconds a line. Throws std::runtime_error with the number of the line that is none.
RecordedArrivals parse_recorded_arrivals(const std::string& text);
std::unique_ptr<Arrivals> recorded_arrivals(RecordedArrivals recorded);

struct LoadSettings {
    std::string address;
    std::string class_name = "claim-read", method = "GET", plan_name = "empresa";
    std::uint64_t customer_count = 1000;
    int units = 1, unit_spread = 1;
    Duration duration{10'000'000}, time_budget{2'000'000};
    std::size_t max_connections = 1000;    // at most; requests beyond wait, and their wait counts
    // All of them are opened before the first request is due, and used in turn: what a server has to hold.
    bool open_in_advance = false;
    std::uint64_t seed = 1;
};

using LatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(3000, 1e-3, 1e5)));
// Within 0.4% of the truth, half a bin.
double histogram_quantile(const LatencyHistogram& h, double q);

struct LoadStatistics {
    LoadStatistics();
    std::uint64_t due_count = 0, sent_count = 0, broken_count = 0, unanswered_count = 0,
                  connections_opened = 0;
    std::uint64_t resent_count =
        0;    // once more on another connection, as the protocol has it, where a close crossed
    std::map<int, std::uint64_t> by_status;
    LatencyHistogram latency;           // of whatever was answered, from when it was due
    LatencyHistogram scheduling_lag;    // of the tool itself: from when it was due until it was handed on, a
                                        // connection being free
    double seconds = 0.0;
    // The machine was too slow for what was asked: the figures are its own more than the server's.
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
        bool is_resend = false;    // sent once more, since a close crossed it
    };
    void assign_request(DueRequest due);
    std::string make_request(std::uint64_t number);
    void on_request_ended(Connection& line, int status, bool keep);
    void finish_run();

    Reactor& reactor_;
    LoadSettings settings_;
    std::unique_ptr<Arrivals> arrivals_;
    std::function<void()> on_done_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Connection>> connections_;
    std::deque<Connection*> idle_connections_;    // the last used at the end
    std::deque<DueRequest> waiting_requests_;
    std::optional<Duration> next_arrival_;
    TimePoint started_at_{};
    Timers::Id timer_ = 0;
    std::uint64_t last_request_number_ = 0;
    bool is_finished_ = false;
    LoadStatistics statistics_;
};

}    // namespace shaletray::testbed
