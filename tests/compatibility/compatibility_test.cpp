// What earlier releases recorded is read to the last field, and what is written now is the same to the byte.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "compatibility/samples.h"

using namespace shaletray::compatibility;
namespace fs = std::filesystem;

namespace {

const fs::path kMessages = fs::path(DATA) / "messages", kFolders = fs::path(DATA) / "folders";

std::string contents(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string name = (fs::temp_directory_path() / "shaletray-compatibility-XXXXXX").string();
        path_ = mkdtemp(name.data());
    }
    ~TemporaryFolder() { fs::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const fs::path& path() const { return path_; }

private:
    fs::path path_;
};

// The first line that differs, for a report that can be read.
std::string difference(const std::string& expected, const std::string& found) {
    const auto [left, right] = std::mismatch(expected.begin(), expected.end(), found.begin(), found.end());
    const auto line = [](const std::string& text, std::string::const_iterator at) {
        const auto from = static_cast<std::size_t>(at - text.begin());
        const std::size_t begin = from == 0 ? 0 : text.rfind('\n', from - 1) + 1;
        return text.substr(begin, text.find('\n', from) - begin);
    };
    return "expected \"" + line(expected, left) + "\", found \"" + line(found, right) + "\"";
}

void check(const std::vector<MessageSample>& samples) {
    for (const MessageSample& sample : samples) {
        const std::string recorded = contents(kMessages / sample.name), fields = sample.read(recorded);
        cr_expect(fields == sample.fields, "%s: %s", sample.name.c_str(),
                  difference(sample.fields, fields).c_str());
        if (sample.only_read) continue;
        cr_expect(sample.bytes == recorded, "%s: is encoded to other bytes now", sample.name.c_str());
    }
}

// On a copy: files may change when they are opened.
void check(const std::vector<FolderSample>& samples) {
    for (const FolderSample& sample : samples) {
        const TemporaryFolder copy, again;
        fs::copy(kFolders / sample.name, copy.path(), fs::copy_options::recursive);
        const std::string fields = sample.read(copy.path().string());
        cr_expect(fields == sample.fields, "%s: %s", sample.name.c_str(),
                  difference(sample.fields, fields).c_str());
        sample.record(again.path().string());
        for (const std::string& file : sample.deterministic)
            cr_expect(contents(again.path() / file) == contents(kFolders / sample.name / file),
                      "%s/%s: is written with other bytes now", sample.name.c_str(), file.c_str());
    }
}

std::set<std::string> names_in(const fs::path& folder) {
    std::set<std::string> names;
    for (const auto& entry : fs::directory_iterator(folder)) names.insert(entry.path().filename().string());
    return names;
}

template <class Sample>
std::set<std::string> names_of(const std::vector<Sample>& samples) {
    std::set<std::string> names;
    for (const Sample& sample : samples) names.insert(sample.name);
    return names;
}

}    // namespace

Test(compatibility, register_messages) { check(register_message_samples()); }
Test(compatibility, ownership_tables) { check(ownership_samples()); }
Test(compatibility, membership_packets) { check(membership_packet_samples()); }
Test(compatibility, registry_changes) { check(registry_samples()); }
Test(compatibility, watch_messages) { check(watch_samples()); }
Test(compatibility, quota_messages) { check(quota_message_samples()); }
Test(compatibility, transport_envelopes) { check(transport_samples()); }
Test(compatibility, configuration_updates) { check(configuration_update_samples()); }
Test(compatibility, peer_datagrams) { check(peer_datagram_samples()); }
Test(compatibility, handovers) { check(handover_samples()); }
Test(compatibility, register_folders) { check(register_folder_samples()); }
Test(compatibility, usage_folders) { check(usage_folder_samples()); }
Test(compatibility, plan_folders) { check(plan_folder_samples()); }

Test(compatibility, every_recording_is_of_a_sample_and_every_sample_is_recorded) {
    cr_expect(names_in(kMessages) == names_of(message_samples()));
    cr_expect(names_in(kFolders) == names_of(folder_samples()));
}
