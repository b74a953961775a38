// Where a request meets the plan book: which plan it is judged under, which account it draws on, and what the
// decisions must know of that. Pure; it holds the book and speaks to the ledger.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "data_plane/limits/quota_state_table.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray::plans {

using decision::Allowance;
using limits::Ledger;

struct DeskStats {
    std::uint64_t changes = 0;         // taken into the book in this life
    std::uint64_t late = 0;            // heard of after their time
    Duration latest{0};                // by how much, at most
    Duration behind{0};                // from a change's time until it was acted on here, at most
    std::uint64_t redeemed = 0;        // tries that drew on a reservation
    std::uint64_t not_redeemed = 0;    // tries that named one which is not open, not theirs or used up
    std::size_t open = 0;              // reservations that may be drawn on now
};

class Desk {
public:
    // `redeemed`: units that this gateway drew on reservations in earlier lives, by version.
    Desk(Book book, Ledger& ledger, TimePoint now, std::map<std::uint64_t, double> redeemed = {});

    // How a request is judged and billed, for all of its attempts.
    struct Ruling {
        CustomerId account{};    // the module's customer: the customer, or its reservation's account
        int plan_index = 0;      // the module's
        std::uint64_t plan_version = 0, reservation = 0;
    };
    // Appends what the module must be told before the request.
    Ruling rule(CustomerId customer, int asked_plan, int first, int width, double units,
                const std::string& reservation, TimePoint now, std::vector<Allowance>& told);
    // It is about to be sent for the first time. Appends what others must be told.
    void admitted(const Ruling& ruling, CustomerId customer, double units, TimePoint now,
                  std::vector<Allowance>& told);
    // Its answer told its true units: whoever paid at admission is charged `difference` more, as
    // Ledger::settled. What was redeemed of a reservation stays counted by the guess.
    void settled(const Ruling& ruling, CustomerId customer, double difference, TimePoint now);

    // Told of each sum that is raised, before the attempt is sent.
    void on_redeemed(std::function<void(std::uint64_t version, double units)> told) {
        redeemed_told_ = std::move(told);
    }

    const Book& book() const { return book_; }
    // The next entry of the book, made here or heard of. Throws BadChange.
    void take(const Change& change, TimePoint now);

    // What has taken effect by now; appends what the module must be told. To be called when `next` is due; a
    // large change is carried out in several calls.
    void due(TimePoint now, std::vector<Allowance>& changed);
    std::optional<TimePoint> next() const;

    // Units drawn on a reservation here, in this life and earlier ones, by its version.
    const std::map<std::uint64_t, double>& redeemed() const { return redeemed_; }
    DeskStats stats(TimePoint now) const;

private:
    struct Known {    // customers that the ledger may track: what their requests said
        int asked_plan = 0;
    };
    static CustomerId account_of(const Reservation& r);
    // Whose quota pays for a request drawn on a reservation: its account, or its owner once it was closed.
    CustomerId payer(const Ruling& ruling, CustomerId customer) const;
    int terms_for(const InForce& f);
    void open(const Reservation& r, int like);
    limits::Standing standing(CustomerId customer, int asked_plan, TimePoint now) const;
    void queue(const Book::Effects& effects);
    void act(TimePoint now, std::vector<Allowance>& changed);
    void settle_reservation(const std::string& id, TimePoint now, std::vector<Allowance>& changed);

    Book book_;
    Ledger& ledger_;
    TimePoint seen_{};    // effects up to here are queued
    std::map<CustomerId, Known> known_;
    std::deque<CustomerId> moving_;    // to be looked at anew
    std::set<std::string> open_;       // reservations whose accounts are open
    std::map<std::uint64_t, double> redeemed_;
    std::function<void(std::uint64_t, double)> redeemed_told_;
    TimePoint acting_since_{};
    DeskStats stats_;
};

}    // namespace shaletray::plans
