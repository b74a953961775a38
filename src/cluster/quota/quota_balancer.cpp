#include "cluster/quota/quota_balancer.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "cluster/quota/message.h"
#include "cluster/quota/tenant_bucket.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

constexpr Duration kAskAgain = 30ms;    // a neighbour that was asked in vain
constexpr Duration kLongestHeld =
    120s;                             // an echo of what was heard longer ago says too little of a gift's age
constexpr Duration kPeerKept = 2s;    // what was heard of a pilot that is no neighbour any more
constexpr Duration kSweep = 4s;       // between two looks for stores to forget
constexpr Duration kIdle = 5s;        // a full store that was not touched for so long is forgotten
constexpr Duration kLongestRetry = 1s;
constexpr Duration kUnconfirmedRetry = 500ms;
constexpr Duration kWakeAgain = 10ms;
constexpr double kTell = 0.4;             // of a full store: smaller changes are not told
constexpr double kChance = 1.0 / 16.0;    // that a gap of one unit is moved after all
constexpr std::size_t kSmallRing = 16;    // up to so many pilots, the nearest are enough
constexpr std::size_t kMostStores = 50'000;
constexpr std::size_t kMostGone = 65'536;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration after(double s) {
    return s < 1e6 ? Duration(static_cast<std::int64_t>(std::ceil(s * 1e6))) : Duration(1'000'000'000'000);
}
double parts_down(double units) { return std::floor(units * kParts) / kParts; }

// How far away on the ring the neighbours are. In a large fleet a tenant's requests come to few pilots, far
// from most units; so there are further ones at growing distances, over which units travel in a few steps.
std::vector<std::size_t> distances(std::size_t n) {
    std::vector<std::size_t> all;
    const auto add = [&](std::size_t d) {
        if (d >= 1 && d <= n / 2 && (all.empty() || d > all.back())) all.push_back(d);
    };
    for (std::size_t d = 1; d <= kNearest; ++d) add(d);
    if (n <= kSmallRing) return all;
    const double step = std::pow(static_cast<double>(n) / 2.0 / kNearest, 1.0 / (kFurther + 0.5));
    double d = kNearest;
    for (int i = 0; i < kFurther; ++i) add(static_cast<std::size_t>(std::lround(d *= step)));
    return all;
}

struct Limit {    // of one tenant; kept for all of them, so it is small
    std::uint64_t id = 0;
    float rate = 0.0F, burst = 0.0F;
    double base = 0.0;    // the flow at which its store would have been empty; 0: the life's beginning
};

struct Peer {
    std::string address;
    std::uint64_t life = 0, sequence = 0, stamp = 0;    // as heard; life 0: never
    TimePoint heard_at{}, sent_at{};
    bool rush = false;    // a request waits for the next message to it
};

struct Draft {
    std::uint32_t store = 0;
    Entry entry;
    double weight = 0.0;
};

}    // namespace

class Tide::Impl {
public:
    // Nothing refills at first: until an earlier life's gifts have ended.
    Impl(Settings settings, TimePoint now)
        : s_(std::move(settings)), random_(s_.seed ^ s_.life), flow_(now + kHold), swept_(now) {}

    void quotas(const std::map<std::string, Quota>& by_tenant, TimePoint now);
    void peers(Peers peers, TimePoint now);
    Ruling ask(const std::string& tenant, Duration patience, TimePoint now, Duration& retry_after);
    void waits(const std::string& tenant, int requests);
    void give_back(const std::string& tenant, TimePoint now);
    void heard(const std::string& from, std::string_view bytes, TimePoint now, Actions& out);
    void tick(TimePoint now, Actions& out);
    TimePoint next() const;
    double free(const std::string& tenant, TimePoint now) const;
    Counts counts() const {
        Counts c = counts_;
        c.stores = index_.size();
        return c;
    }

private:
    double allowed(double rate, double burst) const {    // B of store.h
        return burst + 0.5 * ((rate * seconds(s_.window) + burst) * s_.overshoot + s_.slack);
    }
    void advance(TimePoint now);
    double reckon(const Limit& limit, const Flow& flow) const;
    Limit* limit(std::uint64_t id);
    Store* find(std::uint64_t id);
    Store* meet(std::uint64_t id);    // null: no such tenant, or without a limit, or too many stores
    void forget(std::uint32_t place);
    void drain();
    void list(Store& s);
    bool known(const Peer& p, TimePoint now) const { return p.life != 0 && now - p.heard_at <= kLongestHeld; }
    double share(const Store& s) const { return s.rate * flow_.part(); }
    double grain(const Store& s) const { return std::clamp(s.cap / 8.0, 1.0 / kParts, 1.0); }
    double theirs(const Store& s, const Towards& n, TimePoint now) const;
    double told(const Store& s, const Towards& n, TimePoint now) const;
    double obtainable(const Store& s, const Towards& n, double free, TimePoint now) const;
    double want(const Store& s, int k, TimePoint now) const;
    double gift(Store& s, int k, TimePoint now);
    void plan(Store& s, TimePoint now);
    bool draft(Store& s, int k, TimePoint now, Draft& d);
    void send(int k, TimePoint now, Actions& out, bool always);
    void flush(TimePoint now, Actions& out);
    void wake(Store& s, TimePoint now, Actions& out);
    void sweep(TimePoint now);

    Settings s_;
    std::mt19937_64 random_;
    Flow flow_;
    double zero_ = 0.0;                                // the flow when all stores were empty
    double shrunk_ = 0.0, shrunk_part_ = 0.0;          // the flow when the divisor last became smaller,
    bool drained_ = true;                              // and the least part before
    std::vector<Limit> limits_;                        // sorted by id
    boost::unordered_flat_set<std::uint64_t> gone_;    // tenants that left in this life, or had no limit
    double gone_base_ = 0.0;                           // where that set was too small: nobody new has more
    std::vector<Store> stores_;
    std::vector<std::uint32_t> unused_;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> index_;
    std::vector<std::uint32_t> listed_, waiting_;
    std::vector<Peer> near_;    // neighbours; a store's near goes by their places
    std::vector<Peer> former_;
    std::vector<std::string> ring_;
    std::vector<Draft> drafts_;
    std::uint64_t sequence_ = 0;
    TimePoint routine_ = TimePoint::max(), swept_{};
    bool ask_now_ = false;
    Counts counts_;
};

// ---- time, tenants, stores ----

void Tide::Impl::advance(TimePoint now) {
    flow_.advance(now);
    if (!drained_ && flow_.now() >= flow_.until()) drain();
}

void Tide::Impl::drain() {
    zero_ = flow_.sum();
    drained_ = true;
    for (const auto& [id, place] : index_) {
        Store& s = stores_[place];
        s.settle(flow_);
        s.drain();
    }
}

// What a tenant without a store has: as if it had had one all the time.
double Tide::Impl::reckon(const Limit& l, const Flow& flow) const {
    const double size = allowed(l.rate, l.burst);
    double level = l.rate * (flow.sum() - std::max(zero_, l.base));
    if (shrunk_part_ > 0.0) level = std::min(level, size * shrunk_part_ + l.rate * (flow.sum() - shrunk_));
    return std::clamp(level, 0.0, size * flow.part());
}

Limit* Tide::Impl::limit(std::uint64_t id) {
    const auto it = std::lower_bound(limits_.begin(), limits_.end(), id,
                                     [](const Limit& l, std::uint64_t v) { return l.id < v; });
    return it != limits_.end() && it->id == id ? &*it : nullptr;
}

Store* Tide::Impl::find(std::uint64_t id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &stores_[it->second];
}

Store* Tide::Impl::meet(std::uint64_t id) {
    if (Store* s = find(id)) {
        s->settle(flow_);
        return s;
    }
    const Limit* const l = limit(id);
    if (l == nullptr || l->rate <= 0.0F || index_.size() >= kMostStores) return nullptr;
    std::uint32_t place = static_cast<std::uint32_t>(stores_.size());
    if (unused_.empty()) {
        stores_.emplace_back();
    } else {
        place = unused_.back();
        unused_.pop_back();
    }
    index_[id] = place;
    Store& s = stores_[place] = Store{};
    s.id = id;
    s.used = true;
    s.rate = l->rate;
    s.size = allowed(l->rate, l->burst);
    s.level = reckon(*l, flow_);
    s.at = flow_.sum();
    s.cap = s.size * flow_.part();
    s.touched = flow_.now();
    return &s;
}

void Tide::Impl::forget(std::uint32_t place) {
    index_.erase(stores_[place].id);
    stores_[place] = Store{};
    unused_.push_back(place);
}

void Tide::Impl::list(Store& s) {
    if (s.listed || near_.empty()) return;
    s.listed = true;
    listed_.push_back(static_cast<std::uint32_t>(&s - stores_.data()));
    if (routine_ == TimePoint::max()) {
        TimePoint due = flow_.now();    // the first moment at which any neighbour may get a message
        TimePoint first = TimePoint::max();
        for (const Peer& p : near_) first = std::min(first, p.sent_at + s_.every);
        routine_ = std::max(due, first);
    }
}

void Tide::Impl::quotas(const std::map<std::string, Quota>& by_tenant, TimePoint now) {
    advance(now);
    std::vector<Limit> fresh;
    fresh.reserve(by_tenant.size());
    for (const auto& [name, quota] : by_tenant)
        fresh.push_back({tenant_id(name), static_cast<float>(std::max(0.0, quota.rate)),
                         static_cast<float>(std::max(0.0, quota.burst)), 0.0});
    std::sort(fresh.begin(), fresh.end(), [](const Limit& a, const Limit& b) { return a.id < b.id; });
    auto old = limits_.begin();
    const auto leave = [this](std::uint64_t id) {
        if (gone_.size() < kMostGone) {
            gone_.insert(id);
        } else {
            gone_base_ = flow_.sum();
        }
        if (const auto it = index_.find(id); it != index_.end()) stores_[it->second].used = false;
    };
    for (Limit& l : fresh) {
        for (; old != limits_.end() && old->id < l.id; ++old) leave(old->id);
        const bool was = old != limits_.end() && old->id == l.id;
        if (l.rate <= 0.0F) {
            leave(l.id);
        } else if (!was || old->rate <= 0.0F) {
            l.base = gone_.contains(l.id) ? flow_.sum() : gone_base_;
        } else if (old->rate == l.rate && old->burst == l.burst) {
            l.base = old->base;
        } else {    // holds what it held, as far as that is still allowed
            const double level = std::min(reckon(*old, flow_), allowed(l.rate, l.burst) * flow_.part());
            l.base = flow_.sum() - level / l.rate;
        }
        if (was) ++old;
    }
    for (; old != limits_.end(); ++old) leave(old->id);
    limits_ = std::move(fresh);

    std::vector<std::uint32_t> over;
    for (const auto& [id, place] : index_) {
        Store& s = stores_[place];
        s.settle(flow_);
        const Limit* const l = limit(id);
        if (l == nullptr || l->rate <= 0.0F) {
            over.push_back(place);
        } else if (const double size = allowed(l->rate, l->burst); s.rate != l->rate || s.size != size) {
            s.rate = l->rate;
            s.size = size;
            s.settle(flow_);
            list(s);
        }
    }
    for (const std::uint32_t place : over) {
        // Those who wait ask again and find no limit; what is listed is looked up by place, so it goes first.
        std::erase(listed_, place);
        std::erase(waiting_, place);
        forget(place);
    }
}

void Tide::Impl::peers(Peers peers, TimePoint now) {
    advance(now);
    const double part = flow_.part();
    const bool changes = peers.divisor > 0 && part > 0.0 && 1.0 / peers.divisor != part;
    if (changes)
        for (const auto& [id, place] : index_) stores_[place].settle(flow_);
    if (changes && 1.0 / peers.divisor > part) {
        shrunk_part_ = shrunk_part_ > 0.0 ? std::min(shrunk_part_, part) : part;
        shrunk_ = flow_.sum();
    }
    flow_.set(peers.divisor, peers.refill_until, now);
    if (flow_.flows(now)) drained_ = false;
    if (changes)
        for (const auto& [id, place] : index_) stores_[place].settle(flow_);

    if (peers.ring == ring_) return;
    ring_ = std::move(peers.ring);
    const auto me = std::lower_bound(ring_.begin(), ring_.end(), s_.me);
    std::vector<std::string> names;
    if (me != ring_.end() && *me == s_.me) {
        const std::size_t n = ring_.size(), at = static_cast<std::size_t>(me - ring_.begin());
        for (const std::size_t d : distances(n))
            for (const std::size_t i : {(at + d) % n, (at + n - d) % n})
                if (i != at && std::find(names.begin(), names.end(), ring_[i]) == names.end())
                    names.push_back(ring_[i]);
    }
    // Each store's notes follow the neighbours to their new places.
    std::vector<Peer> fresh;
    std::vector<int> from;
    for (const std::string& name : names) {
        const auto is = [&](const Peer& p) { return p.address == name; };
        const auto was = std::find_if(near_.begin(), near_.end(), is);
        const auto former = std::find_if(former_.begin(), former_.end(), is);
        from.push_back(was != near_.end() ? static_cast<int>(was - near_.begin()) : -1);
        fresh.push_back(was != near_.end()        ? *was
                        : former != former_.end() ? *former
                                                  : Peer{.address = name});
        if (former != former_.end()) former_.erase(former);
    }
    std::erase_if(former_, [&](const Peer& p) { return now - p.heard_at > kPeerKept; });
    for (Peer& p : near_)
        if (std::find(names.begin(), names.end(), p.address) == names.end()) former_.push_back(std::move(p));
    near_ = std::move(fresh);
    for (const auto& [id, place] : index_) {
        Store& s = stores_[place];
        const auto old = s.near;
        s.near = {};
        for (std::size_t k = 0; k < from.size(); ++k)
            if (from[k] >= 0) s.near[k] = old[static_cast<std::size_t>(from[k])];
        list(s);
    }
}

// ---- what may be expected of neighbours ----

// A neighbour's free amount by what it told and what it has refilled since; one that has more requests than
// units refills nothing that would last. One that told nothing is full.
double Tide::Impl::theirs(const Store& s, const Towards& n, TimePoint now) const {
    if (!n.known) return s.cap;
    if (n.pressed || n.heard >= s.cap) return n.heard;
    return std::min(s.cap, n.heard + share(s) * seconds(now - n.heard_at));
}

// The same, of ours, as the neighbour sees it.
double Tide::Impl::told(const Store& s, const Towards& n, TimePoint now) const {
    if (!n.knows) return s.cap;
    if (n.told_pressed || n.told >= s.cap) return n.told;
    return std::min(s.cap, n.told + share(s) * seconds(now - n.told_at));
}

// What it would give if asked: half of the gap, of what it has.
double Tide::Impl::obtainable(const Store& s, const Towards& n, double free, TimePoint now) const {
    const double its = theirs(s, n, now);
    if (its < 0.5 * grain(s)) return 0.0;
    return std::clamp(0.5 * (its - free), 0.0, its);
}

// How much one neighbour may give unasked: the room here, divided by what they seem to have above us. So
// those who give at the same time do not fill the store over its brim.
double Tide::Impl::want(const Store& s, int k, TimePoint now) const {
    const double room = s.cap - s.held() - s.free();
    if (room <= 0.0) return 0.0;
    const auto weight = [&](int i) {
        return std::max(0.0, theirs(s, s.near[static_cast<std::size_t>(i)], now) - s.free()) + s.cap / 8.0;
    };
    double sum = 0.0;
    for (int i = 0; i < static_cast<int>(near_.size()); ++i) sum += weight(i);
    return sum > 0.0 ? room * weight(k) / sum : 0.0;
}

// The richer moves the rounded-up half of the gap; a gap of one grain moves by a small chance.
double Tide::Impl::gift(Store& s, int k, TimePoint now) {
    const Towards& n = s.near[static_cast<std::size_t>(k)];
    const Peer& p = near_[static_cast<std::size_t>(k)];
    if (!n.known || n.want <= 0.0F || !known(p, now) || !flow_.flows(now)) return 0.0;
    const double have = std::min(s.level, s.free());
    if (have <= 0.0) return 0.0;
    const double gap = s.free() - theirs(s, n, now), unit = grain(s);
    double amount = 0.0;
    if (gap > unit) {
        amount = std::ceil(gap / 2.0 / unit) * unit;
    } else if (gap > unit / 2.0 && std::uniform_real_distribution<>(0.0, 1.0)(random_) < kChance) {
        amount = unit / 2.0;
    }
    return std::max(0.0, parts_down(std::min({amount, have, static_cast<double>(n.want)})));
}

// Requests wait: the richest neighbours are asked, as few as make the need good if one of them fails.
void Tide::Impl::plan(Store& s, TimePoint now) {
    if (now < s.plan_at) return;
    s.plan_at = now + kAskAgain;
    double need = s.waiting - s.units();
    if (need <= 0.0) return;
    std::array<std::pair<double, int>, kMostNeighbours> by{};
    int count = 0;
    for (int k = 0; k < static_cast<int>(near_.size()); ++k) {
        const Towards& n = s.near[static_cast<std::size_t>(k)];
        if (now < n.asked_at + kAskAgain) {
            need -= n.asked;
        } else if (const double g = obtainable(s, n, s.free(), now); g > 0.0) {
            std::size_t at = static_cast<std::size_t>(count++);    // the richest first
            for (; at > 0 && by[at - 1].first < g; --at) by[at] = by[at - 1];
            by[at] = {g, k};
        }
    }
    if (need <= 0.0) return;
    double sum = 0.0;
    int n = 0;
    while (n < count && (n < 2 || sum - by[0].first < need)) sum += by[static_cast<std::size_t>(n++)].first;
    const double without = sum - by[0].first;
    const double more = need + s.demand * seconds(s_.every);    // and the next ones of this pace
    const double part = without > more ? more / without : 1.0;
    for (int i = 0; i < n; ++i) {
        const auto [g, k] = by[static_cast<std::size_t>(i)];
        s.near[static_cast<std::size_t>(k)].ask = static_cast<float>(g * part + 1.0 / kParts);
        near_[static_cast<std::size_t>(k)].rush = true;
    }
    if (n > 0) list(s);
}

// ---- messages ----

bool Tide::Impl::draft(Store& s, int k, TimePoint now, Draft& d) {
    Towards& n = s.near[static_cast<std::size_t>(k)];
    const double free = s.free(), unit = grain(s);
    const bool pressed = s.pressed(now);
    const double amount = gift(s, k, now);
    const double change = std::fabs(free - amount - (n.knows || free < s.cap ? told(s, n, now) : free));
    const bool asks = n.ask > 0.0F;
    if (!asks && amount <= 0.0 && change <= std::max(unit, kTell * s.cap) &&
        !(n.knows && n.told_pressed != pressed))
        return false;
    d.entry.tenant = s.id;
    d.entry.gift = static_cast<float>(amount);
    d.entry.urgent = asks;
    d.entry.pressed = pressed;
    d.weight = (asks ? 1e6 : 0.0) + (amount > 0.0 ? 1e3 * (1.0 + amount / s.cap) : 0.0) + change / s.cap;
    return true;
}

// All that this neighbour has to be told, the most pressing first.
void Tide::Impl::send(int k, TimePoint now, Actions& out, bool always) {
    Peer& p = near_[static_cast<std::size_t>(k)];
    drafts_.clear();
    for (const std::uint32_t place : listed_) {
        Draft d;
        d.store = place;
        stores_[place].settle(flow_);
        if (draft(stores_[place], k, now, d)) drafts_.push_back(d);
    }
    if (drafts_.empty() && !always) return;
    if (drafts_.size() > kMostEntries) {
        std::nth_element(drafts_.begin(), drafts_.begin() + kMostEntries, drafts_.end(),
                         [](const Draft& a, const Draft& b) { return a.weight > b.weight; });
        drafts_.resize(kMostEntries);
    }
    const auto micros = [](TimePoint t) { return static_cast<std::uint64_t>(t.time_since_epoch().count()); };
    Message m;
    m.life = s_.life;
    m.sequence = ++sequence_;
    m.stamp = micros(now);
    if (known(p, now)) {
        m.echo_life = p.life;
        m.echo = p.stamp;
        m.held = static_cast<std::uint64_t>((now - p.heard_at).count());
    }
    for (Draft& d : drafts_) {
        Store& s = stores_[d.store];
        Towards& n = s.near[static_cast<std::size_t>(k)];
        const double amount = d.entry.gift;
        if (amount > 0.0) {
            s.give(amount, now);
            n.heard = static_cast<float>(theirs(s, n, now) + amount);
            n.heard_at = now;
            n.want -= static_cast<float>(amount);
            counts_.given += amount;
        }
        d.entry.free = static_cast<float>(s.free());
        d.entry.want = n.ask > 0.0F ? n.ask : static_cast<float>(want(s, k, now));
        if (n.ask > 0.0F) {    // it is taken to give that
            n.heard = static_cast<float>(std::max(0.0, theirs(s, n, now) - n.ask));
            n.heard_at = now;
            n.known = true;
            n.asked_at = now;
            n.asked = n.ask;
            n.ask = 0.0F;
        }
        n.knows = true;
        n.told = d.entry.free;
        n.told_at = now;
        n.told_pressed = d.entry.pressed;
        m.entries.push_back(d.entry);
    }
    p.sent_at = now;
    p.rush = false;
    out.sends.push_back({p.address, encode(m)});
    ++counts_.sent;
    counts_.sent_bytes += out.sends.back().bytes.size();
}

void Tide::Impl::flush(TimePoint now, Actions& out) {
    for (int k = 0; k < static_cast<int>(near_.size()); ++k) {
        const Peer& p = near_[static_cast<std::size_t>(k)];
        if (p.rush && now >= p.sent_at + s_.rush) send(k, now, out, false);
        if (now >= p.sent_at + s_.rush) near_[static_cast<std::size_t>(k)].rush = false;
    }
}

void Tide::Impl::wake(Store& s, TimePoint now, Actions& out) {
    if (s.waiting <= 0 || s.name.empty() || s.units() < 1.0 - 1e-9 || now < s.woken_at + kWakeAgain) return;
    if (!flow_.flows(now)) return;
    s.woken_at = now;
    out.woken.push_back(s.name);
}

void Tide::Impl::heard(const std::string& from, std::string_view bytes, TimePoint now, Actions& out) {
    advance(now);
    const auto at =
        std::find_if(near_.begin(), near_.end(), [&](const Peer& p) { return p.address == from; });
    const leaf::result<Message> read = decode(bytes);
    if (!read || at == near_.end()) {
        ++counts_.kept_out;
        return;
    }
    const Message& m = read.value();
    Peer& p = *at;
    if (m.life < p.life || (m.life == p.life && m.sequence <= p.sequence) || m.life == 0) {
        ++counts_.kept_out;
        return;
    }
    ++counts_.heard;
    p.life = m.life;
    p.sequence = m.sequence;
    p.stamp = m.stamp;
    p.heard_at = now;
    const std::size_t k = static_cast<std::size_t>(at - near_.begin());
    // How old a gift is at most: what it echoes was sent here, travelled, lay there, and travelled back.
    const auto mine = TimePoint(Duration(static_cast<std::int64_t>(m.echo)));
    const Duration lay(static_cast<std::int64_t>(std::min<std::uint64_t>(m.held, 1'000'000'000)));
    const TimePoint given_at = mine + lay;
    const bool takes = m.echo_life == s_.life && lay <= kLongestHeld && mine <= now &&
                       now - given_at <= kGiftAge && flow_.flows(now);
    for (const Entry& e : m.entries) {
        Store* const s = meet(e.tenant);
        if (s == nullptr) {
            ++counts_.kept_out;
            continue;
        }
        Towards& n = s->near[k];
        if (e.gift > 0.0F) {
            if (takes) {
                s->receive(e.gift, given_at + kHold);
                counts_.taken += e.gift;
                n.told += e.gift;    // as it reckons
            } else {
                ++counts_.late_gifts;
            }
        }
        n.known = true;
        n.heard = e.free;
        n.heard_at = now;
        n.pressed = e.pressed;
        n.want = e.want;
        n.asked_at = TimePoint{};
        if (e.urgent) {
            if (gift(*s, static_cast<int>(k), now) > 0.0) {
                p.rush = true;
            } else {
                n.knows = true;    // it expects too much of us
                n.told = static_cast<float>(s->cap + 2.0);
                n.told_pressed = false;
            }
        }
        list(*s);
        wake(*s, now, out);
    }
    flush(now, out);
}

// ---- requests ----

Ruling Tide::Impl::ask(const std::string& tenant, Duration patience, TimePoint now, Duration& retry_after) {
    advance(now);
    const std::uint64_t id = tenant_id(tenant);
    Store* const found = meet(id);
    if (found == nullptr) {
        const Limit* const l = limit(id);
        if (l == nullptr || l->rate <= 0.0F) return Ruling::Granted;
        retry_after = kUnconfirmedRetry;    // too many stores
        ++counts_.refused;
        return Ruling::Refused;
    }
    Store& s = *found;
    if (s.name.empty()) s.name = tenant;
    s.demand = s.demand * std::max(0.0, 1.0 - seconds(now - s.touched)) + 1.0;
    s.touched = now;
    if (!flow_.flows(now)) {
        retry_after = kUnconfirmedRetry;
        ++counts_.refused;
        return Ruling::Refused;
    }
    if (s.take()) {
        list(s);
        ++counts_.granted;
        return Ruling::Granted;
    }
    s.short_at = now;
    list(s);
    const double need = 1.0 + s.waiting - s.units(), rate = share(s);
    double hope = rate * seconds(patience);
    for (std::size_t k = 0; k < near_.size() && hope < need; ++k) {
        const Towards& n = s.near[k];
        hope += (now < n.asked_at + kAskAgain ? n.asked : 0.0) + obtainable(s, n, s.free() - 1.0, now);
    }
    const Duration due = after(need / rate);
    if (hope >= need) {
        ask_now_ = true;
        s.plan_at = now;
        retry_after = std::min(due, kLongestRetry);
        ++counts_.waited;
        return Ruling::Wait;
    }
    // Each that is refused gets a moment of its own, as far as that makes sense.
    s.slot = std::max(s.slot + after(1.0 / rate), now + due);
    if (s.slot > now + kLongestRetry) s.slot = now + std::min(due, kLongestRetry);
    retry_after = s.slot - now;
    ++counts_.refused;
    return Ruling::Refused;
}

void Tide::Impl::waits(const std::string& tenant, int requests) {
    const auto it = index_.find(tenant_id(tenant));
    if (it == index_.end()) return;
    Store& s = stores_[it->second];
    const bool was = s.waiting > 0;
    s.waiting = std::max(0, s.waiting + requests);
    if (s.waiting > 0 && !was) waiting_.push_back(it->second);
    if (s.waiting == 0 && was) std::erase(waiting_, it->second);
}

void Tide::Impl::give_back(const std::string& tenant, TimePoint now) {
    advance(now);
    Store* const s = find(tenant_id(tenant));
    if (s == nullptr || !flow_.flows(now)) return;
    s->settle(flow_);
    s->level += std::clamp(s->cap - s->held() - s->level, 0.0, 1.0);
    list(*s);
    if (s->waiting > 0) ask_now_ = true;
}

void Tide::Impl::tick(TimePoint now, Actions& out) {
    advance(now);
    ask_now_ = false;
    for (const std::uint32_t place : waiting_) {
        Store& s = stores_[place];
        s.settle(flow_);
        wake(s, now, out);
        plan(s, now);
    }
    flush(now, out);
    if (now >= routine_) {
        bool all = true;
        for (int k = 0; k < static_cast<int>(near_.size()); ++k) {
            if (now >= near_[static_cast<std::size_t>(k)].sent_at + s_.every) {
                send(k, now, out, false);
            } else {
                all = false;
            }
        }
        std::erase_if(listed_, [&](std::uint32_t place) {
            Store& s = stores_[place];
            if (!all || s.pressed(now)) return false;
            Draft d;
            for (int k = 0; k < static_cast<int>(near_.size()); ++k)
                if (draft(s, k, now, d)) return false;
            s.listed = false;
            return true;
        });
        routine_ = listed_.empty() ? TimePoint::max() : now + s_.every;
    }
    if (now >= swept_ + kSweep) sweep(now);
}

void Tide::Impl::sweep(TimePoint now) {
    swept_ = now;
    std::vector<std::uint32_t> idle;
    for (const auto& [id, place] : index_) {
        Store& s = stores_[place];
        if (s.listed || s.waiting > 0 || now < s.touched + kIdle) continue;
        s.settle(flow_);
        if (s.held() > 0.0 || s.level < s.cap * (1.0 - 1e-6)) continue;
        idle.push_back(place);
    }
    for (const std::uint32_t place : idle) forget(place);
}

TimePoint Tide::Impl::next() const {
    if (ask_now_) return flow_.now();
    TimePoint due = routine_;
    for (const Peer& p : near_)
        if (p.rush) due = std::min(due, p.sent_at + s_.rush);
    for (const std::uint32_t place : waiting_) {
        const Store& s = stores_[place];
        const double rate = share(s);
        if (rate > 0.0 && flow_.flows(flow_.now()))
            due = std::min(due, std::max(s.woken_at + kWakeAgain,
                                         flow_.now() + after(std::max(0.0, 1.0 - s.units()) / rate)));
        due = std::min(due, s.plan_at);
    }
    if (!index_.empty()) due = std::min(due, swept_ + kSweep);
    return due;
}

double Tide::Impl::free(const std::string& tenant, TimePoint now) const {
    Flow flow = flow_;    // looking changes nothing
    flow.advance(now);
    if (now >= flow.until()) return 0.0;
    const std::uint64_t id = tenant_id(tenant);
    if (const auto it = index_.find(id); it != index_.end()) {
        Store s = stores_[it->second];
        s.settle(flow);
        return s.units();
    }
    const Limit* const l = const_cast<Impl*>(this)->limit(id);
    return l == nullptr ? 0.0 : reckon(*l, flow);
}

Tide::Tide(Settings settings, TimePoint now) : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
Tide::Tide(const Tide& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
Tide::Tide(Tide&&) noexcept = default;
Tide& Tide::operator=(Tide&&) noexcept = default;
Tide::~Tide() = default;
void Tide::quotas(const std::map<std::string, Quota>& by_tenant, TimePoint now) {
    impl_->quotas(by_tenant, now);
}
void Tide::peers(Peers peers, TimePoint now) { impl_->peers(std::move(peers), now); }
Ruling Tide::ask(const std::string& tenant, Duration patience, TimePoint now, Duration& retry_after) {
    return impl_->ask(tenant, patience, now, retry_after);
}
void Tide::waits(const std::string& tenant, int requests) { impl_->waits(tenant, requests); }
void Tide::give_back(const std::string& tenant, TimePoint now) { impl_->give_back(tenant, now); }
void Tide::heard(const std::string& from, std::string_view bytes, TimePoint now, Actions& out) {
    impl_->heard(from, bytes, now, out);
}
void Tide::tick(TimePoint now, Actions& out) { impl_->tick(now, out); }
TimePoint Tide::next() const { return impl_->next(); }
double Tide::free(const std::string& tenant, TimePoint now) const { return impl_->free(tenant, now); }
Counts Tide::counts() const { return impl_->counts(); }

}    // namespace shaletray::quota
