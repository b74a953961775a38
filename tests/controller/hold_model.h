// The keys that a simulated server holds according to the protocol of key ownership: for each key the highest
// fence that was seen and the expiry of the hold. Stored by ranges, so that thousands of steps are cheap.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "cluster/ownership/ownership_table.h"

namespace shaletray::controller::test {

class HoldModel {
public:
    HoldModel() { segments_[0] = {}; }

    // Returns false without a change if a higher fence was seen on one of the keys.
    bool accept(const ownership::KeyRange& keys, std::uint64_t fence, TimePoint expires_at) {
        bool is_refused = false;
        for_each(keys, [&](Segment& segment) { is_refused = is_refused || segment.fence > fence; });
        if (is_refused) return false;
        for_each(keys, [&](Segment& segment) {
            segment.fence = fence;
            segment.expires_at = std::max(segment.expires_at, expires_at);
            segment.is_granted = true;
        });
        return true;
    }
    void begin_response() {
        for (auto& [first, segment] : segments_) segment.is_granted = false;
    }
    // Releases all keys that no row of the response granted; returns those that were held.
    std::vector<ownership::KeyRange> release_ungranted(TimePoint now) {
        std::vector<ownership::KeyRange> released;
        visit([&](const ownership::KeyRange& keys, Segment& segment) {
            if (segment.is_granted || segment.expires_at <= now) return;
            segment.expires_at = now;
            released.push_back(keys);
        });
        return released;
    }
    std::vector<ownership::HeldRange> held(TimePoint now) const {
        std::vector<ownership::HeldRange> ranges;
        const_cast<HoldModel*>(this)->visit([&](const ownership::KeyRange& keys, const Segment& segment) {
            if (segment.expires_at <= now) return;
            const bool is_next = !ranges.empty() && ranges.back().fence == segment.fence &&
                                 std::uint32_t{ranges.back().keys.last} + 1 == keys.first;
            if (is_next) ranges.back().keys.last = keys.last;
            else ranges.push_back({keys, segment.fence});
        });
        return ranges;
    }
    bool holds_any(const ownership::KeyRange& keys, TimePoint now) const {
        const std::vector<ownership::HeldRange> ranges = held(now);
        return std::any_of(ranges.begin(), ranges.end(),
                           [&](const ownership::HeldRange& range) { return range.keys.overlaps(keys); });
    }

private:
    struct Segment {
        std::uint64_t fence = 0;
        TimePoint expires_at{};
        bool is_granted = false;
    };

    void split_at(std::uint32_t first) {
        if (first >= ownership::kKeyCount) return;
        const auto next = segments_.upper_bound(first);
        segments_.try_emplace(first, std::prev(next)->second);
    }
    template <class Visit>
    void for_each(const ownership::KeyRange& keys, const Visit& visit_segment) {
        split_at(keys.first);
        split_at(std::uint32_t{keys.last} + 1);
        for (auto it = segments_.find(keys.first); it != segments_.end() && it->first <= keys.last; ++it)
            visit_segment(it->second);
    }
    template <class Visit>
    void visit(const Visit& visit_range) {
        for (auto it = segments_.begin(); it != segments_.end(); ++it) {
            const auto next = std::next(it);
            const std::uint32_t end = next == segments_.end() ? ownership::kKeyCount : next->first;
            visit_range(ownership::KeyRange{static_cast<ownership::Key>(it->first),
                                            static_cast<ownership::Key>(end - 1)},
                        it->second);
        }
    }

    std::map<std::uint32_t, Segment> segments_;    // by first key; they cover all keys
};

}    // namespace shaletray::controller::test
