#include "cluster/membership/ping_samples.h"

#include <algorithm>

#include "cluster/membership/protocol_constants.h"

namespace shaletray::membership {

void PingSamples::add(Record& record, TimePoint sent_at, std::uint32_t sequence_number) {
    samples_.push_back({&record, sent_at, sequence_number, false});
    if (samples_.size() > kMaxSamples) samples_.pop_front();
}

void PingSamples::acknowledge(const Record& record, std::uint32_t sequence_number) {
    for (PingSample& sample : samples_) {
        if (sample.sequence_number != sequence_number || sample.record != &record) continue;
        sample.acknowledged = true;
        TimePoint& last_acknowledged = record.member->last_acknowledged;
        last_acknowledged = std::max(last_acknowledged, sample.sent_at);
    }
}

void PingSamples::remove_record(const Record& record) {
    std::erase_if(samples_, [&](const PingSample& sample) { return sample.record == &record; });
}

double PingSamples::fraction(TimePoint now, Duration window, const Predicate& relevant,
                             const Predicate& successful) const {
    std::size_t relevant_count = 0;
    std::size_t successful_count = 0;
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        if (now - sample->sent_at < kAckTimeout) continue;
        if (now - sample->sent_at > window + kAckTimeout && relevant_count >= kMinSamples) break;
        if (!relevant(*sample)) continue;
        ++relevant_count;
        if (successful(*sample)) ++successful_count;
    }
    if (relevant_count == 0) return 0.0;
    return static_cast<double>(successful_count) / static_cast<double>(relevant_count);
}

bool PingSamples::is_isolated(TimePoint now) const {
    std::size_t sample_count = 0;
    std::size_t contacted_count = 0;
    for (auto sample = samples_.rbegin(); sample != samples_.rend() && sample_count < 2 * kMinSamples;
         ++sample) {
        if (now - sample->sent_at < kAckTimeout) continue;
        ++sample_count;
        if (sample->has_contact_since()) ++contacted_count;
        if (sample_count == kMinSamples && contacted_count == 0) return true;
    }
    return contacted_count * 2 < sample_count;
}

}    // namespace shaletray::membership
