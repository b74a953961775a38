#include "data_plane/plans/change_replicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace shaletray::plans {
namespace {

constexpr std::uint64_t kMaxPublishedEntries = 16;    // entries in the store at the same time

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

// The first entry that some gateway lacks; one without published progress lacks all.
std::uint64_t ChangeReplicator::first_missing_version() const {
    std::uint64_t least = plan_table_.version();
    for (int index = 0; index < gateway_count_; ++index) {
        if (index == own_index_) continue;
        const auto found = progress_by_gateway_.find(index);
        least = std::min(least, found == progress_by_gateway_.end() ? 0 : found->second.version);
    }
    return least + 1;
}

std::vector<std::pair<std::string, std::string>> ChangeReplicator::fields_to_write() {
    std::vector<std::pair<std::string, std::string>> result;
    if (published_progress_ != own_progress())
        result.emplace_back(progress_field_name(own_index_), own_progress());
    if (!is_owner_) return result;
    for (std::uint64_t v = first_missing_version();
         v <= plan_table_.version() && v < first_missing_version() + kMaxPublishedEntries; ++v) {
        const PlanChange& change = plan_table_.change_log()[v - 1];
        if (const auto found = published_entries_.find(v);
            found != published_entries_.end() && found->second == change.chain_hash)
            continue;
        result.emplace_back(entry_field_name(v), serialize_change(change));
        ++statistics_.entries_written;
    }
    return result;
}

std::vector<std::string> ChangeReplicator::fields_to_read() {
    std::vector<std::string> result;
    if (is_owner_) {
        for (int index = 0; index < gateway_count_; ++index) result.push_back(progress_field_name(index));
        for (std::uint64_t v = first_missing_version();
             v <= plan_table_.version() && v < first_missing_version() + kMaxPublishedEntries; ++v)
            result.push_back(entry_field_name(v));
    } else {
        result.push_back(progress_field_name(own_index_));
        for (std::uint64_t v = plan_table_.version() + 1; v <= plan_table_.version() + kMaxPublishedEntries;
             ++v)
            result.push_back(entry_field_name(v));
    }
    return result;
}

void ChangeReplicator::on_field_absent(const std::string& field) {
    if (field == entry_field_name(plan_table_.version() + 1)) is_current_ = true;
    if (field == progress_field_name(own_index_)) published_progress_.clear();
    else if (field.starts_with("book:"))
        if (const auto v = parse_number<std::uint64_t>(std::string_view(field).substr(5), 10))
            published_entries_.erase(*v);
}

void ChangeReplicator::on_field_read(const std::string& field, const std::string& value, TimePoint) {
    if (field.starts_with("bookat:")) {
        const auto gateway_index = parse_number<int>(std::string_view(field).substr(7), 10);
        const std::size_t colon = value.find(':');
        const auto version = parse_number<std::uint64_t>(std::string_view(value).substr(0, colon), 10);
        const auto chain = colon == std::string::npos
                               ? std::nullopt
                               : parse_number<std::uint64_t>(std::string_view(value).substr(colon + 1), 16);
        if (!gateway_index || !version || !chain) {
            ++statistics_.bad_values;
            if (gateway_index == own_index_) published_progress_.clear();
            return;
        }
        if (*gateway_index == own_index_) {
            published_progress_ = value;
            return;
        }
        // Ahead of the owner, or at the same version with other entries: that is another change log.
        const std::uint64_t at = version.value_or(0), of = chain.value_or(0);
        const bool ours =
            at <= plan_table_.version() && (at == 0 || plan_table_.change_log()[at - 1].chain_hash == of);
        statistics_.foreign_entries += !ours && is_owner_;
        progress_by_gateway_[*gateway_index] =
            ours ? Progress{at, of} : Progress{plan_table_.version(), plan_table_.chain_hash()};
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
    ReplicationStatistics s = statistics_;
    for (const auto& [gateway, position] : progress_by_gateway_)
        s.gateways_behind += position.version < plan_table_.version();
    return s;
}

}    // namespace shaletray::plans
