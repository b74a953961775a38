// The platform before the gateways, and the clients that it passes on: connections that are kept or opened
// anew, tries with ids of their own, promises that are heeded.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/stream.h"
#include "system/http_calls.h"
#include "system/scoreboard.h"

namespace shaletray::testbed {

// Asks every gateway each second whether it is ready, and chooses one for each new connection.
class Front {
public:
    struct Gate {
        std::string zone, frontend, readiness;
    };
    Front(Calls& calls, std::vector<Gate> gates);
    ~Front();
    void add(Gate gate) { gates_.push_back({std::move(gate)}); }
    void remove(const std::string& frontend);    // it is not chosen or asked any more
    // Below 0: there is none. Another one than `not_this`, where there is one. `draw` in 0 to 1.
    int choose(const std::string& zone, int not_this, double draw) const;
    const Gate& gate(int number) const { return gates_[static_cast<std::size_t>(number)].gate; }
    bool all_ready() const;
    bool is_ready(int number) const { return gates_[static_cast<std::size_t>(number)].misses < kMisses; }

private:
    static constexpr int kMisses = 2;
    struct Kept {
        Gate gate;
        int misses = kMisses;    // out until it says that it is ready
        bool removed = false;
    };
    void poll();
    std::vector<int> candidates(const std::string& zone) const;

    Calls& calls_;
    std::deque<Kept> gates_;    // polls hold on to theirs
    Timers::Id timer_ = 0;
};

struct RoutePlan {
    std::string name, host, prefix, service;
    bool repeatable = true, open = false;    // open: needs no key
    double rate = 10.0;                      // a second
    Duration work{0}, aim{0}, deadline{0}, timeout{0};
    int priority = 1, attempts = 2;
    std::size_t body = 0;    // bytes that its requests carry
};
struct TenantPlan {
    std::string name, key;
    double weight = 1.0, rate = 0.0, burst = 0.0;    // rate 0: no limit
    int priority = 1;
};

struct ClientFigures {
    struct OfRoute {
        std::uint64_t due = 0, served = 0, in_aim = 0, refused = 0, failed = 0, tries = 0;
        std::vector<float> latency_ms;    // of what was served, from when it was due
    };
    std::vector<OfRoute> routes;
    struct Second {
        std::uint64_t due = 0, served = 0, refused = 0, failed = 0;
    };
    std::vector<Second> seconds;    // by when they were due
    std::uint64_t connections = 0;
    OfRoute all() const;
};
// 0 where there is none.
double latency_quantile(std::vector<float> of, double q);

class Clients {
public:
    struct Settings {
        std::vector<RoutePlan> routes;
        std::vector<TenantPlan> tenants;
        std::vector<std::string> zones;
        double new_connections = 0.2;    // the share of requests that come on one of their own
        std::uint64_t seed = 1;
    };
    Clients(Reactor& reactor, Board& board, const Front& front, Settings settings);
    ~Clients();
    void start(double times = 1.0);    // as many requests
    void stop();                       // no more are due; those under way go on
    std::size_t open() const { return asks_.size(); }
    const ClientFigures& figures() const { return figures_; }
    void forget_figures();

private:
    class Line;
    struct Ask {
        std::size_t route = 0, tenant = 0;
        std::string zone, target, body, id;
        TimePoint due{}, deadline{};
        std::size_t second = 0;
        int tries = 0, gate = -1;
        bool refused = false;    // by the last try
        Line* line = nullptr;
        Timers::Id timer = 0, end = 0;
    };
    void due(std::size_t route);
    void attempt(Ask& ask, bool fresh);
    Line* idle_line(const std::string& zone);
    Line* new_line(Ask& ask);
    void write(Ask& ask, Line& line);
    void answered(Line& line);
    void broken(Line& line);
    void again(Ask& ask, Duration wait, bool allowed);
    void done(Ask& ask, bool served);
    void drop(Line& line);
    std::string new_id();

    Reactor& reactor_;
    Board& board_;
    const Front& front_;
    Settings s_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<Line>> lines_;    // the last used at the end
    std::list<std::unique_ptr<Ask>> asks_;
    std::vector<Timers::Id> arrivals_;
    double times_ = 1.0;
    TimePoint began_{};
    std::uint64_t numbers_ = 0;
    ClientFigures figures_;
};

}    // namespace shaletray::testbed
