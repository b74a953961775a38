// Servers that answer at once, or after a fixed time, on threads of their own: what a gateway or the load
// tool is measured against. They keep up with more than either can ask, and say nothing of load.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace shaletray::testbed {

class StandInEcho {
public:
    // `count` addresses, each served by one of `threads`. Throws std::runtime_error where it cannot listen.
    StandInEcho(int count, int threads, std::chrono::microseconds delay = {});
    ~StandInEcho();
    StandInEcho(const StandInEcho&) = delete;
    StandInEcho& operator=(const StandInEcho&) = delete;

    std::string address(int i) const;
    int count() const { return static_cast<int>(listeners_.size()); }
    std::uint64_t answered() const { return answered_; }
    // Ends it. How long it held requests, in milliseconds, growing.
    std::vector<double> finish();

private:
    void serve(std::size_t thread);

    std::chrono::microseconds delay_;
    std::size_t threads_wanted_;
    std::vector<int> listeners_, ports_;
    std::atomic<bool> over_{false};
    std::atomic<std::uint64_t> answered_{0};
    std::vector<std::vector<double>> held_;    // by thread, while a delay is asked for
    std::vector<std::thread> threads_;
};

}    // namespace shaletray::testbed
