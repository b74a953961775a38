#include "data_plane/plans/plan_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

constexpr double kMostFigure = 1e9;
constexpr std::size_t kLongestName = 64;
constexpr int kMostSuccessors = 8;
constexpr double kHair = 1e-9;
constexpr Duration kRested = 1h;           // after which any store is taken for full,
constexpr std::size_t kMostRested = 64;    // and how many changes are gone through for less

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

bool good_name(const std::string& name) {
    return !name.empty() && name.size() <= kLongestName &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

Refusal refuse(Refusal::Why why, std::string text) { return {why, std::move(text), 0, {}, std::nullopt}; }

}    // namespace

const char* name_of(Refusal::Why why) {
    switch (why) {
        case Refusal::Why::Stale: return "stale";
        case Refusal::Why::Unknown: return "unknown";
        case Refusal::Why::Wrong: return "wrong";
        case Refusal::Why::Closed: return "closed";
        case Refusal::Why::TooMuch: return "too much";
        case Refusal::Why::TooFar: return "too far";
        case Refusal::Why::Full: return "full";
    }
    return "?";
}

double Reservation::carve_rate() const { return made.units / std::max(1e-6, seconds(full - start)); }

double Reservation::carved(TimePoint at) const {
    if (at <= start) return 0.0;
    const TimePoint until = std::min({at, full, end});
    return until <= start ? 0.0 : made.units * seconds(until - start) / std::max(1e-6, seconds(full - start));
}

Book::Book(BookSettings settings) : s_(std::move(settings)) {
    using decision::BadSettings;
    if (s_.platform.empty()) throw BadSettings("plan book: no plans");
    if (s_.platform.size() > static_cast<std::size_t>(kBookTerms))
        throw BadSettings("plan book: too many plans");
    if (s_.lead < Duration(0)) throw BadSettings("plan book: negative lead");
    if (!(s_.most_carved >= 0.0 && s_.most_carved < 1.0))
        throw BadSettings("plan book: most_carved must be 0 to below 1");
}

int Book::platform_index(const std::string& plan) const {
    for (std::size_t i = 0; i < s_.platform.size(); ++i)
        if (s_.platform[i].name == plan) return static_cast<int>(i);
    return -1;
}

bool Book::known(const std::string& plan) const { return platform_index(plan) >= 0 || plans_.contains(plan); }

bool Book::closed(const std::string& plan, TimePoint at) const {
    const auto it = plans_.find(plan);
    if (it == plans_.end()) return false;
    const auto* entry = it->second.at(at);
    return entry != nullptr && std::holds_alternative<Withdraw>(entry->what);
}

std::uint64_t Book::version_of(const std::string& subject) const {
    const auto it = subjects_.find(subject);
    return it == subjects_.end() ? 0 : it->second;
}

// ---- what holds ----

std::optional<InForce> Book::terms_of(const std::string& plan, TimePoint at, int depth) const {
    const int index = platform_index(plan);
    const auto it = plans_.find(plan);
    if (it != plans_.end()) {
        if (const auto* now = it->second.at(at)) {
            const auto* gone = std::get_if<Withdraw>(&now->what);
            if (gone != nullptr && !gone->successor.empty() && depth < kMostSuccessors) {
                if (auto next = terms_of(gone->successor, at, depth + 1)) return next;
            }
        }
        // The newest terms whose time has come; a withdrawal has none of its own.
        const auto& entries = it->second.entries;
        for (auto e = entries.rbegin(); e != entries.rend(); ++e) {
            const auto* defined = std::get_if<Define>(&e->what);
            if (e->at > at || defined == nullptr) continue;
            return InForce{kBookTerms + static_cast<int>(e->version),
                           platform_index(defined->like),
                           defined->terms,
                           plan,
                           e->version,
                           0};
        }
    }
    if (index < 0) return std::nullopt;
    const decision::PlanSettings& p = s_.platform[static_cast<std::size_t>(index)];
    return InForce{index, index, {p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack},
                   plan,  0,     0};
}

std::string Book::assigned(CustomerId customer, TimePoint at) const {
    const auto it = customers_.find(customer);
    if (it == customers_.end()) return {};
    const auto* entry = it->second.at(at);
    return entry == nullptr ? std::string() : entry->what;
}

InForce Book::in_force(CustomerId customer, int asked_plan, TimePoint at) const {
    if (s_.book_wins) {
        const auto it = customers_.find(customer);
        const auto* entry = it == customers_.end() ? nullptr : it->second.at(at);
        if (entry != nullptr && !entry->what.empty()) {
            if (auto terms = terms_of(entry->what, at)) {
                terms->assigned = entry->version;
                return *terms;
            }
        }
    }
    return *terms_of(s_.platform.at(static_cast<std::size_t>(asked_plan)).name, at);
}

double Book::carved(CustomerId customer, TimePoint at) const {
    const auto it = reserved_.find(customer);
    if (it == reserved_.end()) return 0.0;
    double rate = 0.0;
    for (const std::string& id : it->second) {
        const Reservation& r = reservations_.at(id);
        if (r.carving(at)) rate += r.carve_rate();
    }
    return rate;
}

const Reservation* Book::reservation(const std::string& id) const {
    const auto it = reservations_.find(id);
    return it == reservations_.end() ? nullptr : &it->second;
}

std::string Book::reservation_name(std::uint64_t version) const {
    if (version == 0 || version > log_.size()) return {};
    const auto* r = std::get_if<Reserve>(&log_[version - 1].body);
    return r == nullptr ? std::string() : r->id;
}

Book::Rested Book::rested(CustomerId customer, int asked_plan, TimePoint at) const {
    auto it = schedule_.upper_bound(at);
    if (it == schedule_.begin()) return {};
    if (at - std::prev(it)->first > kRested) return {};
    for (std::size_t i = 0;
         i < kMostRested && it != schedule_.begin() && at - std::prev(it)->first <= kRested; ++i)
        --it;
    // From before the first of those on, by the rule that a change goes by.
    InForce f = in_force(customer, asked_plan, it->first - 1us);
    Rested r{f.figures.burst, f.figures.ceiling_burst};
    const auto grow = [&](TimePoint from, TimePoint to) {
        const double rate = std::max(0.0, f.figures.rate - carved(customer, from));
        r.quota = std::min(f.figures.burst, r.quota + rate * seconds(to - from));
        r.ceiling =
            std::min(f.figures.ceiling_burst, r.ceiling + f.figures.ceiling_rate * seconds(to - from));
    };
    for (; it != schedule_.end() && it->first <= at; ++it) {
        f = in_force(customer, asked_plan, it->first);
        const auto next = std::next(it);
        grow(it->first, next == schedule_.end() ? at : std::min(at, next->first));
    }
    return r;
}

std::vector<const Reservation*> Book::reservations_of(CustomerId customer) const {
    std::vector<const Reservation*> all;
    if (const auto it = reserved_.find(customer); it != reserved_.end())
        for (const std::string& id : it->second) all.push_back(&reservations_.at(id));
    return all;
}

std::vector<std::string> Book::plans() const {
    std::vector<std::string> names;
    for (const auto& p : s_.platform) names.push_back(p.name);
    for (const auto& [name, versions] : plans_)
        if (platform_index(name) < 0) names.push_back(name);
    return names;
}

std::size_t Book::customers_of(const std::string& plan, TimePoint at) const {
    std::size_t n = 0;
    for (const auto& [id, versions] : customers_) {
        const auto* entry = versions.at(at);
        n += entry != nullptr && entry->what == plan;
    }
    return n;
}

// ---- what is asked for ----

std::variant<Change, Refusal> Book::propose(const Proposal& p, TimePoint now) const {
    using Why = Refusal::Why;
    if (!p.request.empty()) {
        if (const auto it = requests_.find(p.request); it != requests_.end()) {
            const Change& made = log_[it->second - 1];
            if (made.body == p.body && made.against == p.against) return made;
            return refuse(Why::Wrong, fmt::format("the request {} was already used for version {}, which is "
                                                  "another change",
                                                  p.request, made.version));
        }
    }
    if (p.author.empty() || p.author.size() > 256)
        return refuse(Why::Wrong, "expected an author of 1 to 256 bytes");
    if (p.note.size() > 1024) return refuse(Why::Wrong, "a note may have 1024 bytes");
    if (p.request.size() > 128) return refuse(Why::Wrong, "a request's name may have 128 bytes");
    const std::string subject = subject_of(p.body);
    if (const std::uint64_t newest = version_of(subject); newest != p.against) {
        const std::string by = newest == 0 ? std::string() : log_[newest - 1].author;
        Refusal r = refuse(
            Why::Stale,
            newest == 0 ? fmt::format("{} has no version yet; this was made against {}", subject, p.against)
                        : fmt::format("{} is at version {}, made by {} at {}; this was made against {}",
                                      subject, newest, by, time_text(log_[newest - 1].made), p.against));
        r.newest = newest;
        r.newest_by = by;
        return r;
    }
    Change c;
    c.version = version() + 1;
    c.against = p.against;
    c.made = now;
    // Never before all can have heard of it; what was meant for an earlier time takes effect as soon as it
    // can.
    c.at = std::max(p.at.value_or(now), now + s_.lead);
    if (c.at > now + s_.most_ahead) return refuse(Why::TooFar, "the effective time is too far ahead");
    c.author = p.author;
    c.note = p.note;
    c.request = p.request;
    c.body = p.body;
    c.chain = chain_of(chain(), c);
    if (auto refusal = std::visit([&](const auto& body) { return wrong(body, c.at); }, c.body))
        return *refusal;
    if (auto refusal = overdrawn(c)) return *refusal;
    return c;
}

std::optional<Refusal> Book::wrong(const Define& d, TimePoint) const {
    using Why = Refusal::Why;
    if (!good_name(d.plan))
        return refuse(Why::Wrong, "plan: expected 1 to 64 letters, digits, '-', '_', '.'");
    const int like = platform_index(d.like);
    if (like < 0) return refuse(Why::Unknown, fmt::format("like: the platform has no plan \"{}\"", d.like));
    if (const int own = platform_index(d.plan); own >= 0 && own != like)
        return refuse(Why::Wrong,
                      fmt::format("like: the platform's own plan {} can only be like itself", d.plan));
    const Terms& t = d.terms;
    const decision::PlanSettings& base = s_.platform[static_cast<std::size_t>(like)];
    const auto figure = [](double v) { return std::isfinite(v) && v >= 0.0 && v <= kMostFigure; };
    if (!figure(t.rate) || !figure(t.burst) || !figure(t.ceiling_rate) || !figure(t.ceiling_burst) ||
        !figure(t.ceiling_slack))
        return refuse(Why::Wrong, "figures must be 0 to 1e9");
    // What the platform's plan has not, the decisions do not look at.
    if ((t.rate > 0.0) != (base.rate > 0.0) || (t.rate > 0.0) != (t.burst > 0.0))
        return refuse(Why::Wrong, fmt::format("rate, burst: expected both {}, as {} has them",
                                              base.rate > 0.0 ? "above 0" : "0", d.like));
    if ((t.ceiling_rate > 0.0) != (base.ceiling_rate > 0.0) ||
        (t.ceiling_rate > 0.0) != (t.ceiling_burst > 0.0))
        return refuse(Why::Wrong, fmt::format("ceiling_rate, ceiling_burst: expected both {}, as {} has them",
                                              base.ceiling_rate > 0.0 ? "above 0" : "0", d.like));
    if (t.ceiling_rate > 0.0 && t.ceiling_rate < t.rate)
        return refuse(Why::Wrong, "ceiling_rate: expected the rate of the quota or more");
    if (!known(d.plan) && plans_.size() >= s_.most_plans)
        return refuse(Why::Full, fmt::format("the book holds {} plans, and no more", s_.most_plans));
    return std::nullopt;
}

std::optional<Refusal> Book::wrong(const Withdraw& w, TimePoint at) const {
    using Why = Refusal::Why;
    if (!known(w.plan)) return refuse(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", w.plan));
    if (w.successor.empty()) return std::nullopt;
    // Successors must end somewhere, now and whenever one of them is withdrawn.
    std::string next = w.successor;
    for (int i = 0; i < kMostSuccessors; ++i) {
        if (!known(next))
            return refuse(Why::Unknown, fmt::format("successor: there is no plan \"{}\"", next));
        if (next == w.plan) return refuse(Why::Wrong, "successor: this leads back to the plan itself");
        const auto it = plans_.find(next);
        const Withdraw* gone = nullptr;
        if (it != plans_.end()) gone = std::get_if<Withdraw>(&it->second.entries.back().what);
        if (gone == nullptr) {
            if (closed(next, at)) return refuse(Why::Closed, fmt::format("successor: {} is withdrawn", next));
            return std::nullopt;
        }
        if (gone->successor.empty())
            return refuse(Why::Closed, fmt::format("successor: {} is withdrawn", next));
        next = gone->successor;
    }
    return refuse(Why::Wrong, "successor: too many successors in a row");
}

std::optional<Refusal> Book::wrong(const Assign& a, TimePoint at) const {
    using Why = Refusal::Why;
    if (!customers_.contains(a.customer) && customers_.size() >= s_.most_customers)
        return refuse(Why::Full, fmt::format("the book holds {} customers, and no more", s_.most_customers));
    if (a.plan.empty()) return std::nullopt;
    if (!known(a.plan)) return refuse(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", a.plan));
    if (!terms_of(a.plan, at))
        return refuse(Why::Unknown,
                      fmt::format("plan: \"{}\" has no terms yet at {}", a.plan, time_text(at)));
    if (closed(a.plan, at)) return refuse(Why::Closed, fmt::format("plan: {} is withdrawn", a.plan));
    return std::nullopt;
}

Reservation Book::laid_out(const Reserve& r, TimePoint at, std::uint64_t version) {
    // Ahead of its window where there is time for that, else along with it.
    return {r, version, at, at < r.from ? r.from : r.until, r.until};
}

std::string Book::plan_for(const Reserve& r, TimePoint at) const {
    const std::string assigned_plan = assigned(r.customer, at);
    return assigned_plan.empty() ? r.plan : assigned_plan;
}

// The times at which what may be carved, or what is, changes while it is carved.
std::vector<TimePoint> Book::steps(const Reservation& r) const {
    std::vector<TimePoint> at{r.start};
    for (auto it = schedule_.upper_bound(r.start); it != schedule_.end() && it->first < r.full; ++it)
        at.push_back(it->first);
    return at;
}

// Units a second that may still be carved over all of its time, other reservations but `but` left as they
// are.
double Book::room(const Reservation& r, const std::string& but) const {
    double least = kMostFigure;
    for (const TimePoint at : steps(r)) {
        const auto rate = [&](const Reserve& of) {
            const auto terms = terms_of(plan_for(of, at), at);
            return terms ? terms->figures.rate : 0.0;
        };
        // Where the book assigns no plan, each names its own: they must all fit into the least of them.
        double out = 0.0, of = rate(r.made);
        for (const Reservation* other : reservations_of(r.made.customer)) {
            if (other->made.id == but || !other->carving(at)) continue;
            out += other->carve_rate();
            of = std::min(of, rate(other->made));
        }
        least = std::min(least, of * s_.most_carved - out);
    }
    return std::max(0.0, least);
}

std::optional<Refusal> Book::wrong(const Reserve& r, TimePoint at) const {
    using Why = Refusal::Why;
    if (!good_name(r.id)) return refuse(Why::Wrong, "id: expected 1 to 64 letters, digits, '-', '_', '.'");
    if (reservations_.contains(r.id))
        return refuse(Why::Wrong, fmt::format("id: {} was used before; an id is used once", r.id));
    if (!(std::isfinite(r.units) && r.units > 0.0 && r.units <= kMostFigure))
        return refuse(Why::Wrong, "units: expected more than 0, and at most 1e9");
    if (r.until <= r.from) return refuse(Why::Wrong, "until: expected a time after from");
    if (r.until <= at) return refuse(Why::Wrong, "until: the window is over before this takes effect");
    if (r.until > at + s_.most_ahead) return refuse(Why::TooFar, "until: the window is too far ahead");
    if (!r.plan.empty() && !known(r.plan))
        return refuse(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", r.plan));
    if (plan_for(r, at).empty())
        return refuse(Why::Wrong,
                      "plan: the book assigns this customer none, so name what it is carved from");
    if (reservations_.size() >= s_.most_reservations)
        return refuse(Why::Full,
                      fmt::format("the book holds {} reservations, and no more", s_.most_reservations));
    std::size_t running = 0;
    for (const Reservation* other : reservations_of(r.customer)) running += other->end > at;
    if (running >= s_.most_of_one)
        return refuse(Why::Full, fmt::format("this customer has {} reservations already", running));
    const Reservation made = laid_out(r, at, 0);
    const double fits = room(made, {}) * seconds(made.full - made.start);
    if (r.units > fits * (1.0 + kHair)) {
        Refusal refusal =
            refuse(Why::TooMuch, fmt::format("units: {} cannot be carved from {} until {}; {:.3f} would fit",
                                             r.units, time_text(made.start), time_text(made.full), fits));
        refusal.fits = fits;
        return refusal;
    }
    return std::nullopt;
}

std::optional<Refusal> Book::wrong(const Release& r, TimePoint at) const {
    const Reservation* const held = reservation(r.id);
    if (held == nullptr)
        return refuse(Refusal::Why::Unknown, fmt::format("id: there is no reservation \"{}\"", r.id));
    if (held->end <= at) return refuse(Refusal::Why::Closed, fmt::format("id: {} is over by then", r.id));
    return std::nullopt;
}

// No change may take from under a reservation what is being carved for it.
std::optional<Refusal> Book::overdrawn(const Change& change) const {
    if (reservations_.empty() || std::holds_alternative<Reserve>(change.body) ||
        std::holds_alternative<Release>(change.body))
        return std::nullopt;
    const auto* assign = std::get_if<Assign>(&change.body);
    std::vector<const Reservation*> concerned;
    for (const auto& [id, r] : reservations_) {
        if (r.end <= change.at || r.full <= change.at) continue;
        if (assign == nullptr || r.made.customer == assign->customer) concerned.push_back(&r);
    }
    if (concerned.empty()) return std::nullopt;
    // The book as it would be, as far as those look at it.
    Book after{s_};
    after.plans_ = plans_;
    after.schedule_ = schedule_;
    for (const Reservation* r : concerned) {
        after.reservations_[r->made.id] = *r;
        after.reserved_[r->made.customer].push_back(r->made.id);
        if (const auto it = customers_.find(r->made.customer); it != customers_.end())
            after.customers_[r->made.customer] = it->second;
    }
    after.take(change);
    for (const Reservation* r : concerned) {
        Reservation rest = *r;
        rest.start = std::max(r->start, change.at);
        if (r->carve_rate() > after.room(rest, r->made.id) * (1.0 + kHair)) {
            return refuse(
                Refusal::Why::TooMuch,
                fmt::format("the reservation {} of customer {} could not be carved any more; release it "
                            "first",
                            r->made.id, customer_text(r->made.customer)));
        }
    }
    return std::nullopt;
}

// ---- entries ----

void Book::apply(const Change& c) {
    check(c);
    take(c);
}

void Book::check(const Change& c) const {
    if (c.version != version() + 1)
        throw BadChange(fmt::format("version {} does not follow on {}", c.version, version()));
    if (c.chain != chain_of(chain(), c))
        throw BadChange(fmt::format("version {} is of another book", c.version));
    if (c.against != version_of(subject_of(c.body)))
        throw BadChange(fmt::format("version {} was made against {}", c.version, c.against));
    if (const auto refusal = std::visit([&](const auto& body) { return wrong(body, c.at); }, c.body);
        refusal && refusal->why != Refusal::Why::TooMuch && refusal->why != Refusal::Why::TooFar)
        throw BadChange(fmt::format("version {}: {}", c.version, refusal->text));
}

void Book::take(const Change& c) {
    const std::string subject = subject_of(c.body);
    log_.push_back(c);
    subjects_[subject] = c.version;
    if (!c.request.empty()) requests_[c.request] = c.version;
    schedule_.emplace(c.at, subject);
    if (const auto* d = std::get_if<Define>(&c.body)) {
        plans_[d->plan].entries.push_back({c.version, c.at, *d});
    } else if (const auto* w = std::get_if<Withdraw>(&c.body)) {
        plans_[w->plan].entries.push_back({c.version, c.at, *w});
    } else if (const auto* a = std::get_if<Assign>(&c.body)) {
        customers_[a->customer].entries.push_back({c.version, c.at, a->plan});
    } else if (const auto* r = std::get_if<Reserve>(&c.body)) {
        const Reservation made = laid_out(*r, c.at, c.version);
        reservations_[r->id] = made;
        reserved_[r->customer].push_back(r->id);
        for (const TimePoint at : {made.made.from, made.full, made.end})
            if (at != c.at) schedule_.emplace(at, subject);
    } else if (const auto* gone = std::get_if<Release>(&c.body)) {
        Reservation& held = reservations_.at(gone->id);
        held.end = std::min(held.end, c.at);
    }
}

bool Book::says(const Body& body) const {
    const std::uint64_t newest = version_of(subject_of(body));
    if (newest > 0) return log_[newest - 1].body == body;
    // Nobody ever said anything: the platform's own plans are as they are, and customers have none.
    if (const auto* d = std::get_if<Define>(&body)) {
        const int own = platform_index(d->plan);
        if (own < 0) return false;
        const decision::PlanSettings& p = s_.platform[static_cast<std::size_t>(own)];
        return d->terms == Terms{p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack};
    }
    const auto* a = std::get_if<Assign>(&body);
    return a != nullptr && a->plan.empty();
}

Book::Effects Book::effects_of(const Change& c) const {
    Effects e;
    const auto customer_of = [&](const std::string& id) {
        if (const Reservation* r = reservation(id)) e.customers.insert(r->made.customer);
        e.reservations.insert(id);
    };
    if (const auto* d = std::get_if<Define>(&c.body)) e.plans.insert(d->plan);
    else if (const auto* w = std::get_if<Withdraw>(&c.body)) e.plans.insert(w->plan);
    else if (const auto* a = std::get_if<Assign>(&c.body)) e.customers.insert(a->customer);
    else if (const auto* r = std::get_if<Reserve>(&c.body)) customer_of(r->id);
    else if (const auto* gone = std::get_if<Release>(&c.body)) customer_of(gone->id);
    return e;
}

Book::Effects Book::between(TimePoint from, TimePoint to) const {
    Effects all;
    for (auto it = schedule_.upper_bound(from); it != schedule_.end() && it->first <= to; ++it) {
        const Effects one = effects_of(log_[version_of(it->second) - 1]);
        all.plans.insert(one.plans.begin(), one.plans.end());
        all.customers.insert(one.customers.begin(), one.customers.end());
        all.reservations.insert(one.reservations.begin(), one.reservations.end());
    }
    return all;
}

std::optional<TimePoint> Book::next_after(TimePoint at) const {
    const auto it = schedule_.upper_bound(at);
    if (it == schedule_.end()) return std::nullopt;
    return it->first;
}

}    // namespace shaletray::plans
