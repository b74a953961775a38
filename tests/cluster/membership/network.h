// Many members of one convoy in virtual time, with a network that delays, loses and cuts.
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

class Network {
public:
    explicit Network(std::uint64_t seed) : random_(seed) {}

    struct Process {
        std::unique_ptr<Convoy> convoy;    // none while it is down
        TimePoint frozen_until{};
        TimePoint armed = TimePoint::max();
    };

    TimePoint now{std::chrono::hours(1)};
    double loss = 0.0;
    Duration delay = std::chrono::microseconds(900), jitter = std::chrono::microseconds(600);
    std::function<bool(const std::string& from, const std::string& to)> cut;          // true: lost
    std::function<std::string(const std::string& from, std::string bytes)> change;    // on their way
    std::function<void(const std::string& at, const Actions& out)> after;    // each call of a process
    std::map<std::string, Process> processes;

    static std::string lighthouse(int i) {
        return "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":7100";
    }
    static std::string pilot(int i) {
        return "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":7101";
    }

    Convoy& start(const std::string& address, std::vector<std::string> seeds, std::uint64_t life) {
        Settings s;
        s.me.address = address;
        s.me.role = address.ends_with(":7100") ? Role::Lighthouse : Role::Pilot;
        s.me.name = "edge-santander-" + address;
        s.me.zone = "santander-a";
        s.me.region = "cantabria";
        if (s.me.role == Role::Lighthouse) s.me.control = "10.1.0.1:8042";
        s.me.life = life;
        s.seeds = std::move(seeds);
        s.seed = random_();
        Process& p = processes[address];
        p.frozen_until = TimePoint{};
        p.convoy = std::make_unique<Convoy>(std::move(s), now);
        arm(address, p);
        return *p.convoy;
    }
    // So many machines, the first of which have a lighthouse too.
    void start_all(int lighthouses, int pilots, Duration within) {
        std::vector<std::string> seeds;
        for (int i = 0; i < lighthouses && i < 3; ++i) seeds.push_back(lighthouse(i));
        std::vector<std::string> all;
        for (int i = 0; i < lighthouses; ++i) all.push_back(lighthouse(i));
        for (int i = 0; i < pilots; ++i) all.push_back(pilot(i));
        for (const std::string& address : all)
            at(now + Duration(static_cast<Duration::rep>(random_() %
                                                         static_cast<std::uint64_t>(within.count() + 1))),
               [this, address, seeds] {
                   start(address, seeds, static_cast<std::uint64_t>(now.time_since_epoch().count()));
               });
    }
    void stop(const std::string& address) { processes[address].convoy.reset(); }
    void freeze(const std::string& address, Duration time) { processes[address].frozen_until = now + time; }
    void leave(const std::string& address) {
        Actions out;
        processes[address].convoy->leave(now, out);
        carry(address, out);
        stop(address);
    }
    Convoy& operator[](const std::string& address) { return *processes.at(address).convoy; }
    // After a call from outside that may want a tick sooner.
    void touched(const std::string& address) { arm(address, processes[address]); }

    void at(TimePoint time, std::function<void()> what) { events_.push({time, ++order_, std::move(what)}); }
    void run(Duration time) {
        const TimePoint until = now + time;
        while (!events_.empty() && events_.top().time <= until) {
            const Event event = events_.top();
            events_.pop();
            now = std::max(now, event.time);
            event.what();
        }
        now = until;
    }
    // Until it holds, looked at every 10 or 50 ms; none: not within `most`.
    std::optional<Duration> until(Duration most, const std::function<bool()>& holds) {
        const TimePoint from = now;
        while (now - from <= most) {
            if (holds()) return now - from;
            run(std::chrono::milliseconds(processes.size() <= 20 ? 10 : 50));
        }
        return std::nullopt;
    }
    void send(const std::string& from, const std::string& to, std::string bytes) {
        if (loss > 0.0 && std::uniform_real_distribution<double>()(random_) < loss) return;
        if (cut && cut(from, to)) return;
        if (change) bytes = change(from, std::move(bytes));
        const TimePoint time =
            now + delay +
            Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(jitter.count() + 1)));
        at(time, [this, from, to, bytes = std::move(bytes)] { arrive(from, to, bytes); });
    }
    // Everybody that runs holds everybody that runs for Alive, and nobody else.
    bool agree() {
        std::size_t up = 0;
        for (const auto& [address, p] : processes) up += p.convoy != nullptr;
        for (const auto& [address, p] : processes) {
            if (p.convoy == nullptr) continue;
            std::size_t alive = 0;
            for (const auto& [other, m] : p.convoy->members()) {
                if (m.state == State::Gone) continue;
                const auto it = processes.find(other);
                if (m.state != State::Alive || it->second.convoy == nullptr ||
                    it->second.convoy->me() != m.facts)
                    return false;
                ++alive;
            }
            if (alive + 1 != up) return false;
        }
        return true;
    }
    // In how many processes' eyes it is in the state.
    int seen_as(const std::string& address, State state) {
        int count = 0;
        for (const auto& [other, p] : processes)
            if (p.convoy != nullptr && other != address) {
                const auto it = p.convoy->members().find(address);
                count += it != p.convoy->members().end() && it->second.state == state;
            }
        return count;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    void arrive(const std::string& from, const std::string& to, const std::string& bytes) {
        const auto it = processes.find(to);
        if (it == processes.end() || it->second.convoy == nullptr) return;
        if (now < it->second.frozen_until) {    // read when it wakes
            at(it->second.frozen_until, [this, from, to, bytes] { arrive(from, to, bytes); });
            return;
        }
        Actions out;
        it->second.convoy->heard(from, bytes, now, out);
        carry(to, out);
    }
    void carry(const std::string& from, Actions& out) {
        for (Actions::Send& s : out.sends) send(from, s.to, std::move(s.bytes));
        if (after) after(from, out);
        if (processes[from].convoy != nullptr) arm(from, processes[from]);
    }
    void arm(const std::string& address, Process& p) {
        const TimePoint next = p.convoy->next();
        if (next == TimePoint::max() || (p.armed <= next && p.armed >= now)) return;
        p.armed = std::max(now, next);
        at(p.armed, [this, address, time = p.armed] {
            Process& process = processes[address];
            if (process.convoy == nullptr || process.armed != time) return;
            if (now < process.frozen_until) {
                process.armed = process.frozen_until;
                at(process.armed, [this, address] { fire(address); });
                return;
            }
            fire(address);
        });
    }
    void fire(const std::string& address) {
        Process& p = processes[address];
        p.armed = TimePoint::max();
        if (p.convoy == nullptr) return;
        Actions out;
        p.convoy->tick(now, out);
        carry(address, out);
    }

    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    std::mt19937_64 random_;
};

}    // namespace shaletray::membership
