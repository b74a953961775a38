#include "soak/disk_probe.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr auto kInterval = 100ms;

double seconds_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}    // namespace

DiskProbe::DiskProbe(std::filesystem::path file) : file_(std::move(file)), thread_([this] { run(); }) {}

DiskProbe::~DiskProbe() {
    stopping_ = true;
    thread_.join();
}

double DiskProbe::longest_sync() const {
    const double started_at = sync_started_at_;
    return std::max(longest_sync_.load(), started_at > 0.0 ? seconds_now() - started_at : 0.0);
}

void DiskProbe::run() {
    while (!stopping_) {
        sync_once();
        std::this_thread::sleep_for(kInterval);
    }
}

void DiskProbe::sync_once() {
    const int descriptor = ::open(file_.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) return;
    const double started_at = seconds_now();
    sync_started_at_ = started_at;
    if (::write(descriptor, "probe", 5) == 5) ::fsync(descriptor);
    longest_sync_ = std::max(longest_sync_.load(), seconds_now() - started_at);
    sync_started_at_ = 0.0;
    ::close(descriptor);
}

}    // namespace shaletray::testbed
