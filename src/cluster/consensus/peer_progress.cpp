#include "cluster/consensus/peer_progress.h"

#include <algorithm>

namespace shaletray::consensus {
namespace {

constexpr std::size_t kMaxPeers = 256;            // far above any real number of controllers
constexpr std::uint64_t kMaxEntriesBehind = 2;    // the newest entry may still be in transit to the replica

}    // namespace

void PeerProgress::record(const std::string& from, const Message& message, TimePoint now) {
    if (reports_.contains(from) || reports_.size() < kMaxPeers)
        reports_[from] = {message.disk_id, message.next_instance, now};
}

void PeerProgress::retain(const std::vector<std::string>& addresses) {
    std::erase_if(reports_, [&addresses](const auto& report) {
        return std::find(addresses.begin(), addresses.end(), report.first) == addresses.end();
    });
}

bool PeerProgress::is_caught_up(const Replica& replica, std::uint64_t next_instance, TimePoint since) const {
    const auto found = reports_.find(replica.address);
    if (found == reports_.end()) return false;
    const Report& report = found->second;
    return report.disk_id == replica.disk_id && report.reported_at >= since &&
           report.next_instance + kMaxEntriesBehind >= next_instance;
}

}    // namespace shaletray::consensus
