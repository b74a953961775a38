// A convoy of any size around a few of its members. The few are the real thing; the others are a crowd that
// does what the calm protocol says and no more: it answers pings and pages, and pings as often as it is
// pinged. Virtual time.
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

class Crowd {
public:
    // `real` of `members` processes are convoys, the first `lighthouses` of the crowd lighthouses. Where
    // `real` is all, nothing is stood in for.
    Crowd(int members, int real, int lighthouses, std::uint64_t seed);
    void run(Duration span);
    struct Figures {                                                      // of one real process, on average
        double sent = 0.0, bytes_out = 0.0, bytes_in = 0.0, cpu = 0.0;    // a second
    };
    Figures measure(Duration span);
    bool complete() const;     // every real one has joined, and knows all
    void replace(int real);    // that one ends without a word, and starts anew at once
    std::size_t real() const { return real_.size(); }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        int to = 0;                 // of the members
        std::string from, bytes;    // none: time passes for a real one
        bool operator<(const Event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    bool is_real(int member) const { return member >= first_real_; }
    membership::Facts facts(int member) const;
    std::uint64_t digest() const;
    membership::Packet head(int member, membership::Kind kind, std::uint32_t number) const;
    void start(int member);
    void post(int from, const std::string& to, std::string bytes);
    void carry(int member, const membership::Actions& out);
    void stand_in(int member, const std::string& from, const std::string& bytes);
    void crowd_pings();

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)}, next_ping_{};
    int members_, first_real_;
    int lighthouses_;
    std::uint64_t order_ = 0;
    double cpu_ = 0.0;    // of the real ones
    std::priority_queue<Event> events_;
    std::vector<std::string> addresses_;
    std::vector<std::uint64_t> lives_;
    std::unordered_map<std::string, int> by_address_;
    std::vector<std::unique_ptr<membership::Convoy>> real_;
    std::vector<TimePoint> armed_;
    std::uint64_t crowd_sum_ = 0;
};

}    // namespace shaletray::testbed
