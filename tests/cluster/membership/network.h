// Simulates the members of one cluster in virtual time, on a network that delays, loses and blocks messages.
// Deterministic for a given seed; single-threaded.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/membership/membership.h"

namespace shaletray::membership {

// The processes, the messages in transit and the clock.
class Network {
public:
    explicit Network(std::uint64_t seed) : random_(seed) {}

    struct Process {
        std::unique_ptr<Membership> member;    // null while the process is stopped
        TimePoint frozen_until{};
        TimePoint next_tick_at = TimePoint::max();
    };

    TimePoint now{std::chrono::hours(1)};
    double loss = 0.0;
    Duration delay = std::chrono::microseconds(900), jitter = std::chrono::microseconds(600);
    std::function<bool(const std::string& from, const std::string& to)> is_cut;    // true: blocks the message
    std::function<std::string(const std::string& from, std::string bytes)> alter_bytes;    // in transit
    // Called after each call of a member.
    std::function<void(const std::string& at, const Actions& actions)> on_actions;
    std::function<bool(const std::string& address)> may_vote;    // of controllers; null: none may
    std::map<std::string, Process> processes;

    static std::string controller_address(int index) {
        return "10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":7100";
    }
    static std::string gateway_address(int index) {
        return "10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":7101";
    }

    Membership& start_process(const std::string& address, std::vector<std::string> seeds,
                              std::uint64_t incarnation) {
        Settings settings;
        settings.self.address = address;
        settings.self.role = address.ends_with(":7100") ? Role::Controller : Role::Gateway;
        settings.self.name = "edge-santander-" + address;
        settings.self.zone = "santander-a";
        settings.self.region = "cantabria";
        if (settings.self.role == Role::Controller) settings.self.control_address = "10.1.0.1:8042";
        settings.self.voter_eligible = may_vote && may_vote(address);
        settings.self.incarnation = incarnation;
        settings.seeds = std::move(seeds);
        settings.random_seed = random_();
        Process& process = processes[address];
        process.frozen_until = TimePoint{};
        process.member = std::make_unique<Membership>(std::move(settings), now);
        schedule_tick(address, process);
        return *process.member;
    }
    // Starts the controllers and gateways at random times within the window.
    void start_all(int controller_count, int gateway_count, Duration window) {
        std::vector<std::string> seeds;
        for (int i = 0; i < controller_count && i < 3; ++i) seeds.push_back(controller_address(i));
        std::vector<std::string> addresses;
        for (int i = 0; i < controller_count; ++i) addresses.push_back(controller_address(i));
        for (int i = 0; i < gateway_count; ++i) addresses.push_back(gateway_address(i));
        for (const std::string& address : addresses)
            schedule(
                now + Duration(static_cast<Duration::rep>(random_() %
                                                          static_cast<std::uint64_t>(window.count() + 1))),
                [this, address, seeds] {
                    start_process(address, seeds, static_cast<std::uint64_t>(now.time_since_epoch().count()));
                });
    }
    void stop_process(const std::string& address) { processes[address].member.reset(); }
    void freeze_process(const std::string& address, Duration duration) {
        processes[address].frozen_until = now + duration;
    }
    void depart(const std::string& address) {
        Actions actions;
        processes[address].member->announce_departure(now, actions);
        apply_actions(address, actions);
        stop_process(address);
    }
    Membership& operator[](const std::string& address) { return *processes.at(address).member; }
    // Must be called after a direct call of a member that may have moved its next deadline forward.
    void reschedule_tick(const std::string& address) { schedule_tick(address, processes[address]); }

    void schedule(TimePoint when, std::function<void()> callback) {
        events_.push({when, ++event_count_, std::move(callback)});
    }
    void run_for(Duration duration) {
        const TimePoint end = now + duration;
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now = std::max(now, event.time);
            event.callback();
        }
        now = end;
    }
    // Runs until the condition holds, which is checked every 10 ms (50 ms with over 20 processes), and
    // returns the time taken; none if it did not hold within max_duration.
    std::optional<Duration> run_until(Duration max_duration, const std::function<bool()>& condition) {
        const TimePoint started_at = now;
        while (now - started_at <= max_duration) {
            if (condition()) return now - started_at;
            run_for(std::chrono::milliseconds(processes.size() <= 20 ? 10 : 50));
        }
        return std::nullopt;
    }
    void send(const std::string& from, const std::string& to, std::string bytes) {
        if (loss > 0.0 && std::uniform_real_distribution<double>()(random_) < loss) return;
        if (is_cut && is_cut(from, to)) return;
        if (alter_bytes) bytes = alter_bytes(from, std::move(bytes));
        const TimePoint arrival =
            now + delay +
            Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(jitter.count() + 1)));
        schedule(arrival, [this, from, to, bytes = std::move(bytes)] { deliver(from, to, bytes); });
    }
    // Whether every running process considers exactly the running processes Alive, with their current
    // information.
    bool all_agree() {
        std::size_t running_count = 0;
        for (const auto& [address, process] : processes) running_count += process.member != nullptr;
        for (const auto& [address, process] : processes) {
            if (process.member == nullptr) continue;
            std::size_t alive_count = 0;
            for (const auto& [other, member] : process.member->members()) {
                if (member.state == State::Dead) continue;
                const auto it = processes.find(other);
                if (member.state != State::Alive || it->second.member == nullptr ||
                    it->second.member->self() != member.info)
                    return false;
                ++alive_count;
            }
            if (alive_count + 1 != running_count) return false;
        }
        return true;
    }
    // The number of running processes that have assigned this state to the member.
    int count_seen_as(const std::string& address, State state) {
        int count = 0;
        for (const auto& [other, process] : processes)
            if (process.member != nullptr && other != address) {
                const auto it = process.member->members().find(address);
                count += it != process.member->members().end() && it->second.state == state;
            }
        return count;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Event& other) const {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    void deliver(const std::string& from, const std::string& to, const std::string& bytes) {
        const auto it = processes.find(to);
        if (it == processes.end() || it->second.member == nullptr) return;
        if (now < it->second.frozen_until) {    // received when the process resumes
            schedule(it->second.frozen_until, [this, from, to, bytes] { deliver(from, to, bytes); });
            return;
        }
        Actions actions;
        it->second.member->on_message(from, bytes, now, actions);
        apply_actions(to, actions);
    }
    void apply_actions(const std::string& from, Actions& actions) {
        for (Actions::Send& send_action : actions.sends)
            send(from, send_action.to, std::move(send_action.bytes));
        if (on_actions) on_actions(from, actions);
        if (processes[from].member != nullptr) schedule_tick(from, processes[from]);
    }
    void schedule_tick(const std::string& address, Process& process) {
        const TimePoint deadline = process.member->next_deadline();
        if (deadline == TimePoint::max() || (process.next_tick_at <= deadline && process.next_tick_at >= now))
            return;
        process.next_tick_at = std::max(now, deadline);
        schedule(process.next_tick_at, [this, address, expected_at = process.next_tick_at] {
            Process& scheduled = processes[address];
            if (scheduled.member == nullptr || scheduled.next_tick_at != expected_at) return;
            if (now < scheduled.frozen_until) {
                scheduled.next_tick_at = scheduled.frozen_until;
                schedule(scheduled.next_tick_at, [this, address] { run_tick(address); });
                return;
            }
            run_tick(address);
        });
    }
    void run_tick(const std::string& address) {
        Process& process = processes[address];
        process.next_tick_at = TimePoint::max();
        if (process.member == nullptr) return;
        Actions actions;
        process.member->tick(now, actions);
        apply_actions(address, actions);
    }

    std::priority_queue<Event> events_;
    std::uint64_t event_count_ = 0;
    std::mt19937_64 random_;
};

}    // namespace shaletray::membership
