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

Fault fault_of(const Record& r) {
    Fault f;
    const std::string kind = r.text("kind");
    for (int k = 0; k <= static_cast<int>(Fault::Kind::StoreLost); ++k) {
        if (kind == name_of(static_cast<Fault::Kind>(k))) f.kind = static_cast<Fault::Kind>(k);
    }
    f.at = r.duration("at");
    f.lasts = r.duration("lasts");
    if (r.has("server")) f.server = r.whole<int>("server");
    if (r.has("room")) f.room = r.whole<int>("room");
    if (r.has("gateway")) f.gateway = r.whole<int>("gateway");
    if (r.has("share")) f.share = r.number("share");
    if (r.has("class")) {
        const std::string cls = r.text("class");
        for (std::size_t i = 0; i < lab_classes().size(); ++i)
            if (lab_classes()[i].name == cls) f.cls = static_cast<int>(i);
    }
    f.with_gateways = r.truth("with_gateways");
    f.by = r.number("by");
    f.part = r.number("part");
    if (r.has("at_to")) f.at_to = r.duration("at_to");
    if (r.has("lasts_to")) f.lasts_to = r.duration("lasts_to");
    if (r.has("by_to")) f.by_to = r.number("by_to");
    if (r.has("part_to")) f.part_to = r.number("part_to");
    return f;
}

ServerModel model_of(const Record& r) {
    ServerModel m;
    m.cores = r.whole<int>("cores");
    m.queue = r.whole<int>("queue");
    m.work_ms = static_cast<double>(r.duration("work").count()) / 1e3;
    m.tail = r.number("tail");
    m.heavy = r.number("heavy");
    m.loss_when_full = r.number("loss_when_full");
    m.cold_speed = r.number("cold_speed");
    m.cold = r.duration("cold");
    m.cancel_stops = r.truth("cancel_stops");
    m.connect = r.duration("connect");
    m.report_late = r.duration("report_late");
    m.report_noise = r.number("report_noise");
    m.fall_multiple = r.number("fall_multiple");
    m.fall = r.duration("fall");
    return m;
}

double part(std::uint64_t of, std::uint64_t all) {
    return static_cast<double>(of) / static_cast<double>(all);
}

}    // namespace

ScenarioFile read_scenario(std::string_view text, const std::string& file) {
    const Record r(settings::settled(text, file, kSchema, "schema.cue"));
    ScenarioFile out;
    Scenario& s = out.scenario;
    s.name = r.text("name");
    out.about = r.text("about");
    s.time = r.duration("time");
    s.gateways = r.whole<int>("gateways");
    s.servers = r.whole<int>("servers");
    s.rooms = r.whole<int>("rooms");
    s.fronts = r.whole<int>("fronts");
    s.customers = r.whole<std::uint64_t>("customers");
    s.zipf = r.number("zipf");
    s.rate = r.number("rate");
    s.burst = r.number("burst");
    s.uneven = r.number("uneven");
    s.units = r.number("units");
    s.tries = r.whole<int>("tries");
    s.leaves = r.number("leaves");
    s.patience = r.duration("patience");
    s.delay = r.duration("delay");
    s.list_delay = r.duration("list_delay");
    s.model = model_of(Record(r.at("model")));
    for (const ValuePtr& item : r.at("plans")->items) {
        const Record p(item);
        decision::PlanSettings plan;
        plan.name = p.text("name");
        plan.rate = p.number("rate");
        plan.burst = p.number("burst");
        plan.ceiling_rate = p.number("ceiling_rate");
        plan.ceiling_burst = p.number("ceiling_burst");
        plan.ceiling_slack = p.number("ceiling_slack");
        plan.over_worth = p.number("over_worth");
        plan.over_cost = p.number("over_cost");
        s.plans.push_back(plan);
    }
    s.mail_loss = r.number("mail_loss");
    s.sharing = r.text("sharing") == "counter" ? Scenario::Sharing::Counter : Scenario::Sharing::Mail;
    for (const ValuePtr& item : r.at("changes")->items) {
        const Record c(item);
        const auto plan = std::find_if(s.plans.begin(), s.plans.end(),
                                       [&](const auto& p) { return p.name == c.text("plan"); });
        if (plan == s.plans.end())
            settings::fail(item->place, "changes",
                           "expected a plan of this scenario, found none of that name");
        s.changes.push_back({c.duration("at"), static_cast<int>(plan - s.plans.begin()), c.number("rate"),
                             c.number("burst"), c.number("ceiling_rate"), c.number("ceiling_burst"),
                             c.number("ceiling_slack")});
    }
    for (const ValuePtr& item : r.at("faults")->items) s.faults.push_back(fault_of(Record(item)));
    for (const ValuePtr& item : r.at("bounds")->items) {
        const Record b(item);
        Bound bound{b.text("figure"), {}, {}};
        if (b.has("least")) bound.least = b.number("least");
        if (b.has("most")) bound.most = b.number("most");
        if (!bound.least && !bound.most)
            settings::fail(item->place, "bounds", "expected least or most in a bound, found neither");
        out.bounds.push_back(bound);
    }
    s.check();
    return out;
}

ScenarioFile load_scenario(const std::string& path) { return read_scenario(settings::read_file(path), path); }

const std::vector<std::string>& figure_names() {
    static const std::vector<std::string> kNames = {"served", "in_aim", "refused",
                                                    "failed", "wasted", "attempts_per_request",
                                                    "p50_ms", "p99_ms", "p999_ms"};
    return kNames;
}

std::optional<double> figure_of(const Figures& f, const std::string& name) {
    if (f.requests == 0) return std::nullopt;
    if (name == "served") return part(f.served, f.requests);
    if (name == "in_aim") return part(f.in_aim, f.requests);
    if (name == "refused") return part(f.refused, f.requests);
    if (name == "failed") return part(f.failed, f.requests);
    if (name == "attempts_per_request") return part(f.attempts, f.requests);
    if (name == "wasted")
        return f.work_us == 0 ? std::nullopt : std::optional(part(f.wasted_work_us, f.work_us));
    if (f.served == 0) return std::nullopt;
    if (name == "p50_ms") return f.p50_ms;
    if (name == "p99_ms") return f.p99_ms;
    if (name == "p999_ms") return f.p999_ms;
    return std::nullopt;
}

Verdict judge(const Bound& bound, const Figures& figures) {
    const auto value = figure_of(figures, bound.figure);
    if (!value) return Verdict::NotChecked;
    const bool kept = (!bound.least || *value >= *bound.least) && (!bound.most || *value <= *bound.most);
    return kept ? Verdict::Kept : Verdict::Broken;
}

Difference paired(const std::vector<double>& a, const std::vector<double>& b) {
    namespace acc = boost::accumulators;
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::variance>> set;
    const std::size_t n = std::min(a.size(), b.size());
    for (std::size_t i = 0; i < n; ++i) set(b[i] - a[i]);
    Difference d{n == 0 ? 0.0 : acc::mean(set), 0.0, n};
    if (n < 2) return d;
    // Boost gives the variance of what is there; the sample's is n / (n - 1) of it.
    const double variance =
        std::max(0.0, acc::variance(set)) * static_cast<double>(n) / static_cast<double>(n - 1);
    const double t = boost::math::quantile(boost::math::students_t(static_cast<double>(n - 1)), 0.975);
    d.half_width = t * std::sqrt(variance / static_cast<double>(n));
    return d;
}

}    // namespace shaletray::testbed
