#include "simulator/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>

#include "balancer/settings/record.h"
#include "simulator/schema.h"

namespace shaletray::testbed {
namespace {

using settings::Record;
using settings::ValuePtr;

Fault read_fault(const Record& r) {
    Fault f;
    const std::string kind = r.text_at("kind");
    for (int k = 0; k <= static_cast<int>(Fault::Kind::StoreOutage); ++k) {
        if (kind == fault_name(static_cast<Fault::Kind>(k))) f.kind = static_cast<Fault::Kind>(k);
    }
    f.starts_at = r.duration_at("at");
    f.duration = r.duration_at("lasts");
    if (r.has("server")) f.server_index = r.integer_at<int>("server");
    if (r.has("room")) f.room_index = r.integer_at<int>("room");
    if (r.has("gateway")) f.gateway_index = r.integer_at<int>("gateway");
    if (r.has("share")) f.server_fraction = r.number_at("share");
    if (r.has("class")) {
        const std::string cls = r.text_at("class");
        for (std::size_t i = 0; i < simulated_classes().size(); ++i)
            if (simulated_classes()[i].name == cls) f.class_index = static_cast<int>(i);
    }
    f.includes_gateways = r.bool_at("with_gateways");
    f.magnitude = r.number_at("by");
    f.request_fraction = r.number_at("part");
    if (r.has("at_to")) f.starts_at_max = r.duration_at("at_to");
    if (r.has("lasts_to")) f.duration_max = r.duration_at("lasts_to");
    if (r.has("by_to")) f.magnitude_max = r.number_at("by_to");
    if (r.has("part_to")) f.request_fraction_max = r.number_at("part_to");
    return f;
}

ServerModel read_model(const Record& r) {
    ServerModel m;
    m.cores = r.integer_at<int>("cores");
    m.queue_length = r.integer_at<int>("queue");
    m.work_ms = static_cast<double>(r.duration_at("work").count()) / 1e3;
    m.work_sigma = r.number_at("tail");
    m.heavy_fraction = r.number_at("heavy");
    m.full_queue_slowdown = r.number_at("loss_when_full");
    m.initial_speed = r.number_at("cold_speed");
    m.warm_up_time = r.duration_at("cold");
    m.cancel_stops_work = r.bool_at("cancel_stops");
    m.connection_work = r.duration_at("connect");
    m.max_report_age = r.duration_at("report_late");
    m.report_noise_sigma = r.number_at("report_noise");
    m.overload_factor = r.number_at("fall_multiple");
    m.overload_duration = r.duration_at("fall");
    return m;
}

double fraction_of(std::uint64_t of, std::uint64_t all) {
    return static_cast<double>(of) / static_cast<double>(all);
}

}    // namespace

ScenarioFile parse_scenario(std::string_view text, const std::string& file) {
    const Record r(settings::resolve_settings(text, file, kSchema, "schema.cue"));
    ScenarioFile out;
    Scenario& s = out.scenario;
    s.name = r.text_at("name");
    out.description = r.text_at("about");
    s.duration = r.duration_at("time");
    s.gateway_count = r.integer_at<int>("gateways");
    s.server_count = r.integer_at<int>("servers");
    s.room_count = r.integer_at<int>("rooms");
    s.frontend_count = r.integer_at<int>("fronts");
    s.customer_count = r.integer_at<std::uint64_t>("customers");
    s.zipf_exponent = r.number_at("zipf");
    s.request_rate = r.number_at("rate");
    s.burst_fraction = r.number_at("burst");
    s.favourite_fraction = r.number_at("uneven");
    s.request_units = r.number_at("units");
    s.max_attempts = r.integer_at<int>("tries");
    s.abandon_fraction = r.number_at("leaves");
    s.request_timeout = r.duration_at("patience");
    s.network_delay = r.duration_at("delay");
    s.list_delay = r.duration_at("list_delay");
    s.server_model = read_model(Record(r.value_at("model")));
    for (const ValuePtr& item : r.value_at("plans")->items) {
        const Record p(item);
        decision::PlanSettings plan;
        plan.name = p.text_at("name");
        plan.rate = p.number_at("rate");
        plan.burst = p.number_at("burst");
        plan.ceiling_rate = p.number_at("ceiling_rate");
        plan.ceiling_burst = p.number_at("ceiling_burst");
        plan.ceiling_slack = p.number_at("ceiling_slack");
        plan.over_worth = p.number_at("over_worth");
        plan.over_cost = p.number_at("over_cost");
        s.plans.push_back(plan);
    }
    s.peer_message_loss = r.number_at("mail_loss");
    s.quota_sharing = r.text_at("sharing") == "counter" ? Scenario::QuotaSharing::SharedCounter
                                                        : Scenario::QuotaSharing::PeerMessages;
    for (const ValuePtr& item : r.value_at("changes")->items) {
        const Record c(item);
        const auto plan = std::find_if(s.plans.begin(), s.plans.end(),
                                       [&](const auto& p) { return p.name == c.text_at("plan"); });
        if (plan == s.plans.end())
            settings::throw_problem(item->position, "changes",
                                    "expected the name of a plan of this scenario, found another name");
        s.plan_changes.push_back({c.duration_at("at"), static_cast<int>(plan - s.plans.begin()),
                                  c.number_at("rate"), c.number_at("burst"), c.number_at("ceiling_rate"),
                                  c.number_at("ceiling_burst"), c.number_at("ceiling_slack")});
    }
    for (const ValuePtr& item : r.value_at("faults")->items) s.faults.push_back(read_fault(Record(item)));
    for (const ValuePtr& item : r.value_at("bounds")->items) {
        const Record b(item);
        ExpectedRange bound{b.text_at("figure"), {}, {}};
        if (b.has("least")) bound.min_value = b.number_at("least");
        if (b.has("most")) bound.max_value = b.number_at("most");
        if (!bound.min_value && !bound.max_value)
            settings::throw_problem(item->position, "bounds",
                                    "expected least or most in a bound, found neither");
        out.expected_ranges.push_back(bound);
    }
    s.validate();
    return out;
}

ScenarioFile load_scenario(const std::string& path) {
    return parse_scenario(settings::read_file(path), path);
}

const std::vector<std::string>& statistic_names() {
    static const std::vector<std::string> kNames = {"served", "in_aim", "refused",
                                                    "failed", "wasted", "attempts_per_request",
                                                    "p50_ms", "p99_ms", "p999_ms"};
    return kNames;
}

std::optional<double> statistic_of(const RunStatistics& f, const std::string& name) {
    if (f.requests == 0) return std::nullopt;
    if (name == "served") return fraction_of(f.served, f.requests);
    if (name == "in_aim") return fraction_of(f.within_target, f.requests);
    if (name == "refused") return fraction_of(f.rejected, f.requests);
    if (name == "failed") return fraction_of(f.failed, f.requests);
    if (name == "attempts_per_request") return fraction_of(f.attempts, f.requests);
    if (name == "wasted")
        return f.work_us == 0 ? std::nullopt : std::optional(fraction_of(f.wasted_work_us, f.work_us));
    if (f.served == 0) return std::nullopt;
    if (name == "p50_ms") return f.p50_ms;
    if (name == "p99_ms") return f.p99_ms;
    if (name == "p999_ms") return f.p999_ms;
    return std::nullopt;
}

Verdict check_range(const ExpectedRange& bound, const RunStatistics& figures) {
    const auto value = statistic_of(figures, bound.statistic_name);
    if (!value) return Verdict::NotChecked;
    const bool is_within =
        (!bound.min_value || *value >= *bound.min_value) && (!bound.max_value || *value <= *bound.max_value);
    return is_within ? Verdict::Satisfied : Verdict::Violated;
}

PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b) {
    namespace acc = boost::accumulators;
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::variance>> set;
    const std::size_t n = std::min(a.size(), b.size());
    for (std::size_t i = 0; i < n; ++i) set(b[i] - a[i]);
    PairedDifference d{n == 0 ? 0.0 : acc::mean(set), 0.0, n};
    if (n < 2) return d;
    // Boost returns the population variance; the sample variance is n / (n - 1) times that.
    const double variance =
        std::max(0.0, acc::variance(set)) * static_cast<double>(n) / static_cast<double>(n - 1);
    const double t = boost::math::quantile(boost::math::students_t(static_cast<double>(n - 1)), 0.975);
    d.half_width = t * std::sqrt(variance / static_cast<double>(n));
    return d;
}

}    // namespace shaletray::testbed
