// Balancing between the stores of a set: what is told to whom, and what moves (the design page's halving).
// Values marked "page" are the design page's.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kTellEvery = 250ms;    // page: at most one message to a neighbour in this time
constexpr double kGiftGap = 1.0;          // page: a gift needs a gap above one unit
constexpr double kTellChange = 0.5;       // units off what the neighbour reckons, before we say so
constexpr double kGapShare = 0.75;        // of a full share: the same two where shares are below a unit
constexpr double kTellShare = 0.5;
constexpr double kInboxPart = 0.5;           // of what peers take in, so that bursts fit
constexpr Duration kLeastSlot = 50ms;        // between two messages of a gateway, to whomever
constexpr double kTellPerRequest = 100.0;    // bytes: what a request's share of messages may cost
constexpr double kTellIdle = 60.0;           // bytes a second, so that quiet gateways pass units on too
constexpr double kTellLeast = 150.0;     // bytes saved up before a message, so that headers do not eat them
constexpr double kTellSaved = 1024.0;    // bytes saved up at most
constexpr double kMostPassed = 4.0;      // largest requests (or shares) that one message may move
constexpr Duration kPeerFresh = 1s;      // no gifts to a neighbour unheard for this long
constexpr Duration kPeerForget = 10s;    // an older incarnation is believed again after this
constexpr Duration kRightsLife = 1s;     // a gift of ceiling rights is void after this

void Gateway::Impl::set_message_pace() {
    slot_ = kLeastSlot;
    // All talk at the same pace, so what a gateway sends is on average what it is sent.
    if (s_.peer_messages_per_s > 0.0)
        slot_ = std::max(slot_, from_seconds(1.0 / (kInboxPart * s_.peer_messages_per_s)));
    tell_bytes_ = kTellSaved;
    // In a fleet where all can hear all at the page's pace, stores stay as the page has them.
    all_hear_ = (s_.gateways - 1) / seconds(kTellEvery) <= s_.peer_messages_per_s;
}

// Each request pays for messages, so that they cost a part of what requests do.
void Gateway::Impl::earn_messages() { tell_bytes_ = std::min(kTellSaved, tell_bytes_ + kTellPerRequest); }

// An amount told earlier has been refilled since, at the same share as ours.
double Gateway::Impl::reckon(const Customer& c, double level, TimePoint at, TimePoint now) const {
    return level >= c.quota.cap ? level : std::min(c.quota.cap, level + c.quota.rate * seconds(now - at));
}

// What a neighbour is reckoned to hold: full until it tells.
double Gateway::Impl::holds(const Customer& c, const Neighbour& n, TimePoint now) const {
    return n.told ? reckon(c, *n.told, n.told_at, now) : c.quota.cap;
}

// One message a slot, to where it does most: halvings follow each other. O(active customers x neighbours).
void Gateway::Impl::tell_neighbours(TimePoint now) {
    if (now < next_slot_ || !s_.may_tell) return;
    tell_bytes_ = std::min(kTellSaved, tell_bytes_ + kTellIdle * seconds(now - slot_seen_));
    slot_seen_ = now;
    next_slot_ = now + slot_;
    if (tell_bytes_ < kTellLeast) return;
    for (auto& [id, peer] : peers_) peer.worth = 0.0;
    for (auto it = active_.begin(); it != active_.end();) {
        const auto at = customers_.find(*it);
        double worth = 0.0;
        if (at != customers_.end()) {
            refill(at->second, now);
            for (Neighbour& n : at->second.neighbours) {
                const double w = offer(at->second, n, now).worth;
                worth += w;
                n.link->worth += w;
            }
        }
        it = worth > 0.0 ? std::next(it) : active_.erase(it);
    }
    auto best = peers_.end();
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        const Peer& p = it->second;
        if (p.worth <= 0.0 || (p.ever_told && now - p.told < kTellEvery)) continue;
        if (best == peers_.end() || p.worth > best->second.worth) best = it;
    }
    if (best != peers_.end()) tell(best->first, best->second, now);
}

Gateway::Impl::Offer Gateway::Impl::offer(const Customer& c, const Neighbour& n, TimePoint now) const {
    Offer o;
    const PlanSettings& p = plan(c.plan);
    if (p.rate <= 0.0) return o;
    const Peer& peer = *n.link;
    const double share = std::max(1e-3, c.quota.cap);
    o.free = c.quota.level - (c.fine ? 0.0 : c.waiting);
    // Stores read together balance debts too, with a neighbour not heard yet only where others are heard.
    if (c.fine ? now - (peer.known ? peer.heard : mail_at_) <= kAlone
               : peer.known && n.told && now - peer.heard <= kPeerFresh) {
        const double gap = o.free - holds(c, n, now);
        if (std::abs(gap) > std::min(kGiftGap, kGapShare * share)) o.gift = gap / 2.0;
        if (!c.fine) o.gift = std::min(o.gift, c.quota.level);
        // Rights go with the units; without them the neighbour could not use what it gets.
        if (p.ceiling_rate > 0.0) o.gift = std::min(o.gift, c.ceiling.level);
        o.gift = peer_amount(c.fine ? o.gift : std::max(0.0, o.gift));
    }
    const double off = std::abs(o.free - reckon(c, n.said, n.said_at, now));
    if (o.gift == 0.0 && off < std::min(kTellChange, kTellShare * share)) return o;
    const double wait = 1.0 + seconds(now - n.said_at);    // keeps the turn of those that did not fit
    // In a sparse fleet most find no place: what a wrong grant or refusal costs goes first, not the least
    // share.
    const double stake = fleet::sparse(s_) ? p.price : 1.0 / share;
    o.worth = ((2.0 * std::abs(o.gift) + off) * stake + (c.waiting > 0.0 ? 1.0 : 0.0)) * wait;
    return o;
}

void Gateway::Impl::tell(PeerId id, Peer& peer, TimePoint now) {
    std::vector<std::tuple<Offer, CustomerId, Customer*, Neighbour*>> entries;
    for (const CustomerId customer : active_) {
        Customer& c = customers_.at(customer);
        for (Neighbour& n : c.neighbours) {
            if (n.peer != id) continue;
            if (const Offer o = offer(c, n, now); o.worth > 0.0) entries.emplace_back(o, customer, &c, &n);
        }
    }
    if (entries.empty()) return;
    std::stable_sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
        return std::get<0>(a).worth > std::get<0>(b).worth;
    });
    PeerHeader header;
    header.incarnation = static_cast<std::uint64_t>(boot_.time_since_epoch().count());
    header.sequence = ++peer.sent;
    header.stamp_ms = static_cast<std::uint64_t>((now - boot_) / 1ms);
    if (peer.known) {
        header.echo_incarnation = peer.incarnation;
        header.echo_stamp_ms = peer.stamp_ms;
    }
    PeerMessageWriter writer(header);
    for (auto& [o, customer, customer_at, neighbour_at] : entries) {
        Customer& c = *customer_at;
        Neighbour& n = *neighbour_at;
        const double gift = o.gift;
        const bool rights = plan(c.plan).ceiling_rate > 0.0 && gift > 0.0;
        PeerEntry entry{customer, o.free - gift, n.gave + gift, rights ? gift : 0.0, std::nullopt};
        if (!n.told) entry.introduction = {c.plan, c.first, c.width};
        if (!writer.add(entry)) break;
        n.said = o.free - gift;
        n.said_at = now;
        if (gift == 0.0) continue;
        c.quota.level -= gift;    // at once; what a lost message moved, the link's next one moves
        n.gave += gift;
        if (rights) {
            c.ceiling.level -= gift;
            c.lent.push_back({now + kRightsLife, gift});
        }
        n.told = holds(c, n, now) + gift;
        n.told_at = now;
    }
    peer.told = now;
    peer.ever_told = true;
    std::vector<std::uint8_t> bytes = writer.take();
    tell_bytes_ -= static_cast<double>(bytes.size());
    actions_->push_back(TellPeer{id, std::move(bytes)});
}

void Gateway::Impl::peer_heard(const PeerBytes& e, TimePoint now) {
    const std::optional<PeerMessage> message = parse_peer_message(e.bytes);
    const auto number = static_cast<int>(e.from);
    if (!message || number < 0 || number >= s_.gateways || number == s_.me) return;
    Peer& peer = peers_[e.from];
    const PeerHeader& h = message->header;
    if (peer.known && h.incarnation != peer.incarnation) {
        // Late mail of an earlier life must not mint units; a clock set back must not mute a peer for ever.
        if (h.incarnation < peer.incarnation && now - peer.heard < kPeerForget) return;
        peer.sequence = 0;
        for (auto& [id, c] : customers_) {
            for (Neighbour& n : c.neighbours) {
                if (n.peer != e.from) continue;
                n.told.reset();    // a restarted peer holds none of what it told, and knows nothing of us
                n.gave = n.got = 0.0;
                n.said = c.quota.cap;
                n.said_at = now;
                active_.insert(id);
            }
        }
    } else if (peer.known && h.sequence <= peer.sequence) {
        return;    // a duplicate, or overtaken: its gift would count twice or its amounts mislead
    }
    peer.incarnation = h.incarnation;
    peer.sequence = h.sequence;
    peer.stamp_ms = h.stamp_ms;
    peer.heard = mail_at_ = now;
    peer.known = true;
    // The sender had our stamp in hand when it gave: by our own clock, the gift is no older than that.
    const bool ours = h.echo_incarnation == static_cast<std::uint64_t>(boot_.time_since_epoch().count());
    const TimePoint stamp = boot_ + Duration(1000) * static_cast<std::int64_t>(std::min<std::uint64_t>(
                                                         h.echo_stamp_ms, 1ULL << 40));
    const bool rights = ours && stamp <= now && now - stamp < kRightsLife;
    for (const PeerEntry& entry : message->entries) {
        Customer* c = introduced(entry, e.from, now);
        if (c == nullptr) continue;
        for (Neighbour& n : c->neighbours) {
            if (n.peer != e.from) continue;
            refill(*c, now);
            n.told = entry.free;
            n.told_at = c->used = now;
            active_.insert(entry.customer);
            // What it passed on to an earlier life of ours is gone with that.
            if (!ours && h.echo_incarnation != 0) continue;
            const double most = kMostPassed * std::max(c->quota.cap, std::max(1.0, s_.most_units));
            const double passed = std::clamp(entry.passed - n.got, -most, most);
            n.got = entry.passed;
            const double room = std::max(c->quota.cap, std::max(s_.most_units, c->waiting));
            c->quota.level = passed < 0.0 ? c->quota.level + passed
                                          : std::max(c->quota.level, std::min(room, c->quota.level + passed));
            if (rights) c->ceiling.level = std::min(ceiling_cap(*c, now), c->ceiling.level + entry.rights);
        }
    }
}

}    // namespace shaletray::decision
