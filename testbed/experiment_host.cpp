#include "experiment_host.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

namespace shaletray::testbed {

ExperimentHost::ExperimentHost(const std::string& name) {
    directory_ = std::filesystem::temp_directory_path() / fmt::format("shaletray-{}-{}", name, getpid());
    std::filesystem::create_directories(directory_);
}

ExperimentHost::~ExperimentHost() {
    stop_thread();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(directory_, ignored);
}

void ExperimentHost::start_thread() {
    reactor_.set_pre_poll_task([this](bool) {
        const std::lock_guard lock(mutex_);
        for (; !pending_tasks_.empty(); pending_tasks_.pop_front()) pending_tasks_.front()();
        task_done_.notify_all();
    });
    thread_.startFunc([this] { reactor_.run(); });
}

void ExperimentHost::stop_thread() {
    if (!thread_.isRunning()) return;
    reactor_.stop();
    reactor_.wakeUp();
    thread_.join();
}

void ExperimentHost::sleep_for(double seconds) { std::this_thread::sleep_for(from_secs(seconds)); }

bool ExperimentHost::wait_until(const std::function<bool()>& condition, double timeout_seconds) {
    for (double t = 0.0; t < timeout_seconds; t += 0.02) {
        if (run_on_reactor(condition)) return true;
        sleep_for(0.02);
    }
    return false;
}

}    // namespace shaletray::testbed
