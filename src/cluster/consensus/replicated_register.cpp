#include "cluster/consensus/replicated_register.h"

#include "cluster/consensus/register_impl.h"

namespace shaletray::consensus {

ReplicatedRegister::ReplicatedRegister(Settings settings, PersistentState state, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(state), now)) {}
ReplicatedRegister::~ReplicatedRegister() = default;
ReplicatedRegister::ReplicatedRegister(ReplicatedRegister&&) noexcept = default;
ReplicatedRegister& ReplicatedRegister::operator=(ReplicatedRegister&&) noexcept = default;
ReplicatedRegister::ReplicatedRegister(const ReplicatedRegister& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}

void ReplicatedRegister::propose(RequestId request_id, std::uint64_t version, std::string text,
                                 TimePoint deadline, TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->propose(request_id, version, std::move(text), deadline);
    impl_->finish_call();
}

void ReplicatedRegister::quorum_read(RequestId request_id, TimePoint deadline, TimePoint now,
                                     Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->quorum_read(request_id, deadline);
    impl_->finish_call();
}

void ReplicatedRegister::change_voters(std::vector<Replica> current_voters, std::vector<Replica> new_voters,
                                       TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->change_voters(std::move(current_voters), std::move(new_voters));
    impl_->finish_call();
}

void ReplicatedRegister::change_ownership_table(std::string current_table, std::string new_table,
                                                TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->change_ownership_table(std::move(current_table), std::move(new_table));
    impl_->finish_call();
}

void ReplicatedRegister::on_message(const std::string& from, const std::string& bytes, TimePoint now,
                                    Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->on_message(from, bytes);
    impl_->finish_call();
}

void ReplicatedRegister::on_stored(std::uint64_t token, TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->on_stored(token);
    impl_->finish_call();
}

void ReplicatedRegister::tick(TimePoint now, Actions& actions) {
    impl_->begin_call(now, actions);
    impl_->finish_call();
}

std::optional<TimePoint> ReplicatedRegister::next_deadline() const { return impl_->next_deadline(); }
void ReplicatedRegister::set_peers(std::vector<std::string> addresses) {
    impl_->set_peers(std::move(addresses));
}

const LogEntry& ReplicatedRegister::committed_entry() const { return impl_->committed_entry(); }
std::optional<TimePoint> ReplicatedRegister::quorum_confirmed_at() const {
    return impl_->quorum_confirmed_at();
}

bool ReplicatedRegister::is_caught_up(const Replica& replica, Duration within) const {
    return impl_->is_caught_up(replica, within);
}

bool ReplicatedRegister::is_voter() const { return impl_->is_voter(); }
std::uint64_t ReplicatedRegister::dropped_messages() const { return impl_->dropped_messages(); }
std::string ReplicatedRegister::describe_state() const { return impl_->describe_state(); }

}    // namespace shaletray::consensus
