// Tests the metrics on admitted and rejected requests, by tenant, route and service.
#include "gateway/gateway_metrics.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace shaletray::gateway;

namespace {

std::string metrics_of(const AdmissionStatistics& admissions, const Counters& data_plane = {}) {
    const std::string zone = "north";
    const std::map<std::string, double> units = {{"acme", 2.5}};
    return format_metrics(
        {.zone = zone, .admissions = admissions, .quota = {}, .units = units, .data_plane = data_plane});
}

bool contains(const std::string& text, const std::string& line) {
    return text.find(line + "\n") != std::string::npos;
}

}    // namespace

Test(gateway_metrics, report_admission_outcomes_by_tenant_and_route) {
    AdmissionStatistics admissions;
    admissions.record("acme", "read", AdmissionOutcome::Granted);
    admissions.record("acme", "pay", AdmissionOutcome::RejectedAtOnce);
    admissions.record("acme", "pay", AdmissionOutcome::RejectedAfterWait);
    admissions.record("zeta", "read", AdmissionOutcome::RejectedByCapacity);
    const std::string text = metrics_of(admissions);
    cr_expect(contains(text, R"(gateway_requests_by_tenant_total{tenant="acme",outcome="granted"} 1)"));
    cr_expect(
        contains(text, R"(gateway_requests_by_tenant_total{tenant="acme",outcome="rejected_at_once"} 1)"));
    cr_expect(
        contains(text, R"(gateway_requests_by_route_total{route="pay",outcome="rejected_after_wait"} 1)"));
    cr_expect(contains(
        text, R"(gateway_requests_by_tenant_total{tenant="zeta",outcome="rejected_by_capacity"} 1)"));
    cr_expect(contains(text, R"(gateway_requests_by_tenant_total{tenant="zeta",outcome="granted"} 0)"));
    cr_expect(contains(text, R"(gateway_quota_units{tenant="acme"} 2.5)"));
    cr_expect(contains(text, R"(gateway_info{zone="north"} 1)"));
}

Test(gateway_metrics, escape_names_and_bound_their_number) {
    AdmissionStatistics admissions;
    admissions.record("a\"b\\c\nd", "read", AdmissionOutcome::Granted);
    cr_expect(contains(metrics_of(admissions),
                       R"(gateway_requests_by_tenant_total{tenant="a\"b\\c\nd",outcome="granted"} 1)"));
    for (std::size_t i = 0; i < 2 * AdmissionStatistics::kMaxNames; ++i)
        admissions.record("tenant" + std::to_string(i), "read", AdmissionOutcome::Granted);
    cr_expect(admissions.by_tenant().size() == AdmissionStatistics::kMaxNames + 1);
    cr_expect(admissions.by_tenant().at("other")[0] == AdmissionStatistics::kMaxNames + 1);
}

Test(gateway_metrics, report_misdirected_requests_by_reason) {
    const std::string zone = "north";
    const AdmissionStatistics admissions;
    const std::map<std::string, double> units;
    const std::string text = format_metrics({.zone = zone,
                                             .admissions = admissions,
                                             .quota = {},
                                             .units = units,
                                             .data_plane = {},
                                             .misdirections = {{"saves", {2, 7}}}});
    cr_expect(contains(text, R"(gateway_misdirected_total{service="saves",reason="other_instance"} 2)"));
    cr_expect(contains(text, R"(gateway_misdirected_total{service="saves",reason="key_not_held"} 7)"));
}

Test(gateway_metrics, report_uploads_that_are_answered_before_their_end) {
    Counters counters;
    counters.request_heads_read = 9;
    counters.requests_submitted = 8;
    counters.streamed_uploads = 7;
    counters.uploads_answered_received = 3;
    counters.uploads_answered_incomplete = 4;
    const std::string text = metrics_of({}, counters);
    cr_expect(contains(text, "gateway_request_heads_read_total 9"));
    cr_expect(contains(text, "gateway_requests_submitted_total 8"));
    cr_expect(contains(text, "gateway_streamed_uploads_total 7"));
    cr_expect(contains(text, R"(gateway_uploads_answered_early_total{body="received"} 3)"));
    cr_expect(contains(text, R"(gateway_uploads_answered_early_total{body="incomplete"} 4)"));
}
