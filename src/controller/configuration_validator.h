// Parses configurations without blocking the reactor: short texts at once, long ones on a worker thread.
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

// Owned and called by the reactor's thread; callbacks run there too. Results of short texts come in the order
// of the calls, and so do those of long texts, but the two are not ordered relative to each other. Texts that
// are queued at destruction are dropped without a callback.
class ConfigurationValidator {
public:
    using Outcome = std::variant<configuration::Configuration, configuration::ConfigurationError>;
    // Receives the text back together with the result of parsing it.
    using Callback = std::function<void(std::string text, Outcome outcome)>;
    // Parsing longer texts on the reactor's thread would delay the heartbeats of servers.
    static constexpr std::size_t kMaxInlineBytes = 64 * 1024;
    // Limit for all queued texts together: 1.5 times the largest text that the control API accepts.
    static constexpr std::size_t kMaxQueuedBytes = 96 * 1024 * 1024;

    explicit ConfigurationValidator(Reactor& reactor);
    ~ConfigurationValidator();
    ConfigurationValidator(const ConfigurationValidator&) = delete;
    ConfigurationValidator& operator=(const ConfigurationValidator&) = delete;
    // For a short text the callback runs before this returns, for a long one in a later turn. Returns false
    // if the queue is full; the callback then does not run.
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
    std::size_t queued_bytes_ = 0;    // including undelivered results; reactor's thread only
    bool stopping_ = false;
    std::thread thread_;    // started by the first long text
};

}    // namespace shaletray::controller
