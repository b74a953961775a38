#include "controller/voter_reconciler.h"

#include <algorithm>

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using Voters = std::vector<consensus::Member>;

constexpr Duration kTurn = 500ms;

Voters::const_iterator at_address(const Voters& voters, const std::string& address) {
    return std::find_if(voters.begin(), voters.end(),
                        [&](const consensus::Member& m) { return m.address == address; });
}

}    // namespace

// One more than the system may lose: so a replacement that is under way takes nothing from what is promised.
Steward::Steward(Settings settings, TimePoint now)
    : settings_(std::move(settings)),
      least_(std::max<std::size_t>(3, 2 * settings_.losses + 1)),
      most_(std::max<std::size_t>(3, 2 * settings_.losses + 3)),
      started_(now) {}

// The next machine may be lost `catch_up` after a replacement came: its place has to be taken before that.
Steward::Fate Steward::fate(const consensus::Member& voter, const Members& members, TimePoint now) const {
    if (voter.address == settings_.me.address)
        return voter != settings_.me ? Fate::Away : leaving_ ? Fate::Leaves : Fate::Answers;
    const Duration unheard = settings_.catch_up * 5 / 8;
    const auto it = members.find(voter.address);
    if (it == members.end()) return now - started_ > settings_.catch_up ? Fate::Away : Fate::Unknown;
    const membership::Member& m = it->second;
    if (m.state == membership::State::Alive && m.facts.disk == voter.disk)
        return m.facts.quorum ? Fate::Answers : Fate::Leaves;
    if (m.state == membership::State::Alive || m.ended) return Fate::Away;    // another disk, or a goodbye
    return now - std::max(m.heard, started_) > unheard ? Fate::Away : Fate::Unknown;
}

// Those that may begin to vote: they have the decree already, and were seen for a while.
Voters Steward::newcomers(const consensus::Decree& decree, const Members& members, const Follows& follows,
                          TimePoint now) {
    Voters found;
    std::map<consensus::Member, TimePoint> seen;
    for (const auto& [address, member] : members) {
        const membership::Facts& f = member.facts;
        if (f.role != membership::Role::Lighthouse || !f.quorum || member.state != membership::State::Alive)
            continue;
        const consensus::Member newcomer{address, f.disk};
        if (std::find(decree.voters.begin(), decree.voters.end(), newcomer) != decree.voters.end()) continue;
        const auto before = seen_.find(newcomer);
        const TimePoint since = before == seen_.end() ? now : before->second;
        seen[newcomer] = since;
        if (now - since >= settings_.catch_up / 8 && follows(newcomer)) found.push_back(newcomer);
    }
    seen_ = std::move(seen);
    return found;
}

Voters Steward::wanted(const Voters& voters, const Members& members, Voters newcomers, TimePoint now) const {
    Voters to = voters;
    const auto zone = [&](const consensus::Member& m) {
        const auto it = members.find(m.address);
        return it == members.end() ? std::string() : it->second.facts.zone;
    };
    const auto in_zone = [&](const std::string& z) {
        return std::count_if(to.begin(), to.end(), [&](const consensus::Member& m) { return zone(m) == z; });
    };
    // The newcomer whose zone has fewest voters.
    const auto take = [&] {
        const auto best =
            std::min_element(newcomers.begin(), newcomers.end(), [&](const auto& a, const auto& b) {
                return std::pair(in_zone(zone(a)), a) < std::pair(in_zone(zone(b)), b);
            });
        const consensus::Member taken = *best;
        newcomers.erase(best);
        return taken;
    };
    Voters out;    // of `to`, these cannot be counted on
    bool unknown = false;
    for (const consensus::Member& voter : voters) {
        const Fate f = fate(voter, members, now);
        unknown = unknown || f == Fate::Unknown;
        if (f != Fate::Away && f != Fate::Leaves) continue;
        // One address is one voter: an emptied disk takes its own place rather than another's.
        const auto itself = at_address(newcomers, voter.address);
        if (itself == newcomers.end()) {
            out.push_back(voter);
            continue;
        }
        std::replace(to.begin(), to.end(), voter, *itself);
        newcomers.erase(itself);
    }
    while (!out.empty() && !newcomers.empty()) {
        std::replace(to.begin(), to.end(), out.back(), take());
        out.pop_back();
    }
    // Nobody is there for these: two fewer, or one of an even number, lower what a majority is.
    const auto leave_out = [&] {
        std::erase(to, out.back());
        out.pop_back();
    };
    if (to.size() % 2 == 0 && !out.empty() && to.size() > least_) leave_out();
    while (out.size() >= 2 && to.size() >= least_ + 2) {
        leave_out();
        leave_out();
    }
    if (to.size() % 2 == 0 && !newcomers.empty()) to.push_back(take());
    if (out.empty() && !unknown) {
        // An even number bears no more than one fewer, and the one left out can replace any other.
        if (to.size() % 2 == 0 && to.size() > least_)
            to.erase(std::max_element(to.begin(), to.end(), [&](const auto& a, const auto& b) {
                return std::pair(in_zone(zone(a)), a) < std::pair(in_zone(zone(b)), b);
            }));
        while (to.size() % 2 == 1 && newcomers.size() >= 2 && to.size() + 2 <= most_) {
            to.push_back(take());
            to.push_back(take());
        }
    }
    std::sort(to.begin(), to.end());
    return to;
}

std::optional<Steward::Step> Steward::next(const consensus::Decree& decree, const Members& members,
                                           const Follows& follows, TimePoint now) {
    const Voters& voters = decree.voters;
    const consensus::Member& me = settings_.me;
    const Voters ready = newcomers(decree, members, follows, now);
    if (std::find(voters.begin(), voters.end(), me) == voters.end()) return std::nullopt;
    const auto answer = [&](const Voters& set) {
        return static_cast<std::size_t>(std::count_if(
            set.begin(), set.end(),
            [&](const consensus::Member& m) { return fate(m, members, now) == Fate::Answers; }));
    };
    Step step{voters, wanted(voters, members, ready, now)};
    if (step.to == voters || bears(answer(step.to), step.to.size()) < bears(answer(voters), voters.size())) {
        wanted_since_ = TimePoint{};
        return std::nullopt;
    }
    if (wanted_since_ == TimePoint{}) wanted_since_ = now;
    const auto rank =
        leaving_ ? 0 : std::count_if(voters.begin(), voters.end(), [&](const consensus::Member& m) {
            return m.address < me.address && fate(m, members, now) == Fate::Answers;
        });
    if (now - wanted_since_ < rank * kTurn) return std::nullopt;
    return step;
}

}    // namespace shaletray::controller
