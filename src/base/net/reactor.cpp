#include "base/net/reactor.h"

#include <Poco/ErrorHandler.h>

#include <algorithm>

#include "base/common/log.h"

namespace shaletray {
namespace {

// Signals are checked once an iteration, and one may arrive just before the wait, which this bounds.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);

// Logs exceptions that a socket's handler did not catch. The reactor continues with the next socket.
class LoggingErrorHandler : public Poco::ErrorHandler {
public:
    void exception(const Poco::Exception& error) override { log_error(error.displayText()); }
    void exception(const std::exception& error) override { log_error(error.what()); }
    void exception() override { log_error("unknown exception"); }

private:
    void log_error(const std::string& text) {
        if (log_limiter_.try_acquire()) log(LogLevel::Error, Event::SocketFailed, {log_field("why", text)});
    }
    LogRateLimiter log_limiter_;
};

}    // namespace

Reactor::Reactor(const Clock& clock, Timers& timers) : clock_(clock), timers_(timers) {
    static LoggingErrorHandler handler;
    Poco::ErrorHandler::set(&handler);
    update_poll_timeout();
}

Timers::Id Reactor::schedule_at(TimePoint deadline, Timers::Task task) {
    const Timers::Id id = timers_.schedule_at(deadline, std::move(task));
    update_poll_timeout();
    return id;
}

// POCO truncates the wait to whole milliseconds: it is rounded up here, so that the loop neither spins during
// the last millisecond nor wakes before anything is due.
void Reactor::update_poll_timeout() {
    Duration wait = kMaxWait;
    if (const auto next = timers_.next_deadline()) wait = std::clamp(*next - clock_.now(), Duration(0), wait);
    if (busy_polling_) wait = Duration(0);
    const auto rounded_wait = std::chrono::ceil<std::chrono::milliseconds>(wait);
    setTimeout(Poco::Timespan(rounded_wait.count() * 1000));
}

void Reactor::run_once(bool poll_sockets) {
    destroy_retired();
    if (pre_poll_task_) pre_poll_task_(poll_sockets);
    timers_.run_due(clock_.now());
    update_poll_timeout();
}

}    // namespace shaletray
