#include "gateway/admission_statistics.h"

namespace shaletray::gateway {
namespace {

void increment(std::map<std::string, AdmissionStatistics::Counts>& counts_by_name, const std::string& name,
               AdmissionOutcome outcome) {
    static const std::string kOther = "other";
    const bool fits = counts_by_name.size() < AdmissionStatistics::kMaxNames || counts_by_name.contains(name);
    ++counts_by_name[fits ? name : kOther][static_cast<std::size_t>(outcome)];
}

}    // namespace

std::string_view outcome_name(AdmissionOutcome outcome) {
    switch (outcome) {
        case AdmissionOutcome::Granted: return "granted";
        case AdmissionOutcome::RejectedAtOnce: return "rejected_at_once";
        case AdmissionOutcome::RejectedAfterWait: return "rejected_after_wait";
        default: return "rejected_by_capacity";
    }
}

void AdmissionStatistics::record(const std::string& tenant, const std::string& route,
                                 AdmissionOutcome outcome) {
    increment(by_tenant_, tenant, outcome);
    increment(by_route_, route, outcome);
}

}    // namespace shaletray::gateway
