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

// How often changes of the servers are looked at.
constexpr Duration kPlanInterval = 100ms;
// Of settings that state none, or one that is too short to be kept.
constexpr Duration kMinHeartbeatInterval = 10ms;
// The first voter by address proposes at once, each of the others so much later than the one before it.
constexpr Duration kProposalStagger = 500ms;
// All servers have called by then, each at its own time within the heartbeat interval.
constexpr Duration kRegistrationMargin = 300ms;
// In which a server that runs has called a controller again after all controllers were restarted, in
// intervals of its heartbeats.
constexpr int kUnknownIntervals = 6;
// For so long the keys of most of a service's servers stay with them when all of these seem to be gone.
constexpr Duration kMassLossDelay = 10s;
// How often the spread of the requests over the keys is estimated anew.
constexpr Duration kProfileInterval = 1s;
// After a change of the table, servers with too many requests are left as they are for so long; by each
// voter after the first for so many proposal delays longer, since each sees another sample of the requests.
constexpr Duration kBalancePause = 3s;
constexpr int kBalanceDelays = 8;

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
    // Time is read after the entry is known: a row's wait must not begin before it was chosen.
    table_changed_at_ = clock_.now();
    tracker_.on_table(table_, table_changed_at_);
    log_event(LogLevel::Info, "ownership_changed",
              {log_field("version", table_.version), log_field("unsettled", unsettled_rows())});
    wake_at(clock_.now());
    callbacks_.table_changed(table_);
}

void OwnershipCoordinator::set_sharded_services(configuration::ServiceNames services) {
    sharded_services_ = std::move(services);
    key_loads_.set_services(sharded_services_);
    wake_at(clock_.now());
}

void OwnershipCoordinator::on_heartbeat(const registry::Heartbeat& heartbeat) {
    const registry::Server& server = heartbeat.server;
    if (!table_.services.contains(server.service)) return;
    if (tracker_.on_report(server.service, server.id, heartbeat.holds)) {
        ++statistics_.settled_by_proof;
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
    // A hold counts from the heartbeat's sending, which was before this: see the design's first rule.
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
    for (const auto& [service, load] : balance_.loads) {
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
        next_tick_ = TimePoint::max();    // until there is something to do
        return;
    }
    // Subtracted from the time, as there may be no deadline.
    const bool is_wait_over = now - proposal_delay() >= tracker_.next_deadline();
    propose_settled(now, register_.is_voter() && is_wait_over);
    propose_plan(now);
}

void OwnershipCoordinator::propose_settled(TimePoint now, bool by_wait) {
    if (!register_.is_quorum_held()) return;
    const auto next = tracker_.settle(register_.committed_entry().number + 1, now, by_wait);
    if (next) propose(*next, by_wait ? "settled_after_wait" : "settled_by_release");
}

void OwnershipCoordinator::propose_plan(TimePoint now) {
    const bool may_propose = register_.is_quorum_held() && (is_urgent_ || register_.is_voter());
    auto servers = servers_by_service(now);
    std::erase_if(servers, [&](const auto& entry) {
        return !table_.services.contains(entry.first) && !is_ready_to_assign(entry.first, entry.second, now);
    });
    update_balance(servers, now);
    const ownership::OwnershipPlanner planner(table_, register_.committed_entry().number + 1);
    auto next = planner.plan(servers, balance_);
    if (!next) {
        plan_wanted_since_ = TimePoint{};
        is_urgent_ = false;
        return;
    }
    if (plan_wanted_since_ == TimePoint{}) plan_wanted_since_ = now;
    if (!may_propose || (!is_urgent_ && now < plan_wanted_since_ + proposal_delay())) return;
    is_urgent_ = false;
    // What settled rows were granted for counts for all later waits, so it never changes.
    if (next->hold == Duration(0))
        next->hold = ownership::choose_hold(settings_.heartbeat_interval, settings_.max_hold);
    propose(*next, "planned");
}

void OwnershipCoordinator::update_balance(const std::map<std::string, ownership::Servers>& servers,
                                          TimePoint now) {
    const bool is_due = now - table_changed_at_ >= kBalancePause + kBalanceDelays * proposal_delay();
    if (!is_due) balance_.due.clear();
    if (now < next_profile_at_) return;
    next_profile_at_ = now + kProfileInterval;
    balance_ = {};
    for (const auto& [service, its_servers] : servers) {
        balance_.loads[service] = key_loads_.profile(service, its_servers.size(), now);
        if (is_due && key_loads_.is_current(service, now)) balance_.due.insert(service);
    }
}

void OwnershipCoordinator::propose(const OwnershipTable& next, std::string_view reason) {
    ++statistics_.proposals;
    if (log_limiter_.try_acquire())
        log_event(LogLevel::Info, "ownership_proposed",
                  {log_field("reason", reason), log_field("version", next.version)});
    register_.change_ownership_table(table_bytes_, ownership::encode(next));
}

// Of the services whose keys are to be divided, all servers that own keys or could.
std::map<std::string, ownership::Servers> OwnershipCoordinator::servers_by_service(TimePoint now) {
    std::map<std::string, ownership::Servers> result;
    for (const std::string& service : sharded_services_) result[service];
    for (const auto& [id, server] : servers_) {
        const bool is_running =
            server.state == registry::State::InService || server.state == registry::State::Draining;
        const auto found = result.find(server.service);
        if (is_running && found != result.end()) found->second[id] = server_info(server, now);
    }
    for (auto& [service, servers] : result) keep_owners_of_mass_loss(service, servers, now);
    return result;
}

// Until the registry, which is in memory only, has heard of all servers, those without an entry may well run.
// And where most owners are gone at once, their heartbeats have more likely lost their way for a while.
void OwnershipCoordinator::keep_owners_of_mass_loss(const std::string& service, ownership::Servers& servers,
                                                    TimePoint now) {
    const auto rows = table_.services.find(service);
    if (rows == table_.services.end()) return;
    std::set<std::string> owners, gone;
    for (const Assignment& row : rows->second) {
        owners.insert(row.owner);
        if (!servers.contains(row.owner)) gone.insert(row.owner);
    }
    if (2 * gone.size() <= owners.size()) most_gone_since_.erase(service);
    else most_gone_since_.try_emplace(service, now);
    const auto since = most_gone_since_.find(service);
    const bool is_mass_loss = since != most_gone_since_.end() && now - since->second < kMassLossDelay;
    for (const std::string& id : gone) {
        const bool is_unheard_of = !servers_.contains(id) && !is_registry_complete(now);
        if (is_mass_loss || is_unheard_of) servers[id].state = ownership::ServerInfo::State::Unknown;
    }
}

bool OwnershipCoordinator::is_registry_complete(TimePoint now) const {
    return now - started_at_ >= kUnknownIntervals * settings_.heartbeat_interval;
}

ownership::ServerInfo OwnershipCoordinator::server_info(const registry::Server& server, TimePoint now) const {
    ownership::ServerInfo info;
    if (server.state == registry::State::Draining) info.state = ownership::ServerInfo::State::Leaving;
    // Calls to other controllers are told here only where they say something new; their rhythm stays.
    const Duration silent = std::max(Duration(0), now - server.last_called_at);
    info.next_heartbeat_in = settings_.heartbeat_interval - silent % settings_.heartbeat_interval;
    return info;
}

// Once every server has had the time for its first heartbeat, so that the first assignment is an even one.
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

void OwnershipCoordinator::wake_at(TimePoint time) {
    if (time >= next_tick_) return;
    next_tick_ = time;
    callbacks_.tick_due(time);
}

}    // namespace shaletray::controller
