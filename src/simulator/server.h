// An emulated application server with cores and a queue. It works slower while its queue is full or while it
// warms up, and simulates faults. Used in virtual time and on sockets; the owner transports the messages, and
// the class does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

// Identifies an attempt at a server; request and attempt numbers are the sender's.
struct JobId {
    std::uint64_t sender = 0;
    std::uint32_t request = 0;
    int attempt = 0;
    bool operator==(const JobId&) const = default;
};

class ServerEnvironment {
public:
    virtual ~ServerEnvironment() = default;
    virtual TimePoint current_time() const = 0;
    // Calls EmulatedServer::on_wakeup with that number at that time.
    virtual void schedule_wakeup(TimePoint at, std::uint64_t number) = 0;
    virtual void send_answer(const JobId& job, decision::Outcome outcome) = 0;
};

class EmulatedServer {
public:
    EmulatedServer(const Scenario& scenario, std::uint64_t seed, TimePoint start,
                   ServerEnvironment& environment);

    // `new_connection`: the request is the first on its connection, which costs extra work.
    void on_request(const JobId& job, int class_index, bool new_connection);
    void on_cancel(const JobId& job);
    void on_wakeup(std::uint64_t number);
    // Starts or ends a fault. Crash and RoomLost end all jobs with Outcome::Reset.
    void apply_fault(const Fault& fault, bool begins);

    // Sets the start of the scenario if it was unknown at construction.
    void set_start(TimePoint start) { started_at_ = start; }

    // The load that the server reports; outdated and inexact as far as the model says.
    struct ReportedLoad {
        double outstanding = 0.0, backlog = 0.0;
    };
    ReportedLoad reported_load();
    bool is_down() const { return is_down_; }
    bool is_hung() const { return hung_until_ > environment_.current_time(); }
    // Whether link loss drops a request, which then gets no response.
    bool drops_request() { return loss_probability_ > 0.0 && draw_fraction() < loss_probability_; }
    // Work and wasted work, in total and by second; the rule on cold servers.
    RunStatistics statistics;

private:
    struct Job {
        JobId id;
        int class_index = 0;
        TimePoint started_at{};
        Duration work_time{0};
        bool is_running = false, is_abandoned = false, new_connection = false;
    };
    struct JobIdHash {
        std::size_t operator()(const JobId& j) const {
            return static_cast<std::size_t>(
                (j.sender * 0x9e3779b97f4a7c15ULL) ^
                (static_cast<std::uint64_t>(j.request) << 8 | static_cast<std::uint64_t>(j.attempt)));
        }
    };
    using Jobs = std::unordered_map<std::uint64_t, Job>;
    double draw_fraction() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    void start_next_jobs();
    Duration draw_work(const Job& job);
    void finish_job(Jobs::iterator it, Duration wasted);
    void end_all_jobs(decision::Outcome outcome);
    double current_speed() const;
    void check_warm_up_load();

    const ServerModel& model_;
    std::mt19937_64 random_;
    ServerEnvironment& environment_;
    Jobs jobs_;
    std::unordered_map<JobId, std::uint64_t, JobIdHash> jobs_by_id_;
    std::vector<std::uint64_t> queue_;    // from queue_head_ on; some entries may be cancelled
    std::size_t queue_head_ = 0, queued_count_ = 0;
    int running_count_ = 0;
    std::uint64_t last_job_ = 0;
    double slowdown_ = 1.0, error_probability_ = 0.0, loss_probability_ = 0.0;
    double heavy_fraction_ = 0.0, heavy_factor_ = 1.0;
    int heavy_class_ = -1;
    bool is_down_ = false, has_collapsed_ = false, was_warming_up_ = false;
    std::deque<std::pair<TimePoint, double>> offered_work_;    // seconds of work received while warming up
    double offered_work_total_ = 0.0;
    TimePoint started_at_;
    TimePoint hung_until_{}, up_since_{}, reported_at_{};
    ReportedLoad last_report_;
};

}    // namespace shaletray::testbed
