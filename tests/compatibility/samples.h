// Samples of everything that outlives a process or travels between two: what is written for them now, and
// what has to be read from them. Used by the command that records them and by the tests that read the
// recordings.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::compatibility {

// What `MessageSample::read` gives for bytes that are refused.
inline constexpr std::string_view kUnreadable = "unreadable";

// One message of a fixed encoding, recorded as one file.
struct MessageSample {
    std::string name;      // of the file
    std::string bytes;     // as the message is encoded now
    std::string fields;    // all that has to be read from it, see FieldList
    std::function<std::string(std::string_view bytes)> read;
    bool only_read = false;    // as an earlier release encoded it; recorded once, and not written any more
};

// Each sample in all versions of its encoding: `versions_of` names the recordings, the oldest first. Earlier
// ones are only read, the last one is what is written now.
std::vector<MessageSample> in_all_versions(
    const std::vector<MessageSample>& samples,
    const std::function<std::vector<std::string>(const std::string& name)>& versions_of);

std::vector<MessageSample> ownership_samples();           // who owns which shard keys
std::vector<MessageSample> register_message_samples();    // consensus messages and the head of the state
std::vector<MessageSample> membership_packet_samples();
std::vector<MessageSample> registry_samples();    // changes between coordinators, and as they are relayed
std::vector<MessageSample> watch_samples();       // between coordinators and gateways
std::vector<MessageSample> quota_message_samples();
std::vector<MessageSample> transport_samples();    // envelopes, as datagrams and as frames
std::vector<MessageSample> configuration_update_samples();
std::vector<MessageSample> peer_datagram_samples();
std::vector<MessageSample> handover_samples();
// All of the above.
std::vector<MessageSample> message_samples();

// State on disk, recorded as one folder.
struct FolderSample {
    std::string name;
    std::function<void(const std::string& folder)> record;    // into an empty folder
    std::string fields;
    // Opens the folder as the programs do, which may change files in it. Throws where it cannot be read.
    std::function<std::string(const std::string& folder)> read;
    std::vector<std::string> deterministic;    // files that hold the same bytes whenever they are recorded
};

std::vector<FolderSample> register_folder_samples();
std::vector<FolderSample> usage_folder_samples();    // journal segments, tallies and the usage database
std::vector<FolderSample> plan_folder_samples();
// All of the above.
std::vector<FolderSample> folder_samples();

}    // namespace shaletray::compatibility
