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
#include "cluster/configuration/configuration_error.h"

namespace shaletray::controller {

class ConfigurationValidator {
public:
    using Outcome = std::variant<configuration::Configuration, configuration::ConfigurationError>;
    using Callback = std::function<void(std::string text, Outcome outcome)>;    // on the loop
    static constexpr std::size_t kInlineLimit = 64 * 1024, kMaxQueuedBytes = 96 * 1024 * 1024;    // bytes

    explicit ConfigurationValidator(Reactor& reactor);
    ~ConfigurationValidator();
    // False where too much waits already: nothing was taken.
    bool validate(std::string&& text, Callback callback);

private:
    struct Job {
        std::string text;
        Callback callback;
        Outcome outcome;
    };
    void run_worker();
    void deliver_results();

    Waker waker_;
    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<Job> queued_, completed_;
    std::size_t queued_bytes_ = 0;    // bytes, by the loop's count
    bool stopping_ = false;
    std::thread thread_;    // begun by the first long text
};

}    // namespace shaletray::controller
