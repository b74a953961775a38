#include "cluster/membership/membership.h"

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {

Membership::Membership(Settings settings, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
Membership::~Membership() = default;
void Membership::on_message(const std::string& from, const std::string& bytes, TimePoint now,
                            Actions& actions) {
    impl_->on_message(from, bytes, now, actions);
}
void Membership::record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now) {
    impl_->record_contact(address, incarnation, now);
}
void Membership::tick(TimePoint now, Actions& actions) { impl_->tick(now, actions); }
TimePoint Membership::next_deadline() const { return impl_->next_deadline(); }
void Membership::set_quota_divisor(std::uint32_t divisor) { impl_->set_quota_divisor(divisor); }
void Membership::set_disk_id(std::uint64_t disk_id) { impl_->set_disk_id(disk_id); }
void Membership::set_voter_eligible(bool eligible) { impl_->set_voter_eligible(eligible); }
void Membership::set_seeds(std::vector<std::string> seeds) { impl_->set_seeds(std::move(seeds)); }
void Membership::announce_departure(TimePoint now, Actions& actions) {
    impl_->announce_departure(now, actions);
}
const std::map<std::string, Member>& Membership::members() const { return impl_->members(); }
const MemberInfo& Membership::self() const { return impl_->self(); }
double Membership::heard_fraction(TimePoint now, Duration window) const {
    return impl_->heard_fraction(now, window);
}
double Membership::acknowledged_fraction(TimePoint now, Duration window) const {
    return impl_->acknowledged_fraction(now, window);
}
bool Membership::contacts_every_member() const { return impl_->contacts_every_member(); }
bool Membership::joined() const { return impl_->joined(); }
const Statistics& Membership::statistics() const { return impl_->statistics(); }

}    // namespace shaletray::membership
