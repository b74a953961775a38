// The keys that a modelled server holds, as the users' protocol has it: per key the highest fence that was
// seen and the end of the hold. Kept by ranges, so that thousands of steps are cheap.
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

    // False where a higher fence was seen on one of the keys: then nothing changes.
    bool take(const ownership::KeyRange& keys, std::uint64_t fence, TimePoint until) {
        bool is_refused = false;
        for_each(keys, [&](Segment& segment) { is_refused = is_refused || segment.fence > fence; });
        if (is_refused) return false;
        for_each(keys, [&](Segment& segment) {
            segment.fence = fence;
            segment.until = std::max(segment.until, until);
            segment.is_wanted = true;
        });
        return true;
    }
    void begin_answer() {
        for (auto& [first, segment] : segments_) segment.is_wanted = false;
    }
    // Lets go of all that no row of the answer named; returns what it held of that.
    std::vector<ownership::KeyRange> release_rest(TimePoint now) {
        std::vector<ownership::KeyRange> released;
        visit([&](const ownership::KeyRange& keys, Segment& segment) {
            if (segment.is_wanted || segment.until <= now) return;
            segment.until = now;
            released.push_back(keys);
        });
        return released;
    }
    std::vector<ownership::HeldRange> held(TimePoint now) const {
        std::vector<ownership::HeldRange> ranges;
        const_cast<HoldModel*>(this)->visit([&](const ownership::KeyRange& keys, const Segment& segment) {
            if (segment.until <= now) return;
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
        TimePoint until{};
        bool is_wanted = false;
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

    std::map<std::uint32_t, Segment> segments_;    // by their first keys; they cover all
};

}    // namespace shaletray::controller::test
