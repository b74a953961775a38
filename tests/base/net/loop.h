// A reactor that runs only while a test waits for something.
#pragma once

#include <Poco/Thread.h>

#include <csignal>
#include <functional>
#include <semaphore>
#include <utility>

#include "base/net/reactor.h"

namespace shaletray::test {

using namespace std::chrono_literals;

// The reactor runs on a thread of its own, as POCO's can be run only once, and only while the test waits for
// something: never both at a time.
class Loop {
public:
    // Timers run as much faster than the system's.
    struct FastClock : Clock {
        int times = 1;
        Duration ahead{0};    // for tests that step it
        SystemClock real;
        TimePoint begin = real.now();
        TimePoint now() const override { return begin + (real.now() - begin) * times + ahead; }
    };
    FastClock clock;
    Timers timers;
    Reactor reactor{clock, timers};

    explicit Loop(int times = 1) {
        std::signal(SIGPIPE, SIG_IGN);
        clock.times = times;
    }
    ~Loop() {
        reactor.stop();
        if (started_) go_.release();
        thread_.join();
    }
    // False where it did not come true in time.
    bool until(std::function<bool()> condition) {
        condition_ = std::move(condition);
        end_ = clock.now() + 20s * clock.times;
        if (std::exchange(started_, true)) go_.release();
        else begin();
        came_.acquire();
        return held_;
    }

private:
    void begin() {
        reactor.set_pre_poll_task([this](bool) {
            held_ = condition_();
            if (!held_ && clock.now() < end_) return;
            came_.release();
            go_.acquire();
        });
        tick();
        thread_.startFunc([this] { reactor.run(); });
    }
    void tick() {
        reactor.schedule_after(5ms, [this] { tick(); });
    }

    std::function<bool()> condition_;
    TimePoint end_{};
    bool held_ = false, started_ = false;
    std::binary_semaphore go_{0}, came_{0};
    Poco::Thread thread_;
};

}    // namespace shaletray::test
