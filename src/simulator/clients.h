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
using Latency = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5)));
Latency no_latency();
double quantile_ms(const Latency& h, double q);

enum class End : std::uint8_t { Served, Refused, Failed };

struct Asked {
    std::uint64_t request = 0;    // of the front; the same over its tries
    int attempt = 0;              // of its client, from 1
    decision::CustomerId customer{};
    int cls = 0, plan = 0;
    double units = 1.0;
    Duration left{0};
    int gateway = 0;
};

class FrontWorld {
public:
    virtual ~FrontWorld() = default;
    virtual TimePoint now() const = 0;
    // Calls Clients::woken with `what` then.
    virtual void wake(TimePoint at, std::uint64_t what) = 0;
    virtual void ask(const Asked& asked) = 0;
    virtual void leave(std::uint64_t request, int gateway) = 0;
};

// How customers are drawn: Zipf over those of one front, added up.
std::vector<double> activity(const Scenario& s);

class Clients {
public:
    // `slack`: how much later than a client's patience an answer may still be written, without the way to the
    // client and back. `shares` is activity()'s and outlives this.
    Clients(const Scenario& scenario, int me, const std::vector<double>& shares, TimePoint start,
            Duration slack, FrontWorld& world);

    void begin() { world_.wake(start_ + Duration(1000 + me_), Arrive); }
    void woken(std::uint64_t what);
    void answered(std::uint64_t request, End end, Duration retry_after);
    // The front notices, late, that a gateway ended, or is back.
    void gateway_seen(int gateway, bool there);
    // Once all is over: what was never answered.
    void close();

    Figures figures;
    const Latency& latency() const { return latency_; }
    std::size_t customers_seen() const { return seen_.size(); }

private:
    struct Request {
        decision::CustomerId customer{};
        int cls = 0, tries = 0, gateway = 0;
        double units = 1.0;
        TimePoint first{}, sent{};
        bool out = false, left = false;
    };
    enum What : std::uint64_t { Arrive = 0, Again = 1, Go = 2 };
    double real() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    std::string course(std::uint64_t number, const Request& r, const std::string& what) const;
    void arrive();
    int pick_gateway(const Request& r);
    void ask(std::uint64_t number, Request& r);
    void finish(std::unordered_map<std::uint64_t, Request>::iterator it, std::uint64_t how);

    const Scenario& s_;
    int me_;
    const std::vector<double>& shares_;
    TimePoint start_;
    Duration slack_;
    FrontWorld& world_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, Request> open_;
    std::set<std::uint64_t> gone_, seen_;
    std::vector<int> alive_;
    std::uint64_t last_ = 0;
    std::uint64_t favourite_ = 0;    // which of each set, for a while
    TimePoint favourite_until_{};
    Latency latency_;
};

}    // namespace shaletray::testbed
