#include "gateway/gateway_metrics.h"

#include <fmt/format.h>

#include "base/common/metric_label.h"

namespace shaletray::gateway {
namespace {

void append_value(std::string& out, std::string_view name, double value) {
    out += fmt::format("gateway_{} {}\n", name, value);
}

void append_counts(std::string& out, std::string_view label,
                   const std::map<std::string, AdmissionStatistics::Counts>& counts_by_name) {
    for (const auto& [name, counts] : counts_by_name) {
        for (std::size_t outcome = 0; outcome < counts.size(); ++outcome) {
            out += fmt::format("gateway_requests_by_{}_total{{{}=\"{}\",outcome=\"{}\"}} {}\n", label, label,
                               escape_label(name), outcome_name(static_cast<AdmissionOutcome>(outcome)),
                               counts[outcome]);
        }
    }
}

void append_uploads(std::string& out, const Counters& counters) {
    append_value(out, "request_heads_read_total", static_cast<double>(counters.request_heads_read));
    append_value(out, "requests_submitted_total", static_cast<double>(counters.requests_submitted));
    append_value(out, "streamed_uploads_total", static_cast<double>(counters.streamed_uploads));
    append_value(out, "uploads_answered_early_total{body=\"received\"}",
                 static_cast<double>(counters.uploads_answered_received));
    append_value(out, "uploads_answered_early_total{body=\"incomplete\"}",
                 static_cast<double>(counters.uploads_answered_incomplete));
}

void append_misdirections(std::string& out, const std::string& service, std::string_view reason,
                          std::uint64_t count) {
    out += fmt::format("gateway_misdirected_total{{service=\"{}\",reason=\"{}\"}} {}\n",
                       escape_label(service), reason, count);
}

}    // namespace

std::string format_metrics(const MetricsSource& source) {
    std::string out = fmt::format("gateway_info{{zone=\"{}\"}} 1\n", escape_label(source.zone));
    append_value(out, "ready", source.ready ? 1 : 0);
    append_value(out, "holds_quota_lease", source.holds_quota_lease ? 1 : 0);
    append_value(out, "configuration_version", static_cast<double>(source.configuration_version));
    append_value(out, "quota_divisor", source.quota_divisor);
    append_value(out, "known_gateways", static_cast<double>(source.known_gateways));
    append_value(out, "quota_granted_total", static_cast<double>(source.quota.granted));
    append_value(out, "quota_queued_total", static_cast<double>(source.quota.queued));
    append_value(out, "quota_rejected_total", static_cast<double>(source.quota.rejected));
    append_value(out, "quota_rejected_without_lease_total",
                 static_cast<double>(source.quota.rejected_without_lease));
    append_value(out, "quota_messages_sent_total", static_cast<double>(source.quota.sent));
    append_value(out, "quota_messages_received_total", static_cast<double>(source.quota.received));
    append_value(out, "quota_expired_transfers_total", static_cast<double>(source.quota.expired_transfers));
    append_value(out, "quota_units_sent_total", source.quota.units_sent);
    append_value(out, "quota_units_received_total", source.quota.units_received);
    append_value(out, "ownership_version", static_cast<double>(source.ownership_version));
    append_value(out, "ownership_rows", static_cast<double>(source.owner_rows));
    append_value(out, "requests_without_owner_total", static_cast<double>(source.without_owner));
    append_value(out, "requests_sent_to_new_owner_total", static_cast<double>(source.sent_to_new_owner));
    append_uploads(out, source.data_plane);
    append_counts(out, "tenant", source.admissions.by_tenant());
    append_counts(out, "route", source.admissions.by_route());
    for (const auto& [service, counts] : source.misdirections) {
        append_misdirections(out, service, "other_instance", counts.other_instance);
        append_misdirections(out, service, "key_not_held", counts.key_not_held);
    }
    for (const auto& [tenant, units] : source.units)
        out += fmt::format("gateway_quota_units{{tenant=\"{}\"}} {}\n", escape_label(tenant), units);
    return out;
}

}    // namespace shaletray::gateway
