#include "system/shard_holds.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration kWarmup = 3s;
constexpr Duration kMaxHold = 10s;    // bounds.max_hold

// Calls `visit(first, last)` for each longest run of keys with an equal, non-zero value.
template <class ValueOf, class Visit>
void for_each_run(const ValueOf& value_of, const Visit& visit) {
    std::size_t first = 0;
    while (first < kShardKeyCount) {
        const auto value = value_of(first);
        std::size_t end = first + 1;
        while (end < kShardKeyCount && value_of(end) == value) ++end;
        if (value) visit(first, end - 1);
        first = end;
    }
}

Duration parse_hold(const Json& response) {
    if (!response.contains("hold") || !response["hold"].is_string()) return Duration(0);
    const auto text = response["hold"].get<std::string>();
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value < 0.0) return Duration(0);
    const bool in_seconds = std::string_view(end) == "s";
    return std::min(from_secs(in_seconds ? value : value / 1e3), kMaxHold);
}

}    // namespace

std::optional<std::size_t> parse_shard_key(std::string_view text) {
    std::size_t key = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key);
    if (error != std::errc{} || end != text.data() + text.size() || key >= kShardKeyCount) return {};
    return key;
}

ShardHolds::ShardHolds(double clock_rate, std::uint64_t seed)
    : clock_rate_(clock_rate),
      next_handover_(seed),
      held_until_(kShardKeyCount),
      cold_until_(kShardKeyCount),
      fence_(kShardKeyCount),
      running_(kShardKeyCount) {}

bool ShardHolds::apply_heartbeat_response(const Json& response, TimePoint sent_at, TimePoint now) {
    if (!response.is_object() || !response.contains("held_duties")) return true;
    const auto hold = static_cast<double>(parse_hold(response).count());
    const TimePoint until = sent_at + Duration(static_cast<Duration::rep>(hold / clock_rate_));
    std::vector<bool> is_granted(kShardKeyCount, false);
    for (const Json& row : response["held_duties"]) apply_row(row, until, now, is_granted);
    release_omitted(is_granted, now);
    if (!released_.empty()) return false;
    for (std::size_t key = 0; key < kShardKeyCount; ++key)
        if (!is_granted[key] && running_[key] > 0) return false;
    return true;
}

void ShardHolds::apply_row(const Json& row, TimePoint until, TimePoint now, std::vector<bool>& is_granted) {
    const auto first = row.at(0).get<std::size_t>(), last = row.at(1).get<std::size_t>();
    const auto fence = row.at(2).get<std::uint64_t>();
    const bool is_warm = !row.at(3).get<std::string>().empty();
    for (std::size_t key = first; key <= last; ++key) {
        if (fence_[key] <= fence) continue;
        ++rejected_rows_;
        return;
    }
    for (std::size_t key = first; key <= last; ++key) {
        is_granted[key] = true;
        if (!holds(key, now) && !is_warm && fence_[key] != fence) cold_until_[key] = now + kWarmup;
        fence_[key] = fence;
        held_until_[key] = std::max(held_until_[key], until);
    }
}

// Keys that a response omits accept no new requests from then on.
void ShardHolds::release_omitted(const std::vector<bool>& is_granted, TimePoint now) {
    const auto is_released = [&](std::size_t key) { return !is_granted[key] && holds(key, now); };
    for_each_run(is_released, [&](std::size_t first, std::size_t last) {
        released_.push_back({first, last, next_handover()});
    });
    for (std::size_t key = 0; key < kShardKeyCount; ++key)
        if (is_released(key)) held_until_[key] = TimePoint{};
}

std::string ShardHolds::next_handover() { return fmt::format("{:016x}", next_handover_++); }

Json ShardHolds::held_duties(TimePoint now) const {
    Json rows = Json::array();
    const auto held_fence = [&](std::size_t key) {
        return holds(key, now) || running_[key] > 0 ? fence_[key] : 0;
    };
    for_each_run(held_fence, [&](std::size_t first, std::size_t last) {
        rows.push_back({first, last, fence_[first]});
    });
    return rows;
}

// Ranges on which requests still run are reported after these requests have ended.
Json ShardHolds::released() const {
    Json rows = Json::array();
    for (const ReleasedRange& range : released_) {
        const auto begin = running_.begin() + static_cast<std::ptrdiff_t>(range.first);
        const auto end = running_.begin() + static_cast<std::ptrdiff_t>(range.last) + 1;
        if (std::any_of(begin, end, [](int count) { return count > 0; })) continue;
        rows.push_back({range.first, range.last, range.handover});
    }
    return rows;
}

void ShardOwnershipChecker::add_server(const std::string& service, const std::string& id,
                                       const ShardHolds& holds) {
    servers_[service][id] = &holds;
}

void ShardOwnershipChecker::remove_server(const std::string& service, const std::string& id) {
    servers_[service].erase(id);
}

void ShardOwnershipChecker::record_begin(const std::string& service, const std::string& id, std::size_t key,
                                         TimePoint now) {
    ++begun_;
    for (const auto& [other, holds] : servers_[service])
        if (other != id && holds->holds(key, now)) ++double_owners_;
}

}    // namespace shaletray::testbed
