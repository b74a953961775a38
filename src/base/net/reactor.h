// The event loop: POCO's SocketReactor together with Timers. One thread runs it; each iteration runs the due
// timers first, then serves the sockets that are ready. Nothing here is safe to call from another thread
// (see Waker).
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <memory>
#include <vector>

#include "base/common/timers.h"

namespace shaletray {

// Base of objects that are closed in a callback of their own: they may still be on the call stack, so their
// destruction is deferred with Reactor::destroy_later.
class RetiredObject {
public:
    virtual ~RetiredObject() = default;
};

// Does not own the clock and the timers, which must outlive it.
class Reactor : public Poco::Net::SocketReactor {
public:
    Reactor(const Clock& clock, Timers& timers);

    // Runs first in each iteration; its argument says whether sockets are about to be served.
    void set_pre_poll_task(std::function<void(bool)> task) { pre_poll_task_ = std::move(task); }
    // Takes ownership of an object and destroys it at a later iteration.
    void destroy_later(std::unique_ptr<RetiredObject> object) {
        retired_objects_.push_back(std::move(object));
    }
    // Destroys the retired objects. Only while none of them is on the call stack.
    void destroy_retired() { retired_objects_.clear(); }
    const Clock& clock() const { return clock_; }

    // Runs `task` once on the reactor's thread; see Timers.
    Timers::Id schedule_at(TimePoint deadline, Timers::Task task);
    Timers::Id schedule_after(Duration delay, Timers::Task task) {
        return schedule_at(clock_.now() + delay, std::move(task));
    }
    void cancel_timer(Timers::Id& timer) { timers_.cancel(timer); }
    // Adapts the wait to the next deadline. Called at the end of an iteration, since the engine adds to the
    // timers without passing through the reactor.
    void update_poll_timeout();
    // Polls without ever sleeping, for callers that need timers more precise than the poll's resolution of a
    // millisecond.
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
