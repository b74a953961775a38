// Reads configurations: short ones at once, long ones by a thread of its own, so that the loop goes on with
// the beats. In the order they came, within each of the two kinds.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include "base/net/waker.h"
#include "cluster/configuration/configuration.h"

namespace shaletray::controller {

class Checker {
public:
    using Outcome = std::variant<configuration::Chart, configuration::Refusal>;
    using Then = std::function<void(std::string text, Outcome outcome)>;                 // on the loop
    static constexpr std::size_t kShort = 64 * 1024, kMostWaiting = 96 * 1024 * 1024;    // bytes

    explicit Checker(Reactor& reactor);
    ~Checker();
    // False where too much waits already: nothing was taken.
    bool check(std::string&& text, Then then);

private:
    struct Job {
        std::string text;
        Then then;
        Outcome outcome;
    };
    void run();
    void hand_back();

    Waker waker_;
    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<Job> waiting_, done_;
    std::size_t held_ = 0;    // bytes, by the loop's count
    bool stop_ = false;
    std::thread thread_;    // begun by the first long text
};

}    // namespace shaletray::controller
