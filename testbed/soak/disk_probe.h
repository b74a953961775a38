// Measures the longest sync of the disk that a soak run uses. All machines of a run share this disk, so a
// disk that hangs stops every controller at once, unlike in a deployment; such a run is not conclusive.
#pragma once

#include <atomic>
#include <filesystem>
#include <thread>

namespace shaletray::testbed {

// Writes and syncs a small file periodically on its own thread.
class DiskProbe {
public:
    explicit DiskProbe(std::filesystem::path file);
    ~DiskProbe();
    DiskProbe(const DiskProbe&) = delete;
    DiskProbe& operator=(const DiskProbe&) = delete;
    // The longest of all syncs so far, in seconds, including the one in progress.
    double longest_sync() const;

private:
    void run();
    void sync_once();

    std::filesystem::path file_;
    std::atomic<bool> stopping_{false};
    std::atomic<double> longest_sync_{0.0};
    std::atomic<double> sync_started_at_{0.0};    // start of the sync in progress, in seconds; 0: none
    std::thread thread_;
};

}    // namespace shaletray::testbed
