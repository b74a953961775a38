#include "data_plane/plans/plan_service.h"

#include <algorithm>
#include <utility>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kAccounts = 1ULL << 63;    // no customer's number is as high
constexpr std::size_t kAtOnce = 2000;              // customers that are looked at in a turn
constexpr std::size_t kMostKnown = 200'000;
constexpr double kHair = 1e-9;

}    // namespace

Desk::Desk(Book book, Ledger& ledger, TimePoint now, std::map<std::uint64_t, double> redeemed)
    : book_(std::move(book)), ledger_(ledger), seen_(now), redeemed_(std::move(redeemed)) {}

CustomerId Desk::account_of(const Reservation& r) { return CustomerId{kAccounts | r.version}; }

int Desk::terms_for(const InForce& f) {
    if (f.version > 0 && !ledger_.defined(f.terms)) {
        limits::LedgerTerms t;
        t.figures = book_.platform(f.like);
        t.figures.rate = f.figures.rate;
        t.figures.burst = f.figures.burst;
        t.figures.ceiling_rate = f.figures.ceiling_rate;
        t.figures.ceiling_burst = f.figures.ceiling_burst;
        t.figures.ceiling_slack = f.figures.ceiling_slack;
        t.like = f.like;
        ledger_.define(f.terms, t);
    }
    return f.terms;
}

void Desk::open(const Reservation& r, int like) {
    const int terms = kBookTerms + static_cast<int>(r.version);
    open_.insert(r.made.id);
    if (ledger_.defined(terms)) return;
    limits::LedgerTerms t;
    t.figures = book_.platform(like);
    t.figures.ceiling_rate = t.figures.ceiling_burst = 0.0;    // its owner's is drawn on
    t.figures.burst = r.made.units;
    const bool ahead = r.full <= r.made.from;
    t.figures.rate = ahead ? 0.0 : r.carve_rate();
    if (!ahead) t.filled_from = r.start;
    t.like = like;
    t.account = true;
    t.owner = r.made.customer;
    if (const auto it = redeemed_.find(r.version); it != redeemed_.end()) t.spent = it->second;
    ledger_.define(terms, t);
}

limits::Standing Desk::standing(CustomerId customer, int asked_plan, TimePoint now) const {
    limits::Standing s;
    s.carved = book_.carved(customer, now);
    if (ledger_.tracks(customer)) return s;    // its stores are known; the rest is for one that begins
    const Book::Rested rested = book_.rested(customer, asked_plan, now);
    s.rested_quota = rested.quota;
    s.rested_ceiling = rested.ceiling;
    return s;
}

Desk::Ruling Desk::rule(CustomerId customer, int asked_plan, int first, int width, double units,
                        const std::string& reservation, TimePoint now, std::vector<Allowance>& told) {
    due(now, told);
    const InForce f = book_.in_force(customer, asked_plan, now);
    const int terms = terms_for(f);
    if (known_.size() < kMostKnown || known_.contains(customer)) known_[customer].asked_plan = asked_plan;
    Ruling out{customer, f.like, f.version, 0};
    if (const auto a =
            ledger_.asked(customer, terms, first, width, units, now, standing(customer, asked_plan, now)))
        told.push_back(*a);
    if (reservation.empty()) return out;
    const Reservation* const r = book_.reservation(reservation);
    if (r != nullptr && r->made.customer == customer && r->open(now)) {
        open(*r, f.like);
        const CustomerId account = account_of(*r);
        const int own = kBookTerms + static_cast<int>(r->version);
        if (const auto a = ledger_.asked(account, own, first, width, units, now)) {
            if (ledger_.level(account, now) >= units - kHair) {
                told.push_back(*a);
                out.account = account;
                out.reservation = r->version;
                return out;
            }
        }
    }
    // It is judged as its customer's other requests are.
    ++stats_.not_redeemed;
    return out;
}

void Desk::admitted(const Ruling& ruling, CustomerId customer, double units, TimePoint now,
                    std::vector<Allowance>& told) {
    if (ruling.reservation == 0) {
        ledger_.admitted(customer, units, now);
        // Accounts of it go by the same ceiling.
        for (const Reservation* r : book_.reservations_of(customer)) {
            if (!open_.contains(r->made.id)) continue;
            if (const auto a = ledger_.retell(account_of(*r), now)) told.push_back(*a);
        }
        return;
    }
    ++stats_.redeemed;
    const double sum = redeemed_[ruling.reservation] += units;
    if (redeemed_told_) redeemed_told_(ruling.reservation, sum);
    ledger_.admitted(payer(ruling, customer), units, now);
    if (const auto a = ledger_.retell(customer, now)) told.push_back(*a);
}

void Desk::settled(const Ruling& ruling, CustomerId customer, double difference, TimePoint now) {
    ledger_.settled(ruling.reservation == 0 ? customer : payer(ruling, customer), difference, now);
}

// Where the account was closed meanwhile, what was left of it is back with its owner, who pays.
CustomerId Desk::payer(const Ruling& ruling, CustomerId customer) const {
    return open_.contains(book_.reservation_name(ruling.reservation)) ? ruling.account : customer;
}

void Desk::take(const Change& change, TimePoint now) {
    book_.apply(change);
    ++stats_.changes;
    if (change.at > seen_) return;    // its time is still to come, and is in the book's schedule
    ++stats_.late;
    stats_.latest = std::max(stats_.latest, now - change.at);
    queue(book_.effects_of(change));
}

void Desk::queue(const Book::Effects& effects) {
    for (const CustomerId id : effects.customers) moving_.push_back(id);
    if (effects.plans.empty()) return;
    // Whoever has the plan, by whatever way: all that are tracked are looked at anew.
    for (const CustomerId id : ledger_.customers()) {
        if ((static_cast<std::uint64_t>(id) & kAccounts) == 0) moving_.push_back(id);
    }
}

void Desk::settle_reservation(const std::string& id, TimePoint now, std::vector<Allowance>& changed) {
    const Reservation* const r = book_.reservation(id);
    if (r == nullptr || r->open(now) || !open_.erase(id)) return;
    if (const auto a = ledger_.close(account_of(*r), now)) changed.push_back(*a);
}

void Desk::due(TimePoint now, std::vector<Allowance>& changed) {
    if (now > seen_) {
        const Book::Effects effects = book_.between(seen_, now);
        if (!effects.empty()) {
            if (moving_.empty()) acting_since_ = book_.next_after(seen_).value_or(now);
            queue(effects);
        }
        seen_ = now;
        for (const std::string& id : effects.reservations) settle_reservation(id, now, changed);
    }
    act(now, changed);
}

void Desk::act(TimePoint now, std::vector<Allowance>& changed) {
    if (moving_.empty()) return;
    for (std::size_t i = 0; i < kAtOnce && !moving_.empty(); ++i) {
        const CustomerId id = moving_.front();
        moving_.pop_front();
        const auto it = known_.find(id);
        if (it == known_.end()) continue;
        const int terms = terms_for(book_.in_force(id, it->second.asked_plan, now));
        if (const auto a = ledger_.set(id, terms, book_.carved(id, now), now)) changed.push_back(*a);
    }
    if (moving_.empty() && acting_since_ != TimePoint{}) {
        stats_.behind = std::max(stats_.behind, now - acting_since_);
        acting_since_ = {};
    }
    if (known_.size() >= kMostKnown) {    // those that the ledger forgot
        std::set<CustomerId> tracked;
        for (const CustomerId id : ledger_.customers()) tracked.insert(id);
        std::erase_if(known_, [&](const auto& one) { return !tracked.contains(one.first); });
    }
}

std::optional<TimePoint> Desk::next() const {
    if (!moving_.empty()) return seen_;
    return book_.next_after(seen_);
}

DeskStats Desk::stats(TimePoint now) const {
    DeskStats s = stats_;
    for (const std::string& id : open_) s.open += book_.reservation(id)->open(now);
    return s;
}

}    // namespace shaletray::plans
