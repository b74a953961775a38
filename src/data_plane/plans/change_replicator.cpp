#include "data_plane/plans/change_replicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace shaletray::plans {
namespace {

constexpr std::uint64_t kMaxPublishedEntries = 16;    // entries of the change log in the store at a time

std::string progress_field_name(int gateway_index) { return fmt::format("bookat:{}", gateway_index); }
std::string entry_field_name(std::uint64_t version) { return fmt::format("book:{}", version); }

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

}    // namespace

ChangeReplicator::ChangeReplicator(int own_index, int gateway_count, bool is_owner,
                                   const PlanTable& plan_table, ApplyChange apply_change)
    : own_index_(own_index),
      gateway_count_(gateway_count),
      is_owner_(is_owner),
      plan_table_(plan_table),
      apply_change_(std::move(apply_change)) {}

std::string ChangeReplicator::own_progress() const {
    return fmt::format("{}:{:016x}", plan_table_.version(), plan_table_.chain_hash());
}

// The first entry that some gateway lacks. A gateway without published progress lacks all entries.
std::uint64_t ChangeReplicator::first_missing_version() const {
    std::uint64_t min_version = plan_table_.version();
    for (int index = 0; index < gateway_count_; ++index) {
        if (index == own_index_) continue;
        const auto found = progress_by_gateway_.find(index);
        min_version = std::min(min_version, found == progress_by_gateway_.end() ? 0 : found->second.version);
    }
    return min_version + 1;
}

std::vector<std::pair<std::string, std::string>> ChangeReplicator::fields_to_write() {
    std::vector<std::pair<std::string, std::string>> result;
    if (published_progress_ != own_progress())
        result.emplace_back(progress_field_name(own_index_), own_progress());
    if (!is_owner_) return result;
    for (std::uint64_t entry_version = first_missing_version();
         entry_version <= plan_table_.version() &&
         entry_version < first_missing_version() + kMaxPublishedEntries;
         ++entry_version) {
        const PlanChange& change = plan_table_.change_log()[entry_version - 1];
        if (const auto found = published_entries_.find(entry_version);
            found != published_entries_.end() && found->second == change.chain_hash)
            continue;
        result.emplace_back(entry_field_name(entry_version), serialize_change(change));
        ++statistics_.entries_written;
    }
    return result;
}

std::vector<std::string> ChangeReplicator::fields_to_read() {
    std::vector<std::string> result;
    if (is_owner_) {
        for (int index = 0; index < gateway_count_; ++index) result.push_back(progress_field_name(index));
        for (std::uint64_t entry_version = first_missing_version();
             entry_version <= plan_table_.version() &&
             entry_version < first_missing_version() + kMaxPublishedEntries;
             ++entry_version)
            result.push_back(entry_field_name(entry_version));
    } else {
        result.push_back(progress_field_name(own_index_));
        for (std::uint64_t entry_version = plan_table_.version() + 1;
             entry_version <= plan_table_.version() + kMaxPublishedEntries; ++entry_version)
            result.push_back(entry_field_name(entry_version));
    }
    return result;
}

void ChangeReplicator::on_field_absent(const std::string& field) {
    if (field == entry_field_name(plan_table_.version() + 1)) is_current_ = true;
    if (field == progress_field_name(own_index_)) published_progress_.clear();
    else if (field.starts_with("book:"))
        if (const auto entry_version = parse_number<std::uint64_t>(std::string_view(field).substr(5), 10))
            published_entries_.erase(*entry_version);
}

void ChangeReplicator::on_field_read(const std::string& field, const std::string& value, TimePoint) {
    if (field.starts_with("bookat:")) {
        const auto gateway_index = parse_number<int>(std::string_view(field).substr(7), 10);
        const std::size_t colon = value.find(':');
        const auto version = parse_number<std::uint64_t>(std::string_view(value).substr(0, colon), 10);
        const auto hash = colon == std::string::npos
                              ? std::nullopt
                              : parse_number<std::uint64_t>(std::string_view(value).substr(colon + 1), 16);
        if (!gateway_index || !version || !hash) {
            ++statistics_.bad_values;
            if (gateway_index == own_index_) published_progress_.clear();
            return;
        }
        if (*gateway_index == own_index_) {
            published_progress_ = value;
            return;
        }
        // A gateway that is ahead of the owner, or has other entries at the same version, follows another
        // change log. It counts as up to date, since this log's entries cannot be appended to it.
        const std::uint64_t reported_version = version.value_or(0), reported_hash = hash.value_or(0);
        const bool matches_own_log =
            reported_version <= plan_table_.version() &&
            (reported_version == 0 ||
             plan_table_.change_log()[reported_version - 1].chain_hash == reported_hash);
        statistics_.foreign_entries += !matches_own_log && is_owner_;
        progress_by_gateway_[*gateway_index] =
            matches_own_log ? Progress{reported_version, reported_hash}
                            : Progress{plan_table_.version(), plan_table_.chain_hash()};
        return;
    }
    const auto version = parse_number<std::uint64_t>(
        std::string_view(field).substr(std::min<std::size_t>(5, field.size())), 10);
    if (!version) return;
    try {
        const PlanChange change = parse_change(value);
        if (is_owner_) {
            if (published_entries_.size() > 4 * kMaxPublishedEntries) published_entries_.clear();
            published_entries_[*version] = change.chain_hash;
        } else if (change.version == plan_table_.version() + 1) {
            apply_change_(change);
            ++statistics_.entries_received;
        }
    } catch (const InvalidChange&) {
        ++(is_owner_ ? statistics_.bad_values : statistics_.foreign_entries);
        published_entries_.erase(*version);
    }
}

ReplicationStatistics ChangeReplicator::statistics() const {
    ReplicationStatistics totals = statistics_;
    for (const auto& [gateway_index, progress] : progress_by_gateway_)
        totals.gateways_behind += progress.version < plan_table_.version();
    return totals;
}

}    // namespace shaletray::plans
