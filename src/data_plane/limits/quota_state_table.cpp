#include "data_plane/limits/quota_state_table.h"

#include <algorithm>
#include <cmath>

namespace shaletray::limits {
namespace {

using namespace std::chrono_literals;

// A holder stops this much before the giver counts on it: for clocks that run unlike, and for a busy turn.
constexpr double kClockDrift = 0.02;
constexpr Duration kTurnMargin = 50ms;
constexpr int kRenewsPerLease = 4;       // rows of customers in use are written anew so often in a lease
constexpr int kOverdueEighths = 3;       // of a lease: by then a row should have come
constexpr int kFreshPart = 2;            // of a lease: who was not heard for so long is not leased to
constexpr int kWantedWindows = 5;        // demand windows after the last request, in which rows go on
constexpr Duration kStill = 3s;          // without news of a customer, after which its rows are read less
constexpr Duration kForget = 30s;        // after the last request, once nothing is owed any more
constexpr double kBaseWeight = 0.05;     // of an even part of the rate: a foot in the door for new traffic
constexpr double kShift = 0.02;          // of a baseline: smaller moves are not worth what they lose,
constexpr double kCalmShift = 0.12;      // and while no store of the quota runs low, neither are these
constexpr double kLow = 0.5;             // of a store: below it, it runs low
constexpr double kPressed = 0.8;         // of the rate that is owned: who asks for more needs the others
constexpr double kDemandShift = 0.25;    // told anew before its time where it moved by this part of itself,
constexpr double kDemandStep = 0.3;      // and by so many units a second, or by this part of the plan's rate
constexpr double kDemandPart = 0.1;
constexpr int kLongestWindow = 4;    // demand windows, over which a deep store's demand is averaged
constexpr double kStay = 3.0;        // advantage in weight of those who hold a small ceiling already
constexpr double kSmall = 2.0;       // largest requests in an even part of a ceiling: below it, it is small

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}    // namespace

void LedgerSettings::check() const {
    using decision::BadSettings;
    if (gateways < 1 || me < 0 || me >= gateways) throw BadSettings("ledger: own number out of range");
    if (plans.empty()) throw BadSettings("ledger: no plans");
    if (incarnation == 0) throw BadSettings("ledger: the incarnation must be above 0");
    if (lease < 500ms || lease > 10min) throw BadSettings("ledger: lease must be 500 ms to 10 min");
    if (!(reserve >= 0.0 && reserve < 1.0)) throw BadSettings("ledger: reserve must be 0 to below 1");
    if (!(alone_share >= 0.0 && alone_share <= 1.0)) throw BadSettings("ledger: alone_share must be 0 to 1");
    if (alone_after < Duration(0)) throw BadSettings("ledger: negative alone_after");
    if (demand_window < 100ms) throw BadSettings("ledger: demand_window must be 100 ms or more");
    if (!(most_units > 0.0)) throw BadSettings("ledger: most_units must be above 0");
}

void Ledger::Bucket::refill(TimePoint now) {
    if (now > touched) level = std::min(std::max(level, cap), level + rate * seconds(now - touched));
    touched = std::max(touched, now);
}

Ledger::Ledger(LedgerSettings settings, TimePoint now)
    : s_(std::move(settings)),
      boot_(now),
      hold_(Duration(static_cast<std::int64_t>(static_cast<double>(s_.lease.count()) * (1.0 - kClockDrift))) -
            kTurnMargin) {
    s_.check();
    news_.incarnation = s_.incarnation;
}

// ---- a customer ----

Ledger::Customer* Ledger::find(CustomerId id) {
    const auto it = customers_.find(id);
    return it == customers_.end() ? nullptr : &it->second;
}

const Ledger::Customer* Ledger::find(CustomerId id) const {
    const auto it = customers_.find(id);
    return it == customers_.end() ? nullptr : &it->second;
}

const LedgerTerms* Ledger::extra(int plan) const {
    const auto it = extra_.find(plan);
    return it == extra_.end() ? nullptr : &it->second;
}

const decision::PlanSettings* Ledger::terms(int plan) const {
    if (plan >= 0 && static_cast<std::size_t>(plan) < s_.plans.size())
        return &s_.plans[static_cast<std::size_t>(plan)];
    const LedgerTerms* const more = extra(plan);
    return more == nullptr ? nullptr : &more->figures;
}

Ledger::Customer* Ledger::track(CustomerId id, int plan_index, int first, int width, TimePoint now,
                                const Standing& standing) {
    if (Customer* c = find(id)) return c;
    const bool sane = terms(plan_index) != nullptr && first >= 0 && first < s_.gateways && width >= 1 &&
                      width <= s_.gateways && width <= kWidest;
    const int place = sane ? ((s_.me - first) % s_.gateways + s_.gateways) % s_.gateways : width;
    if (!sane || place >= width) return nullptr;
    if (customers_.size() >= s_.most_customers) {
        ++stats_.untracked;
        return nullptr;
    }
    Customer& c = customers_[id];
    c.plan = plan_index;
    c.first = first;
    c.width = width;
    c.place = place;
    c.since = c.asked = c.demand_at = now;
    for (int at = 0; at < width; ++at) {
        if (at == place) continue;
        Member m;
        m.gateway = (first + at) % s_.gateways;
        m.place = at;
        c.members.push_back(m);
    }
    const decision::PlanSettings& p = plan(c);
    const double quota = own_quota_share(c);
    double full = standing.rested_quota < 0.0 ? p.burst : std::min(p.burst, standing.rested_quota);
    const LedgerTerms* const account = extra(plan_index);
    if (account != nullptr && account->account && account->filled_from != TimePoint{})
        full = std::min(p.burst, p.rate * seconds(std::max(Duration(0), now - account->filled_from)));
    c.carved = standing.carved;
    c.quota = {full * quota, p.burst * quota, std::max(0.0, p.rate - c.carved) * quota, now};
    if (account != nullptr) c.quota.level = std::max(0.0, c.quota.level - account->spent);
    // An earlier life may have spent the ceiling: it counts from this start, and for the first lease's time
    // only as far as nobody can hold any of it.
    const double own = baseline(c, c.place);
    const double early = seconds(std::min(now - boot_, s_.lease));
    const double late = seconds(std::max(Duration(0), now - boot_ - s_.lease));
    const double share = ceiling_share(c, now);
    c.ceiling = {0.0, p.ceiling_burst * share, p.ceiling_rate * share, now};
    c.ceiling.level = std::min(c.ceiling.cap, p.ceiling_rate * own * (reserve(c) * early + late));
    if (standing.rested_ceiling >= 0.0)
        c.ceiling.level = std::min(c.ceiling.level, standing.rested_ceiling * share);
    return &c;
}

// Where an even part of the ceiling has hardly room for a large request, parts are kept whole: only so many
// gateways hold any at a time, each as much as the others.
bool Ledger::small(const Customer& c) const {
    const decision::PlanSettings& p = plan(c);
    return p.ceiling_rate > 0.0 && p.ceiling_burst / c.width < kSmall * std::max(1.0, s_.most_units);
}

// As the module has it where no ledger is: the first gateways of the set hold a ceiling that is small.
int Ledger::holders(const Customer& c) const {
    const decision::PlanSettings& p = plan(c);
    if (p.ceiling_rate <= 0.0) return c.width;
    return std::clamp(static_cast<int>(p.ceiling_burst / std::max(1.0, s_.most_units)), 1, c.width);
}

double Ledger::baseline(const Customer& c, int place) const {
    const int of = holders(c);
    return place < of ? 1.0 / of : 0.0;
}

double Ledger::reserve(const Customer& c) const { return small(c) ? 0.0 : s_.reserve; }

// What an earlier life leased may still be in use, until its time is over or each other has seen this life.
bool Ledger::confined(const Customer& c, TimePoint now) const {
    if (plan(c).ceiling_rate <= 0.0 || now - boot_ >= s_.lease) return false;
    return std::any_of(c.members.begin(), c.members.end(), [](const Member& m) { return !m.cleared; });
}

std::uint32_t Ledger::liability(const Member& m) {
    std::uint32_t most = 0;
    for (const Posting& p : m.out) most = std::max(most, p.lease);
    return most;
}

std::uint32_t Ledger::kept(const Customer& c) const {
    std::uint32_t out = 0;
    for (const Member& m : c.members) out += liability(m);
    return out >= kWhole ? 0 : kWhole - out;
}

bool Ledger::fresh(const Member& m, TimePoint now) const {
    return m.known && now - m.heard < s_.lease / kFreshPart;
}

// Some gateway of the set is not heard: it may be gone, or apart from us and granting.
bool Ledger::unheard(const Customer& c, TimePoint now) const {
    if (now >= c.wanted_until || now - c.since < s_.alone_after) return false;
    return std::any_of(c.members.begin(), c.members.end(), [&](const Member& m) { return !fresh(m, now); });
}

// A little longer than that: when all are heard again it takes a few rows until parts are leased by demand.
bool Ledger::alone(const Customer& c, TimePoint now) const { return now < c.alone_until || unheard(c, now); }

double Ledger::ceiling_share(const Customer& c, TimePoint now) const {
    if (plan(c).ceiling_rate <= 0.0) return 0.0;
    const double fixed = reserve(c);
    const double own = confined(c, now) ? 0.0 : static_cast<double>(kept(c)) / kWhole;
    double share = baseline(c, c.place) * (fixed + (1.0 - fixed) * own);
    for (const Member& m : c.members)
        share += baseline(c, m.place) * (1.0 - fixed) * static_cast<double>(m.held) / kWhole;
    return share;
}

double Ledger::own_quota_share(const Customer& c) const {
    double share = baseline(c, c.place) * static_cast<double>(kept(c)) / kWhole;
    for (const Member& m : c.members) share += baseline(c, m.place) * static_cast<double>(m.held) / kWhole;
    return share;
}

// A gateway that does not hear of all others stands in for them as far as the operator allows.
double Ledger::quota_share(const Customer& c, TimePoint now) const {
    const double share = own_quota_share(c);
    if (!unheard(c, now)) return now < c.alone_until ? std::max(share, c.stood_in) : share;
    double heard = baseline(c, c.place);
    for (const Member& m : c.members) heard += fresh(m, now) ? baseline(c, m.place) : 0.0;
    const double of_those = heard > 0.0 ? share / heard : 1.0;
    return std::max(share, std::min(s_.alone_share, of_those));
}

double Ledger::ceiling_share(CustomerId id, TimePoint now) const {
    const Customer* c = find(id);
    return c == nullptr ? 0.0 : ceiling_share(*c, now);
}

double Ledger::quota_share(CustomerId id, TimePoint now) const {
    const Customer* c = find(id);
    return c == nullptr ? 0.0 : quota_share(*c, now);
}

// As long as the store of the quota lasts: what it evens out need not move shares.
double Ledger::window(const Customer& c) const {
    const decision::PlanSettings& p = plan(c);
    const double least = seconds(s_.demand_window);
    return p.rate > 0.0 ? std::clamp(p.burst / p.rate, least, kLongestWindow * least) : least;
}

double Ledger::demand_step(const Customer& c) const {
    return std::max(kDemandStep, kDemandPart * plan(c).rate);
}

double Ledger::demand(const Customer& c, TimePoint now) const {
    if (now - c.asked > kWantedWindows * s_.demand_window) return 0.0;
    return c.demand * std::exp(-seconds(now - c.demand_at) / window(c));
}

// What this gateway owns may not do for what is asked of it: rows must travel. Where it does, nothing is
// exchanged at all, and each gateway keeps to its baseline.
bool Ledger::pressed(Customer& c, TimePoint now) const {
    const decision::PlanSettings& p = plan(c);
    c.quota.refill(now);
    c.ceiling.refill(now);
    const auto low = [&](const Bucket& b) { return b.cap < s_.most_units || b.level <= kLow * b.cap; };
    if (p.burst > 0.0 && low(c.quota)) return true;
    if (p.ceiling_rate > 0.0 && low(c.ceiling)) return true;
    return demand(c, now) > kPressed * baseline(c, c.place) * p.rate;
}

// Ends what ran out. A holder's end comes before its giver's, by the margins above.
bool Ledger::settle(Customer& c, TimePoint now) {
    for (Member& m : c.members) {
        if (m.held > 0 && now >= m.held_until) {
            m.held = 0;
            ++stats_.leases_ended;
        }
        const std::uint32_t before = liability(m);
        std::erase_if(m.out, [&](const Posting& p) { return now >= p.void_at; });
        if (liability(m) < before) ++stats_.reclaimed;
    }
    if (unheard(c, now)) {
        c.stood_in = quota_share(c, now);
        c.alone_until = now + s_.alone_after;
    }
    return reshare(c, now);
}

bool Ledger::reshare(Customer& c, TimePoint now) {
    const decision::PlanSettings& p = plan(c);
    c.quota.refill(now);
    c.ceiling.refill(now);
    const double quota = quota_share(c, now), ceiling = ceiling_share(c, now);
    const double burst = p.burst * quota;
    if (burst < c.quota.cap && c.quota.level > 0.0) {    // units go with the part that goes
        const double level = c.quota.level * burst / c.quota.cap;
        c.gain += level - c.quota.level;
        c.quota.level = level;
    }
    const bool changed = burst != c.quota.cap || c.quota.rate != std::max(0.0, p.rate - c.carved) * quota ||
                         p.ceiling_burst * ceiling != c.ceiling.cap || c.gain != 0.0;
    c.quota.cap = burst;
    c.quota.rate = std::max(0.0, p.rate - c.carved) * quota;
    c.ceiling.cap = p.ceiling_burst * ceiling;
    c.ceiling.rate = p.ceiling_rate * ceiling;
    c.ceiling.level = std::min(c.ceiling.level, c.ceiling.cap);
    return changed;
}

Allowance Ledger::told(CustomerId id, Customer& c) {
    c.told = true;
    const LedgerTerms* const more = extra(c.plan);
    const Customer* const owner = more != nullptr && more->account ? find(more->owner) : nullptr;
    const Bucket& ceiling = owner != nullptr ? owner->ceiling : c.ceiling;
    return {id,
            more != nullptr ? more->like : c.plan,
            c.first,
            c.width,
            c.quota.rate,
            c.quota.cap,
            std::exchange(c.gain, 0.0),
            ceiling.rate,
            ceiling.cap,
            ceiling.level};
}

// ---- what the gateway sees ----

std::optional<Allowance> Ledger::asked(CustomerId id, int plan_index, int first, int width, double units,
                                       TimePoint now, const Standing& standing) {
    Customer* c = track(id, plan_index, first, width, now, standing);
    if (c == nullptr) return std::nullopt;
    c->carved = standing.carved;
    if (c->plan != plan_index && terms(plan_index) != nullptr) replan(id, *c, plan_index, now);
    c->demand = demand(*c, now) + std::max(0.0, units) / window(*c);
    c->demand_at = c->asked = now;
    if (pressed(*c, now)) {
        if (now >= c->wanted_until) announce(id, *c);
        want(id, *c, now + kWantedWindows * s_.demand_window, now);
    }
    const double moved = std::abs(demand(*c, now) - c->told_demand);
    if (now < c->wanted_until && moved > demand_step(*c) + kDemandShift * c->told_demand) mark(id, *c);
    return touch(id, *c, now);
}

Allowance Ledger::touch(CustomerId id, Customer& c, TimePoint now) {
    settle(c, now);
    schedule(id, c, now);
    return told(id, c);
}

void Ledger::admitted(CustomerId id, double units, TimePoint now) {
    Customer* c = find(id);
    if (c == nullptr) return;
    c->quota.refill(now);
    c->ceiling.refill(now);
    c->quota.level -= units;
    if (const LedgerTerms* more = extra(c->plan); more != nullptr && more->account) {
        if (Customer* owner = find(more->owner)) {
            owner->ceiling.refill(now);
            if (plan(*owner).ceiling_rate > 0.0) owner->ceiling.level -= units;
        }
        return;
    }
    // Where there is no ceiling, nothing is owed to one that comes with a later plan.
    if (plan(*c).ceiling_rate > 0.0) c->ceiling.level -= units;
}

void Ledger::settled(CustomerId id, double difference, TimePoint now) {
    Customer* c = find(id);
    if (c == nullptr) return;
    c->quota.refill(now);
    // Given back, it holds no more than it could have held.
    c->quota.level = std::min(c->quota.level - difference, c->quota.cap);
}

// ---- plans that change in service ----

void Ledger::define(int plan, LedgerTerms terms) {
    if (plan >= 0 && static_cast<std::size_t>(plan) < s_.plans.size())
        throw decision::BadSettings("ledger: the settings' own plans are as they are");
    extra_.emplace(plan, std::move(terms));
}

// Units only ever come from rate x time: whatever sequence of plans a customer goes through, it gets no more
// than the largest of their stores once, and the largest rate.
void Ledger::replan(CustomerId id, Customer& c, int to, TimePoint now) {
    c.quota.refill(now);
    c.ceiling.refill(now);
    const int before = holders(c);
    c.plan = to;
    ++stats_.replanned;
    // A lease is a part of a baseline. Where those are others now, it means nothing any more.
    if (holders(c) != before) {
        for (Member& m : c.members) m.held = m.credited = 0;
    }
    const double cap = plan(c).burst * quota_share(c, now);
    const double level = std::min(c.quota.level, cap);
    c.gain += level - c.quota.level;
    c.quota.level = level;
    c.quota.cap = cap;
    reshare(c, now);
    if (now < c.wanted_until) mark(id, c);
}

std::optional<Allowance> Ledger::set(CustomerId id, int plan, double carved, TimePoint now) {
    Customer* const c = find(id);
    if (c == nullptr || terms(plan) == nullptr || (c->plan == plan && c->carved == carved))
        return std::nullopt;
    c->quota.refill(now);
    c->carved = carved;
    if (c->plan != plan) replan(id, *c, plan, now);
    settle(*c, now);
    schedule(id, *c, now);
    if (!c->told) return std::nullopt;
    return told(id, *c);
}

std::optional<Allowance> Ledger::close(CustomerId id, TimePoint now) {
    Customer* const c = find(id);
    if (c == nullptr) return std::nullopt;
    c->quota.refill(now);
    const double left = c->quota.level;    // below nothing: the owner's quota makes up for it
    const LedgerTerms* const more = extra(c->plan);
    Customer* const owner = more == nullptr ? nullptr : find(more->owner);
    const CustomerId owner_id = more == nullptr ? CustomerId{} : more->owner;
    erase(id);
    if (owner == nullptr) return std::nullopt;    // not tracked: its own store is full
    owner->quota.refill(now);
    const double back = std::min(left, std::max(0.0, owner->quota.cap - owner->quota.level));
    owner->quota.level += back;
    owner->gain += back;
    if (!owner->told) return std::nullopt;
    return told(owner_id, *owner);
}

double Ledger::level(CustomerId id, TimePoint now) {
    Customer* const c = find(id);
    if (c == nullptr) return 0.0;
    c->quota.refill(now);
    return c->quota.level;
}

std::optional<Allowance> Ledger::retell(CustomerId id, TimePoint now) {
    Customer* const c = find(id);
    if (c == nullptr || !c->told) return std::nullopt;
    settle(*c, now);
    return told(id, *c);
}

std::vector<CustomerId> Ledger::customers() const {
    std::vector<CustomerId> ids;
    ids.reserve(customers_.size());
    for (const auto& [id, c] : customers_) ids.push_back(id);
    return ids;
}

void Ledger::erase(CustomerId id) {
    const auto it = customers_.find(id);
    if (it == customers_.end()) return;
    due_.erase({it->second.due, id});
    dirty_.erase(id);
    live_.erase(id);
    customers_.erase(it);
}

void Ledger::want(CustomerId id, Customer& c, TimePoint until, TimePoint now) {
    if (now >= c.wanted_until) {
        c.since = c.moved = now;
        mark(id, c);
    }
    c.wanted_until = std::max(c.wanted_until, until);
    live_.insert(id);
}

void Ledger::announce(CustomerId id, const Customer& c) {
    if (c.members.empty()) return;
    const News::Item item{id, c.plan, c.first, c.width};
    news_.items.push_back(item);
    ++news_.last;
    if (news_.items.size() > s_.most_news) news_.items.erase(news_.items.begin());
}

void Ledger::mark(CustomerId id, Customer& c) {
    if (c.dirty || c.members.empty()) return;
    c.dirty = true;
    dirty_.insert(id);
}

void Ledger::refresh() {
    for (const CustomerId id : live_) mark(id, customers_.at(id));
}

// ---- rows ----

// Each gateway leases out of its own baseline by what all of the set have asked for, as far as it hears of
// them: as all do so, each one's parts add up to its part of the demand.
void Ledger::divide(Customer& c, TimePoint now) {
    struct Share {
        Member* member;    // none: ourselves
        double weight, demand;
        std::uint32_t lease = 0;
    };
    std::vector<Share> shares{{nullptr, 0.0, demand(c, now)}};
    for (Member& m : c.members) {
        if (fresh(m, now)) shares.push_back({&m, 0.0, m.demand});
    }
    const double base = kBaseWeight * std::max(1e-3, plan(c).rate) / c.width;
    double all = 0.0;
    for (Share& s : shares) all += s.demand;
    const bool mine = baseline(c, c.place) > 0.0 && !confined(c, now) && all > 0.0;
    if (mine && small(c)) {
        const auto place = [&](const Share& s) { return s.member == nullptr ? c.place : s.member->place; };
        for (Share& s : shares) {
            const bool holds = s.member == nullptr ? kept(c) > 0 : s.member->giving > 0;
            s.weight = s.demand * (holds ? kStay : 1.0);
        }
        std::erase_if(shares, [](const Share& s) { return s.weight <= 0.0; });
        std::sort(shares.begin(), shares.end(), [&](const Share& a, const Share& b) {
            return a.weight != b.weight ? a.weight > b.weight : place(a) < place(b);
        });
        if (shares.size() > static_cast<std::size_t>(holders(c)))
            shares.resize(static_cast<std::size_t>(holders(c)));
        for (Share& s : shares) s.lease = kWhole / static_cast<std::uint32_t>(shares.size());
    } else if (mine) {
        all += base * static_cast<double>(shares.size());
        for (Share& s : shares) s.lease = static_cast<std::uint32_t>((s.demand + base) / all * kWhole);
    }
    // What is not leased on purpose stays here. Small moves wait, but not those that begin or end a lease.
    std::map<Member*, std::uint32_t> target;
    bool moves = false, low = c.quota.level <= kLow * c.quota.cap;
    for (const Member& m : c.members) low = low || (fresh(m, now) && m.fill <= kLow);
    const double shift = low || small(c) ? kShift : kCalmShift;
    for (const Share& s : shares) {
        if (s.member != nullptr && mine) target[s.member] = s.lease;
    }
    for (Member& m : c.members) {
        const std::uint32_t to = target.contains(&m) ? target[&m] : 0;
        const double by = std::abs(static_cast<double>(to) - static_cast<double>(m.giving)) / kWhole;
        moves = moves || by > shift || (by > 0.0 && (to == 0 || m.giving == 0));
    }
    if (!moves) return;
    for (Member& m : c.members) m.giving = std::min(m.giving, target.contains(&m) ? target[&m] : 0);
    for (Member& m : c.members) {
        const std::uint32_t to = target.contains(&m) ? target[&m] : 0;
        if (to <= m.giving) continue;
        // What another may still act on is not given twice: the rest follows with a later row.
        const std::uint32_t free = liability(m) + kept(c);
        std::uint32_t others = 0;    // raised in this same row, and not posted yet
        for (const Member& o : c.members)
            others += &o != &m && o.giving > liability(o) ? o.giving - liability(o) : 0;
        const std::uint32_t most = free > others ? free - others : 0;
        m.giving = std::max(m.giving, std::min(to, most));
    }
}

Row Ledger::write(Customer& c, TimePoint now) {
    divide(c, now);
    const auto age = static_cast<std::uint64_t>(std::max(Duration(0), now - boot_).count());
    c.stamp = std::max(c.stamp + 1, age);
    c.posted = now;
    Row row;
    row.incarnation = s_.incarnation;
    row.stamp = c.stamp;
    row.plan = c.plan;
    row.first = c.first;
    row.width = c.width;
    row.demand = std::min(1e9, c.told_demand = demand(c, now));
    row.parts.resize(static_cast<std::size_t>(c.width));
    for (Member& m : c.members) {
        Row::Part& part = row.parts[static_cast<std::size_t>(m.place)];
        if (m.known) part = {m.incarnation, m.stamp, m.giving};
        else m.giving = 0;    // it could not tell how old this is
        if (!m.out.empty() && m.out.back().lease == m.giving) m.out.pop_back();
        // Nothing to remember where nothing was leased and nothing is.
        if (m.giving > 0 || !m.out.empty()) m.out.push_back({c.stamp, m.giving, now + s_.lease});
    }
    reshare(c, now);    // before the row is out: from here on the others may act on it
    row.fill = c.quota.cap > 0.0 ? std::clamp(c.quota.level / c.quota.cap, 0.0, 1.0) : 0.0;
    c.last = row;
    return row;
}

std::vector<std::pair<CustomerId, Row>> Ledger::rows_due(TimePoint now, std::size_t most) {
    std::vector<std::pair<CustomerId, Row>> rows;
    while (rows.size() < most && !dirty_.empty()) {
        // In turn, so that a crowd of new customers cannot keep another's leases from being renewed.
        auto it = dirty_.upper_bound(force_cursor_);
        if (it == dirty_.end()) it = dirty_.begin();
        const CustomerId id = force_cursor_ = *it;
        dirty_.erase(it);
        Customer& c = customers_.at(id);
        c.dirty = false;
        settle(c, now);
        rows.emplace_back(id, write(c, now));
        schedule(id, c, now);
    }
    return rows;
}

std::vector<std::pair<CustomerId, Row>> Ledger::rows_in_force(std::size_t most) {
    std::vector<std::pair<CustomerId, Row>> rows;
    for (std::size_t i = 0; i < live_.size() && rows.size() < most; ++i) {
        auto it = live_.upper_bound(force_cursor_);
        if (it == live_.end()) it = live_.begin();
        force_cursor_ = *it;
        const Customer& c = customers_.at(*it);
        if (c.stamp > 0) rows.emplace_back(*it, c.last);
    }
    return rows;
}

std::vector<std::pair<CustomerId, int>> Ledger::rows_wanted(TimePoint now, std::size_t most, bool all) {
    std::vector<std::pair<CustomerId, int>> rows;
    for (std::size_t i = 0; i < live_.size() && rows.size() < most; ++i) {
        auto it = live_.upper_bound(read_cursor_);
        if (it == live_.end()) it = live_.begin();
        read_cursor_ = *it;
        Customer& c = customers_.at(*it);
        // Where nothing has moved for a while, rows come anew once in a renewal only.
        const bool still = now - c.moved > kStill && now - c.read < s_.lease / (2 * kRenewsPerLease);
        if (still && !all) continue;
        c.read = now;
        for (const Member& m : c.members) rows.emplace_back(*it, m.gateway);
    }
    return rows;
}

bool Ledger::row_heard(CustomerId id, int from, const Row& row, TimePoint now) {
    Customer* c = find(id);
    if (c == nullptr) return false;
    const auto at = std::find_if(c->members.begin(), c->members.end(),
                                 [&](const Member& m) { return m.gateway == from; });
    if (at == c->members.end() || row.plan != c->plan || row.first != c->first || row.width != c->width ||
        row.parts.size() != static_cast<std::size_t>(c->width)) {
        ++stats_.rows_ignored;
        return false;
    }
    Member& m = *at;
    const Row::Part& part = row.parts[static_cast<std::size_t>(c->place)];
    const bool ours = part.echo_incarnation == s_.incarnation;
    const auto age = static_cast<std::uint64_t>(std::max(Duration(0), now - boot_).count());
    if (ours && part.echo_stamp > age + 1'000'000) {    // we never said that: the store is spoilt
        ++stats_.rows_ignored;
        return false;
    }
    if (m.known && row.incarnation == m.incarnation && row.stamp <= m.stamp) {
        stats_.rows_ignored += row.stamp < m.stamp;
        return false;
    }
    const bool other_life = !m.known || row.incarnation != m.incarnation;
    if (m.known && other_life) {
        // A row of an earlier life, from a store that fell back. Only where the later one is long gone may
        // the clock of that machine have been set back; all that the earlier one leased has run out by then.
        if (row.incarnation < m.incarnation && now - m.heard < s_.lease) {
            ++stats_.rows_ignored;
            return false;
        }
        // And once a lower one was taken for the later, what the other wrote last must not come into force.
        if (row.incarnation > m.incarnation && now < m.no_higher_until) {
            ++stats_.rows_ignored;
            return false;
        }
        if (row.incarnation < m.incarnation) m.no_higher_until = now + s_.lease;
        ++stats_.lives_seen;
        m.held = m.credited = 0;
    }
    ++stats_.rows_heard;
    const bool news =
        other_life || std::abs(row.demand - m.demand) > demand_step(*c) + kDemandShift * m.demand;
    m.known = true;
    m.incarnation = row.incarnation;
    m.stamp = row.stamp;
    m.heard = now;
    m.demand = row.demand;
    m.fill = row.fill;
    const std::uint32_t held = m.held, out = liability(m);
    m.held = 0;
    if (ours) {
        m.cleared = true;
        // Its lease is no older than our own row that it had read: by our own clock.
        m.held_until = boot_ + Duration(static_cast<std::int64_t>(part.echo_stamp)) + hold_;
        if (now < m.held_until) m.held = part.lease;
        std::erase_if(m.out, [&](const Posting& p) { return p.stamp < part.echo_stamp; });
    }
    const decision::PlanSettings& p = plan(*c);
    const auto units = [&](int place, std::uint32_t lease) {
        return baseline(*c, place) * p.burst * m.fill * static_cast<double>(lease) / kWhole;
    };
    reshare(*c, now);
    double moved = 0.0;
    if (m.held > m.credited) moved += units(m.place, m.held - m.credited);
    m.credited = ours ? (m.held > 0 ? m.held : std::min(m.credited, part.lease)) : 0;
    if (liability(m) < out) {
        moved += units(c->place, out - liability(m));
        ++stats_.acknowledged;
    }
    moved = std::clamp(moved, 0.0, std::max(0.0, c->quota.cap - c->quota.level));
    c->gain += moved;
    c->quota.level += moved;
    if (row.demand > 0.0) want(id, *c, now + s_.lease / kFreshPart, now);
    // Said back soon where the other waits for it, or where it changes how our part is divided.
    if (news || m.held != held || liability(m) != out) {
        c->moved = now;
        mark(id, *c);
    }
    schedule(id, *c, now);
    // The module is told with the next request or tick, whichever comes first.
    due_.erase({c->due, id});
    c->due = now;
    due_.emplace(now, id);
    return true;
}

bool Ledger::overdue(CustomerId id, int gateway, TimePoint now) const {
    const Customer* c = find(id);
    if (c == nullptr) return false;
    for (const Member& m : c->members) {
        if (m.gateway != gateway) continue;
        return m.known ? now - m.heard > s_.lease * kOverdueEighths / 8
                       : now - c->since > s_.lease / kFreshPart;
    }
    return false;
}

News Ledger::news() const { return news_; }

void Ledger::news_heard(int from, const News& news, TimePoint now) {
    if (from == s_.me || from < 0 || from >= s_.gateways) return;
    auto& [life, last] = news_read_[from];
    if (life != news.incarnation) last = 0;
    life = news.incarnation;
    if (news.last <= last) return;
    const std::uint64_t first = news.last - news.items.size() + 1;
    for (std::size_t i = 0; i < news.items.size(); ++i) {
        if (first + i <= last) continue;
        const News::Item& item = news.items[i];
        const bool known = find(item.customer) != nullptr;
        Customer* c = track(item.customer, item.plan, item.first, item.width, now);
        if (c == nullptr) continue;
        if (!known) c->asked = now - kWantedWindows * s_.demand_window;
        ++stats_.news_heard;
        want(item.customer, *c, now + s_.lease / kFreshPart, now);
        schedule(item.customer, *c, now);
    }
    last = news.last;
}

// ---- time ----

bool Ledger::forgettable(const Customer& c, TimePoint now) const {
    // Rows that could still be answered to are older than any lease by then: an old one can bring nothing
    // back.
    if (now < c.wanted_until || now - c.asked < kForget || now - c.posted <= s_.lease + kTurnMargin)
        return false;
    for (const Member& m : c.members) {
        if (m.held > 0 || !m.out.empty()) return false;
    }
    return c.quota.level >= c.quota.cap - 1e-9 && c.ceiling.level >= c.ceiling.cap - 1e-9;
}

// Leases run out unless they are written anew; and who of the set does not speak is called once more.
void Ledger::renew(CustomerId id, Customer& c, TimePoint now) {
    if (now < c.posted + s_.lease / kRenewsPerLease) return;
    mark(id, c);
    const bool unheard =
        std::any_of(c.members.begin(), c.members.end(), [&](const Member& m) { return !fresh(m, now); });
    if (unheard && demand(c, now) > 0.0) announce(id, c);
}

void Ledger::schedule(CustomerId id, Customer& c, TimePoint now) {
    TimePoint due = now + kForget;
    const auto at = [&](TimePoint when) {
        if (when > now) due = std::min(due, when);
    };
    for (const Member& m : c.members) {
        if (m.held > 0) at(m.held_until);
        for (const Posting& p : m.out) at(p.void_at);
        if (m.known) at(m.heard + s_.lease / kFreshPart);
    }
    at(c.since + s_.alone_after);
    at(c.alone_until);
    at(boot_ + s_.lease);
    if (now < c.wanted_until) {
        at(c.wanted_until);
        if (c.stamp > 0 && !c.dirty) renew(id, c, now);
        if (c.stamp > 0) at(c.posted + s_.lease / kRenewsPerLease);
    } else {
        at(c.posted + s_.lease + 2 * kTurnMargin);
        at(c.asked + kForget);
    }
    if (due == c.due) return;
    due_.erase({c.due, id});
    c.due = due;
    due_.emplace(due, id);
}

void Ledger::tick(TimePoint now, std::vector<Allowance>& changed) {
    while (!due_.empty() && due_.begin()->first <= now) {
        const CustomerId id = due_.begin()->second;
        due_.erase(due_.begin());
        Customer& c = customers_.at(id);
        c.due = TimePoint{};
        if (settle(c, now) || c.gain != 0.0) {
            if (c.told) changed.push_back(told(id, c));
        }
        if (now >= c.wanted_until) {
            live_.erase(id);
        }
        if (forgettable(c, now)) {
            erase(id);
            continue;
        }
        schedule(id, c, now);
    }
}

std::optional<TimePoint> Ledger::next() const {
    if (due_.empty()) return std::nullopt;
    return due_.begin()->first;
}

LedgerStats Ledger::stats(TimePoint now) const {
    LedgerStats stats = stats_;
    stats.customers = customers_.size();
    stats.live = live_.size();
    for (const CustomerId id : live_) stats.alone += alone(customers_.at(id), now);
    return stats;
}

Ledger::QuotaBound Ledger::quota_bound(const LedgerSettings& s, int plan_index, int width, Duration time) {
    const decision::PlanSettings& p = s.plans.at(static_cast<std::size_t>(plan_index));
    const double quota = p.rate * seconds(time) + p.burst;
    // A full store passes any request, at each gateway.
    const double last = width * s.most_units;
    return {quota + last, quota * (1.0 + (width - 1) * s.alone_share) + last};
}

}    // namespace shaletray::limits
