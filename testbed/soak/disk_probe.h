// Measures how long the disk under a soak takes to sync. All machines of a soak share it, so that a disk that
// hangs stops every controller at once, as no deployment does; then the run says little of the system.
#pragma once

#include <atomic>
#include <filesystem>
#include <thread>

namespace shaletray::testbed {

// Writes and syncs a small file again and again, on a thread of its own.
class DiskProbe {
public:
    explicit DiskProbe(std::filesystem::path file);
    ~DiskProbe();
    DiskProbe(const DiskProbe&) = delete;
    DiskProbe& operator=(const DiskProbe&) = delete;
    // Of all syncs so far, the one under way included, in seconds.
    double longest_sync() const;

private:
    void run();
    void sync_once();

    std::filesystem::path file_;
    std::atomic<bool> stopping_{false};
    std::atomic<double> longest_sync_{0.0};
    std::atomic<double> sync_started_at_{0.0};    // of the one under way; 0: none is
    std::thread thread_;
};

}    // namespace shaletray::testbed
