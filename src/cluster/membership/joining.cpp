// Joining a cluster: the choice of a seed, and the first request for all members.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {

void Membership::Impl::set_seeds(std::vector<std::string> seeds) {
    std::vector<Seed> updated_seeds = merge_seeds(seeds);
    const bool unchanged =
        std::equal(updated_seeds.begin(), updated_seeds.end(), seeds_.begin(), seeds_.end(),
                   [](const Seed& a, const Seed& b) { return a.address == b.address; });
    seeds_ = std::move(updated_seeds);
    if (seeds_.empty()) joined_ = true;
    if (unchanged) return;
    join_timeout_ = kAckTimeout;
    seeds_asked_ = 0;
    next_join_at_ = last_call_at_;
}

// The addresses without duplicates and without this process; known seeds keep their state.
std::vector<Membership::Impl::Seed> Membership::Impl::merge_seeds(
    const std::vector<std::string>& addresses) const {
    std::vector<Seed> merged;
    for (const std::string& address : addresses) {
        if (address == self_record_.address || address.empty() || merged.size() >= kMaxSeeds) continue;
        const auto has_address = [&](const Seed& seed) { return seed.address == address; };
        if (std::any_of(merged.begin(), merged.end(), has_address)) continue;
        const auto existing = std::find_if(seeds_.begin(), seeds_.end(), has_address);
        merged.push_back(existing != seeds_.end() ? *existing : Seed{address, 0, false});
    }
    return merged;
}

void Membership::Impl::start_join(TimePoint now, Actions& actions) {
    std::optional<std::string> source = choose_join_source();
    if (!source) {
        joined_ = true;
        return;
    }
    SyncPull pull;
    pull.source = std::move(*source);
    pull.purpose = PullPurpose::Join;
    pull_ = std::move(pull);
    send_sync_request(now, actions);
}

std::optional<std::string> Membership::Impl::choose_join_source() {
    return self_member_.info.role == Role::Controller ? choose_seed_as_controller()
                                                      : choose_seed_as_gateway();
}

// Controllers ask every seed, since all of them may start at the same time.
std::optional<std::string> Membership::Impl::choose_seed_as_controller() {
    const auto seed = std::min_element(seeds_.begin(), seeds_.end(), [](const Seed& a, const Seed& b) {
        return std::pair(a.synced, a.attempts) < std::pair(b.synced, b.attempts);
    });
    if (seed == seeds_.end() || seed->synced || seed->attempts >= kControllerSeedAttempts)
        return std::nullopt;
    ++seed->attempts;
    return seed->address;
}

// Gateways ask the seeds and the known controllers one after the other until one answers. Those that may not
// vote may have little bandwidth, and are asked only where no voter is known or none has answered for long.
std::optional<std::string> Membership::Impl::choose_seed_as_gateway() {
    std::vector<std::string> candidates;
    for (const Seed& seed : seeds_) candidates.push_back(seed.address);
    add_controllers(true, candidates);
    if (candidates.size() == seeds_.size() || join_timeout_ >= kLongJoinTimeout)
        add_controllers(false, candidates);
    if (candidates.empty()) return std::nullopt;
    std::string source = candidates[next_seed_++ % candidates.size()];
    if (++seeds_asked_ > candidates.size()) {    // no candidate answered: start over with a longer timeout
        seeds_asked_ = 1;
        join_timeout_ = std::min(2 * join_timeout_, kMaxJoinTimeout);
    }
    return source;
}

void Membership::Impl::add_controllers(bool voter_eligible, std::vector<std::string>& candidates) const {
    for (const auto& [address, member] : table_.members()) {
        if (candidates.size() >= 2 * kMaxSeeds) return;
        if (member.info.role != Role::Controller || member.state == State::Dead) continue;
        if (member.info.voter_eligible != voter_eligible) continue;
        if (std::find(candidates.begin(), candidates.end(), address) == candidates.end())
            candidates.push_back(address);
    }
}

void Membership::Impl::on_full_sync(const std::string& source, const Packet& packet, TimePoint now) {
    if (joined_) return;
    const auto seed = std::find_if(seeds_.begin(), seeds_.end(),
                                   [&](const Seed& candidate) { return candidate.address == source; });
    if (seed != seeds_.end()) seed->synced = true;
    next_join_at_ = now;
    next_sync_at_ = now + min_sync_interval();
    schedule_push();
    if (packet.from_controller && packet.joined) {
        joined_ = true;
    } else if (self_member_.info.role == Role::Gateway) {
        next_join_at_ = now + kJoinRetryDelay;
        seeds_asked_ = 0;
    }
}

}    // namespace shaletray::membership
