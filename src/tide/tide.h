// Quotas over all pilots: a store of free units for each tenant, refilled by this pilot's share of the rate,
// and balanced with up to three nearest pilots on each side by messages that move half of a difference. Pure.
//
// The sum over all pilots stays under the quota whatever joins, ends, is cut off or forgets: a share is the
// rate over the largest number of pilots that anybody heard of counts; a life begins with nothing and refills
// only while it is confirmed; a gift is taken here before it is given there.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace shaletray::tide {

struct Quota {    // of one tenant, as configured; rate 0: no limit
    double rate = 0.0, burst = 0.0;
    bool operator==(const Quota&) const = default;
};
// What this pilot knows of the others: filled from the convoy.
struct Peers {
    std::vector<std::string>
        ring;    // internal addresses of all pilots that are not Gone, this one included, sorted
    std::uint32_t divisor = 0;    // pilots to divide by: at least ring.size(); 0: not confirmed, no refill
    TimePoint refill_until{};     // no refill after this: unheard by the others
};
struct Settings {
    std::string me;
    std::uint64_t life = 0, seed = 0;
    Duration window = std::chrono::seconds(5);
    double overshoot = 0.1, slack = 20.0;    // what the rule allows on top; half of it is used at most
    Duration every = std::chrono::milliseconds(250);    // a neighbour gets one message in this time at most
};
enum class Ruling { Granted, Wait, Refused };
struct Actions {
    struct Send {
        std::string to, bytes;
    };
    std::vector<Send> sends;
    std::vector<std::string> woken;    // tenants for whom units came in: ask again for those that wait
};

class Tide {
public:
    Tide(Settings settings, TimePoint now);
    ~Tide();
    void quotas(const std::map<std::string, Quota>& by_tenant, TimePoint now);    // a new configuration
    void peers(Peers peers, TimePoint now);
    // One unit for a request of this tenant. Wait: units may come in within `patience` (see woken); Refused
    // otherwise. `retry_after` is set where it is not Granted.
    Ruling ask(const std::string& tenant, Duration patience, TimePoint now, Duration& retry_after);
    void waits(const std::string& tenant, int requests);         // +1, -1: how many wait here now
    void give_back(const std::string& tenant, TimePoint now);    // its request never ran
    void heard(const std::string& from, std::string_view bytes, TimePoint now, Actions& out);
    void tick(TimePoint now, Actions& out);
    TimePoint next() const;
    double free(const std::string& tenant, TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Repeats to one service, counted over all pilots: a ratio of what this pilot itself sent first, and this
// pilot's part of the slack, which begins empty with each life.
class RepeatBudget {
public:
    struct Settings {
        double ratio = 0.2;
        Duration window = std::chrono::seconds(10);
        double slack = 0.0;    // of all pilots together
    };
    RepeatBudget(Settings settings, TimePoint now);
    void pilots(std::uint32_t divisor, TimePoint now);
    void first(TimePoint now);
    bool repeat(TimePoint now);    // takes one; false: none is left

private:
    Settings settings_;
    double tokens_ = 0.0;
    std::uint32_t divisor_ = 0;
    TimePoint seen_{};
};

}    // namespace shaletray::tide
