#include "lighthouse/steward.h"

#include <algorithm>

namespace shaletray::lighthouse {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSeenFor = 1s, kUnheardFor = 6s, kTurn = 3s;

}    // namespace

std::optional<Steward::Step> Steward::next(const lamp::Decree& decree,
                                           const std::map<std::string, convoy::Member>& members,
                                           TimePoint now) {
    const auto in_crew = [&](const std::string& address) {
        return std::find_if(decree.crew.begin(), decree.crew.end(),
                            [&](const lamp::Member& m) { return m.address == address; });
    };
    const auto alive = [&](const std::string& address) {
        if (address == me_) return true;
        const auto it = members.find(address);
        return it != members.end() && it->second.state == convoy::State::Alive;
    };
    if (in_crew(me_) == decree.crew.end()) return std::nullopt;
    std::optional<Step> step;
    std::map<lamp::Member, TimePoint> seen;
    for (const auto& [address, member] : members) {
        const convoy::Facts& f = member.facts;
        if (f.role != convoy::Role::Lighthouse || !f.quorum || member.state != convoy::State::Alive) continue;
        const lamp::Member newcomer{address, f.disk};
        const auto there = in_crew(address);
        if (there != decree.crew.end() && *there == newcomer) continue;
        const auto before = seen_.find(newcomer);
        const TimePoint since = before == seen_.end() ? now : before->second;
        seen[newcomer] = since;
        if (step || now - since < kSeenFor) continue;
        step = Step{newcomer, std::nullopt};
        if (there != decree.crew.end()) {    // its disk was emptied, or is another one
            step->in_place_of = *there;
            continue;
        }
        for (const lamp::Member& old : decree.crew) {
            const auto it = members.find(old.address);
            const bool away =
                old.address != me_ &&
                (it == members.end() || it->second.state == convoy::State::Gone ||
                 (it->second.state == convoy::State::Doubted && now - it->second.heard > kUnheardFor));
            if (away) step->in_place_of = old;
        }
    }
    seen_ = std::move(seen);
    if (!step) {
        wanted_since_ = TimePoint{};
        return std::nullopt;
    }
    if (wanted_since_ == TimePoint{}) wanted_since_ = now;
    const auto rank = std::count_if(decree.crew.begin(), decree.crew.end(), [&](const lamp::Member& m) {
        return m.address < me_ && alive(m.address);
    });
    if (now - wanted_since_ < rank * kTurn) return std::nullopt;
    wanted_since_ = now;    // once a turn
    return step;
}

}    // namespace shaletray::lighthouse
