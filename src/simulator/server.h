// An emulated server: cores, a queue, work that grows slower when it is full or cold, and the troubles it can
// have. The same for the world in virtual time and for the one on sockets; whoever holds it carries the
// messages. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "simulator/world.h"

namespace shaletray::testbed {

// An attempt at a server, by whoever sent it.
struct JobId {
    std::uint64_t sender = 0;
    std::uint32_t request = 0;
    int attempt = 0;
    bool operator==(const JobId&) const = default;
};

class ServerWorld {
public:
    virtual ~ServerWorld() = default;
    virtual TimePoint now() const = 0;
    // Calls Server::woken with that number then.
    virtual void wake(TimePoint at, std::uint64_t number) = 0;
    virtual void answer(const JobId& job, decision::Outcome outcome) = 0;
};

class EmulatedServer {
public:
    EmulatedServer(const Scenario& scenario, std::uint64_t seed, TimePoint start, ServerWorld& world);

    // `fresh`: the first on its connection, which costs work of its own. `cls`: of the request.
    void arrived(const JobId& job, int cls, bool fresh);
    void called_off(const JobId& job);
    void woken(std::uint64_t number);
    // A trouble begins or ends. Crash and RoomLost: what it holds is answered Reset.
    void trouble(const Fault& fault, bool begins);

    // When the scenario begins, where that was not known.
    void begins_at(TimePoint start) { start_ = start; }

    // What it says of itself: as it was a while ago, and not exactly so, where the model wants that.
    struct Load {
        double outstanding = 0.0, backlog = 0.0;
    };
    Load load();
    bool down() const { return down_; }
    bool hung() const { return hung_until_ > world_.now(); }
    // What comes is swallowed on the way: nobody answers.
    bool swallows() { return lost_ > 0.0 && real() < lost_; }
    // Work, its waste, both by second; the rule on cold servers.
    Figures figures;

private:
    struct Job {
        JobId id;
        int cls = 0;
        TimePoint began{};
        Duration takes{0};
        bool running = false, for_nobody = false, fresh = false;
    };
    struct Hash {
        std::size_t operator()(const JobId& j) const {
            return static_cast<std::size_t>(
                (j.sender * 0x9e3779b97f4a7c15ULL) ^
                (static_cast<std::uint64_t>(j.request) << 8 | static_cast<std::uint64_t>(j.attempt)));
        }
    };
    using Jobs = std::unordered_map<std::uint64_t, Job>;
    double real() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    void start();
    Duration work_of(const Job& job);
    void finish(Jobs::iterator it, Duration wasted);
    void end_all(decision::Outcome outcome);
    double speed() const;
    void pressed_while_cold();

    const ServerModel& m_;
    std::mt19937_64 random_;
    ServerWorld& world_;
    Jobs jobs_;
    std::unordered_map<JobId, std::uint64_t, Hash> by_id_;
    std::vector<std::uint64_t> queue_;    // from head_ on; some may be called off
    std::size_t head_ = 0, waiting_ = 0;
    int running_ = 0;
    std::uint64_t last_ = 0;
    double slow_ = 1.0, errors_ = 0.0, lost_ = 0.0;
    double heavy_part_ = 0.0, heavy_by_ = 1.0;
    int heavy_class_ = -1;
    bool down_ = false, fell_ = false, was_cold_ = false;
    std::deque<std::pair<TimePoint, double>> offered_;    // seconds of work sent to it while cold
    double offered_sum_ = 0.0;
    TimePoint start_;
    TimePoint hung_until_{}, up_since_{}, told_at_{};
    Load told_;
};

}    // namespace shaletray::testbed
