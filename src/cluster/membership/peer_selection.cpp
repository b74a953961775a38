// Random selection of the members to ping, to relay pings, and to send changes to.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {
namespace {

bool contains(const std::vector<Record*>& records, const Record* record) {
    return std::find(records.begin(), records.end(), record) != records.end();
}

}    // namespace

std::vector<Record*> Membership::Impl::choose_alive(std::size_t count, const Record* excluded) {
    std::vector<Record*> chosen;
    if (table_.size() == 0) return chosen;
    // In a small table, random positions would mostly hit members that are already chosen.
    if (table_.size() <= 2 * count + 8) {
        for (std::size_t i = 0; i < table_.size(); ++i) {
            Record* const record = table_.record_at(i);
            if (record->member->state == State::Alive && record != excluded) chosen.push_back(record);
        }
        std::shuffle(chosen.begin(), chosen.end(), random_);
        if (chosen.size() > count) chosen.resize(count);
        return chosen;
    }
    for (std::size_t attempts = 0; attempts < 4 * count && chosen.size() < count; ++attempts) {
        Record* const record = table_.record_at(random_index(table_.size()));
        if (record->member->state != State::Alive || record == excluded) continue;
        if (!contains(chosen, record)) chosen.push_back(record);
    }
    return chosen;
}

std::vector<Record*> Membership::Impl::choose_probe_targets(TimePoint now) {
    if (table_.live_count() < kSmallCluster) return choose_targets_among_all(now, kPingsPerRoundSmall);
    return choose_targets_by_sampling(kPingsPerRound);
}

std::vector<Record*> Membership::Impl::choose_targets_among_all(TimePoint now, std::size_t count) {
    std::vector<Record*> chosen = choose_alive(table_.size(), nullptr);
    std::erase_if(chosen, [](const Record* record) { return record->probing; });
    const auto priority = [&](const Record* record) {
        const Member& member = *record->member;
        const bool had_recent_contact = now - member.last_heard <= 2 * settings_.probe_interval;
        return std::pair(had_recent_contact,
                         had_recent_contact ? member.last_acknowledged : member.last_heard);
    };
    std::stable_sort(chosen.begin(), chosen.end(),
                     [&](const Record* a, const Record* b) { return priority(a) < priority(b); });
    if (chosen.size() > count) chosen.resize(count);
    return chosen;
}

std::vector<Record*> Membership::Impl::choose_targets_by_sampling(std::size_t count) {
    std::vector<Record*> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        Record* longest_silent = nullptr;
        for (Record* candidate : choose_alive(kPingCandidates, nullptr)) {
            if (candidate->probing || contains(chosen, candidate)) continue;
            if (longest_silent == nullptr ||
                candidate->member->last_heard < longest_silent->member->last_heard)
                longest_silent = candidate;
        }
        if (longest_silent != nullptr) chosen.push_back(longest_silent);
    }
    return chosen;
}

}    // namespace shaletray::membership
