#include "simulator/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "simulator/measure.h"

namespace shaletray::testbed {
EmulatedServer::EmulatedServer(const Scenario& scenario, std::uint64_t seed, TimePoint start,
                               ServerWorld& world)
    : m_(scenario.model), random_(seed), world_(world), start_(start) {
    const auto seconds = static_cast<std::size_t>(std::ceil(secs(scenario.time))) + 4;
    figures.work_by_second.resize(seconds);
    figures.waste_by_second.resize(seconds);
}

double EmulatedServer::speed() const {
    if (m_.cold <= Duration(0)) return 1.0;
    const double age = secs(world_.now() - up_since_) / secs(m_.cold);
    return m_.cold_speed + (1.0 - m_.cold_speed) * std::min(1.0, age);
}

// All that is sent to it presses on it, what it turns away too.
void EmulatedServer::pressed_while_cold() {
    const TimePoint now = world_.now();
    if (now - up_since_ >= m_.cold) {
        offered_.clear();
        offered_sum_ = 0.0;
        return;
    }
    // Each cold start that meets any work at all is a case of the rule.
    if (!std::exchange(was_cold_, true)) count(figures.rules["cold servers"], true, [] { return ""; });
    const double work = m_.work_ms * 1e-3 * std::exp(m_.tail * m_.tail / 2.0);
    offered_.emplace_back(now, work);
    offered_sum_ += work;
    for (; now - offered_.front().first > m_.fall; offered_.pop_front())
        offered_sum_ -= offered_.front().second;
    if (now - up_since_ < m_.fall || offered_sum_ <= m_.fall_multiple * m_.cores * speed() * secs(m_.fall))
        return;
    Figures::Rule& rule = figures.rules["cold servers"];
    ++rule.broken;
    rule.first =
        fmt::format("a server that began at {:.6f} was pushed over at {:.6f}: {:.2f} s of work in {} s",
                    secs(up_since_ - start_), secs(now - start_), offered_sum_, secs(m_.fall));
    fell_ = down_ = true;
    end_all(decision::Outcome::Reset);
}

void EmulatedServer::arrived(const JobId& id, int cls, bool fresh) {
    if (!down_) pressed_while_cold();
    if (down_) return world_.answer(id, decision::Outcome::ConnectFailed);
    if (errors_ > 0.0 && real() < errors_) return world_.answer(id, decision::Outcome::Error);
    if (running_ >= m_.cores && waiting_ >= static_cast<std::size_t>(m_.queue))
        return world_.answer(id, decision::Outcome::Full);
    const std::uint64_t number = ++last_;
    by_id_[id] = number;
    Job& job = jobs_[number];
    job.id = id;
    job.cls = cls;
    job.fresh = fresh;
    queue_.push_back(number);
    ++waiting_;
    start();
}

Duration EmulatedServer::work_of(const Job& job) {
    const double fill = static_cast<double>(waiting_) / std::max(1, m_.queue);
    double work = m_.work_ms * 1e-3 * std::lognormal_distribution<>(0.0, m_.tail)(random_);
    if (m_.heavy > 0.0 && real() < m_.heavy) work *= 10.0;
    if (heavy_part_ > 0.0 && (heavy_class_ < 0 || heavy_class_ == job.cls) && real() < heavy_part_)
        work *= heavy_by_;
    work *= slow_ / (speed() * (1.0 - m_.loss_when_full * std::min(1.0, fill)));
    if (job.fresh) work += secs(m_.connect);
    return Duration(static_cast<std::int64_t>(work * 1e6));
}

void EmulatedServer::start() {
    while (running_ < m_.cores && head_ < queue_.size()) {
        const std::uint64_t number = queue_[head_++];
        if (head_ > 256 && head_ * 2 > queue_.size()) {
            queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(head_));
            head_ = 0;
        }
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) continue;    // called off while it waited
        --waiting_;
        Job& job = it->second;
        job.running = true;
        job.began = world_.now();
        job.takes = work_of(job);
        ++running_;
        world_.wake(job.began + job.takes, number);
    }
}

void EmulatedServer::woken(std::uint64_t number) {
    const auto it = jobs_.find(number);
    if (it == jobs_.end()) return;
    if (hung_until_ > world_.now()) return world_.wake(hung_until_, number);
    const Job job = it->second;
    finish(it, job.for_nobody ? job.takes : Duration(0));
    if (!job.for_nobody) world_.answer(job.id, decision::Outcome::Ok);
    start();
}

void EmulatedServer::called_off(const JobId& id) {
    const auto at = by_id_.find(id);
    if (at == by_id_.end()) return;
    const auto it = jobs_.find(at->second);
    Job& job = it->second;
    if (!job.running) {
        --waiting_;
        by_id_.erase(at);
        jobs_.erase(it);
    } else if (m_.cancel_stops) {
        job.takes = world_.now() - job.began;
        finish(it, job.takes);
        start();
    } else {
        job.for_nobody = true;
    }
}

void EmulatedServer::finish(Jobs::iterator it, Duration wasted) {
    figures.work_us += static_cast<std::uint64_t>(it->second.takes.count());
    figures.wasted_work_us += static_cast<std::uint64_t>(wasted.count());
    const auto second = std::min(static_cast<std::size_t>(std::max(0.0, secs(world_.now() - start_))),
                                 figures.work_by_second.size() - 1);
    figures.work_by_second[second] += static_cast<double>(it->second.takes.count());
    figures.waste_by_second[second] += static_cast<std::uint64_t>(wasted.count());
    by_id_.erase(it->second.id);
    jobs_.erase(it);
    --running_;
}

EmulatedServer::Load EmulatedServer::load() {
    if (world_.now() >= told_at_) {
        told_at_ = world_.now() + m_.report_late;
        told_ = {static_cast<double>(running_) + static_cast<double>(waiting_),
                 static_cast<double>(waiting_)};
    }
    if (m_.report_noise <= 0.0) return told_;
    const double by = std::lognormal_distribution<>(0.0, m_.report_noise)(random_);
    return {std::round(told_.outstanding * by), std::round(told_.backlog * by)};
}

void EmulatedServer::trouble(const Fault& f, bool begins) {
    const double on = begins ? f.by : 0.0;
    switch (f.kind) {
        case Fault::Kind::Slow: slow_ = begins ? std::max(1.0, f.by) : 1.0; return;
        case Fault::Kind::Errors: errors_ = on; return;
        case Fault::Kind::LinkLoss: lost_ = on; return;
        case Fault::Kind::Heavy:
            heavy_part_ = begins ? f.part : 0.0;
            heavy_by_ = f.by;
            heavy_class_ = f.cls;
            return;
        case Fault::Kind::Hang: hung_until_ = begins ? world_.now() + f.lasts : TimePoint{}; return;
        case Fault::Kind::Crash:
        case Fault::Kind::RoomLost: break;
        default: return;    // what listens goes on: others have this trouble
    }
    down_ = begins || fell_;
    if (!begins) {
        up_since_ = world_.now();
        was_cold_ = false;
        return;
    }
    end_all(decision::Outcome::Reset);
}

void EmulatedServer::end_all(decision::Outcome outcome) {
    std::vector<std::uint64_t> numbers;    // in their order: a map's own is nobody's
    for (const auto& [number, job] : jobs_) numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    std::vector<JobId> ended;
    for (const std::uint64_t number : numbers) ended.push_back(jobs_.at(number).id);
    jobs_.clear();
    by_id_.clear();
    queue_.clear();
    head_ = waiting_ = 0;
    running_ = 0;
    for (const JobId& id : ended) world_.answer(id, outcome);
}

}    // namespace shaletray::testbed
