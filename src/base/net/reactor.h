// POCO's SocketReactor with our timers: one thread, one turn after another.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <memory>
#include <vector>

#include "base/common/timers.h"

namespace shaletray {

// What is closed during a turn may still be on the call stack: it is handed over here and destroyed later.
class RetiredObject {
public:
    virtual ~RetiredObject() = default;
};

class Reactor : public Poco::Net::SocketReactor {
public:
    Reactor(const Clock& clock, Timers& timers);

    // Runs first in each turn; it is told whether sockets are about to be served.
    void set_pre_poll_task(std::function<void(bool)> task) { pre_poll_task_ = std::move(task); }
    void destroy_later(std::unique_ptr<RetiredObject> object) {
        retired_objects_.push_back(std::move(object));
    }
    // Destroys what was handed over. Only while nothing of it is on the call stack.
    void destroy_retired() { retired_objects_.clear(); }
    const Clock& clock() const { return clock_; }

    Timers::Id schedule_at(TimePoint deadline, Timers::Task task);
    Timers::Id schedule_after(Duration delay, Timers::Task task) {
        return schedule_at(clock_.now() + delay, std::move(task));
    }
    void cancel_timer(Timers::Id& timer) { timers_.cancel(timer); }
    // The engine adds timers behind our back: to be called when a turn's work is done.
    void update_poll_timeout();
    // Never sleeps: for who has to be on time within less than the millisecond that a wait is counted in.
    void set_busy_polling(bool enabled) { busy_polling_ = enabled; }

protected:
    void onBusy() override { run_once(true); }
    void onTimeout() override { run_once(false); }
    void onIdle() override { run_once(false); }

private:
    void run_once(bool poll_sockets);

    const Clock& clock_;
    Timers& timers_;
    std::function<void(bool)> pre_poll_task_;
    bool busy_polling_ = false;
    std::vector<std::unique_ptr<RetiredObject>> retired_objects_;
};

}    // namespace shaletray
