// The decisions of one gateway, but for its view of servers (servers.cpp). Interface (types, events,
// actions): include/valehall/control.h. Order: settings, quota stores and balancing, ceiling, choice and
// attempts, timers, dispatch. "Gateway" below is this instance; it knows only what its own events told it.
#include "valehall/control.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "gateway_state.h"
#include "peer_message.h"

namespace valehall {
namespace {

using namespace std::chrono_literals;

// ---- tuned values (starting values marked "page" are the design page's) ----
constexpr Duration kTellEvery = 250ms;    // page: at most one message to a neighbour in this time
constexpr double kGiftGap = 1.0;          // page: a gift needs a gap above one unit
constexpr double kTellChange = 0.5;       // units off what the neighbour reckons, before we say so
constexpr double kGapShare = 0.75;        // of a full share: the same two where shares are below a unit
constexpr double kTellShare = 0.5;
constexpr double kFineShare = 2.0;           // largest requests in a share: below it stores are read together
constexpr double kKeepFree = 0.5;            // of the burst: what others may be granting meanwhile
constexpr double kForgive = 3.0;             // seconds
constexpr Duration kAlone = 3s;              // no mail at all for this long: each lives on its own refill
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
constexpr double kHoldShare = 0.5;       // of the time left inside the aim
constexpr std::size_t kFewHeld = 128;    // up to here all are looked at after each answer
constexpr double kRoomShare = 0.2;       // the same for room at the servers: queues come on top
constexpr Duration kAnswerMargin = 20ms;    // held requests are answered this long before the client goes
constexpr std::size_t kMostCustomers = 50000;
constexpr Duration kIdleCustomer = 60s;
constexpr Duration kBusyTick = 10ms;
constexpr Duration kIdleTick = 100ms;
constexpr double kLatencyGoal = 0.3;    // of the aim: above this the gateway's limit shrinks
constexpr double kRetryShare = 0.2;     // retries per first send
constexpr double kRetryBurst = 20.0;
constexpr std::size_t kCandidates = 4;
constexpr double kBeyondRoom = 0.5;       // of the limit and of the latency goal, for requests beyond quota
constexpr double kLeastOut = 2.0;         // and the least that the limit falls to
constexpr int kAimPerUsual = 8;           // the aim over the usual latency, until that is seen
constexpr Duration kSweepEvery = 50ms;    // of all servers: budgets, silence, probes due
constexpr int kSlowAfter = 5;             // times the class's usual latency: far over it
constexpr int kHungAfter = 10;            // times the class's usual latency

}    // namespace

// ---- settings-derived values ----

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    check(s_);
    if (s_.plans.empty()) s_.plans.emplace_back();
    usual_.assign(s_.classes.size(), 0.0);
    retries_left_ = kRetryBurst;
    slot_ = kLeastSlot;
    // All talk at the same pace, so what a gateway sends is on average what it is sent.
    if (s_.peer_messages_per_s > 0.0)
        slot_ = std::max(slot_, from_seconds(1.0 / (kInboxPart * s_.peer_messages_per_s)));
    tell_bytes_ = kTellSaved;
    // In a fleet where all can hear all at the page's pace, stores stay as the page has them.
    all_hear_ = (s_.gateways - 1) / seconds(kTellEvery) <= s_.peer_messages_per_s;
}

// ---- quota stores and balancing (the design) ----

Gateway::Impl::Customer* Gateway::Impl::customer_for(TimePoint now, CustomerId id, int plan_index, int first,
                                                     int set_width) {
    if (const auto it = customers_.find(id); it != customers_.end()) return &it->second;
    if (customers_.size() >= kMostCustomers) return nullptr;
    Customer& c = customers_[id];
    const PlanSettings& p = plan(plan_index);
    const int width = std::clamp(set_width, 1, s_.gateways);
    const int place = place_in_set(s_.me, first);
    c.plan = plan_index;
    c.first = first;
    c.width = width;
    c.quota = {p.burst / width, p.burst / width, p.rate / width, now};
    const double largest = std::max(1.0, s_.most_units);
    // Where a share is too small for one large request, only the first gateways of the set hold any.
    const int holders = std::clamp(static_cast<int>(p.ceiling_burst / largest), 1, width);
    if (place < holders) {    // an earlier life may have spent the share: it counts from this start
        c.ceiling = {0.0, p.ceiling_burst / holders, p.ceiling_rate / holders, now};
        c.ceiling.level = std::min(c.ceiling.cap, c.ceiling.rate * seconds(now - boot_));
    }
    if (place < width && s_.may_tell) {
        // Distances double, both ways, so that pairs agree and units cross a wide set in a few steps.
        std::set<int> seen{place};
        for (int d = 1; 2 * d <= width + 1; d *= 2) {
            for (const int at : {(place + d) % width, ((place - d) % width + width) % width}) {
                if (!seen.insert(at).second) continue;
                const PeerId peer{(first + at) % s_.gateways};
                c.neighbours.emplace_back(peer, peers_[peer], c.quota.cap, now);
            }
        }
    }
    c.fine = !all_hear_ && !c.neighbours.empty() && c.quota.cap < kFineShare * largest;
    // The more of the set is out of sight, the more of the burst is left for what others may be granting.
    c.keep = kKeepFree * p.burst * (1.0 - static_cast<double>(c.neighbours.size() + 1) / width);
    return &c;
}

// Units have to pass through gateways that no request of the customer has reached yet.
Gateway::Impl::Customer* Gateway::Impl::introduced(const PeerEntry& entry, PeerId from, TimePoint now) {
    if (const auto it = customers_.find(entry.customer); it != customers_.end()) return &it->second;
    const std::optional<PeerIntroduction>& i = entry.introduction;
    if (!i || static_cast<std::size_t>(i->plan) >= s_.plans.size() || i->first_gateway >= s_.gateways ||
        i->width < 2 || i->width > s_.gateways)
        return nullptr;
    for (const int member : {s_.me, static_cast<int>(from)}) {
        if (place_in_set(member, i->first_gateway) >= i->width) return nullptr;
    }
    return customer_for(now, entry.customer, i->plan, i->first_gateway, i->width);
}

void Gateway::Impl::refill(Customer& c, TimePoint now) {
    // What went beyond the quota took nothing from it: a set's debts below nothing are forgiven over a while.
    if (c.fine && c.quota.level < 0.0) {
        const double owed = -std::min(0.0, set_free(c, now)) / c.width;
        c.quota.level +=
            std::min(owed, -c.quota.level) * std::min(1.0, seconds(now - c.quota.touched) / kForgive);
    }
    c.quota.refill(now);
    c.ceiling.refill(now);
    c.ceiling.level = std::min(c.ceiling.level, ceiling_cap(c, now));
}

// The ledger outside knows the shares, and what was taken of the ceiling: it was told of each send.
void Gateway::Impl::allowed(const Allowance& e, TimePoint now) {
    Customer* c = customer_for(now, e.customer, e.plan_index, e.first_gateway, e.width);
    if (c == nullptr) return;
    refill(*c, now);
    c->plan = e.plan_index;
    c->quota.rate = e.rate;
    c->quota.cap = e.burst;
    c->quota.level = std::min(e.burst, c->quota.level + e.gain);
    c->ceiling = {e.ceiling_level, e.ceiling_burst, e.ceiling_rate, now};
}

bool Gateway::Impl::covered(const Customer& c, double units, TimePoint now) const {
    const PlanSettings& p = plan(c.plan);
    if (p.rate > 0.0 && c.quota.level < units - 1e-9) {
        // A full store passes any request; a small share that reads with others, where those hold enough.
        const bool alone = !c.fine || now - mail_at_ > kAlone;
        if (alone ? c.quota.level < c.quota.cap - 1e-9 : set_free(c, now) < units + c.keep) return false;
    }
    return p.max_out <= 0 || c.out < std::max(1, p.max_out / c.width);
}

// Free units over the whole set of a fine customer, with the neighbours standing for all others.
double Gateway::Impl::set_free(const Customer& c, TimePoint now) const {
    double told = 0.0;
    for (const Neighbour& n : c.neighbours) told += holds(c, n, now);
    return c.quota.level + told / static_cast<double>(c.neighbours.size()) * (c.width - 1);
}

// Units likely here within `horizon` seconds: own refill, and half of what neighbours have more.
double Gateway::Impl::soon(const Customer& c, double horizon) const {
    if (c.fine) return -1.0;    // all of its gateways would see the same refill, and all grant at once
    double units = c.quota.level + c.quota.rate * horizon;
    for (const Neighbour& n : c.neighbours) {
        if (n.told) units += std::max(0.0, *n.told - std::max(0.0, c.quota.level)) / 2.0;
    }
    return units;
}

// For a refusal's advice: another try may reach any gateway of a set whose stores are read together.
Duration Gateway::Impl::refilled_in(const Customer& c, double units, TimePoint now) const {
    if (c.quota.rate <= 0.0) return Duration(0);
    const double missing =
        c.fine ? (units + c.keep - set_free(c, now)) / c.width : units + c.waiting - c.quota.level;
    return from_seconds(std::max(0.0, missing) / c.quota.rate);
}

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

// ---- ceiling ----
// Invariant: over all gateways, levels plus rights under way that can still be taken up never exceed the true
// store. Shares of rate and burst sum to the plan's; what is lent lowers the lender's cap until it is void.

double Gateway::Impl::ceiling_cap(Customer& c, TimePoint now) const {
    std::erase_if(c.lent, [&](const Lent& l) { return l.until <= now; });
    double cap = c.ceiling.cap;
    for (const Lent& l : c.lent) cap -= l.units;
    return std::max(0.0, cap);
}

bool Gateway::Impl::ceiling_allows(const Customer& c, double units) const {
    return plan(c.plan).ceiling_rate <= 0.0 || c.ceiling.level >= units - 1e-9;
}

// ---- choice and attempts ----

// The one place that says whether a request may be sent to `target`, or refused (no target).
bool Gateway::Impl::legal(const Request& r, const Server* target, TimePoint now) const {
    const ClassSettings& c = cls(r);
    const Attempt* first = nullptr;    // the first that may have run
    for (const Attempt& a : r.attempts) {
        if (a.ran == Ran::Out && target != nullptr) return false;    // never two at once
        if (a.ran != Ran::Never && first == nullptr) first = &a;
    }
    if (target == nullptr) {
        if (first == nullptr || c.repeat == Repeat::Safe) return true;
        return c.repeat == Repeat::Keyed && c.group == KeyGroup::All;
    }
    if (r.streaming || static_cast<int>(r.attempts.size()) >= s_.send_cap || now >= r.deadline) return false;
    if (target->entry.state != HostState::Healthy) return false;    // drains: nothing new, at once
    if (first == nullptr || c.repeat == Repeat::Safe) return true;
    if (c.repeat == Repeat::Unsafe || now - first->sent >= c.window) return false;
    if (c.group == KeyGroup::All) return true;
    const auto it = servers_.find(first->host);
    if (it == servers_.end()) return false;
    return c.group == KeyGroup::Zone ? it->second.entry.zone == target->entry.zone
                                     : it->second.entry.cell == target->entry.cell;
}

Duration Gateway::Impl::usual(std::size_t class_index) const {
    const double seen = usual_[class_index];
    return seen > 0.0 ? from_seconds(seen) : s_.classes[class_index].aim / kAimPerUsual;
}

bool Gateway::Impl::usable(const Request& r, const Server& v, TimePoint now, bool any) const {
    if (!legal(r, &v, now)) return false;
    const double warm = coldness(v, now);
    if (warm < 1.0 && v.cold_work <= 0.0) return false;
    if (any) return true;
    for (const Attempt& a : r.attempts) {
        if (a.host == v.entry.host) return false;    // avoid the one that just failed
    }
    if (now < v.avoid_until) return false;
    if (v.ejected) {
        // Trial traffic: one at a time, and nothing that could be lost for good.
        return now >= v.ejected_until && !v.hard && v.out == 0 && cls(r).repeat == Repeat::Safe;
    }
    return !suspect(v, now);
}

// Least expected wait among a few random candidates, so that gateways do not all run to the same server.
Gateway::Impl::Server* Gateway::Impl::choose(const Request& r, TimePoint now) {
    std::vector<Server*> fit;
    // A few draws find candidates in a large fleet without testing every host.
    for (std::size_t i = 0; i < by_draw_.size() && fit.size() < kCandidates; ++i) {
        std::swap(by_draw_[i], by_draw_[i + random_() % (by_draw_.size() - i)]);
        if (!usable(r, *by_draw_[i], now, false)) continue;
        const double share = coldness(*by_draw_[i], now);
        if (share >= 1.0 || !fleet::sparse(s_) || fleet::cold_drawn(s_, share, random_()))
            fit.push_back(by_draw_[i]);
    }
    for (std::size_t i = 0; i < by_draw_.size() && fit.empty(); ++i) {
        if (usable(r, *by_draw_[i], now, true)) fit.push_back(by_draw_[i]);
    }
    if (fit.empty()) return nullptr;
    const auto cheaper = [&](const Server* a, const Server* b) {
        return cost(r, *a, now) < cost(r, *b, now);
    };
    return *std::min_element(fit.begin(), fit.end(), cheaper);
}

// What of the aim, or of the client's time, is left beside being served.
Duration Gateway::Impl::inside_aim(const Request& r) const {
    const Duration wanted = std::min(cls(r).aim, r.ask.budget);
    return std::max(Duration(0), wanted - std::min(2 * usual(r), wanted / 2));
}

void Gateway::Impl::arrive(const RequestArrived& ask, TimePoint now) {
    check(s_, ask);
    Request& r = requests_[ask.request] = Request{};
    r.ask = ask;
    r.arrived = now;
    r.deadline = now + ask.budget;
    r.hold_until = now + from_seconds(kHoldShare * seconds(inside_aim(r)));
    tell_bytes_ = std::min(kTellSaved, tell_bytes_ + kTellPerRequest);
    Customer* c = customer_for(now, ask.customer, ask.plan_index, ask.first_gateway, ask.width);
    if (c == nullptr) return finish(r, now);
    r.of = c;
    c->used = now;
    refill(*c, now);
    const bool units = c->queue.empty() && has_units(r, *c, now);
    if (units && try_send(r, now)) return;
    // A customer far over its quota: units that will not come in time are not waited for.
    if (!units && plan(c->plan).rate > 0.0 &&
        soon(*c, seconds(r.hold_until - now)) < std::min(ask.units, c->quota.cap) + c->waiting) {
        return finish(r, now);
    }
    if (units) wait_for_room(r, now);
    hold(r, now);    // which may end it
    if (Request* held = units ? nullptr : find(ask.request); held && held->held) wait_for_units(*held, true);
}

void Gateway::Impl::hold(Request& r, TimePoint now) {
    if (r.held) return;
    r.hold_until = std::min(r.hold_until, r.deadline - kAnswerMargin);
    if (r.hold_until <= now) return finish(r, now);
    r.held = true;
    r.turn = ++turns_;
    held_[r.turn] = for_room_[r.turn] = &r;
    arm(std::min(now + kBusyTick, r.hold_until));
}

void Gateway::Impl::unhold(Request& r) {
    if (!r.held) return;
    r.held = false;
    held_.erase(r.turn);
    for_room_.erase(r.turn);
    wait_for_units(r, false);
}

// A request held for room at the servers must not stand in the way of its customer's others.
void Gateway::Impl::wait_for_units(Request& r, bool waits) {
    if (r.wants_units == waits) return;
    r.wants_units = waits;
    Customer& c = *r.of;
    if (waits) c.queue[r.turn] = &r;
    else c.queue.erase(r.turn);
    if (waits) for_room_.erase(r.turn);
    else if (r.held) for_room_[r.turn] = &r;
    active_.insert(r.ask.customer);
    c.waiting = c.queue.empty() ? 0.0 : c.waiting + (waits ? r.ask.units : -r.ask.units);
}

// Load shedding: a long queue here would be the servers' queue, moved.
void Gateway::Impl::wait_for_room(Request& r, TimePoint now) {
    if (r.short_of_room) return;
    r.short_of_room = true;
    r.hold_until = std::min(r.hold_until, now + from_seconds(kRoomShare * seconds(inside_aim(r))));
}

bool Gateway::Impl::has_units(const Request& r, Customer& c, TimePoint now) {
    refill(c, now);
    return r.counted || ((r.beyond || covered(c, r.ask.units, now)) && ceiling_allows(c, r.ask.units));
}

// True where it went out. Only the first send of a request takes units.
bool Gateway::Impl::try_send(Request& r, TimePoint now) {
    Customer& c = *r.of;
    if (!has_units(r, c, now)) return false;
    if (static_cast<double>(out_) >= limit_) return false;
    if (now + usual(r) > r.deadline) return false;    // would be answered too late
    Server* v = choose(r, now);
    if (v == nullptr) return false;
    unhold(r);
    if (!r.counted) {
        r.counted = true;
        if (!r.beyond) c.quota.level -= r.ask.units;
        active_.insert(r.ask.customer);
        c.ceiling.level -= r.ask.units;
        retries_left_ = std::min(kRetryBurst, retries_left_ + kRetryShare);
    }
    const double work = seconds(usual(r));
    if (coldness(*v, now) < 1.0) v->cold_work -= work;
    else warm_work_ += work;
    if (v->out == 0) v->quiet_since = now;
    ++c.out;
    r.attempts.push_back({v->entry.host, now});
    load(r.attempts.back(), 1);
    arm(now + kBusyTick);
    actions_->push_back(Send{r.ask.request, v->entry.host, Duration(0)});
    return true;
}

void Gateway::Impl::drop(Request& r) {
    unhold(r);
    if (!r.attempts.empty() && r.attempts.back().ran == Ran::Out) {
        load(r.attempts.back(), -1);
        --r.of->out;
    }
    requests_.erase(r.ask.request);
}

// Beyond quota: only where the plan pays more than it costs, and of the room, which others may need soon, a
// part.
bool Gateway::Impl::beyond_pays(const Request& r) const {
    const PlanSettings& p = plan(r.ask.plan_index);
    if (r.counted || r.beyond || p.over_worth <= p.over_cost) return false;
    return lateness_ < kBeyondRoom * kLatencyGoal && static_cast<double>(out_) < kBeyondRoom * limit_;
}

// The final answer where nothing more is sent: a refusal where that is allowed, else a failure.
void Gateway::Impl::finish(Request& r, TimePoint now) {
    if (beyond_pays(r) && r.of != nullptr) {
        r.beyond = true;
        if (try_send(r, now)) return;
    }
    if (legal(r, nullptr, now)) {
        const Duration wait = r.of == nullptr ? Duration(0) : refilled_in(*r.of, r.ask.units, now);
        actions_->push_back(Refuse{r.ask.request, std::clamp(wait, Duration(0), s_.max_retry_after)});
    } else {
        actions_->push_back(Fail{r.ask.request});
    }
    drop(r);
}

// One concurrency limit over all servers, so that queues stay inside the aim; each gateway finds its own.
void Gateway::Impl::pressed(TimePoint now, double by) {
    lateness_ = 0.95 * lateness_ + 0.05 * by;
    const double n = static_cast<double>(servers_.size());
    if (lateness_ > kLatencyGoal && now - limit_cut_ > 200ms) {
        const double used = std::min(limit_, 1.2 * static_cast<double>(out_ + 1));
        limit_ = std::max(1.0 + kLeastOut * n / s_.gateways, used * 0.85);
        limit_cut_ = now;
    } else if (lateness_ <= kLatencyGoal && static_cast<double>(out_) > 0.8 * limit_) {
        limit_ = std::min(100.0 * n, limit_ + std::max(1.0, n / 4) / limit_);
    }
}

// Counts an attempt into, or out of, what is held to be in work.
void Gateway::Impl::load(Attempt& a, int by) {
    if (a.hung) return;
    out_ += by;
    if (const auto it = servers_.find(a.host); it != servers_.end()) it->second.out += by;
}

// An attempt far over its class's usual time at a server that answers others quickly hangs or was lost: it is
// no load (i632478: part of a class hung). Covers lossy links. Not while all is slow: then late attempts are
// load.
void Gateway::Impl::watch_attempts(TimePoint now) {
    for (auto& [id, r] : requests_) {
        if (r.attempts.empty() || r.attempts.back().ran != Ran::Out || r.streaming) continue;
        Attempt& a = r.attempts.back();
        if (a.hung || now - a.sent < kHungAfter * usual(r) || usual(r) > cls(r).aim / 7) continue;
        const auto it = servers_.find(a.host);
        if (it == servers_.end() || it->second.quiet_since < a.sent + 2 * usual(r)) continue;
        load(a, -1);
        a.hung = true;
    }
}

// Attempts far over their class's usual time, and what they say of their server.
void Gateway::Impl::watch_pace(TimePoint now) {
    for (auto& [id, r] : requests_) {
        if (r.attempts.empty() || r.attempts.back().ran != Ran::Out || r.streaming) continue;
        Attempt& a = r.attempts.back();
        if (now - a.sent < kSlowAfter * usual(r)) continue;
        const auto it = servers_.find(a.host);
        if (it == servers_.end()) continue;
        if (!std::exchange(a.slow, true)) note_pace(it->second, r.ask.class_index, true, now);
        if (stands_out(it->second, r.ask.class_index, now)) give_up_attempt(id, r, now);
    }
}

// Calls an attempt off where another may follow in time; the rest is decided on its outcome.
void Gateway::Impl::give_up_attempt(RequestId id, Request& r, TimePoint now) {
    Attempt& a = r.attempts.back();
    const ClassSettings& c = cls(r);
    if (a.ran != Ran::Out || a.stopped || r.streaming || !s_.may_cancel || c.repeat == Repeat::Unsafe) return;
    if (static_cast<int>(r.attempts.size()) >= s_.send_cap || retries_left_ < 1.0) return;
    if (c.repeat == Repeat::Keyed && now - r.attempts.front().sent + kBusyTick >= c.window) return;
    if (now + usual(r) > std::min(r.deadline, r.arrived + c.aim)) return;
    a.stopped = true;
    actions_->push_back(CancelAttempt{id, static_cast<int>(r.attempts.size()) - 1});
}

void Gateway::Impl::learn_latency(Server& v, const AttemptFinished& e, const Request& r, TimePoint now) {
    const double took = std::max(1e-4, seconds(e.took));
    double& usual = usual_[static_cast<std::size_t>(r.ask.class_index)];
    // The median: a few hung or costly attempts must not stretch what counts as usual.
    usual = usual == 0.0 ? took : usual * (took > usual ? 1.03 : 1.0 / 1.03);
    v.slowness = std::clamp(0.95 * v.slowness + 0.05 * std::min(5.0, took / usual), 0.5, 4.0);
    pressed(now, std::min(2.0, took / std::max(1e-3, seconds(cls(r).aim))));
}

void Gateway::Impl::finished(const AttemptFinished& e, TimePoint now) {
    const auto sit = servers_.find(e.host);
    Server* v = sit == servers_.end() ? nullptr : &sit->second;
    Request* r = find(e.request);
    if (v != nullptr) {
        heard(*v, e, now);
    }
    if (r == nullptr || e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= r->attempts.size()) return;
    Attempt& a = r->attempts[static_cast<std::size_t>(e.attempt)];
    if (a.ran != Ran::Out) return;
    load(a, -1);
    const bool never =
        e.outcome == Outcome::Full || e.outcome == Outcome::ConnectFailed || e.outcome == Outcome::NotSent;
    a.ran = never ? Ran::Never : Ran::Maybe;
    Customer& c = *r->of;
    --c.out;
    freed_ = &c;
    if (e.outcome == Outcome::Ok) {
        if (v != nullptr) learn_latency(*v, e, *r, now);
        if (v != nullptr && !a.slow) note_pace(*v, r->ask.class_index, false, now);
        // Squared locally; the ceiling goes by the guess.
        if (e.settled_units > 0.0 && s_.settles && !r->beyond) {
            c.quota.level -= e.settled_units - r->ask.units;
            active_.insert(r->ask.customer);
        }
    } else if (e.outcome == Outcome::Timeout && v != nullptr && v->quiet_since <= a.sent) {
        pressed(now, 1.5);    // nothing came back meanwhile; else it hung, and says nothing of the load
    }
    if (e.final || e.outcome == Outcome::Ok) return drop(*r);
    if (e.outcome == Outcome::NotSent) return finish(*r, now);
    after_failure(*r, now);
}

void Gateway::Impl::after_failure(Request& r, TimePoint now) {
    const ClassSettings& c = cls(r);
    const Duration left = (c.late_share > 0.0 ? r.deadline : std::min(r.deadline, r.arrived + c.aim)) - now;
    if (retries_left_ < 1.0 || left < usual(r)) return finish(r, now);
    if (std::none_of(by_draw_.begin(), by_draw_.end(), [&](Server* v) { return legal(r, v, now); }))
        return finish(r, now);
    retries_left_ -= 1.0;
    if (try_send(r, now)) return;
    r.hold_until = now + left / 2;
    hold(r, now);
}

// ---- timers ----

// Brings the next tick forward: a client may leave before an idle gateway's tick. Overtaken timers are
// ignored.
void Gateway::Impl::arm(TimePoint at) {
    if (next_tick_ <= at) return;
    next_tick_ = at;
    actions_->push_back(SetTimer{at, 0});
}

void Gateway::Impl::pump(TimePoint now) {
    std::set<CustomerId> blocked;    // in order within a customer
    for (auto it = held_.begin(); it != held_.end();) {
        Request& r = *(it++)->second;
        const CustomerId customer = r.ask.customer;
        if (!r.counted && now < r.hold_until && blocked.contains(customer)) continue;
        if (!go_on(r, now)) blocked.insert(customer);
    }
}

// After an answer: what is held for room, and for units of its customer. The others' turn is at the tick.
void Gateway::Impl::pump_freed(TimePoint now) {
    for (auto it = for_room_.begin(); it != for_room_.end() && static_cast<double>(out_) < limit_;)
        go_on(*(it++)->second, now);
    while (freed_ != nullptr && !freed_->queue.empty()) {
        if (!go_on(*freed_->queue.begin()->second, now)) break;
    }
}

// Ends, sends or holds on. False where it is held for units.
bool Gateway::Impl::go_on(Request& r, TimePoint now) {
    if (now >= r.hold_until) return finish(r, now), true;
    const bool units = has_units(r, *r.of, now);
    wait_for_units(r, !units);
    if (units && !try_send(r, now)) wait_for_room(r, now);
    return units;
}

void Gateway::Impl::expire(TimePoint now) {
    if (now < next_expire_) return;
    next_expire_ = now + 1s;
    std::set<CustomerId> held;    // those held for room too, which the customer does not count
    for (const auto& [turn, r] : held_) held.insert(r->ask.customer);
    for (auto it = customers_.begin(); it != customers_.end();) {
        Customer& c = it->second;
        const bool old = now - c.used >= kIdleCustomer || customers_.size() >= kMostCustomers / 2;
        refill(c, now);
        const bool full = c.quota.level >= c.quota.cap && c.ceiling.level >= c.ceiling.cap && c.lent.empty();
        it = old && full && c.out == 0 && !held.contains(it->first) ? customers_.erase(it) : std::next(it);
    }
}

void Gateway::Impl::tick(TimePoint now) {
    if (now < next_tick_) return;
    next_tick_ = TimePoint::max();
    if (ask_list_at_ != TimePoint{} && now >= ask_list_at_) {
        ask_list_at_ = TimePoint{};
        actions_->push_back(Subscribe{});
    }
    if (now >= next_sweep_) {
        next_sweep_ = now + kSweepEvery;
        feed_cold(now);
        watch_servers(now);
        watch_attempts(now);
        watch_pace(now);
    }
    pump(now);
    tell_neighbours(now);
    expire(now);
    arm(now + (held_.empty() && out_ == 0 ? kIdleTick : kBusyTick));
}

// ---- dispatch ----

void Gateway::Impl::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    actions_ = &actions;
    if (!started_) {
        started_ = true;
        boot_ = warm_seen_ = slot_seen_ = now;
        mail_at_ = now - 2 * kAlone;
        if (s_.ask_for_list) actions.push_back(Subscribe{});
        arm(now + kBusyTick);
    }
    std::visit(
        Overloaded{[&](const RequestArrived& e) { arrive(e, now); },
                   [&](const AttemptFinished& e) { finished(e, now); },
                   [&](const AttemptStarted& e) { begun(e); }, [&](const RequestAborted& e) { aborted(e); },
                   [&](const ProbeFinished& e) { probe_heard(e, now); },
                   [&](const HostList& e) { list_heard(e, now); },
                   [&](const PeerBytes& e) { peer_heard(e, now); },
                   [&](const Allowance& e) { allowed(e, now); }, [&](const TimerFired&) { tick(now); }},
        event);
    const bool freed = std::holds_alternative<AttemptFinished>(event);
    if (freed && held_.size() > kFewHeld) pump_freed(now);
    else if (!held_.empty() && (freed || std::holds_alternative<PeerBytes>(event))) pump(now);
    freed_ = nullptr;
}

}    // namespace valehall
