#include "controller/voter_manager.h"

#include <fmt/format.h>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;

// A replica that has not reported the newest entry for this long does not become a voter.
constexpr Duration kCaughtUpWindow = 2s;

// Address and disk id of each voter: "10.1.0.24:7100/0,10.2.0.9:7100/77".
std::string format_voters(const Voters& voters) {
    std::string text;
    for (const consensus::Replica& voter : voters)
        text += fmt::format("{}{}/{}", text.empty() ? "" : ",", voter.address, voter.disk_id);
    return text;
}

}    // namespace

void VoterManager::reconcile() {
    const auto is_caught_up = [this](const consensus::Replica& replica) {
        return consensus_.replicated_register().is_caught_up(replica, kCaughtUpWindow);
    };
    const auto change = reconciler_.next_change(consensus_.committed_entry(), membership_.members(),
                                                is_caught_up, clock_.now());
    has_wanted_change_ = change.has_value();
    if (!change) return;
    if (log_limiter_.try_acquire())
        runtime::log_event(LogLevel::Info, "voter_change_proposed",
                           {log_field("from", format_voters(change->current_voters)),
                            log_field("to", format_voters(change->new_voters))});
    consensus_.change_voters(*change);
}

void VoterManager::start_handover() {
    is_leaving_ = true;
    reconciler_.start_leaving();
    reconcile();
}

bool VoterManager::is_handover_pending() const {
    return is_leaving_ && has_wanted_change_ && consensus_.replicated_register().is_voter();
}

}    // namespace shaletray::controller
