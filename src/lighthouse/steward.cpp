#include "lighthouse/steward.h"

#include <algorithm>

namespace shaletray::lighthouse {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSeenFor = 1s, kUnheardFor = 6s, kSaidGoodbye = 3s, kTurn = 3s;

}    // namespace

Steward::Fate Steward::fate(const lamp::Member& member, const std::map<std::string, convoy::Member>& members,
                            TimePoint now) const {
    if (member.address == me_.address) return Fate::Here;
    const auto it = members.find(member.address);
    if (it == members.end()) return now - started_ > kUnheardFor ? Fate::Away : Fate::Open;
    const convoy::Member& m = it->second;
    if (m.state == convoy::State::Alive) return Fate::Here;
    const bool over = m.state == convoy::State::Gone ? now - m.changed > kSaidGoodbye
                                                     : now - std::max(m.heard, started_) > kUnheardFor;
    return over ? Fate::Away : Fate::Open;
}

std::optional<Steward::Step> Steward::next(const lamp::Decree& decree,
                                           const std::map<std::string, convoy::Member>& members,
                                           TimePoint now) {
    const auto is_voter = [&](const std::string& address) {
        return std::find_if(decree.voters.begin(), decree.voters.end(),
                            [&](const lamp::Member& m) { return m.address == address; });
    };
    // One whose disk is another one by now has no vote, and so no turn.
    const auto votes = [&](const lamp::Member& m) {
        if (m.address == me_.address) return m == me_;
        const auto it = members.find(m.address);
        return it != members.end() && it->second.state == convoy::State::Alive &&
               it->second.facts.disk == m.disk;
    };
    const auto mine = is_voter(me_.address);
    if (mine == decree.voters.end() || !votes(*mine)) return std::nullopt;
    std::optional<Step> step;
    std::map<lamp::Member, TimePoint> seen;
    for (const auto& [address, member] : members) {
        const convoy::Facts& f = member.facts;
        if (f.role != convoy::Role::Lighthouse || !f.quorum || member.state != convoy::State::Alive) continue;
        const lamp::Member newcomer{address, f.disk};
        const auto there = is_voter(address);
        if (there != decree.voters.end() && *there == newcomer) continue;
        const auto before = seen_.find(newcomer);
        const TimePoint since = before == seen_.end() ? now : before->second;
        seen[newcomer] = since;
        if (step || now - since < kSeenFor) continue;
        step = Step{newcomer, std::nullopt};
        if (there != decree.voters.end()) {    // its disk was emptied, or is another one
            step->in_place_of = *there;
            continue;
        }
        bool open = false;
        for (const lamp::Member& old : decree.voters) {
            const Fate f = fate(old, members, now);
            if (f == Fate::Away && !step->in_place_of) step->in_place_of = old;
            open = open || f == Fate::Open;
        }
        if (open && !step->in_place_of) step.reset();
    }
    seen_ = std::move(seen);
    if (!step) {
        wanted_since_ = TimePoint{};
        return std::nullopt;
    }
    if (wanted_since_ == TimePoint{}) wanted_since_ = now;
    const auto rank = std::count_if(decree.voters.begin(), decree.voters.end(), [&](const lamp::Member& m) {
        return m.address < me_.address && votes(m);
    });
    if (now - wanted_since_ < rank * kTurn) return std::nullopt;
    wanted_since_ = now;    // once a turn
    return step;
}

}    // namespace shaletray::lighthouse
