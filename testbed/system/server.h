// An emulated application server: what PROTOCOL says of a server's side, and its beats.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/stream.h"
#include "system/http_calls.h"
#include "system/scoreboard.h"
#include "test_processes.h"

namespace shaletray::testbed {

struct ServerPlan {
    std::string service, address, zone, revision = "v1";
    int slots = 6;                    // requests at once; as many wait
    std::size_t connections = 130;    // from all callers; those beyond are reset
    Duration work{0};                 // mean
    double speed = 1.0;               // of this one: its work takes work / speed
    Duration ramp{0};                 // slow for so long from its start
    Duration heartbeat{1'500'000};
    Duration drain{2'000'000};           // how long it goes on after its end was acknowledged
    std::vector<std::string> control;    // who takes its beats
    std::uint64_t seed = 1;
};

class AppServer {
public:
    AppServer(Reactor& reactor, Calls& calls, Board& board, ServerPlan plan);
    ~AppServer();
    AppServer(const AppServer&) = delete;
    AppServer& operator=(const AppServer&) = delete;

    const std::string& id() const { return id_; }
    const ServerPlan& plan() const { return plan_; }
    // Leaves in order: says so, serves on for a while, deregisters, ends.
    void drain();
    // Ends at once; nothing is said.
    void crash();
    // Takes connections and answers nothing, as a machine that is frozen.
    void freeze(bool is);
    void slow_down(double speed) { plan_.speed = speed; }
    void control(std::vector<std::string> gateways);
    bool is_known() const { return known_; }    // its first beat was acknowledged
    bool is_ended() const { return ended_; }
    int running() const { return running_; }

private:
    class Peer;
    void accept(const Poco::Net::StreamSocket& socket);
    void take_in(Peer& peer);
    void serve(Peer& peer);
    void begin(Peer& peer);
    void finish(Peer& peer);
    void next();
    void refuse(Peer& peer, int status);
    void answer(Peer& peer, int status, const std::string& headers, const std::string& body);
    void forget(Peer& peer);
    void sweep();
    std::string beat_body();
    void beat();
    void beaten(const CallAnswer& answer);
    void deregister();
    void end();
    Duration draw_work();

    Reactor& reactor_;
    Board& board_;
    ServerPlan plan_;
    std::mt19937_64 random_;
    std::string id_;
    TimePoint began_{};
    std::unique_ptr<Acceptor> acceptor_;
    std::list<std::unique_ptr<Peer>> peers_;
    std::deque<Peer*> queue_;
    int running_ = 0;
    std::uint64_t calls_made_ = 0, answers_ = 0;
    bool known_ = false, leaving_ = false, left_ = false, ended_ = false, frozen_ = false;
    ControlCaller caller_;
    Timers::Id beat_timer_ = 0, end_timer_ = 0, sweep_timer_ = 0;
};

}    // namespace shaletray::testbed
