#include "gateway/quota_lease.h"

#include <algorithm>
#include <vector>

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTouch = 4s;
constexpr Duration kGap = 1s;          // without a look: this process did not run
constexpr Duration kSpread = 2s;       // in which most have heard what one has
constexpr Duration kReturning = 5s;    // in which the others come to count a pilot that is back

// Both ways, within the last moments.
bool in_touch(const membership::Convoy& convoy, const membership::Member& m, TimePoint now) {
    if (m.state != membership::State::Alive) return false;
    if (!convoy.meets_each()) return true;    // heard_part and answered_part stand for all
    return m.heard != TimePoint{} && now - m.heard <= kTouch && m.answered != TimePoint{} &&
           now - m.answered <= kTouch;
}

}    // namespace

quota::Peers QuotaLease::look(const membership::Convoy& convoy, const std::vector<std::string>& confirmed,
                              TimePoint now) {
    if (now - looked_ > kGap) {
        for (auto& [address, peer] : peers_) peer.unheard = TimePoint{};
        nameless_unheard_ = TimePoint{};
    }
    looked_ = now;
    sampled_ = !convoy.meets_each();
    bool quorum = false;
    for (const std::string& lighthouse : confirmed) {
        const auto it = convoy.members().find(lighthouse);
        if (it == convoy.members().end() || !in_touch(convoy, it->second, now)) continue;
        quorum = quorum || convoy.meets_each() || convoy.answered_part(now, kTouch) > 0.0;
        agreed_ = agreed_ || it->second.agreed != TimePoint{};
    }
    learn(convoy, now);
    drop(quorum, now);
    lately_.emplace_back(now, divisor_);
    while (now - lately_.front().first > kSpread) lately_.pop_front();

    quota::Peers out;
    out.ring.push_back(me_);
    for (const auto& [address, m] : convoy.members())
        if (m.facts.role == membership::Role::Pilot && m.state != membership::State::Gone)
            out.ring.push_back(address);
    std::sort(out.ring.begin(), out.ring.end());
    std::uint32_t most = std::max(divisor_, static_cast<std::uint32_t>(out.ring.size()));
    std::size_t touched = 1;
    for (const auto& [address, peer] : peers_) {
        most = std::max(most, peer.counts);
        touched += peer.touched ? 1 : 0;
    }

    const bool touch = convoy.joined() && (quorum || (began_ && majority_));
    if (now >= held_at_ + kLease) held_ = false;
    if (!touch) {
        returned_ = TimePoint{};
    } else {
        if (returned_ == TimePoint{}) returned_ = now;
        agreed_ = agreed_ || !convoy.meets_each();    // so many that some always differ
        const bool counted = (agreed_ && counts_us(convoy, touched)) || now - returned_ >= kReturning;
        held_ = held_ || (counted && (began_ || may_begin(now)));
        if (held_) held_at_ = now;
        began_ = began_ || held_;
    }
    out.divisor = held_ ? most : 0;
    out.refill_until = held_at_ + kLease;
    return out;
}

void QuotaLease::learn(const membership::Convoy& convoy, TimePoint now) {
    const bool open = convoy.meets_each() ||
                      (convoy.heard_part(now, kTouch) >= 0.5 && convoy.answered_part(now, kTouch) >= 0.5);
    for (auto& [address, peer] : peers_) peer.touched = false;
    for (const auto& [address, m] : convoy.members()) {
        if (m.facts.role != membership::Role::Pilot) continue;
        auto it = peers_.find(address);
        if (m.ended) {
            if (it == peers_.end()) continue;
            no_longer(it->second);
            peers_.erase(it);
            continue;
        }
        if (it == peers_.end()) {
            // Dropped before, or told to a newcomer, which has dropped nobody that it didn't hear.
            if (m.state == membership::State::Gone && (began_ || m.heard != TimePoint{})) continue;
            it = peers_.emplace(address, Peer{}).first;
            it->second.known = it->second.heard = now;
        }
        Peer& peer = it->second;
        if (peer.life != m.facts.life) {
            if (peer.life != 0) no_longer(peer);
            peer.life = m.facts.life;
        }
        if (m.facts.counts == 0 && peer.counts > 0) no_longer(peer);    // its lease has ended
        peer.counts = m.facts.counts;
        peer.gone = m.state == membership::State::Gone;
        peer.hearsay = peer.hearsay && m.heard == TimePoint{};
        peer.heard = std::max(peer.heard, m.heard);
        if (!convoy.meets_each() && m.state == membership::State::Alive) peer.heard = now;
        peer.touched = open && in_touch(convoy, m, now);
    }
}

// What it knew more than this pilot knew lately stays counted.
void QuotaLease::no_longer(const Peer& peer) {
    std::uint32_t most = std::max(divisor_, electorate());
    for (const auto& [at, divisor] : lately_) most = std::max(most, divisor);
    if (peer.counts > most) nameless_ += peer.counts - most;
}

void QuotaLease::drop(bool quorum, TimePoint now) {
    if (nameless_ == 0 &&
        std::all_of(peers_.begin(), peers_.end(), [](const auto& item) { return item.second.touched; })) {
        majority_ = true;
        divisor_ = electorate();
        for (auto& [address, peer] : peers_) peer.unheard = TimePoint{};
        return;
    }
    std::vector<const Peer*> by_known;
    for (const auto& [address, peer] : peers_) by_known.push_back(&peer);
    std::sort(by_known.begin(), by_known.end(),
              [](const Peer* a, const Peer* b) { return a->known < b->known; });
    std::vector<std::size_t> touched{1};    // of the first so many
    for (const Peer* peer : by_known) touched.push_back(touched.back() + (peer->touched ? 1 : 0));

    divisor_ = electorate();
    majority_ = 2 * touched.back() > peers_.size() + 1 + nameless_;
    std::vector<std::string> over;
    for (auto& [address, peer] : peers_) {
        if (peer.touched) {
            peer.unheard = TimePoint{};
            continue;
        }
        const auto end = std::upper_bound(by_known.begin(), by_known.end(), peer.heard + kSpread,
                                          [](TimePoint t, const Peer* p) { return t < p->known; });
        const auto known = static_cast<std::size_t>(end - by_known.begin());
        const std::size_t then = std::max<std::size_t>(known + 1, peer.counts);
        majority_ = majority_ && 2 * touched[known] > then;
        // Touch that is a sample tells no shares: who knew fewer than the unheard one leaves them to those
        // who knew as many and tell theirs.
        if (!peer.hearsay)    // rounded up
            divisor_ =
                std::max(divisor_, static_cast<std::uint32_t>(
                                       sampled_ && known + 1 < then
                                           ? then
                                           : (then * touched.back() + touched[known] - 1) / touched[known]));
        const bool may =
            quorum && (began_ || !peer.hearsay) && 2 * touched[known] >= then && now - peer.heard > kTouch;
        if (!may) {
            peer.unheard = TimePoint{};
        } else if (peer.unheard == TimePoint{}) {
            peer.unheard = now;
        } else if (now - peer.unheard >= kDropAfter) {
            over.push_back(address);
        }
    }
    for (const std::string& address : over) {
        const Peer peer = peers_.at(address);
        no_longer(peer);
        peers_.erase(address);
    }
    // Figures by samples compound over many restarts: never so many that those in touch could not drop them.
    if (sampled_)
        nameless_ = std::min(nameless_, 2 * touched.back() - std::min(2 * touched.back(), peers_.size() + 1));
    if (nameless_ == 0 || !quorum || 2 * touched.back() < peers_.size() + 1 + nameless_) {
        nameless_unheard_ = TimePoint{};
    } else if (nameless_unheard_ == TimePoint{}) {
        nameless_unheard_ = now;
    } else if (now - nameless_unheard_ >= kDropAfter) {
        nameless_ = 0;
        nameless_unheard_ = TimePoint{};
    }
}

// A newcomer: whether nobody holds a lease that may not count it, or those do that hold one and so count the
// others. By the lighthouses' word who is there and holds none begins after it has heard of this one.
bool QuotaLease::may_begin(TimePoint now) {
    const auto holds = [](const auto& item) { return item.second.touched && item.second.counts > 0; };
    if (std::any_of(peers_.begin(), peers_.end(), holds)) {
        std::erase_if(peers_, [](const auto& item) { return item.second.hearsay && !item.second.touched; });
        return true;
    }
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        const Peer& peer = item.second;
        return peer.touched || (!peer.gone && peer.counts == 0) ||
               (peer.hearsay && now - peer.known >= kUnknown);
    });
}

// Those that are in touch and hold a lease divide by as many as are in touch here, at least: all, or nearly
// all of many.
bool QuotaLease::counts_us(const membership::Convoy& convoy, std::size_t touched) const {
    const double enough = static_cast<double>(touched) * (convoy.meets_each() ? 1.0 : 0.9);
    std::size_t less = 0;
    for (const auto& [address, peer] : peers_)
        less += peer.touched && peer.counts > 0 && static_cast<double>(peer.counts) < enough ? 1 : 0;
    return convoy.meets_each() ? less == 0 : 4 * less <= touched;
}

}    // namespace shaletray::gateway
