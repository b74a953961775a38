// A model of the membership that a balancer's caller maintains, in virtual time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/quota/quota_balancer.h"

namespace shaletray::quota::world {

using namespace std::chrono_literals;

// Times since the last heartbeat: after which a gateway is no longer counted, and for which it may refill.
constexpr Duration kMemberTimeout = 20s;
constexpr Duration kRefillTime = 10s;

// Models the membership and the quota lease, which the caller of set_peers() has to provide. Strict where the
// bound on grants depends on it.
class MembershipModel {
public:
    struct Heartbeat {
        std::string from;
        std::uint64_t incarnation = 0;
        std::uint32_t quota_divisor = 0;
        TimePoint timestamp{}, echoed_timestamp{};
        std::uint64_t echoed_incarnation = 0;
        std::map<std::string, TimePoint>
            last_received;    // last heartbeat that any gateway received, by name
    };
    MembershipModel(std::string self, std::uint64_t incarnation, std::size_t gateway_count)
        : self_(self), incarnation_(incarnation), gateway_count_(gateway_count) {}
    Heartbeat make_heartbeat(const std::string& to, TimePoint now) {
        Heartbeat heartbeat{
            self_, incarnation_, static_cast<std::uint32_t>(member_names(now).size()), now, {}, 0, {}};
        if (const auto it = members_.find(to); it != members_.end()) {
            heartbeat.echoed_timestamp = it->second.timestamp;
            heartbeat.echoed_incarnation = it->second.incarnation;
        }
        for (const auto& [name, member] : members_) heartbeat.last_received[name] = member.last_received;
        return heartbeat;
    }
    void on_heartbeat(const Heartbeat& heartbeat, TimePoint now) {
        Member& member = members_[heartbeat.from];
        if (heartbeat.incarnation < member.incarnation ||
            (heartbeat.incarnation == member.incarnation && heartbeat.timestamp < member.timestamp))
            return;
        if (heartbeat.incarnation > member.incarnation) member.last_echoed = {};
        member.incarnation = heartbeat.incarnation;
        member.timestamp = heartbeat.timestamp;
        member.last_received = now;
        member.quota_divisor = heartbeat.quota_divisor;
        if (heartbeat.echoed_incarnation == incarnation_)
            member.last_echoed = std::max(member.last_echoed, heartbeat.echoed_timestamp);
        for (const auto& [name, last_received] : heartbeat.last_received)
            if (name != self_)
                members_[name].last_received = std::max(members_[name].last_received, last_received);
    }
    std::vector<std::string> member_names(TimePoint now) const {
        std::vector<std::string> names{self_};
        for (const auto& [name, member] : members_)
            if (now < member.last_received + kMemberTimeout) names.push_back(name);
        std::sort(names.begin(), names.end());
        return names;
    }
    PeerSet peer_set(TimePoint now) {
        PeerSet result{member_names(now), 0, {}};
        const auto size = static_cast<std::uint32_t>(result.ring.size());
        std::uint32_t divisor = size;
        std::vector<TimePoint> echoed{now};    // times of our heartbeats that the others have echoed
        bool all_counted = true;
        for (const auto& [name, member] : members_) {
            if (now >= member.last_received + kMemberTimeout) continue;
            divisor = std::max(divisor, member.quota_divisor);
            if (member.last_echoed != TimePoint{}) echoed.push_back(member.last_echoed);
            // The other gateway counts this incarnation, or no longer refills.
            const bool is_counted = member.last_echoed != TimePoint{} &&
                                    now < member.last_echoed + kRefillTime && member.quota_divisor >= size;
            all_counted = all_counted && (is_counted || now >= member.last_received + kRefillTime + 1s);
        }
        const std::size_t majority = gateway_count_ / 2 + 1;
        if (echoed.size() >= majority) {
            std::nth_element(echoed.begin(), echoed.begin() + static_cast<std::ptrdiff_t>(majority - 1),
                             echoed.end(), std::greater<>());
            result.refill_until = echoed[majority - 1] + kRefillTime;
        }
        if (now >= refill_until_) confirmed_ = false;
        if (!confirmed_) confirmed_ = all_counted && result.refill_until > now;
        if (confirmed_) refill_until_ = result.refill_until;
        result.divisor = confirmed_ ? divisor : 0;
        return result;
    }

private:
    struct Member {
        std::uint64_t incarnation = 0;
        std::uint32_t quota_divisor = 0;
        TimePoint timestamp{}, last_received{}, last_echoed{};
    };
    std::string self_;
    std::uint64_t incarnation_;
    std::size_t gateway_count_;
    std::map<std::string, Member> members_;
    bool confirmed_ = false;
    TimePoint refill_until_{};
};

}    // namespace shaletray::quota::world
