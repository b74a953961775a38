#include "controller/configuration_validator.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace shaletray::controller {
namespace {

Checker::Outcome read(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Checker::Outcome> {
            BOOST_LEAF_AUTO(chart, configuration::read_chart(text));
            return Checker::Outcome(std::move(chart));
        },
        [](const configuration::Refusal& refusal) { return Checker::Outcome(refusal); },
        [] {
            return Checker::Outcome(configuration::Refusal{"body", "cannot be read"});
        });
}

}    // namespace

Checker::Checker(Reactor& reactor) : waker_(reactor, [this] { hand_back(); }) {}

Checker::~Checker() {
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    ready_.notify_all();
    if (thread_.joinable()) thread_.join();
}

bool Checker::check(std::string&& text, Then then) {
    if (text.size() <= kShort) {
        Outcome outcome = read(text);
        then(std::move(text), std::move(outcome));
        return true;
    }
    if (held_ + text.size() > kMostWaiting) return false;
    held_ += text.size();
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back({std::move(text), std::move(then), {}});
    }
    if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
    ready_.notify_one();
    return true;
}

void Checker::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        ready_.wait(lock, [this] { return stop_ || !waiting_.empty(); });
        if (stop_) return;
        Job job = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        job.outcome = read(job.text);
        lock.lock();
        done_.push_back(std::move(job));
        waker_.wake();
    }
}

void Checker::hand_back() {
    std::deque<Job> done;
    {
        const std::lock_guard lock(mutex_);
        done.swap(done_);
    }
    for (Job& job : done) {
        held_ -= job.text.size();
        job.then(std::move(job.text), std::move(job.outcome));
    }
}

}    // namespace shaletray::controller
