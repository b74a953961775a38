#include "experiment_host.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

namespace shaletray::testbed {

Ground::Ground(const std::string& name) {
    folder_ = std::filesystem::temp_directory_path() / fmt::format("shaletray-{}-{}", name, getpid());
    std::filesystem::create_directories(folder_);
}

Ground::~Ground() {
    stop_thread();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
}

void Ground::start_thread() {
    reactor_.before_turn([this](bool) {
        const std::lock_guard lock(mutex_);
        for (; !wanted_.empty(); wanted_.pop_front()) wanted_.front()();
        done_.notify_all();
    });
    thread_.startFunc([this] { reactor_.run(); });
}

void Ground::stop_thread() {
    if (!thread_.isRunning()) return;
    reactor_.stop();
    reactor_.wakeUp();
    thread_.join();
}

void Ground::wait(double s) { std::this_thread::sleep_for(from_secs(s)); }

bool Ground::wait_for(const std::function<bool()>& what, double most) {
    for (double t = 0.0; t < most; t += 0.02) {
        if (sync(what)) return true;
        wait(0.02);
    }
    return false;
}

}    // namespace shaletray::testbed
