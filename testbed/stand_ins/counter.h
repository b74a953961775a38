// A stand-in for a store that speaks the Redis protocol (RESP2), on loopback only, for tests and experiments.
// It keeps hashes with an expiry, and misbehaves as it is told: by calls, or over the wire by FAULT commands.
//
//   FAULT SLOW ms            each answer comes so much later
//   FAULT SILENT 0|1         connections are accepted, what comes is read, and nothing is said
//   FAULT PAUSE ms           nothing is read or said for so long, then all at once
//   FAULT ERROR text|-       each command but FAULT is answered by this error
//   FAULT BABBLE 0|1         answers are not RESP at all
//   FAULT SPOIL 0|1          values that are read come back spoilt
//   FAULT WIPE               all it holds is gone, and it is another process by its run id
//   FAULT KEEP | FALLBACK    remembers what it holds now | holds again what it remembered
//   FAULT CLOCK s            its clock jumps (expiry goes by it)
//   FAULT REPLICA host:port  writes are passed on there, until FAULT SPLIT; a replica refuses other writes
//   FAULT SPLIT | PROMOTE    passes on no more | takes writes itself
//   FAULT DROP               ends all connections
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "balancer/shared_counter/resp.h"

namespace shaletray::testbed {

class StandInCounter {
public:
    // Port 0: any that is free. Throws std::runtime_error where it cannot listen.
    explicit StandInCounter(int port = 0, std::string password = {});
    ~StandInCounter();
    StandInCounter(const StandInCounter&) = delete;
    StandInCounter& operator=(const StandInCounter&) = delete;

    std::string address() const;
    int port() const { return port_; }
    // As a FAULT command does; what it answers. Safe from any thread.
    std::string fault(const std::vector<std::string>& words);
    std::uint64_t commands() const { return commands_; }

private:
    using Clock = std::chrono::steady_clock;
    struct Hash {
        std::map<std::string, std::string> fields;
        Clock::time_point expires = Clock::time_point::max();
    };
    struct Connection {
        int fd = -1;
        shared_counter::RespReader commands;
        bool trusted = false, replica_link = false;
        std::string out;
        std::deque<std::pair<Clock::time_point, std::string>> waiting;    // answers that are held back
        bool dead = false;
    };

    void serve();
    void accept_one();
    void read_from(Connection& c);
    void write_to(Connection& c);
    std::string answer(Connection& c, const std::vector<std::string>& words);
    std::string store(Connection& c, const std::vector<std::string>& words);
    std::string do_fault(const std::vector<std::string>& words);
    void pass_on(const std::vector<std::string>& words);
    void expire();
    Clock::time_point now() const { return Clock::now() + clock_step_; }

    int listener_ = -1, port_ = 0, replica_ = -1;
    std::string password_, run_id_;
    std::thread thread_;
    std::atomic<bool> over_{false};
    std::atomic<std::uint64_t> commands_{0};
    std::mutex mutex_;    // guards all below, against fault() from other threads
    std::vector<std::unique_ptr<Connection>> connections_;
    std::map<std::string, Hash> data_, kept_;
    std::chrono::milliseconds slow_{0};
    Clock::time_point paused_until_{};
    std::chrono::seconds clock_step_{0};
    std::string error_;
    bool silent_ = false, babble_ = false, spoil_ = false, is_replica_ = false;
    std::uint64_t lives_ = 0;
};

}    // namespace shaletray::testbed
