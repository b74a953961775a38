#include "base/net/reactor.h"

#include <Poco/ErrorHandler.h>

#include <algorithm>

#include "base/common/log.h"

namespace shaletray {
namespace {

// Signals are looked at once a turn, and one may come just before the wait: it is never longer than this.
constexpr Duration kLongestWait = std::chrono::milliseconds(100);

// What no one caught while a socket was served. The reactor goes on with the next socket.
class LoggingErrorHandler : public Poco::ErrorHandler {
public:
    void exception(const Poco::Exception& error) override { tell(error.displayText()); }
    void exception(const std::exception& error) override { tell(error.what()); }
    void exception() override { tell("unknown exception"); }

private:
    void tell(const std::string& text) {
        if (gate_.open()) log(LogLevel::Error, Event::SocketFailed, {kv("why", text)});
    }
    LogGate gate_;
};

}    // namespace

Reactor::Reactor(const Clock& clock, Timers& timers) : clock_(clock), timers_(timers) {
    static LoggingErrorHandler handler;
    Poco::ErrorHandler::set(&handler);
    reckon_timeout();
}

Timers::Id Reactor::at(TimePoint when, Timers::Task task) {
    const Timers::Id id = timers_.at(when, std::move(task));
    reckon_timeout();
    return id;
}

// POCO cuts the wait down to whole milliseconds: rounded up here, so that it neither spins in the last one
// nor wakes before anything is due.
void Reactor::reckon_timeout() {
    Duration wait = kLongestWait;
    if (const auto next = timers_.next()) wait = std::clamp(*next - clock_.now(), Duration(0), wait);
    if (spins_) wait = Duration(0);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
    setTimeout(Poco::Timespan(ms.count() * 1000));
}

void Reactor::turn(bool sockets) {
    reap();
    if (before_turn_) before_turn_(sockets);
    timers_.run_due(clock_.now());
    reckon_timeout();
}

}    // namespace shaletray
