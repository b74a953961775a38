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
    virtual std::optional<Duration> next() = 0;
};
std::unique_ptr<Arrivals> constant_arrivals(double rate);
std::unique_ptr<Arrivals> poisson_arrivals(double rate, std::uint64_t seed);
// Poisson at a rate that is four times as high for a quarter of each period, and nothing in the rest.
std::unique_ptr<Arrivals> on_off_arrivals(double rate, Duration period, std::uint64_t seed);
struct Recorded {
    std::vector<Duration> times;
    std::size_t late = 0;      // lines that went back in time; they are due at once
    bool cut_short = false;    // the last line has no end: it is not replayed
};
// A whole number of microseconds a line. Throws std::runtime_error with the number of the line that is none.
Recorded read_recorded(const std::string& text);
std::unique_ptr<Arrivals> recorded_arrivals(Recorded recorded);

struct LoadSettings {
    std::string address;
    std::string cls = "claim-read", method = "GET", plan = "empresa";
    std::uint64_t customers = 1000;
    int units = 1, spread = 1;
    Duration time{10'000'000}, time_left{2'000'000};
    std::size_t connections = 1000;    // at most; requests beyond wait, and their wait counts
    // All of them are opened before the first request is due, and used in turn: what a server has to hold.
    bool ahead = false;
    std::uint64_t seed = 1;
};

using Milliseconds = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(3000, 1e-3, 1e5)));
// Within 0.4% of the truth, half a bin.
double quantile_of(const Milliseconds& h, double q);

struct LoadFigures {
    LoadFigures();
    std::uint64_t due = 0, sent = 0, broken = 0, unanswered = 0, opened = 0;
    std::uint64_t resent =
        0;    // once more on another connection, as the protocol has it, where a close crossed
    std::map<int, std::uint64_t> by_status;
    Milliseconds latency;    // of whatever was answered, from when it was due
    Milliseconds
        lag;    // of the tool itself: from when it was due until it was handed on, a connection being free
    double seconds = 0.0;
    // The machine was too slow for what was asked: the figures are its own more than the server's.
    bool ran_late() const;
};

class Load {
public:
    Load(Reactor& reactor, LoadSettings settings, std::unique_ptr<Arrivals> arrivals,
         std::function<void()> done);
    ~Load();
    void start();
    const LoadFigures& figures() const { return figures_; }

private:
    class Line;
    void begin();
    void open_more();
    void step();
    struct Due {
        Duration at{0};
        bool again = false;    // sent once more, since a close crossed it
    };
    void hand_out(Due due);
    std::string request(std::uint64_t number);
    void ended(Line& line, int status, bool keep);
    void finish();

    Reactor& reactor_;
    LoadSettings s_;
    std::unique_ptr<Arrivals> arrivals_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Line>> lines_;
    std::deque<Line*> idle_;    // the last used at the end
    std::deque<Due> waiting_;
    std::optional<Duration> next_;
    TimePoint began_{};
    Timers::Id timer_ = 0;
    std::uint64_t numbers_ = 0;
    bool over_ = false;
    LoadFigures figures_;
};

}    // namespace shaletray::testbed
