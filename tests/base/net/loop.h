// A reactor for tests, which runs only while the test waits for a condition.
#pragma once

#include <Poco/Thread.h>

#include <csignal>
#include <functional>
#include <semaphore>
#include <utility>

#include "base/net/reactor.h"

namespace shaletray::test {

using namespace std::chrono_literals;

// POCO's reactor can be run only once, so it has a thread of its own. The two threads take turns: the reactor
// runs only while the test waits in until().
class Loop {
public:
    // Time runs `speed` times as fast as the system's.
    struct ScaledClock : Clock {
        int speed = 1;
        Duration ahead{0};    // added to the time; tests increase it to skip time
        SystemClock system_clock;
        TimePoint started_at = system_clock.now();
        TimePoint now() const override {
            return started_at + (system_clock.now() - started_at) * speed + ahead;
        }
    };
    ScaledClock clock;
    Timers timers;
    Reactor reactor{clock, timers};

    explicit Loop(int speed = 1) {
        std::signal(SIGPIPE, SIG_IGN);
        clock.speed = speed;
    }
    ~Loop() {
        reactor.stop();
        if (is_started_) resume_.release();
        thread_.join();
    }
    // Runs the reactor until the condition holds. False if it does not hold within 20 s.
    bool until(std::function<bool()> condition) {
        condition_ = std::move(condition);
        deadline_ = clock.now() + 20s * clock.speed;
        if (std::exchange(is_started_, true)) resume_.release();
        else start();
        wait_ended_.acquire();
        return condition_met_;
    }

private:
    void start() {
        reactor.set_pre_poll_task([this](bool) {
            condition_met_ = condition_();
            if (!condition_met_ && clock.now() < deadline_) return;
            wait_ended_.release();
            resume_.acquire();
        });
        schedule_tick();
        thread_.startFunc([this] { reactor.run(); });
    }
    void schedule_tick() {
        reactor.schedule_after(5ms, [this] { schedule_tick(); });
    }

    std::function<bool()> condition_;
    TimePoint deadline_{};
    bool condition_met_ = false, is_started_ = false;
    std::binary_semaphore resume_{0}, wait_ended_{0};
    Poco::Thread thread_;
};

}    // namespace shaletray::test
