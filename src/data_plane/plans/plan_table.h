// The plan book: plans, customers' assignments and reservations as versions with an effective time and an
// author, all kept. Pure: no I/O and no clock. What holds at a time follows from the entries alone: of those
// of a subject whose time has come, the newest. So gateways that have the same entries hold the same, in
// whatever order and however late they heard of them. See docs/design/plans.md.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "data_plane/plans/plan_change.h"

namespace shaletray::plans {

struct BookSettings {
    std::vector<decision::PlanSettings> platform;
    bool book_wins = false;                         // over the plan that a request names
    Duration lead{2'000'000};                       // from a change to its effect, at least
    Duration most_ahead{86'400'000'000LL * 400};    // of an effect or the end of a window
    double most_carved = 0.5;                       // of a customer's rate, by all its reservations at once
    std::size_t most_plans = 1000, most_customers = 1'000'000, most_reservations = 100'000;
    std::size_t most_of_one = 16;    // reservations of one customer that are not over
};

struct Refusal {
    enum class Why { Stale, Unknown, Wrong, Closed, TooMuch, TooFar, Full };
    Why why{};
    std::string text;
    std::uint64_t newest = 0;    // version of the subject
    std::string newest_by;
    std::optional<double> fits;    // TooMuch: the largest amount that would
};
const char* name_of(Refusal::Why why);

// A plan as it is for a customer at a time.
struct InForce {
    int terms = 0;    // of the platform: its index; of the book: kBookTerms + the version that defined them
    int like = 0;     // the platform's plan behind it
    Terms figures;
    std::string plan;
    std::uint64_t version = 0;     // that defined the terms; 0: the platform's own
    std::uint64_t assigned = 0;    // that assigned the plan; 0: the request named it
    bool operator==(const InForce&) const = default;
};
constexpr int kBookTerms = 1024;

struct Reservation {
    Reserve made;
    std::uint64_t version = 0;
    TimePoint start{}, full{};    // carved evenly from start until full
    TimePoint end{};              // it takes nothing from then on: the window's end, or its release
    double carve_rate() const;    // units a second
    // Of its units, carved by then.
    double carved(TimePoint at) const;
    bool carving(TimePoint at) const { return at >= start && at < std::min(full, end); }
    // Not before its change is in effect, however early its window begins.
    bool open(TimePoint at) const { return at >= std::max(made.from, start) && at < end; }
    bool operator==(const Reservation&) const = default;
};

class Book {
public:
    // Throws decision::BadSettings.
    explicit Book(BookSettings settings);

    // What would become of it, without doing it. The same request once more gives the same change.
    std::variant<Change, Refusal> propose(const Proposal& proposal, TimePoint now) const;
    // The next entry. Throws BadChange where it does not follow on from what is here, or makes no sense; the
    // book is as before then.
    void apply(const Change& change);

    // Throws as apply would, and changes nothing: for who must keep the entry before it counts.
    static void check_next(const Book& book, const Change& change) { book.check(change); }

    std::uint64_t version() const { return log_.size(); }
    std::uint64_t chain() const { return log_.empty() ? 0 : log_.back().chain; }
    const std::vector<Change>& log() const { return log_; }
    // The newest version of a subject; 0: none.
    std::uint64_t version_of(const std::string& subject) const;

    InForce in_force(CustomerId customer, int asked_plan, TimePoint at) const;
    // Whether the newest word on a body's subject is just that, in force already or not.
    bool says(const Body& body) const;
    // A plan's own terms, or its successor's; nothing where it has none at that time.
    std::optional<InForce> terms(const std::string& plan, TimePoint at) const { return terms_of(plan, at); }
    // What the book assigns, where the file lets it win or not.
    std::string assigned(CustomerId customer, TimePoint at) const;
    // Units a second that are carved out of the customer's quota.
    double carved(CustomerId customer, TimePoint at) const;
    const Reservation* reservation(const std::string& id) const;
    std::string reservation_name(std::uint64_t version) const;    // empty where that version made none
    const decision::PlanSettings& platform(int plan) const {
        return s_.platform.at(static_cast<std::size_t>(plan));
    }
    // What a customer's stores would hold, over all gateways, had it drawn nothing lately: after a change to
    // a larger plan they are not full at once. Below 0: full.
    struct Rested {
        double quota = -1.0, ceiling = -1.0;
    };
    Rested rested(CustomerId customer, int asked_plan, TimePoint at) const;
    std::vector<const Reservation*> reservations_of(CustomerId customer) const;
    std::vector<std::string> plans() const;    // names, the platform's first
    std::size_t customers_of(const std::string& plan, TimePoint at) const;

    // What takes effect after `from` and by `to`.
    struct Effects {
        std::set<std::string> plans;
        std::set<CustomerId> customers;
        std::set<std::string> reservations;
        bool empty() const { return plans.empty() && customers.empty() && reservations.empty(); }
    };
    Effects between(TimePoint from, TimePoint to) const;
    std::optional<TimePoint> next_after(TimePoint at) const;
    // What the entry changes wherever its time lies: for gateways that hear of it late.
    Effects effects_of(const Change& change) const;

private:
    template <class T>
    struct Versions {    // of one subject, by version
        struct Entry {
            std::uint64_t version;
            TimePoint at;
            T what;
        };
        std::vector<Entry> entries;
        const Entry* at(TimePoint when) const {
            for (auto it = entries.rbegin(); it != entries.rend(); ++it)
                if (it->at <= when) return &*it;
            return nullptr;
        }
    };
    using PlanEntry = std::variant<Define, Withdraw>;

    int platform_index(const std::string& plan) const;
    std::optional<Refusal> wrong(const Define& d, TimePoint at) const;
    std::optional<Refusal> wrong(const Withdraw& w, TimePoint at) const;
    std::optional<Refusal> wrong(const Assign& a, TimePoint at) const;
    std::optional<Refusal> wrong(const Reserve& r, TimePoint at) const;
    std::optional<Refusal> wrong(const Release& r, TimePoint at) const;
    std::optional<Refusal> overdrawn(const Change& change) const;
    bool known(const std::string& plan) const;
    bool closed(const std::string& plan, TimePoint at) const;
    std::optional<InForce> terms_of(const std::string& plan, TimePoint at, int depth = 0) const;
    std::string plan_for(const Reserve& r, TimePoint at) const;
    std::vector<TimePoint> steps(const Reservation& r) const;
    double room(const Reservation& r, const std::string& but) const;
    static Reservation laid_out(const Reserve& r, TimePoint at, std::uint64_t version);
    void check(const Change& change) const;
    void take(const Change& change);

    BookSettings s_;
    std::vector<Change> log_;
    std::map<std::string, Versions<PlanEntry>> plans_;
    std::unordered_map<CustomerId, Versions<std::string>> customers_;
    std::map<std::string, Reservation> reservations_;
    std::unordered_map<CustomerId, std::vector<std::string>> reserved_;
    std::unordered_map<std::string, std::uint64_t> subjects_, requests_;
    std::multimap<TimePoint, std::string> schedule_;    // subjects whose state may change then
};

}    // namespace shaletray::plans
