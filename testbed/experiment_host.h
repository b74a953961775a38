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

class Ground {
public:
    // The folder is a new one with this in its name, removed in the end, unless KEEP is in the environment.
    explicit Ground(const std::string& name);
    virtual ~Ground();
    Ground(const Ground&) = delete;
    Ground& operator=(const Ground&) = delete;

protected:
    // Runs it on the reactor's thread and waits until it is done.
    template <class F>
    auto sync(F what) {
        std::unique_lock lock(mutex_);
        std::exception_ptr error;
        bool done = false;
        std::optional<decltype(what())> result;
        wanted_.push_back([&] {
            try {
                result.emplace(what());
            } catch (...) {
                error = std::current_exception();
            }
            done = true;
        });
        reactor_.wakeUp();
        done_.wait(lock, [&] { return done; });
        if (error) std::rethrow_exception(error);
        return *result;
    }
    void sync_do(const std::function<void()>& what) {
        sync([&] { return what(), true; });
    }
    void start_thread();
    void stop_thread();
    void after(double s, std::function<void()> what) { reactor_.after(from_secs(s), std::move(what)); }
    static void wait(double s);
    // Until it holds, at most so long. False where it did not.
    bool wait_for(const std::function<bool()>& what, double most);

    std::filesystem::path folder_;
    SystemClock clock_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};

private:
    std::mutex mutex_;
    std::condition_variable done_;
    std::deque<std::function<void()>> wanted_;    // to be done on the reactor's thread
    Poco::Thread thread_;    // POCO lets a reactor without sockets sleep on its own threads only
};

}    // namespace shaletray::testbed
