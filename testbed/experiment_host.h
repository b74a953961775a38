// The ground of an experiment with real processes: a folder, and a thread for the reactor to which all but
// the experiment's own steps belongs.
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

class ExperimentHost {
public:
    // The folder is a new one with this in its name, removed in the end, unless KEEP is in the environment.
    explicit ExperimentHost(const std::string& name);
    virtual ~ExperimentHost();
    ExperimentHost(const ExperimentHost&) = delete;
    ExperimentHost& operator=(const ExperimentHost&) = delete;

protected:
    // Runs it on the reactor's thread and waits until it is done.
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
    // Until it holds, at most so long. False where it did not.
    bool wait_until(const std::function<bool()>& condition, double timeout_seconds);

    std::filesystem::path directory_;
    SystemClock clock_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};

private:
    std::mutex mutex_;
    std::condition_variable task_done_;
    std::deque<std::function<void()>> pending_tasks_;    // to be done on the reactor's thread
    Poco::Thread thread_;    // POCO lets a reactor without sockets sleep on its own threads only
};

}    // namespace shaletray::testbed
