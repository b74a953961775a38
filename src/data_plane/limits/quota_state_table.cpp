#include "data_plane/limits/quota_state_table.h"

#include <algorithm>
#include <cmath>

namespace shaletray::limits {
namespace {

using namespace std::chrono_literals;

// A holder stops using a lease before its grantor assumes so: by this fraction of the lease, for clock drift,
// and by this time, for a slow event loop iteration.
constexpr double kClockDrift = 0.02;
constexpr Duration kEventLoopMargin = 50ms;
// Rows of active customers are rewritten this many times within a lease duration.
constexpr int kRenewsPerLease = 4;
// A row of a peer is overdue after this many eighths of a lease duration.
constexpr int kOverdueLeaseEighths = 3;
// A peer without a new row for a lease duration divided by this gets no new lease.
constexpr int kFreshLeaseDivisor = 2;
// Rows are exchanged until this many demand windows after the last request.
constexpr int kExchangeDemandWindows = 5;
constexpr Duration kQuietReadDelay = 3s;    // rows that have not changed for this time are read less often
// A customer without requests for this time is erased, once no lease is outstanding.
constexpr Duration kIdleEraseDelay = 30s;
// Fraction of an equal part of the rate that is added to each demand, so that new traffic is admitted.
constexpr double kMinShareWeight = 0.05;
// Fraction of a baseline: smaller changes of a lease cost more units than they gain.
constexpr double kMinBaselineShift = 0.02;
// As kMinBaselineShift, while no quota bucket is low.
constexpr double kMinCalmBaselineShift = 0.12;
constexpr double kLowLevelFraction = 0.5;    // a bucket is low at or below this fraction of its size
// Fraction of the gateway's own rate: a larger demand needs leases from others.
constexpr double kPressureRateFraction = 0.8;
// Demand is published early if it changed by more than this fraction of itself, plus the larger of the
// following two: units per second, and a fraction of the plan's rate.
constexpr double kMinDemandChangeFraction = 0.25;
constexpr double kMinDemandChangeUnits = 0.3;
constexpr double kMinDemandChangeRateFraction = 0.1;
// Most demand windows over which the demand on a large bucket is averaged.
constexpr int kMaxAveragedWindows = 4;
// Weight of the demand at gateways that hold a part of a small rate limit already.
constexpr double kCurrentHolderWeight = 3.0;
// A rate limit is small if an equal part holds fewer than this many of the largest requests.
constexpr double kSmallShareRequests = 2.0;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}    // namespace

void QuotaTableSettings::validate() const {
    using decision::BadSettings;
    if (gateway_count < 1 || own_index < 0 || own_index >= gateway_count)
        throw BadSettings("quota table: own_index must be 0 to below gateway_count");
    if (plans.empty()) throw BadSettings("quota table: no plans");
    if (incarnation == 0) throw BadSettings("quota table: the incarnation must be above 0");
    if (lease_duration < 500ms || lease_duration > 10min)
        throw BadSettings("quota table: lease must be 500 ms to 10 min");
    if (!(reserve_fraction >= 0.0 && reserve_fraction < 1.0))
        throw BadSettings("quota table: reserve must be 0 to below 1");
    if (!(isolated_quota_share >= 0.0 && isolated_quota_share <= 1.0))
        throw BadSettings("quota table: alone_share must be 0 to 1");
    if (isolation_timeout < Duration(0)) throw BadSettings("quota table: alone_after must not be negative");
    if (demand_window < 100ms) throw BadSettings("quota table: demand_window must be 100 ms or more");
    if (!(max_request_units > 0.0)) throw BadSettings("quota table: most_units must be above 0");
}

void QuotaStateTable::Bucket::refill(TimePoint now) {
    if (now > refilled_at)
        level = std::min(std::max(level, max_level), level + rate * seconds(now - refilled_at));
    refilled_at = std::max(refilled_at, now);
}

QuotaStateTable::QuotaStateTable(QuotaTableSettings settings, TimePoint now)
    : settings_(std::move(settings)),
      started_at_(now),
      lease_hold_time_(Duration(static_cast<std::int64_t>(
                           static_cast<double>(settings_.lease_duration.count()) * (1.0 - kClockDrift))) -
                       kEventLoopMargin) {
    settings_.validate();
    announcement_.incarnation = settings_.incarnation;
}

// ---- a customer ----

QuotaStateTable::Customer* QuotaStateTable::find_customer(CustomerId customer_id) {
    const auto found = customers_.find(customer_id);
    return found == customers_.end() ? nullptr : &found->second;
}

const QuotaStateTable::Customer* QuotaStateTable::find_customer(CustomerId customer_id) const {
    const auto found = customers_.find(customer_id);
    return found == customers_.end() ? nullptr : &found->second;
}

const CustomTerms* QuotaStateTable::find_custom_terms(int plan) const {
    const auto found = custom_terms_.find(plan);
    return found == custom_terms_.end() ? nullptr : &found->second;
}

const decision::PlanSettings* QuotaStateTable::find_terms(int plan) const {
    if (plan >= 0 && static_cast<std::size_t>(plan) < settings_.plans.size())
        return &settings_.plans[static_cast<std::size_t>(plan)];
    const CustomTerms* const terms = find_custom_terms(plan);
    return terms == nullptr ? nullptr : &terms->plan_settings;
}

QuotaStateTable::Customer* QuotaStateTable::track_customer(CustomerId customer_id, int plan_index,
                                                           int first_gateway, int set_size, TimePoint now,
                                                           const CustomerContext& context) {
    if (Customer* customer = find_customer(customer_id)) return customer;
    const bool is_valid = find_terms(plan_index) != nullptr && first_gateway >= 0 &&
                          first_gateway < settings_.gateway_count && set_size >= 1 &&
                          set_size <= settings_.gateway_count && set_size <= kMaxGatewaySet;
    const int own_position =
        is_valid
            ? ((settings_.own_index - first_gateway) % settings_.gateway_count + settings_.gateway_count) %
                  settings_.gateway_count
            : set_size;
    if (!is_valid || own_position >= set_size) return nullptr;
    if (customers_.size() >= settings_.max_customers) {
        ++statistics_.untracked_customers;
        return nullptr;
    }
    Customer& customer = customers_[customer_id];
    customer.plan_index = plan_index;
    customer.first_gateway = first_gateway;
    customer.set_size = set_size;
    customer.position = own_position;
    customer.tracked_since = customer.last_request_at = customer.demand_at = now;
    for (int position = 0; position < set_size; ++position) {
        if (position == own_position) continue;
        PeerState peer;
        peer.gateway_index = (first_gateway + position) % settings_.gateway_count;
        peer.position = position;
        customer.peers.push_back(peer);
    }
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    const double quota_part = base_quota_share(customer);
    double initial_units = context.idle_quota_units < 0.0
                               ? plan_settings.burst
                               : std::min(plan_settings.burst, context.idle_quota_units);
    const CustomTerms* const account = find_custom_terms(plan_index);
    if (account != nullptr && account->is_account && account->accrual_starts_at != TimePoint{})
        initial_units =
            std::min(plan_settings.burst,
                     plan_settings.rate * seconds(std::max(Duration(0), now - account->accrual_starts_at)));
    customer.reserved_rate = context.reserved_rate;
    customer.quota_bucket = {initial_units * quota_part, plan_settings.burst * quota_part,
                             std::max(0.0, plan_settings.rate - customer.reserved_rate) * quota_part, now};
    if (account != nullptr)
        customer.quota_bucket.level = std::max(0.0, customer.quota_bucket.level - account->spent_units);
    // An earlier incarnation may have used up the rate limit, so the bucket accrues from this start: by the
    // reserve, which is never leased, during the first lease duration, and by the entire baseline afterwards.
    const double own_baseline = baseline_share(customer, customer.position);
    const double seconds_in_first_lease = seconds(std::min(now - started_at_, settings_.lease_duration));
    const double seconds_after_first_lease =
        seconds(std::max(Duration(0), now - started_at_ - settings_.lease_duration));
    const double rate_limit_part = rate_limit_share(customer, now);
    customer.rate_bucket = {0.0, plan_settings.ceiling_burst * rate_limit_part,
                            plan_settings.ceiling_rate * rate_limit_part, now};
    customer.rate_bucket.level =
        std::min(customer.rate_bucket.max_level,
                 plan_settings.ceiling_rate * own_baseline *
                     (reserve_share(customer) * seconds_in_first_lease + seconds_after_first_lease));
    if (context.idle_rate_units >= 0.0)
        customer.rate_bucket.level =
            std::min(customer.rate_bucket.level, context.idle_rate_units * rate_limit_part);
    return &customer;
}

// If an equal part of the rate limit would barely hold a large request, only some gateways hold any of it at
// a time, in equal parts.
bool QuotaStateTable::has_small_rate_limit(const Customer& customer) const {
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    return plan_settings.ceiling_rate > 0.0 &&
           plan_settings.ceiling_burst / customer.set_size <
               kSmallShareRequests * std::max(1.0, settings_.max_request_units);
}

// Number of gateways that own a baseline. A small rate limit is held by the first gateways of the set only,
// as in the decision module without this table.
int QuotaStateTable::baseline_holders(const Customer& customer) const {
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    if (plan_settings.ceiling_rate <= 0.0) return customer.set_size;
    return std::clamp(
        static_cast<int>(plan_settings.ceiling_burst / std::max(1.0, settings_.max_request_units)), 1,
        customer.set_size);
}

double QuotaStateTable::baseline_share(const Customer& customer, int position) const {
    const int holders = baseline_holders(customer);
    return position < holders ? 1.0 / holders : 0.0;
}

double QuotaStateTable::reserve_share(const Customer& customer) const {
    return has_small_rate_limit(customer) ? 0.0 : settings_.reserve_fraction;
}

// Leases granted by an earlier incarnation may be in use until a lease duration after this start, unless
// every peer has acknowledged this incarnation before.
bool QuotaStateTable::may_have_prior_leases(const Customer& customer, TimePoint now) const {
    if (customer_plan(customer).ceiling_rate <= 0.0 || now - started_at_ >= settings_.lease_duration)
        return false;
    return std::any_of(customer.peers.begin(), customer.peers.end(),
                       [](const PeerState& peer) { return !peer.acknowledged_incarnation; });
}

std::uint32_t QuotaStateTable::lease_liability(const PeerState& peer) {
    std::uint32_t max_lease = 0;
    for (const WrittenLease& written : peer.outstanding_leases)
        max_lease = std::max(max_lease, written.lease_parts);
    return max_lease;
}

std::uint32_t QuotaStateTable::retained_baseline(const Customer& customer) const {
    std::uint32_t leased_out = 0;
    for (const PeerState& peer : customer.peers) leased_out += lease_liability(peer);
    return leased_out >= kFullBaseline ? 0 : kFullBaseline - leased_out;
}

bool QuotaStateTable::is_fresh(const PeerState& peer, TimePoint now) const {
    return peer.is_known && now - peer.last_row_at < settings_.lease_duration / kFreshLeaseDivisor;
}

// Whether a gateway of the set is silent: it may be down, or partitioned from this one and still granting.
bool QuotaStateTable::has_silent_peer(const Customer& customer, TimePoint now) const {
    if (now >= customer.exchange_until || now - customer.tracked_since < settings_.isolation_timeout)
        return false;
    return std::any_of(customer.peers.begin(), customer.peers.end(),
                       [&](const PeerState& peer) { return !is_fresh(peer, now); });
}

// Isolation outlasts the silence a little, since it takes a few rows until leases follow demand again.
bool QuotaStateTable::is_isolated(const Customer& customer, TimePoint now) const {
    return now < customer.isolated_until || has_silent_peer(customer, now);
}

double QuotaStateTable::rate_limit_share(const Customer& customer, TimePoint now) const {
    if (customer_plan(customer).ceiling_rate <= 0.0) return 0.0;
    const double reserve = reserve_share(customer);
    const double retained = may_have_prior_leases(customer, now)
                                ? 0.0
                                : static_cast<double>(retained_baseline(customer)) / kFullBaseline;
    double share = baseline_share(customer, customer.position) * (reserve + (1.0 - reserve) * retained);
    for (const PeerState& peer : customer.peers)
        share += baseline_share(customer, peer.position) * (1.0 - reserve) *
                 static_cast<double>(peer.lease_received) / kFullBaseline;
    return share;
}

double QuotaStateTable::base_quota_share(const Customer& customer) const {
    double share = baseline_share(customer, customer.position) *
                   static_cast<double>(retained_baseline(customer)) / kFullBaseline;
    for (const PeerState& peer : customer.peers)
        share += baseline_share(customer, peer.position) * static_cast<double>(peer.lease_received) /
                 kFullBaseline;
    return share;
}

// A gateway without recent rows of all peers grants part of their quota too, up to isolated_quota_share.
double QuotaStateTable::quota_share(const Customer& customer, TimePoint now) const {
    const double share = base_quota_share(customer);
    if (!has_silent_peer(customer, now))
        return now < customer.isolated_until ? std::max(share, customer.isolated_share) : share;
    double fresh_baseline = baseline_share(customer, customer.position);
    for (const PeerState& peer : customer.peers)
        fresh_baseline += is_fresh(peer, now) ? baseline_share(customer, peer.position) : 0.0;
    const double share_of_fresh = fresh_baseline > 0.0 ? share / fresh_baseline : 1.0;
    return std::max(share, std::min(settings_.isolated_quota_share, share_of_fresh));
}

double QuotaStateTable::rate_limit_share(CustomerId customer_id, TimePoint now) const {
    const Customer* customer = find_customer(customer_id);
    return customer == nullptr ? 0.0 : rate_limit_share(*customer, now);
}

double QuotaStateTable::quota_share(CustomerId customer_id, TimePoint now) const {
    const Customer* customer = find_customer(customer_id);
    return customer == nullptr ? 0.0 : quota_share(*customer, now);
}

// Seconds over which demand is averaged: the time that the quota bucket covers, since shares need not follow
// variations that the bucket absorbs.
double QuotaStateTable::demand_window(const Customer& customer) const {
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    const double min_window = seconds(settings_.demand_window);
    return plan_settings.rate > 0.0 ? std::clamp(plan_settings.burst / plan_settings.rate, min_window,
                                                 kMaxAveragedWindows * min_window)
                                    : min_window;
}

double QuotaStateTable::min_demand_change(const Customer& customer) const {
    return std::max(kMinDemandChangeUnits, kMinDemandChangeRateFraction * customer_plan(customer).rate);
}

double QuotaStateTable::current_demand(const Customer& customer, TimePoint now) const {
    if (now - customer.last_request_at > kExchangeDemandWindows * settings_.demand_window) return 0.0;
    return customer.demand * std::exp(-seconds(now - customer.demand_at) / demand_window(customer));
}

// Whether the gateway's own part may be too small for its demand, so that rows must be exchanged. Without
// pressure no rows are exchanged, and each gateway uses its baseline only.
bool QuotaStateTable::is_under_pressure(Customer& customer, TimePoint now) const {
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    customer.quota_bucket.refill(now);
    customer.rate_bucket.refill(now);
    const auto is_low = [&](const Bucket& bucket) {
        return bucket.max_level < settings_.max_request_units ||
               bucket.level <= kLowLevelFraction * bucket.max_level;
    };
    if (plan_settings.burst > 0.0 && is_low(customer.quota_bucket)) return true;
    if (plan_settings.ceiling_rate > 0.0 && is_low(customer.rate_bucket)) return true;
    return current_demand(customer, now) >
           kPressureRateFraction * baseline_share(customer, customer.position) * plan_settings.rate;
}

// Expires leases. A holder's lease expires before the grantor's record of it, by kClockDrift and
// kEventLoopMargin.
bool QuotaStateTable::update_to_now(Customer& customer, TimePoint now) {
    for (PeerState& peer : customer.peers) {
        if (peer.lease_received > 0 && now >= peer.lease_expires_at) {
            peer.lease_received = 0;
            ++statistics_.leases_expired;
        }
        const std::uint32_t before = lease_liability(peer);
        std::erase_if(peer.outstanding_leases,
                      [&](const WrittenLease& written) { return now >= written.expires_at; });
        if (lease_liability(peer) < before) ++statistics_.leases_reclaimed;
    }
    if (has_silent_peer(customer, now)) {
        customer.isolated_share = quota_share(customer, now);
        customer.isolated_until = now + settings_.isolation_timeout;
    }
    return update_shares(customer, now);
}

bool QuotaStateTable::update_shares(Customer& customer, TimePoint now) {
    const decision::PlanSettings& plan_settings = customer_plan(customer);
    customer.quota_bucket.refill(now);
    customer.rate_bucket.refill(now);
    const double quota_part = quota_share(customer, now), rate_limit_part = rate_limit_share(customer, now);
    const double burst = plan_settings.burst * quota_part;
    if (burst < customer.quota_bucket.max_level &&
        customer.quota_bucket.level > 0.0) {    // units are handed over with the part that is leased out
        const double level = customer.quota_bucket.level * burst / customer.quota_bucket.max_level;
        customer.unreported_units += level - customer.quota_bucket.level;
        customer.quota_bucket.level = level;
    }
    const bool changed = burst != customer.quota_bucket.max_level ||
                         customer.quota_bucket.rate !=
                             std::max(0.0, plan_settings.rate - customer.reserved_rate) * quota_part ||
                         plan_settings.ceiling_burst * rate_limit_part != customer.rate_bucket.max_level ||
                         customer.unreported_units != 0.0;
    customer.quota_bucket.max_level = burst;
    customer.quota_bucket.rate = std::max(0.0, plan_settings.rate - customer.reserved_rate) * quota_part;
    customer.rate_bucket.max_level = plan_settings.ceiling_burst * rate_limit_part;
    customer.rate_bucket.rate = plan_settings.ceiling_rate * rate_limit_part;
    customer.rate_bucket.level = std::min(customer.rate_bucket.level, customer.rate_bucket.max_level);
    return changed;
}

Allowance QuotaStateTable::make_allowance(CustomerId customer_id, Customer& customer) {
    customer.is_reported = true;
    const CustomTerms* const terms = find_custom_terms(customer.plan_index);
    const Customer* const owner =
        terms != nullptr && terms->is_account ? find_customer(terms->owner) : nullptr;
    const Bucket& rate_limit_bucket = owner != nullptr ? owner->rate_bucket : customer.rate_bucket;
    return {customer_id,
            terms != nullptr ? terms->base_plan : customer.plan_index,
            customer.first_gateway,
            customer.set_size,
            customer.quota_bucket.rate,
            customer.quota_bucket.max_level,
            std::exchange(customer.unreported_units, 0.0),
            rate_limit_bucket.rate,
            rate_limit_bucket.max_level,
            rate_limit_bucket.level};
}

// ---- requests ----

std::optional<Allowance> QuotaStateTable::on_request(CustomerId customer_id, int plan_index,
                                                     int first_gateway, int set_size, double units,
                                                     TimePoint now, const CustomerContext& context) {
    Customer* customer = track_customer(customer_id, plan_index, first_gateway, set_size, now, context);
    if (customer == nullptr) return std::nullopt;
    customer->reserved_rate = context.reserved_rate;
    if (customer->plan_index != plan_index && find_terms(plan_index) != nullptr)
        switch_plan(customer_id, *customer, plan_index, now);
    customer->demand = current_demand(*customer, now) + std::max(0.0, units) / demand_window(*customer);
    customer->demand_at = customer->last_request_at = now;
    if (is_under_pressure(*customer, now)) {
        if (now >= customer->exchange_until) announce_customer(customer_id, *customer);
        request_exchange(customer_id, *customer, now + kExchangeDemandWindows * settings_.demand_window, now);
    }
    const double demand_change = std::abs(current_demand(*customer, now) - customer->reported_demand);
    if (now < customer->exchange_until &&
        demand_change > min_demand_change(*customer) + kMinDemandChangeFraction * customer->reported_demand)
        mark_dirty(customer_id, *customer);
    return update_and_report(customer_id, *customer, now);
}

Allowance QuotaStateTable::update_and_report(CustomerId customer_id, Customer& customer, TimePoint now) {
    update_to_now(customer, now);
    schedule_customer(customer_id, customer, now);
    return make_allowance(customer_id, customer);
}

void QuotaStateTable::record_admission(CustomerId customer_id, double units, TimePoint now) {
    Customer* customer = find_customer(customer_id);
    if (customer == nullptr) return;
    customer->quota_bucket.refill(now);
    customer->rate_bucket.refill(now);
    customer->quota_bucket.level -= units;
    if (const CustomTerms* terms = find_custom_terms(customer->plan_index);
        terms != nullptr && terms->is_account) {
        if (Customer* owner = find_customer(terms->owner)) {
            owner->rate_bucket.refill(now);
            if (customer_plan(*owner).ceiling_rate > 0.0) owner->rate_bucket.level -= units;
        }
        return;
    }
    // Without a rate limit nothing is charged, so that a later plan's rate limit does not start in debt.
    if (customer_plan(*customer).ceiling_rate > 0.0) customer->rate_bucket.level -= units;
}

void QuotaStateTable::settle_units(CustomerId customer_id, double difference, TimePoint now) {
    Customer* customer = find_customer(customer_id);
    if (customer == nullptr) return;
    customer->quota_bucket.refill(now);
    // Units that are returned cannot exceed the bucket.
    customer->quota_bucket.level =
        std::min(customer->quota_bucket.level - difference, customer->quota_bucket.max_level);
}

// ---- plans that change at runtime ----

void QuotaStateTable::define_terms(int plan, CustomTerms terms) {
    if (plan >= 0 && static_cast<std::size_t>(plan) < settings_.plans.size())
        throw decision::BadSettings("quota table: plans of the settings cannot be redefined");
    custom_terms_.emplace(plan, std::move(terms));
}

// Units accrue only by the rate over time: over any sequence of plans a customer gets at most the largest
// burst once and the largest rate.
void QuotaStateTable::switch_plan(CustomerId customer_id, Customer& customer, int new_plan, TimePoint now) {
    customer.quota_bucket.refill(now);
    customer.rate_bucket.refill(now);
    const int old_holders = baseline_holders(customer);
    customer.plan_index = new_plan;
    ++statistics_.plan_switches;
    // A lease is a part of a baseline, and invalid once the baselines have changed.
    if (baseline_holders(customer) != old_holders) {
        for (PeerState& peer : customer.peers) peer.lease_received = peer.lease_credited = 0;
    }
    const double max_level = customer_plan(customer).burst * quota_share(customer, now);
    const double level = std::min(customer.quota_bucket.level, max_level);
    customer.unreported_units += level - customer.quota_bucket.level;
    customer.quota_bucket.level = level;
    customer.quota_bucket.max_level = max_level;
    update_shares(customer, now);
    if (now < customer.exchange_until) mark_dirty(customer_id, customer);
}

std::optional<Allowance> QuotaStateTable::set_plan(CustomerId customer_id, int plan, double reserved_rate,
                                                   TimePoint now) {
    Customer* const customer = find_customer(customer_id);
    if (customer == nullptr || find_terms(plan) == nullptr ||
        (customer->plan_index == plan && customer->reserved_rate == reserved_rate))
        return std::nullopt;
    customer->quota_bucket.refill(now);
    customer->reserved_rate = reserved_rate;
    if (customer->plan_index != plan) switch_plan(customer_id, *customer, plan, now);
    update_to_now(*customer, now);
    schedule_customer(customer_id, *customer, now);
    if (!customer->is_reported) return std::nullopt;
    return make_allowance(customer_id, *customer);
}

std::optional<Allowance> QuotaStateTable::close_account(CustomerId customer_id, TimePoint now) {
    Customer* const customer = find_customer(customer_id);
    if (customer == nullptr) return std::nullopt;
    customer->quota_bucket.refill(now);
    const double remaining = customer->quota_bucket.level;    // if below 0, the owner's quota pays the debt
    const CustomTerms* const terms = find_custom_terms(customer->plan_index);
    Customer* const owner = terms == nullptr ? nullptr : find_customer(terms->owner);
    const CustomerId owner_id = terms == nullptr ? CustomerId{} : terms->owner;
    erase_customer(customer_id);
    if (owner == nullptr) return std::nullopt;    // not tracked: its bucket starts full
    owner->quota_bucket.refill(now);
    const double returned =
        std::min(remaining, std::max(0.0, owner->quota_bucket.max_level - owner->quota_bucket.level));
    owner->quota_bucket.level += returned;
    owner->unreported_units += returned;
    if (!owner->is_reported) return std::nullopt;
    return make_allowance(owner_id, *owner);
}

double QuotaStateTable::quota_level(CustomerId customer_id, TimePoint now) {
    Customer* const customer = find_customer(customer_id);
    if (customer == nullptr) return 0.0;
    customer->quota_bucket.refill(now);
    return customer->quota_bucket.level;
}

std::optional<Allowance> QuotaStateTable::refresh_allowance(CustomerId customer_id, TimePoint now) {
    Customer* const customer = find_customer(customer_id);
    if (customer == nullptr || !customer->is_reported) return std::nullopt;
    update_to_now(*customer, now);
    return make_allowance(customer_id, *customer);
}

std::vector<CustomerId> QuotaStateTable::tracked_customers() const {
    std::vector<CustomerId> ids;
    ids.reserve(customers_.size());
    for (const auto& [customer_id, customer] : customers_) ids.push_back(customer_id);
    return ids;
}

void QuotaStateTable::erase_customer(CustomerId customer_id) {
    const auto found = customers_.find(customer_id);
    if (found == customers_.end()) return;
    schedule_.erase({found->second.next_due, customer_id});
    dirty_customers_.erase(customer_id);
    exchanging_customers_.erase(customer_id);
    customers_.erase(found);
}

void QuotaStateTable::request_exchange(CustomerId customer_id, Customer& customer, TimePoint exchange_until,
                                       TimePoint now) {
    if (now >= customer.exchange_until) {
        customer.tracked_since = customer.last_changed_at = now;
        mark_dirty(customer_id, customer);
    }
    customer.exchange_until = std::max(customer.exchange_until, exchange_until);
    exchanging_customers_.insert(customer_id);
}

void QuotaStateTable::announce_customer(CustomerId customer_id, const Customer& customer) {
    if (customer.peers.empty()) return;
    const Announcement::Item item{customer_id, customer.plan_index, customer.first_gateway,
                                  customer.set_size};
    announcement_.items.push_back(item);
    ++announcement_.item_count;
    if (announcement_.items.size() > settings_.max_announced_customers)
        announcement_.items.erase(announcement_.items.begin());
}

void QuotaStateTable::mark_dirty(CustomerId customer_id, Customer& customer) {
    if (customer.is_dirty || customer.peers.empty()) return;
    customer.is_dirty = true;
    dirty_customers_.insert(customer_id);
}

void QuotaStateTable::rewrite_all_rows() {
    for (const CustomerId customer_id : exchanging_customers_)
        mark_dirty(customer_id, customers_.at(customer_id));
}

// ---- rows ----

// Each gateway leases out its own baseline in proportion to the known demands of the set. As all gateways do
// so, the parts that a gateway holds add up to its part of the total demand.
void QuotaStateTable::divide_baseline(Customer& customer, TimePoint now) {
    struct Share {
        PeerState* member;    // null: this gateway
        double weight, demand;
        std::uint32_t lease = 0;
    };
    std::vector<Share> shares{{nullptr, 0.0, current_demand(customer, now)}};
    for (PeerState& peer : customer.peers) {
        if (is_fresh(peer, now)) shares.push_back({&peer, 0.0, peer.demand});
    }
    const double base_weight =
        kMinShareWeight * std::max(1e-3, customer_plan(customer).rate) / customer.set_size;
    double total_weight = 0.0;
    for (Share& share : shares) total_weight += share.demand;
    const bool may_lease = baseline_share(customer, customer.position) > 0.0 &&
                           !may_have_prior_leases(customer, now) && total_weight > 0.0;
    if (may_lease && has_small_rate_limit(customer)) {
        const auto position_of = [&](const Share& share) {
            return share.member == nullptr ? customer.position : share.member->position;
        };
        for (Share& share : shares) {
            const bool holds =
                share.member == nullptr ? retained_baseline(customer) > 0 : share.member->lease_granted > 0;
            share.weight = share.demand * (holds ? kCurrentHolderWeight : 1.0);
        }
        std::erase_if(shares, [](const Share& share) { return share.weight <= 0.0; });
        std::sort(shares.begin(), shares.end(), [&](const Share& left, const Share& right) {
            return left.weight != right.weight ? left.weight > right.weight
                                               : position_of(left) < position_of(right);
        });
        if (shares.size() > static_cast<std::size_t>(baseline_holders(customer)))
            shares.resize(static_cast<std::size_t>(baseline_holders(customer)));
        for (Share& share : shares) share.lease = kFullBaseline / static_cast<std::uint32_t>(shares.size());
    } else if (may_lease) {
        total_weight += base_weight * static_cast<double>(shares.size());
        for (Share& share : shares)
            share.lease =
                static_cast<std::uint32_t>((share.demand + base_weight) / total_weight * kFullBaseline);
    }
    // This gateway keeps the other parts. Small changes are skipped, except those that begin or end a lease.
    std::map<PeerState*, std::uint32_t> target_leases;
    bool must_change = false,
         bucket_is_low = customer.quota_bucket.level <= kLowLevelFraction * customer.quota_bucket.max_level;
    for (const PeerState& peer : customer.peers)
        bucket_is_low = bucket_is_low || (is_fresh(peer, now) && peer.fill_level <= kLowLevelFraction);
    const double min_shift =
        bucket_is_low || has_small_rate_limit(customer) ? kMinBaselineShift : kMinCalmBaselineShift;
    for (const Share& share : shares) {
        if (share.member != nullptr && may_lease) target_leases[share.member] = share.lease;
    }
    for (PeerState& peer : customer.peers) {
        const std::uint32_t target_lease = target_leases.contains(&peer) ? target_leases[&peer] : 0;
        const double relative_change =
            std::abs(static_cast<double>(target_lease) - static_cast<double>(peer.lease_granted)) /
            kFullBaseline;
        must_change = must_change || relative_change > min_shift ||
                      (relative_change > 0.0 && (target_lease == 0 || peer.lease_granted == 0));
    }
    if (!must_change) return;
    for (PeerState& peer : customer.peers)
        peer.lease_granted =
            std::min(peer.lease_granted, target_leases.contains(&peer) ? target_leases[&peer] : 0);
    for (PeerState& peer : customer.peers) {
        const std::uint32_t target_lease = target_leases.contains(&peer) ? target_leases[&peer] : 0;
        if (target_lease <= peer.lease_granted) continue;
        // Parts that another gateway may still use are not leased again: the lease grows with a later row.
        const std::uint32_t available_parts = lease_liability(peer) + retained_baseline(customer);
        std::uint32_t pending_increases = 0;    // increases within this row that are not recorded yet
        for (const PeerState& other : customer.peers)
            pending_increases += &other != &peer && other.lease_granted > lease_liability(other)
                                     ? other.lease_granted - lease_liability(other)
                                     : 0;
        const std::uint32_t max_parts =
            available_parts > pending_increases ? available_parts - pending_increases : 0;
        peer.lease_granted = std::max(peer.lease_granted, std::min(target_lease, max_parts));
    }
}

QuotaRow QuotaStateTable::make_row(Customer& customer, TimePoint now) {
    divide_baseline(customer, now);
    const auto age = static_cast<std::uint64_t>(std::max(Duration(0), now - started_at_).count());
    customer.last_row_stamp = std::max(customer.last_row_stamp + 1, age);
    customer.last_written_at = now;
    QuotaRow row;
    row.incarnation = settings_.incarnation;
    row.row_stamp = customer.last_row_stamp;
    row.plan_index = customer.plan_index;
    row.first_gateway = customer.first_gateway;
    row.set_size = customer.set_size;
    row.demand = std::min(1e9, customer.reported_demand = current_demand(customer, now));
    row.peer_entries.resize(static_cast<std::size_t>(customer.set_size));
    for (PeerState& peer : customer.peers) {
        QuotaRow::PeerEntry& entry = row.peer_entries[static_cast<std::size_t>(peer.position)];
        if (peer.is_known) entry = {peer.incarnation, peer.row_stamp, peer.lease_granted};
        else peer.lease_granted = 0;    // without an echo the peer cannot determine the lease's age
        if (!peer.outstanding_leases.empty() &&
            peer.outstanding_leases.back().lease_parts == peer.lease_granted)
            peer.outstanding_leases.pop_back();
        // A lease of zero needs no record unless an earlier one may be in use.
        if (peer.lease_granted > 0 || !peer.outstanding_leases.empty())
            peer.outstanding_leases.push_back(
                {customer.last_row_stamp, peer.lease_granted, now + settings_.lease_duration});
    }
    update_shares(customer,
                  now);    // before the row is published, since peers may use its leases from then on
    row.fill_level = customer.quota_bucket.max_level > 0.0
                         ? std::clamp(customer.quota_bucket.level / customer.quota_bucket.max_level, 0.0, 1.0)
                         : 0.0;
    customer.last_row = row;
    return row;
}

std::vector<std::pair<CustomerId, QuotaRow>> QuotaStateTable::rows_due(TimePoint now, std::size_t max_rows) {
    std::vector<std::pair<CustomerId, QuotaRow>> rows;
    while (rows.size() < max_rows && !dirty_customers_.empty()) {
        // In rotation, so that many new customers cannot delay the renewal of other customers' leases.
        auto found = dirty_customers_.upper_bound(in_force_cursor_);
        if (found == dirty_customers_.end()) found = dirty_customers_.begin();
        const CustomerId customer_id = in_force_cursor_ = *found;
        dirty_customers_.erase(found);
        Customer& customer = customers_.at(customer_id);
        customer.is_dirty = false;
        update_to_now(customer, now);
        rows.emplace_back(customer_id, make_row(customer, now));
        schedule_customer(customer_id, customer, now);
    }
    return rows;
}

std::vector<std::pair<CustomerId, QuotaRow>> QuotaStateTable::rows_in_force(std::size_t max_rows) {
    std::vector<std::pair<CustomerId, QuotaRow>> rows;
    for (std::size_t count = 0; count < exchanging_customers_.size() && rows.size() < max_rows; ++count) {
        auto found = exchanging_customers_.upper_bound(in_force_cursor_);
        if (found == exchanging_customers_.end()) found = exchanging_customers_.begin();
        in_force_cursor_ = *found;
        const Customer& customer = customers_.at(*found);
        if (customer.last_row_stamp > 0) rows.emplace_back(*found, customer.last_row);
    }
    return rows;
}

std::vector<std::pair<CustomerId, int>> QuotaStateTable::rows_to_read(TimePoint now, std::size_t max_rows,
                                                                      bool include_all) {
    std::vector<std::pair<CustomerId, int>> rows;
    for (std::size_t count = 0; count < exchanging_customers_.size() && rows.size() < max_rows; ++count) {
        auto found = exchanging_customers_.upper_bound(read_cursor_);
        if (found == exchanging_customers_.end()) found = exchanging_customers_.begin();
        read_cursor_ = *found;
        Customer& customer = customers_.at(*found);
        // Rows that have not changed for a while are read only twice per renewal interval.
        const bool is_unchanged =
            now - customer.last_changed_at > kQuietReadDelay &&
            now - customer.last_read_at < settings_.lease_duration / (2 * kRenewsPerLease);
        if (is_unchanged && !include_all) continue;
        customer.last_read_at = now;
        for (const PeerState& peer : customer.peers) rows.emplace_back(*found, peer.gateway_index);
    }
    return rows;
}

bool QuotaStateTable::on_row(CustomerId customer_id, int sender, const QuotaRow& row, TimePoint now) {
    Customer* customer = find_customer(customer_id);
    if (customer == nullptr) return false;
    const auto position = std::find_if(customer->peers.begin(), customer->peers.end(),
                                       [&](const PeerState& peer) { return peer.gateway_index == sender; });
    if (position == customer->peers.end() || row.plan_index != customer->plan_index ||
        row.first_gateway != customer->first_gateway || row.set_size != customer->set_size ||
        row.peer_entries.size() != static_cast<std::size_t>(customer->set_size)) {
        ++statistics_.rows_ignored;
        return false;
    }
    PeerState& sender_peer = *position;
    const QuotaRow::PeerEntry& entry = row.peer_entries[static_cast<std::size_t>(customer->position)];
    const bool echoes_own_incarnation = entry.echo_incarnation == settings_.incarnation;
    const auto row_age = static_cast<std::uint64_t>(std::max(Duration(0), now - started_at_).count());
    if (echoes_own_incarnation &&
        entry.echo_stamp >
            row_age + 1'000'000) {    // never written by this incarnation: the store's content is invalid
        ++statistics_.rows_ignored;
        return false;
    }
    if (sender_peer.is_known && row.incarnation == sender_peer.incarnation &&
        row.row_stamp <= sender_peer.row_stamp) {
        statistics_.rows_ignored += row.row_stamp < sender_peer.row_stamp;
        return false;
    }
    const bool is_new_incarnation = !sender_peer.is_known || row.incarnation != sender_peer.incarnation;
    if (sender_peer.is_known && is_new_incarnation) {
        // A row with a lower incarnation comes from a store that lost newer data, or from a gateway that
        // started after its machine's clock was set back. It is accepted only after a lease duration of
        // silence, when all earlier leases have expired.
        if (row.incarnation < sender_peer.incarnation &&
            now - sender_peer.last_row_at < settings_.lease_duration) {
            ++statistics_.rows_ignored;
            return false;
        }
        // After a lower incarnation was accepted, the last row of the higher one must not take effect.
        if (row.incarnation > sender_peer.incarnation && now < sender_peer.reject_higher_until) {
            ++statistics_.rows_ignored;
            return false;
        }
        if (row.incarnation < sender_peer.incarnation)
            sender_peer.reject_higher_until = now + settings_.lease_duration;
        ++statistics_.peer_restarts;
        sender_peer.lease_received = sender_peer.lease_credited = 0;
    }
    ++statistics_.rows_received;
    const bool is_significant = is_new_incarnation || std::abs(row.demand - sender_peer.demand) >
                                                          min_demand_change(*customer) +
                                                              kMinDemandChangeFraction * sender_peer.demand;
    sender_peer.is_known = true;
    sender_peer.incarnation = row.incarnation;
    sender_peer.row_stamp = row.row_stamp;
    sender_peer.last_row_at = now;
    sender_peer.demand = row.demand;
    sender_peer.fill_level = row.fill_level;
    const std::uint32_t old_lease = sender_peer.lease_received, old_liability = lease_liability(sender_peer);
    sender_peer.lease_received = 0;
    if (echoes_own_incarnation) {
        sender_peer.acknowledged_incarnation = true;
        // Its lease is no older than this gateway's row that it echoes, whose time is known by the own clock.
        sender_peer.lease_expires_at =
            started_at_ + Duration(static_cast<std::int64_t>(entry.echo_stamp)) + lease_hold_time_;
        if (now < sender_peer.lease_expires_at) sender_peer.lease_received = entry.lease_parts;
        std::erase_if(sender_peer.outstanding_leases,
                      [&](const WrittenLease& written) { return written.row_stamp < entry.echo_stamp; });
    }
    const decision::PlanSettings& plan_settings = customer_plan(*customer);
    const auto units = [&](int baseline_position, std::uint32_t lease) {
        return baseline_share(*customer, baseline_position) * plan_settings.burst * sender_peer.fill_level *
               static_cast<double>(lease) / kFullBaseline;
    };
    update_shares(*customer, now);
    double moved_units = 0.0;
    if (sender_peer.lease_received > sender_peer.lease_credited)
        moved_units += units(sender_peer.position, sender_peer.lease_received - sender_peer.lease_credited);
    sender_peer.lease_credited =
        echoes_own_incarnation
            ? (sender_peer.lease_received > 0 ? sender_peer.lease_received
                                              : std::min(sender_peer.lease_credited, entry.lease_parts))
            : 0;
    if (lease_liability(sender_peer) < old_liability) {
        moved_units += units(customer->position, old_liability - lease_liability(sender_peer));
        ++statistics_.leases_acknowledged;
    }
    moved_units = std::clamp(moved_units, 0.0,
                             std::max(0.0, customer->quota_bucket.max_level - customer->quota_bucket.level));
    customer->unreported_units += moved_units;
    customer->quota_bucket.level += moved_units;
    if (row.demand > 0.0)
        request_exchange(customer_id, *customer, now + settings_.lease_duration / kFreshLeaseDivisor, now);
    // Acknowledged early if the peer waits for that, or if the row changes how this gateway's baseline is
    // divided.
    if (is_significant || sender_peer.lease_received != old_lease ||
        lease_liability(sender_peer) != old_liability) {
        customer->last_changed_at = now;
        mark_dirty(customer_id, *customer);
    }
    schedule_customer(customer_id, *customer, now);
    // The decision module gets the change with the next request or tick.
    schedule_.erase({customer->next_due, customer_id});
    customer->next_due = now;
    schedule_.emplace(now, customer_id);
    return true;
}

bool QuotaStateTable::is_overdue(CustomerId customer_id, int gateway_index, TimePoint now) const {
    const Customer* customer = find_customer(customer_id);
    if (customer == nullptr) return false;
    for (const PeerState& peer : customer->peers) {
        if (peer.gateway_index != gateway_index) continue;
        return peer.is_known ? now - peer.last_row_at > settings_.lease_duration * kOverdueLeaseEighths / 8
                             : now - customer->tracked_since > settings_.lease_duration / kFreshLeaseDivisor;
    }
    return false;
}

Announcement QuotaStateTable::announcement() const { return announcement_; }

void QuotaStateTable::on_announcement(int sender, const Announcement& announcement, TimePoint now) {
    if (sender == settings_.own_index || sender < 0 || sender >= settings_.gateway_count) return;
    auto& [last_incarnation, last_count] = announcements_read_[sender];
    if (last_incarnation != announcement.incarnation) last_count = 0;
    last_incarnation = announcement.incarnation;
    if (announcement.item_count <= last_count) return;
    const std::uint64_t first_item = announcement.item_count - announcement.items.size() + 1;
    for (std::size_t index = 0; index < announcement.items.size(); ++index) {
        if (first_item + index <= last_count) continue;
        const Announcement::Item& item = announcement.items[index];
        const bool was_tracked = find_customer(item.customer) != nullptr;
        Customer* customer =
            track_customer(item.customer, item.plan_index, item.first_gateway, item.set_size, now);
        if (customer == nullptr) continue;
        if (!was_tracked) customer->last_request_at = now - kExchangeDemandWindows * settings_.demand_window;
        ++statistics_.announcements_received;
        request_exchange(item.customer, *customer, now + settings_.lease_duration / kFreshLeaseDivisor, now);
        schedule_customer(item.customer, *customer, now);
    }
    last_count = announcement.item_count;
}

// ---- time ----

bool QuotaStateTable::can_be_erased(const Customer& customer, TimePoint now) const {
    // Once every written row is older than a lease duration, an echo of one cannot renew a lease.
    if (now < customer.exchange_until || now - customer.last_request_at < kIdleEraseDelay ||
        now - customer.last_written_at <= settings_.lease_duration + kEventLoopMargin)
        return false;
    for (const PeerState& peer : customer.peers) {
        if (peer.lease_received > 0 || !peer.outstanding_leases.empty()) return false;
    }
    return customer.quota_bucket.level >= customer.quota_bucket.max_level - 1e-9 &&
           customer.rate_bucket.level >= customer.rate_bucket.max_level - 1e-9;
}

// Rewrites rows before their leases expire, and announces the customer again if a peer is silent.
void QuotaStateTable::renew_leases(CustomerId customer_id, Customer& customer, TimePoint now) {
    if (now < customer.last_written_at + settings_.lease_duration / kRenewsPerLease) return;
    mark_dirty(customer_id, customer);
    const bool a_peer_is_silent = std::any_of(customer.peers.begin(), customer.peers.end(),
                                              [&](const PeerState& peer) { return !is_fresh(peer, now); });
    if (a_peer_is_silent && current_demand(customer, now) > 0.0) announce_customer(customer_id, customer);
}

void QuotaStateTable::schedule_customer(CustomerId customer_id, Customer& customer, TimePoint now) {
    TimePoint next_due = now + kIdleEraseDelay;
    const auto consider = [&](TimePoint time) {
        if (time > now) next_due = std::min(next_due, time);
    };
    for (const PeerState& peer : customer.peers) {
        if (peer.lease_received > 0) consider(peer.lease_expires_at);
        for (const WrittenLease& written : peer.outstanding_leases) consider(written.expires_at);
        if (peer.is_known) consider(peer.last_row_at + settings_.lease_duration / kFreshLeaseDivisor);
    }
    consider(customer.tracked_since + settings_.isolation_timeout);
    consider(customer.isolated_until);
    consider(started_at_ + settings_.lease_duration);
    if (now < customer.exchange_until) {
        consider(customer.exchange_until);
        if (customer.last_row_stamp > 0 && !customer.is_dirty) renew_leases(customer_id, customer, now);
        if (customer.last_row_stamp > 0)
            consider(customer.last_written_at + settings_.lease_duration / kRenewsPerLease);
    } else {
        consider(customer.last_written_at + settings_.lease_duration + 2 * kEventLoopMargin);
        consider(customer.last_request_at + kIdleEraseDelay);
    }
    if (next_due == customer.next_due) return;
    schedule_.erase({customer.next_due, customer_id});
    customer.next_due = next_due;
    schedule_.emplace(next_due, customer_id);
}

void QuotaStateTable::tick(TimePoint now, std::vector<Allowance>& changed) {
    while (!schedule_.empty() && schedule_.begin()->first <= now) {
        const CustomerId customer_id = schedule_.begin()->second;
        schedule_.erase(schedule_.begin());
        Customer& customer = customers_.at(customer_id);
        customer.next_due = TimePoint{};
        if (update_to_now(customer, now) || customer.unreported_units != 0.0) {
            if (customer.is_reported) changed.push_back(make_allowance(customer_id, customer));
        }
        if (now >= customer.exchange_until) {
            exchanging_customers_.erase(customer_id);
        }
        if (can_be_erased(customer, now)) {
            erase_customer(customer_id);
            continue;
        }
        schedule_customer(customer_id, customer, now);
    }
}

std::optional<TimePoint> QuotaStateTable::next_deadline() const {
    if (schedule_.empty()) return std::nullopt;
    return schedule_.begin()->first;
}

QuotaTableStatistics QuotaStateTable::statistics(TimePoint now) const {
    QuotaTableStatistics result = statistics_;
    result.tracked_customers = customers_.size();
    result.exchanging_customers = exchanging_customers_.size();
    for (const CustomerId customer_id : exchanging_customers_)
        result.isolated_customers += is_isolated(customers_.at(customer_id), now);
    return result;
}

QuotaStateTable::AdmissionBound QuotaStateTable::admission_bound(const QuotaTableSettings& settings,
                                                                 int plan_index, int set_size,
                                                                 Duration time) {
    const decision::PlanSettings& plan_settings = settings.plans.at(static_cast<std::size_t>(plan_index));
    const double quota_units = plan_settings.rate * seconds(time) + plan_settings.burst;
    // At each gateway, a bucket that is not in debt admits one request of any size.
    const double overdraft = set_size * settings.max_request_units;
    return {quota_units + overdraft,
            quota_units * (1.0 + (set_size - 1) * settings.isolated_quota_share) + overdraft};
}

}    // namespace shaletray::limits
