// POCO's SocketReactor with our timers: one thread, one turn after another.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <memory>
#include <vector>

#include "base/common/timers.h"

namespace shaletray {

// What is closed during a turn may still be on the call stack: it is handed over here and destroyed later.
class Retired {
public:
    virtual ~Retired() = default;
};

class Reactor : public Poco::Net::SocketReactor {
public:
    Reactor(const Clock& clock, Timers& timers);

    // Runs first in each turn; it is told whether sockets are about to be served.
    void before_turn(std::function<void(bool)> task) { before_turn_ = std::move(task); }
    void retire(std::unique_ptr<Retired> done) { retired_.push_back(std::move(done)); }
    // Destroys what was handed over. Only while nothing of it is on the call stack.
    void reap() { retired_.clear(); }
    const Clock& clock() const { return clock_; }

    Timers::Id at(TimePoint when, Timers::Task task);
    Timers::Id after(Duration wait, Timers::Task task) { return at(clock_.now() + wait, std::move(task)); }
    void cancel(Timers::Id& id) { timers_.cancel(id); }
    // The engine adds timers behind our back: to be called when a turn's work is done.
    void reckon_timeout();
    // Never sleeps: for who has to be on time within less than the millisecond that a wait is counted in.
    void spin(bool wanted) { spins_ = wanted; }

protected:
    void onBusy() override { turn(true); }
    void onTimeout() override { turn(false); }
    void onIdle() override { turn(false); }

private:
    void turn(bool sockets);

    const Clock& clock_;
    Timers& timers_;
    std::function<void(bool)> before_turn_;
    bool spins_ = false;
    std::vector<std::unique_ptr<Retired>> retired_;
};

}    // namespace shaletray
