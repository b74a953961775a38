// A fake store that speaks the Redis protocol (RESP2), on loopback only, for tests and experiments. It keeps
// hashes with an expiry, and injects faults on request: by calls, or over the wire by FAULT commands.
//
//   FAULT SLOW ms            delays each reply by this time
//   FAULT SILENT 0|1         accepts connections and reads commands, but sends no replies
//   FAULT PAUSE ms           reads and sends nothing for this time
//   FAULT ERROR text|-       replies to each command but FAULT with this error; -: ends this
//   FAULT BABBLE 0|1         replies are not RESP
//   FAULT SPOIL 0|1          values that are read are corrupt
//   FAULT WIPE               deletes all data and changes the run id, like a restarted process
//   FAULT KEEP | FALLBACK    saves all data | restores the saved data
//   FAULT CLOCK s            moves its clock by this time (it determines expiry)
//   FAULT REPLICA host:port  replicates writes to there until FAULT SPLIT; a replica rejects other writes
//   FAULT SPLIT | PROMOTE    stops replication | accepts writes as a primary
//   FAULT DROP               closes all connections
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

// The server, on its own thread. All public functions are thread-safe.
class StandInCounter {
public:
    // Port 0: any free port. Throws std::runtime_error if it cannot listen.
    explicit StandInCounter(int port = 0, std::string password = {});
    ~StandInCounter();
    StandInCounter(const StandInCounter&) = delete;
    StandInCounter& operator=(const StandInCounter&) = delete;

    std::string address() const;
    int port() const { return port_; }
    // Executes a FAULT command, without the word FAULT, and returns its reply. Thread-safe.
    std::string fault(const std::vector<std::string>& words);
    std::uint64_t commands() const { return commands_; }

private:
    using Clock = std::chrono::steady_clock;
    struct Hash {
        std::map<std::string, std::string> fields;
        Clock::time_point expires_at = Clock::time_point::max();
    };
    struct Connection {
        int fd = -1;
        shared_counter::RespReader commands;
        bool is_authenticated = false, is_replication_link = false;
        std::string output;
        // Replies with the time when each is due.
        std::deque<std::pair<Clock::time_point, std::string>> delayed_replies;
        bool should_close = false;
    };

    void serve();
    void accept_one();
    void read_from(Connection& connection);
    void write_to(Connection& connection);
    std::string execute_command(Connection& connection, const std::vector<std::string>& words);
    std::string execute_store_command(Connection& connection, const std::vector<std::string>& words);
    std::string execute_fault(const std::vector<std::string>& words);
    void replicate(const std::vector<std::string>& words);
    void remove_expired();
    Clock::time_point now() const { return Clock::now() + clock_step_; }

    int listener_ = -1, port_ = 0, replica_ = -1;
    std::string password_, run_id_;
    std::thread thread_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> commands_{0};
    std::mutex mutex_;    // guards all members below
    std::vector<std::unique_ptr<Connection>> connections_;
    std::map<std::string, Hash> data_, saved_data_;
    std::chrono::milliseconds reply_delay_{0};
    Clock::time_point paused_until_{};
    std::chrono::seconds clock_step_{0};
    std::string forced_error_;
    bool is_silent_ = false, sends_garbage_ = false, corrupts_values_ = false, is_replica_ = false;
    std::uint64_t wipe_count_ = 0;
};

}    // namespace shaletray::testbed
