#include "controller/configuration_validator.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "cluster/configuration/configuration_parser.h"

namespace shaletray::controller {
namespace {

ConfigurationValidator::Outcome parse_text(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ConfigurationValidator::Outcome> {
            BOOST_LEAF_AUTO(parsed, configuration::parse_configuration(text));
            return ConfigurationValidator::Outcome(std::move(parsed));
        },
        [](const configuration::ConfigurationError& error) { return ConfigurationValidator::Outcome(error); },
        [] {
            return ConfigurationValidator::Outcome(
                configuration::ConfigurationError{"body", "cannot be read"});
        });
}

}    // namespace

ConfigurationValidator::ConfigurationValidator(Reactor& reactor)
    : waker_(reactor, [this] { deliver_results(); }) {}

ConfigurationValidator::~ConfigurationValidator() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    ready_.notify_all();
    if (thread_.joinable()) thread_.join();
}

bool ConfigurationValidator::validate(std::string&& text, Callback callback) {
    if (text.size() <= kMaxInlineBytes) {
        Outcome outcome = parse_text(text);
        callback(std::move(text), std::move(outcome));
        return true;
    }
    if (queued_bytes_ + text.size() > kMaxQueuedBytes) return false;
    queued_bytes_ += text.size();
    {
        const std::lock_guard lock(mutex_);
        queued_.push_back({std::move(text), std::move(callback), {}});
    }
    if (!thread_.joinable()) thread_ = std::thread([this] { run_worker(); });
    ready_.notify_one();
    return true;
}

void ConfigurationValidator::run_worker() {
    std::unique_lock lock(mutex_);
    while (true) {
        ready_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
        if (stopping_) return;
        Job job = std::move(queued_.front());
        queued_.pop_front();
        lock.unlock();
        job.outcome = parse_text(job.text);
        lock.lock();
        completed_.push_back(std::move(job));
        waker_.wake();
    }
}

void ConfigurationValidator::deliver_results() {
    std::deque<Job> completed;
    {
        const std::lock_guard lock(mutex_);
        completed.swap(completed_);
    }
    for (Job& job : completed) {
        queued_bytes_ -= job.text.size();
        job.callback(std::move(job.text), std::move(job.outcome));
    }
}

}    // namespace shaletray::controller
