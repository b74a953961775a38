#include "controller/consensus_driver.h"

#include <algorithm>
#include <utility>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;

// Below the second after which callers without a response switch to another controller.
constexpr Duration kRequestTimeout = 900ms;

consensus::Settings with_retry_interval(consensus::Settings settings, const QuorumTracker& quorum) {
    settings.max_retry_interval = quorum.max_retry_interval();
    return settings;
}

}    // namespace

ConsensusDriver::ConsensusDriver(Reactor& reactor, transport::ConnectionManager& connections,
                                 std::unique_ptr<consensus::StateStore> store, consensus::Settings settings,
                                 Duration contact_timeout, Callbacks callbacks)
    : clock_(reactor.clock()),
      connections_(connections),
      store_(std::move(store)),
      quorum_(contact_timeout, clock_.now()),
      register_(with_retry_interval(std::move(settings), quorum_), store_->loaded_state(), clock_.now()),
      callbacks_(std::move(callbacks)),
      stored_waker_(reactor, [this] { on_stored(); }) {
    store_->set_stored_callback([this] { stored_waker_.wake(); });
}

ConsensusDriver::~ConsensusDriver() { store_->set_stored_callback({}); }

void ConsensusDriver::propose(std::uint64_t version, std::string text, OutcomeCallback on_outcome) {
    const consensus::RequestId request_id = ++last_request_id_;
    pending_requests_[request_id] = std::move(on_outcome);
    const TimePoint now = clock_.now();
    consensus::Actions actions;
    register_.propose(request_id, version, std::move(text), now + kRequestTimeout, now, actions);
    apply_actions(std::move(actions));
}

void ConsensusDriver::quorum_read(OutcomeCallback on_outcome) {
    const consensus::RequestId request_id = ++last_request_id_;
    if (on_outcome) pending_requests_[request_id] = std::move(on_outcome);
    const TimePoint now = clock_.now();
    consensus::Actions actions;
    register_.quorum_read(request_id, now + kRequestTimeout, now, actions);
    apply_actions(std::move(actions));
}

void ConsensusDriver::change_voters(const VoterReconciler::VoterChange& change) {
    consensus::Actions actions;
    register_.change_voters(change.current_voters, change.new_voters, clock_.now(), actions);
    apply_actions(std::move(actions));
}

void ConsensusDriver::change_ownership_table(std::string current_table, std::string new_table) {
    consensus::Actions actions;
    register_.change_ownership_table(std::move(current_table), std::move(new_table), clock_.now(), actions);
    apply_actions(std::move(actions));
}

void ConsensusDriver::on_message(const std::string& from, const std::string& bytes) {
    consensus::Actions actions;
    register_.on_message(from, bytes, clock_.now(), actions);
    apply_actions(std::move(actions));
}

void ConsensusDriver::set_peers(std::vector<std::string> addresses) {
    register_.set_peers(std::move(addresses));
}

void ConsensusDriver::tick(TimePoint now) {
    if (const auto due = register_.next_deadline(); due && *due <= now) {
        consensus::Actions actions;
        register_.tick(now, actions);
        apply_actions(std::move(actions));
    }
    if (now >= next_quorum_read_) {
        next_quorum_read_ = now + quorum_.read_interval();
        quorum_read({});
    }
}

TimePoint ConsensusDriver::next_deadline() const {
    const auto register_deadline = register_.next_deadline();
    return register_deadline ? std::min(next_quorum_read_, *register_deadline) : next_quorum_read_;
}

void ConsensusDriver::on_stored() {
    for (const std::uint64_t token : store_->take_stored_tokens()) {
        consensus::Actions actions;
        register_.on_stored(token, clock_.now(), actions);
        apply_actions(std::move(actions));
    }
}

void ConsensusDriver::apply_actions(consensus::Actions&& actions) {
    check_quorum();
    for (auto& write : actions.writes) store_->save(std::move(write));
    for (const auto& message : actions.messages)
        connections_.send_session_message(message.to, transport::Kind::Consensus, message.bytes);
    if (actions.entry_changed) callbacks_.entry_committed();
    for (const auto& completion : actions.completions) complete_request(completion);
    if (const auto deadline = register_.next_deadline()) callbacks_.tick_due(*deadline);
}

void ConsensusDriver::complete_request(const consensus::Actions::Completion& completion) {
    const auto entry = pending_requests_.find(completion.request_id);
    if (entry == pending_requests_.end()) return;    // a periodic read that only confirms the quorum
    const OutcomeCallback on_outcome = std::move(entry->second);
    pending_requests_.erase(entry);
    on_outcome(completion.outcome, completion.trace);
}

void ConsensusDriver::check_quorum() {
    const auto change = quorum_.update(register_.quorum_confirmed_at(), clock_.now());
    if (!change) return;
    const consensus::LogEntry& entry = register_.committed_entry();
    const transport::SendBacklog backlog = connections_.backlog();
    runtime::log_event(change->held ? LogLevel::Info : LogLevel::Warning,
                       change->held ? "quorum_regained" : "quorum_lost",
                       {log_field(change->held ? "without_ms" : "held_ms", change->previous_duration / 1ms),
                        log_field("version", entry.version), log_field("voters", entry.voters.size()),
                        log_field("voter", register_.is_voter()), log_field("unsent_bytes", backlog.bytes),
                        log_field("unsent_ms", backlog.oldest_age / 1ms)});
}

}    // namespace shaletray::controller
