// HTTP servers that respond at once or after a fixed delay, on their own threads. They serve as the backend
// for measurements of the gateway and the load generator, have a higher throughput than either, and report no
// load.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace shaletray::testbed {

// Responds with the X-Correlation-Id of each request as the body.
class StandInEcho {
public:
    // Listens on `count` addresses, each served by one of `threads`. Throws std::runtime_error if it cannot
    // listen.
    StandInEcho(int count, int threads, std::chrono::microseconds delay = {});
    ~StandInEcho();
    StandInEcho(const StandInEcho&) = delete;
    StandInEcho& operator=(const StandInEcho&) = delete;

    std::string address(int i) const;
    int count() const { return static_cast<int>(listeners_.size()); }
    std::uint64_t answered() const { return answered_; }
    // Stops the servers. Returns how long requests were held, in milliseconds, in ascending order; empty
    // without a delay.
    std::vector<double> finish();

private:
    void serve(std::size_t thread_index);

    std::chrono::microseconds delay_;
    std::size_t thread_count_;
    std::vector<int> listeners_, ports_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> answered_{0};
    std::vector<std::vector<double>> hold_times_ms_;    // by thread; only with a delay
    std::vector<std::thread> threads_;
};

}    // namespace shaletray::testbed
