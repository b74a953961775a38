// Base of experiments with real processes: a temporary directory, and a reactor on a thread of its own on
// which everything but the experiment's own steps runs.
#pragma once

#include <Poco/Thread.h>

#include <condition_variable>
#include <deque>
#include <exception>
#include <filesystem>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "base/net/reactor.h"
#include "simulator/measure.h"

namespace shaletray::testbed {

// Derived classes use run_on_reactor to reach objects of the reactor's thread.
class ExperimentHost {
public:
    // Creates a directory with `name` in its name, and removes it at the end unless KEEP is in the
    // environment.
    explicit ExperimentHost(const std::string& name);
    virtual ~ExperimentHost();
    ExperimentHost(const ExperimentHost&) = delete;
    ExperimentHost& operator=(const ExperimentHost&) = delete;

protected:
    // Runs `task` on the reactor's thread, waits for it and returns its result or throws what it threw.
    template <class F>
    auto run_on_reactor(F task) {
        std::unique_lock lock(mutex_);
        std::exception_ptr error;
        bool done = false;
        std::optional<decltype(task())> result;
        pending_tasks_.push_back([&] {
            try {
                result.emplace(task());
            } catch (...) {
                error = std::current_exception();
            }
            done = true;
        });
        reactor_.wakeUp();
        task_done_.wait(lock, [&] { return done; });
        if (error) std::rethrow_exception(error);
        return *result;
    }
    void run_task_on_reactor(const std::function<void()>& task) {
        run_on_reactor([&] { return task(), true; });
    }
    void start_thread();
    void stop_thread();
    void schedule_after(double seconds, std::function<void()> task) {
        reactor_.schedule_after(from_secs(seconds), std::move(task));
    }
    static void sleep_for(double seconds);
    // Waits until `condition` holds; false if it does not in time.
    bool wait_until(const std::function<bool()>& condition, double timeout_seconds);

    std::filesystem::path directory_;
    SystemClock clock_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};

private:
    std::mutex mutex_;
    std::condition_variable task_done_;
    std::deque<std::function<void()>> pending_tasks_;    // for the reactor's thread
    Poco::Thread thread_;    // a POCO thread: on others a POCO reactor without sockets cannot sleep
};

}    // namespace shaletray::testbed
