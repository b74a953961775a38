#include "controller/departure_barrier.h"

#include <algorithm>
#include <iterator>

namespace shaletray::controller {

void DepartureBarrier::wait(std::uint64_t sequence, TimePoint now, Callback on_done) {
    pending_.push_back({sequence, now + kTimeout, std::move(on_done)});
}

void DepartureBarrier::on_majority_acknowledged(std::uint64_t sequence) {
    finish([=](const PendingDeparture& departure) { return departure.sequence <= sequence; },
           Result::Confirmed);
}

void DepartureBarrier::expire(TimePoint now) {
    finish([=](const PendingDeparture& departure) { return departure.deadline <= now; }, Result::TimedOut);
}

void DepartureBarrier::reset() {
    finish([](const PendingDeparture&) { return true; }, Result::TimedOut);
}

TimePoint DepartureBarrier::next_deadline() const {
    return pending_.empty() ? TimePoint::max() : pending_.front().deadline;
}

void DepartureBarrier::finish(const std::function<bool(const PendingDeparture&)>& should_finish,
                              Result result) {
    const auto first = std::stable_partition(pending_.begin(), pending_.end(), std::not_fn(should_finish));
    std::vector<PendingDeparture> finished(std::make_move_iterator(first),
                                           std::make_move_iterator(pending_.end()));
    pending_.erase(first, pending_.end());
    for (const PendingDeparture& departure : finished) departure.on_done(result);
}

}    // namespace shaletray::controller
