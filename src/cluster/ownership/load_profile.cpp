#include "cluster/ownership/load_profile.h"

#include <algorithm>
#include <cmath>

namespace shaletray::ownership {
namespace {

// The fraction of the total weight that is distributed evenly over all keys.
constexpr double kEvenFraction = 0.1;
// Deviations of a count up to this many standard deviations are attributed to sampling. (Decayed counts have
// smaller deviations.)
constexpr double kToleratedDeviations = 1.0;

// Returns the largest count up to `limit` for which the condition holds, by binary search. The condition has
// to hold for zero and for all counts up to some maximum.
template <class Holds>
std::uint32_t largest_count(std::uint32_t limit, const Holds& holds) {
    std::uint32_t low = 0;
    std::uint32_t high = limit;
    while (low < high) {
        const std::uint32_t middle = (low + high + 1) / 2;
        if (holds(middle)) low = middle;
        else high = middle - 1;
    }
    return low;
}

}    // namespace

LoadProfile::LoadProfile(const std::map<Key, double>& requests) {
    double total_requests = 0;
    cumulative_.reserve(requests.size());
    for (const auto& [key, count] : requests) cumulative_.push_back({key, total_requests += count});
}

double LoadProfile::requests_below(std::uint32_t key) const {
    const auto next =
        std::lower_bound(cumulative_.begin(), cumulative_.end(), key,
                         [](const Step& step, std::uint32_t limit) { return step.key < limit; });
    return next == cumulative_.begin() ? 0.0 : std::prev(next)->requests;
}

double LoadProfile::weight(const KeyRange& keys) const {
    const double total = request_count();
    if (total <= 0) return keys.size();
    const double requests = requests_below(std::uint32_t{keys.last} + 1) - requests_below(keys.first);
    return (1 - kEvenFraction) * requests / total * kKeyCount + kEvenFraction * keys.size();
}

std::uint32_t LoadProfile::longest_prefix(const KeyRange& keys, double max_weight) const {
    return largest_count(keys.size(), [&](std::uint32_t count) {
        return weight({keys.first, static_cast<Key>(keys.first + count - 1)}) <= max_weight;
    });
}

std::uint32_t LoadProfile::longest_suffix(const KeyRange& keys, double max_weight) const {
    return largest_count(keys.size(), [&](std::uint32_t count) {
        return weight({static_cast<Key>(keys.last - count + 1), keys.last}) <= max_weight;
    });
}

bool LoadProfile::exceeds(double weight, double limit) const {
    const double total = request_count();
    if (total <= 0) return false;
    const double weight_per_request = kKeyCount / total;
    return weight > limit + kToleratedDeviations * std::sqrt(weight * weight_per_request);
}

}    // namespace shaletray::ownership
