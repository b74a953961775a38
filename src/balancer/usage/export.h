// Batches handed on: put in place as sealed files, or posted to a billing endpoint. Each batch has one name
// for good, so that whatever is repeated after a kill or a lost answer is the same one. The cursor of a place
// moves in a transaction of the store, after the place has the batch.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "balancer/usage/collector.h"

namespace shaletray::usage {

struct ExportNames {    // of the platform's plans and classes, for those who read the lines
    std::vector<std::string> plans, classes;
};

class FileExport {
public:
    FileExport(UsageCollector& collector, usage_log::FileSystem& files, std::string folder, ExportFormat form,
               ExportNames names);
    // Puts all batches in place that are not there. How many. Throws usage_log::FileError.
    std::uint64_t export_batches();
    std::string sink_name() const { return "files:" + directory_; }
    std::string file_name_of(std::uint64_t batch) const;

private:
    UsageCollector& collector_;
    usage_log::FileSystem& file_system_;
    std::string directory_;
    ExportFormat format_;
    ExportNames names_;
};

// What a billing endpoint says to a batch.
struct SinkReply {
    bool received = false;                   // an answer came and could be read
    std::uint64_t acknowledged_batch = 0;    // it has all batches up to this one
    std::string error_text;
};
// POST of one batch; batch 0: asks only how far it is.
using SinkPost =
    std::function<SinkReply(const std::string& exporter, std::uint64_t batch, const std::string& body)>;

class SinkExport {
public:
    enum class State { Done, RetryLater, Stopped };    // Stopped: an operator must look

    SinkExport(UsageCollector& collector, std::string url, SinkPost post, ExportNames names);
    // Sends until all is there or something stands in the way.
    State export_batches();
    // Asks how far it is, where nothing is to be sent: it may have forgotten since.
    State check_sink();
    // What stood in the way.
    const std::string& last_error() const { return last_error_; }
    std::string sink_name() const { return "http:" + url_; }
    std::uint64_t post_count() const { return post_count_; }

private:
    State stop_with_error(std::string why);
    State handle_reply(const SinkReply& answer, std::uint64_t last);

    UsageCollector& collector_;
    std::string url_;
    SinkPost send_post_;
    ExportNames names_;
    std::string last_error_;
    std::uint64_t post_count_ = 0;
};

// {"have": 12}. Nothing where it is anything else.
std::optional<std::uint64_t> parse_acknowledged_batch(const std::string& body);

}    // namespace shaletray::usage
