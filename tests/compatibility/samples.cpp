#include "compatibility/samples.h"

#include <iterator>

namespace shaletray::compatibility {
namespace {

template <class Sample>
std::vector<Sample> joined(std::vector<std::vector<Sample>> groups) {
    std::vector<Sample> all;
    for (auto& group : groups)
        all.insert(all.end(), std::make_move_iterator(group.begin()), std::make_move_iterator(group.end()));
    return all;
}

}    // namespace

std::vector<MessageSample> in_all_versions(
    const std::vector<MessageSample>& samples,
    const std::function<std::vector<std::string>(const std::string& name)>& versions_of) {
    std::vector<MessageSample> all;
    for (const MessageSample& sample : samples) {
        const std::vector<std::string> versions = versions_of(sample.name);
        for (const std::string& version : versions) {
            all.push_back(sample);
            all.back().name = version;
            all.back().only_read = version != versions.back();
        }
    }
    return all;
}

std::vector<MessageSample> message_samples() {
    return joined<MessageSample>(
        {ownership_samples(), register_message_samples(), membership_packet_samples(), registry_samples(),
         watch_samples(), quota_message_samples(), transport_samples(), configuration_update_samples(),
         peer_datagram_samples(), handover_samples()});
}

std::vector<FolderSample> folder_samples() {
    return joined<FolderSample>({register_folder_samples(), usage_folder_samples(), plan_folder_samples()});
}

}    // namespace shaletray::compatibility
