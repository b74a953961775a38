#include "simulator/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "simulator/measure.h"

namespace shaletray::testbed {
EmulatedServer::EmulatedServer(const Scenario& scenario, std::uint64_t seed, TimePoint start,
                               ServerEnvironment& environment)
    : model_(scenario.server_model), random_(seed), environment_(environment), started_at_(start) {
    const auto seconds = static_cast<std::size_t>(std::ceil(secs(scenario.duration))) + 4;
    statistics.work_by_second.resize(seconds);
    statistics.wasted_work_by_second.resize(seconds);
}

double EmulatedServer::current_speed() const {
    if (model_.warm_up_time <= Duration(0)) return 1.0;
    const double age = secs(environment_.current_time() - up_since_) / secs(model_.warm_up_time);
    return model_.initial_speed + (1.0 - model_.initial_speed) * std::min(1.0, age);
}

// All requests sent to a server count as load, rejected ones too.
void EmulatedServer::check_warm_up_load() {
    const TimePoint now = environment_.current_time();
    if (now - up_since_ >= model_.warm_up_time) {
        offered_work_.clear();
        offered_work_total_ = 0.0;
        return;
    }
    // Each cold start that receives any work counts as a check of the rule.
    if (!std::exchange(was_warming_up_, true))
        record_rule_check(statistics.rules["cold servers"], true, [] { return ""; });
    const double work = model_.work_ms * 1e-3 * std::exp(model_.work_sigma * model_.work_sigma / 2.0);
    offered_work_.emplace_back(now, work);
    offered_work_total_ += work;
    for (; now - offered_work_.front().first > model_.overload_duration; offered_work_.pop_front())
        offered_work_total_ -= offered_work_.front().second;
    if (now - up_since_ < model_.overload_duration ||
        offered_work_total_ <=
            model_.overload_factor * model_.cores * current_speed() * secs(model_.overload_duration))
        return;
    RunStatistics::Rule& rule = statistics.rules["cold servers"];
    ++rule.violation_count;
    rule.first_violation = fmt::format(
        "a server that started at {:.6f} collapsed under load at {:.6f}: {:.2f} s of work in {} s",
        secs(up_since_ - started_at_), secs(now - started_at_), offered_work_total_,
        secs(model_.overload_duration));
    has_collapsed_ = is_down_ = true;
    end_all_jobs(decision::Outcome::Reset);
}

void EmulatedServer::on_request(const JobId& id, int class_index, bool new_connection) {
    if (!is_down_) check_warm_up_load();
    if (is_down_) return environment_.send_answer(id, decision::Outcome::ConnectFailed);
    if (error_probability_ > 0.0 && draw_fraction() < error_probability_)
        return environment_.send_answer(id, decision::Outcome::Error);
    if (running_count_ >= model_.cores && queued_count_ >= static_cast<std::size_t>(model_.queue_length))
        return environment_.send_answer(id, decision::Outcome::Full);
    const std::uint64_t number = ++last_job_;
    jobs_by_id_[id] = number;
    Job& job = jobs_[number];
    job.id = id;
    job.class_index = class_index;
    job.new_connection = new_connection;
    queue_.push_back(number);
    ++queued_count_;
    start_next_jobs();
}

Duration EmulatedServer::draw_work(const Job& job) {
    const double fill = static_cast<double>(queued_count_) / std::max(1, model_.queue_length);
    double work = model_.work_ms * 1e-3 * std::lognormal_distribution<>(0.0, model_.work_sigma)(random_);
    if (model_.heavy_fraction > 0.0 && draw_fraction() < model_.heavy_fraction) work *= 10.0;
    if (heavy_fraction_ > 0.0 && (heavy_class_ < 0 || heavy_class_ == job.class_index) &&
        draw_fraction() < heavy_fraction_)
        work *= heavy_factor_;
    work *= slowdown_ / (current_speed() * (1.0 - model_.full_queue_slowdown * std::min(1.0, fill)));
    if (job.new_connection) work += secs(model_.connection_work);
    return Duration(static_cast<std::int64_t>(work * 1e6));
}

void EmulatedServer::start_next_jobs() {
    while (running_count_ < model_.cores && queue_head_ < queue_.size()) {
        const std::uint64_t number = queue_[queue_head_++];
        if (queue_head_ > 256 && queue_head_ * 2 > queue_.size()) {
            queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(queue_head_));
            queue_head_ = 0;
        }
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) continue;    // cancelled while it was queued
        --queued_count_;
        Job& job = it->second;
        job.is_running = true;
        job.started_at = environment_.current_time();
        job.work_time = draw_work(job);
        ++running_count_;
        environment_.schedule_wakeup(job.started_at + job.work_time, number);
    }
}

void EmulatedServer::on_wakeup(std::uint64_t number) {
    const auto it = jobs_.find(number);
    if (it == jobs_.end()) return;
    if (hung_until_ > environment_.current_time()) return environment_.schedule_wakeup(hung_until_, number);
    const Job job = it->second;
    finish_job(it, job.is_abandoned ? job.work_time : Duration(0));
    if (!job.is_abandoned) environment_.send_answer(job.id, decision::Outcome::Ok);
    start_next_jobs();
}

void EmulatedServer::on_cancel(const JobId& id) {
    const auto at = jobs_by_id_.find(id);
    if (at == jobs_by_id_.end()) return;
    const auto it = jobs_.find(at->second);
    Job& job = it->second;
    if (!job.is_running) {
        --queued_count_;
        jobs_by_id_.erase(at);
        jobs_.erase(it);
    } else if (model_.cancel_stops_work) {
        job.work_time = environment_.current_time() - job.started_at;
        finish_job(it, job.work_time);
        start_next_jobs();
    } else {
        job.is_abandoned = true;
    }
}

void EmulatedServer::finish_job(Jobs::iterator it, Duration wasted) {
    statistics.work_us += static_cast<std::uint64_t>(it->second.work_time.count());
    statistics.wasted_work_us += static_cast<std::uint64_t>(wasted.count());
    const auto second =
        std::min(static_cast<std::size_t>(std::max(0.0, secs(environment_.current_time() - started_at_))),
                 statistics.work_by_second.size() - 1);
    statistics.work_by_second[second] += static_cast<double>(it->second.work_time.count());
    statistics.wasted_work_by_second[second] += static_cast<std::uint64_t>(wasted.count());
    jobs_by_id_.erase(it->second.id);
    jobs_.erase(it);
    --running_count_;
}

EmulatedServer::ReportedLoad EmulatedServer::reported_load() {
    if (environment_.current_time() >= reported_at_) {
        reported_at_ = environment_.current_time() + model_.max_report_age;
        last_report_ = {static_cast<double>(running_count_) + static_cast<double>(queued_count_),
                        static_cast<double>(queued_count_)};
    }
    if (model_.report_noise_sigma <= 0.0) return last_report_;
    const double noise_factor = std::lognormal_distribution<>(0.0, model_.report_noise_sigma)(random_);
    return {std::round(last_report_.outstanding * noise_factor),
            std::round(last_report_.backlog * noise_factor)};
}

void EmulatedServer::apply_fault(const Fault& f, bool begins) {
    const double probability = begins ? f.magnitude : 0.0;
    switch (f.kind) {
        case Fault::Kind::Slowdown: slowdown_ = begins ? std::max(1.0, f.magnitude) : 1.0; return;
        case Fault::Kind::Errors: error_probability_ = probability; return;
        case Fault::Kind::LinkLoss: loss_probability_ = probability; return;
        case Fault::Kind::HeavyRequests:
            heavy_fraction_ = begins ? f.request_fraction : 0.0;
            heavy_factor_ = f.magnitude;
            heavy_class_ = f.class_index;
            return;
        case Fault::Kind::Hang:
            hung_until_ = begins ? environment_.current_time() + f.duration : TimePoint{};
            return;
        case Fault::Kind::Crash:
        case Fault::Kind::RoomLost: break;
        default: return;    // faults of other components
    }
    is_down_ = begins || has_collapsed_;
    if (!begins) {
        up_since_ = environment_.current_time();
        was_warming_up_ = false;
        return;
    }
    end_all_jobs(decision::Outcome::Reset);
}

void EmulatedServer::end_all_jobs(decision::Outcome outcome) {
    std::vector<std::uint64_t> numbers;    // sorted, as the order of an unordered map is unspecified
    for (const auto& [number, job] : jobs_) numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    std::vector<JobId> ended;
    for (const std::uint64_t number : numbers) ended.push_back(jobs_.at(number).id);
    jobs_.clear();
    jobs_by_id_.clear();
    queue_.clear();
    queue_head_ = queued_count_ = 0;
    running_count_ = 0;
    for (const JobId& id : ended) environment_.send_answer(id, outcome);
}

}    // namespace shaletray::testbed
