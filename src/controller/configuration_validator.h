// Parses configurations without holding up the reactor: short texts at once, long ones on a worker thread.
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

// Owned and called by the reactor's thread; callbacks run there too. Results come in the order of the calls,
// short and long texts each among themselves. What is still queued at the end is dropped without a callback.
class ConfigurationValidator {
public:
    using Outcome = std::variant<configuration::Configuration, configuration::ConfigurationError>;
    // Gets the text back, together with what it parses to.
    using Callback = std::function<void(std::string text, Outcome outcome)>;
    // Bytes. Parsing longer texts would hold up the heartbeats of servers.
    static constexpr std::size_t kInlineLimit = 64 * 1024;
    // Bytes, of all queued texts together: one of the largest that the control API takes, and half as much.
    static constexpr std::size_t kMaxQueuedBytes = 96 * 1024 * 1024;

    explicit ConfigurationValidator(Reactor& reactor);
    ~ConfigurationValidator();
    ConfigurationValidator(const ConfigurationValidator&) = delete;
    ConfigurationValidator& operator=(const ConfigurationValidator&) = delete;
    // The callback runs before this returns for a short text, in a later turn for a long one. False where the
    // queue is full: the callback will not run.
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
    std::mutex mutex_;    // guards queued_, completed_ and stopping_
    std::condition_variable ready_;
    std::deque<Job> queued_, completed_;
    std::size_t queued_bytes_ = 0;    // until delivered; used by the reactor's thread only
    bool stopping_ = false;
    std::thread thread_;    // started by the first long text
};

}    // namespace shaletray::controller
