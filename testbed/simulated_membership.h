// A membership group of any size in virtual time, of which a few members are real Membership objects. The
// others are simulated cheaply and follow the protocol of a stable group only: they answer pings and sync
// pages, and ping as often as they are pinged. Single-threaded.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/membership/membership.h"
#include "cluster/membership/packet.h"

namespace shaletray::testbed {

// Deterministic for a seed, apart from measured CPU time.
class SimulatedMembership {
public:
    // `real` of `member_count` members are real, and the first `controller_count` members are controllers. If
    // `real` is `member_count`, nothing is simulated.
    SimulatedMembership(int member_count, int real, int controller_count, std::uint64_t seed);
    void run_for(Duration span);
    // Averages of one real member, per second.
    struct TrafficFigures {
        double packets_sent = 0.0, bytes_out = 0.0, bytes_in = 0.0, cpu_seconds = 0.0;
    };
    TrafficFigures measure_traffic(Duration span);
    // Whether every real member has joined and knows all members.
    bool is_complete() const;
    // Crashes a real member and restarts it at once as a new incarnation.
    void replace_member(int real_index);
    std::size_t real_count() const { return real_members_.size(); }

private:
    struct Event {
        TimePoint due_at;
        std::uint64_t order = 0;
        int recipient = 0;            // index of a member
        std::string sender, bytes;    // empty: a timer of a real member
        bool operator<(const Event& other) const {
            return std::tie(due_at, order) > std::tie(other.due_at, other.order);
        }
    };
    bool is_real_member(int member) const { return member >= first_real_; }
    membership::MemberInfo member_info(int member) const;
    std::uint64_t table_digest() const;
    membership::Packet packet_header(int member, membership::PacketKind kind, std::uint32_t number) const;
    void start_member(int member);
    void enqueue_packet(int from, const std::string& to, std::string bytes);
    void execute_actions(int member, const membership::Actions& actions);
    void answer_as_simulated(int member, const std::string& from, const std::string& bytes);
    void send_simulated_pings();

    std::mt19937_64 random_;
    TimePoint current_time_{std::chrono::hours(1)}, next_ping_{};
    int member_count_, first_real_;
    int controller_count_;
    std::uint64_t last_event_order_ = 0;
    double cpu_seconds_ = 0.0;    // of the real members
    std::priority_queue<Event> events_;
    std::vector<std::string> addresses_;
    std::vector<std::uint64_t> incarnations_;
    std::unordered_map<std::string, int> member_by_address_;
    std::vector<std::unique_ptr<membership::Membership>> real_members_;
    std::vector<TimePoint> armed_deadlines_;
    std::uint64_t simulated_digest_sum_ = 0;
};

}    // namespace shaletray::testbed
