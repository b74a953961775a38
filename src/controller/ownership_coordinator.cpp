#include "controller/ownership_coordinator.h"

#include <algorithm>
#include <utility>

#include "base/runtime/log_sink.h"
#include "cluster/ownership/grant_rules.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using ownership::Assignment;
using ownership::OwnershipTable;
using runtime::log_event;

// Interval between two checks for changes of the servers.
constexpr Duration kPlanInterval = 100ms;
// Lower bound of the heartbeat interval where the settings give none or a shorter one.
constexpr Duration kMinHeartbeatInterval = 10ms;
// The first voter by address proposes at once, each further voter this much later than the one before it.
constexpr Duration kProposalStagger = 500ms;
// Added to the heartbeat interval, within which every server calls once at its own time.
constexpr Duration kRegistrationMargin = 300ms;
// In heartbeat intervals: after a restart of all controllers, every running server has called again by then.
constexpr int kRegistrationIntervals = 6;
// When most servers of a service go missing at once, they keep their keys for this time.
constexpr Duration kMassLossGracePeriod = 10s;
// Interval between two estimates of the distribution of requests over keys.
constexpr Duration kLoadProfileInterval = 1s;
// Time after a change of the table in which load is not rebalanced. Each voter after the first waits this
// many of its proposal delays longer, since each sees a different sample of the requests.
constexpr Duration kBalancingCooldown = 3s;
constexpr int kBalancingStaggerFactor = 8;

}    // namespace

OwnershipCoordinator::OwnershipCoordinator(Settings settings, const Clock& clock,
                                           OwnershipRegister& replicated_register,
                                           const std::map<std::string, registry::Server>& servers,
                                           Callbacks callbacks)
    : settings_(std::move(settings)),
      clock_(clock),
      register_(replicated_register),
      servers_(servers),
      callbacks_(std::move(callbacks)),
      started_at_(clock.now()),
      log_limiter_(1s) {
    settings_.heartbeat_interval = std::max(settings_.heartbeat_interval, kMinHeartbeatInterval);
}

void OwnershipCoordinator::on_entry_committed() {
    const std::string& bytes = register_.committed_entry().ownership_table;
    if (bytes == table_bytes_) return;
    auto decoded = ownership::decode(bytes);
    if (!decoded) return log_event(LogLevel::Error, "ownership_table_unreadable", {});
    table_bytes_ = bytes;
    table_ = std::move(*decoded);
    // The clock is read after the entry is known: a row's wait must not begin before the row was chosen.
    table_changed_at_ = clock_.now();
    tracker_.on_table(table_, table_changed_at_);
    log_event(LogLevel::Info, "ownership_changed",
              {log_field("version", table_.version), log_field("unsettled", unsettled_rows())});
    request_tick_at(clock_.now());
    callbacks_.table_changed(table_);
}

void OwnershipCoordinator::set_sharded_services(configuration::ServiceNames services) {
    sharded_services_ = std::move(services);
    key_loads_.set_services(sharded_services_);
    request_tick_at(clock_.now());
}

void OwnershipCoordinator::on_heartbeat(const registry::Heartbeat& heartbeat) {
    const registry::Server& server = heartbeat.server;
    if (!table_.services.contains(server.service)) return;
    if (tracker_.on_report(server.service, server.id, heartbeat.holds)) {
        ++statistics_.settled_by_release;
        propose_settled(clock_.now(), false);
    }
    if (is_plan_due(server.service, server.id)) {
        is_urgent_ = true;
        propose_plan(clock_.now());
    }
}

void OwnershipCoordinator::on_key_samples(const std::vector<ownership::KeySamples>& key_samples) {
    for (const ownership::KeySamples& samples : key_samples) key_loads_.add(samples, clock_.now());
}

KeyGrant OwnershipCoordinator::grant_for(const std::string& service, const std::string& server_id) {
    const auto rows = table_.services.find(service);
    if (rows == table_.services.end()) return {};
    KeyGrant grant;
    // A hold counts from the sending of the heartbeat, which was earlier: see the first rule of the design.
    if (!ownership::may_grant(register_.quorum_confirmed_at(), clock_.now())) {
        ++statistics_.unconfirmed;
        grant.kind = KeyGrant::Kind::Unconfirmed;
        return grant;
    }
    ++statistics_.granted;
    grant.kind = KeyGrant::Kind::Rows;
    grant.hold = table_.hold;
    for (const Assignment* row : ownership::granted_rows(rows->second, server_id))
        if (grant.rows.size() < ownership::kMaxRowsPerAnswer) grant.rows.push_back(*row);
    return grant;
}

bool OwnershipCoordinator::is_plan_due(const std::string& service, const std::string& server_id) const {
    const auto rows = table_.services.find(service);
    const auto server = servers_.find(server_id);
    if (rows == table_.services.end() || server == servers_.end()) return false;
    if (server->second.state != registry::State::Draining || !sharded_services_.contains(service))
        return false;
    return std::any_of(rows->second.begin(), rows->second.end(), [&](const Assignment& row) {
        return row.owner == server_id && row.settled && row.keys.size() > 1;
    });
}

std::size_t OwnershipCoordinator::unsettled_rows() const {
    std::size_t count = 0;
    for (const auto& [service, rows] : table_.services)
        count += static_cast<std::size_t>(
            std::count_if(rows.begin(), rows.end(), [](const Assignment& row) { return !row.settled; }));
    return count;
}

std::map<std::string, double> OwnershipCoordinator::busiest_loads() const {
    std::map<std::string, double> result;
    for (const auto& [service, load] : balancing_input_.loads) {
        const auto rows = table_.services.find(service);
        if (rows == table_.services.end() || load.request_count() <= 0) continue;
        std::map<std::string, double> weights;
        for (const Assignment& row : rows->second) weights[row.owner] += load.weight(row.keys);
        const auto busiest = std::max_element(
            weights.begin(), weights.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        result[service] = busiest->second * static_cast<double>(weights.size()) / ownership::kKeyCount;
    }
    return result;
}

// ---- plans ----

void OwnershipCoordinator::tick(TimePoint now) {
    if (now < next_tick_) return;
    next_tick_ = now + kPlanInterval;
    if (sharded_services_.empty() && table_.services.empty()) {
        next_tick_ = TimePoint::max();    // until request_tick_at()
        return;
    }
    // Subtracted from `now` instead of added to the deadline, which overflows if there is none.
    const bool is_wait_over = now - proposal_delay() >= tracker_.next_deadline();
    propose_settled(now, register_.is_voter() && is_wait_over);
    propose_plan(now);
}

void OwnershipCoordinator::propose_settled(TimePoint now, bool by_expired_wait) {
    if (!register_.is_quorum_held()) return;
    const auto next = tracker_.settle(register_.committed_entry().number + 1, now, by_expired_wait);
    if (next) propose(*next, by_expired_wait ? "settled_after_wait" : "settled_by_release");
}

void OwnershipCoordinator::propose_plan(TimePoint now) {
    const bool may_propose = register_.is_quorum_held() && (is_urgent_ || register_.is_voter());
    auto servers = servers_by_service(now);
    std::erase_if(servers, [&](const auto& entry) {
        return !table_.services.contains(entry.first) && !is_ready_to_assign(entry.first, entry.second, now);
    });
    update_balancing_input(servers, now);
    const ownership::OwnershipPlanner planner(table_, register_.committed_entry().number + 1);
    auto next = planner.plan(servers, balancing_input_);
    if (!next) {
        plan_wanted_since_ = TimePoint{};
        is_urgent_ = false;
        return;
    }
    if (plan_wanted_since_ == TimePoint{}) plan_wanted_since_ = now;
    if (!may_propose || (!is_urgent_ && now < plan_wanted_since_ + proposal_delay())) return;
    is_urgent_ = false;
    // All later waits rely on the hold for which settled rows were granted, so it never changes.
    if (next->hold == Duration(0))
        next->hold = ownership::choose_hold(settings_.heartbeat_interval, settings_.max_hold);
    propose(*next, "planned");
}

void OwnershipCoordinator::update_balancing_input(const std::map<std::string, ownership::Servers>& servers,
                                                  TimePoint now) {
    const bool is_due =
        now - table_changed_at_ >= kBalancingCooldown + kBalancingStaggerFactor * proposal_delay();
    if (!is_due) balancing_input_.due.clear();
    if (now < next_load_profile_at_) return;
    next_load_profile_at_ = now + kLoadProfileInterval;
    balancing_input_ = {};
    for (const auto& [service, service_servers] : servers) {
        balancing_input_.loads[service] = key_loads_.profile(service, service_servers.size(), now);
        if (is_due && key_loads_.is_current(service, now)) balancing_input_.due.insert(service);
    }
}

void OwnershipCoordinator::propose(const OwnershipTable& next, std::string_view reason) {
    ++statistics_.proposals;
    if (log_limiter_.try_acquire())
        log_event(LogLevel::Info, "ownership_proposed",
                  {log_field("reason", reason), log_field("version", next.version)});
    register_.change_ownership_table(table_bytes_, ownership::encode(next));
}

// All servers that own or may own keys, by sharded service.
std::map<std::string, ownership::Servers> OwnershipCoordinator::servers_by_service(TimePoint now) {
    std::map<std::string, ownership::Servers> result;
    for (const std::string& service : sharded_services_) result[service];
    for (const auto& [id, server] : servers_) {
        const bool is_running =
            server.state == registry::State::InService || server.state == registry::State::Draining;
        const auto found = result.find(server.service);
        if (is_running && found != result.end()) found->second[id] = server_info(server, now);
    }
    for (auto& [service, servers] : result) keep_missing_owners(service, servers, now);
    return result;
}

// After a restart the registry, which is in memory only, is incomplete until all servers have called again,
// so an owner without an entry may still run. And where most owners go missing at once, it is more likely
// that their heartbeats are not arriving for a while than that they all failed.
void OwnershipCoordinator::keep_missing_owners(const std::string& service, ownership::Servers& servers,
                                               TimePoint now) {
    const auto rows = table_.services.find(service);
    if (rows == table_.services.end()) return;
    std::set<std::string> owners, missing;
    for (const Assignment& row : rows->second) {
        owners.insert(row.owner);
        if (!servers.contains(row.owner)) missing.insert(row.owner);
    }
    if (2 * missing.size() <= owners.size()) mass_loss_since_.erase(service);
    else mass_loss_since_.try_emplace(service, now);
    const auto mass_loss = mass_loss_since_.find(service);
    const bool is_mass_loss =
        mass_loss != mass_loss_since_.end() && now - mass_loss->second < kMassLossGracePeriod;
    for (const std::string& id : missing) {
        const bool may_be_unregistered = !servers_.contains(id) && !is_registry_complete(now);
        if (is_mass_loss || may_be_unregistered) servers[id].state = ownership::ServerInfo::State::Unknown;
    }
}

bool OwnershipCoordinator::is_registry_complete(TimePoint now) const {
    return now - started_at_ >= kRegistrationIntervals * settings_.heartbeat_interval;
}

ownership::ServerInfo OwnershipCoordinator::server_info(const registry::Server& server, TimePoint now) const {
    ownership::ServerInfo info;
    if (server.state == registry::State::Draining) info.state = ownership::ServerInfo::State::Leaving;
    // Other controllers forward a heartbeat only if it changes the registry, so the last known call may be
    // several intervals old; the phase of the heartbeats stays the same.
    const Duration silence = std::max(Duration(0), now - server.last_called_at);
    info.next_heartbeat_in = settings_.heartbeat_interval - silence % settings_.heartbeat_interval;
    return info;
}

// True once every server has had time for its first heartbeat, so that the first assignment is even.
bool OwnershipCoordinator::is_ready_to_assign(const std::string& service, const ownership::Servers& servers,
                                              TimePoint now) {
    if (servers.empty()) return false;
    const TimePoint first_seen = first_seen_.try_emplace(service, now).first->second;
    return now - first_seen >= settings_.heartbeat_interval + kRegistrationMargin;
}

Duration OwnershipCoordinator::proposal_delay() const {
    Duration delay{0};
    for (const consensus::Replica& voter : register_.committed_entry().voters) {
        if (voter.address == settings_.self_address) break;
        delay += kProposalStagger;
    }
    return delay;
}

void OwnershipCoordinator::request_tick_at(TimePoint time) {
    if (time >= next_tick_) return;
    next_tick_ = time;
    callbacks_.tick_due(time);
}

}    // namespace shaletray::controller
