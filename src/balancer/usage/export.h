// Exports sealed batches to files or to a billing endpoint (sinks). The name of a batch never changes, so
// that sinks recognize a repetition after a kill or a lost reply. A sink's position advances in a transaction
// of the store after the sink has received the batch.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "balancer/usage/collector.h"

namespace shaletray::usage {

// Names of the platform's plans and classes by index, for exported lines.
struct ExportNames {
    std::vector<std::string> plans, classes;
};

// Writes each batch to a file that appears under its name only when it is complete.
class FileExport {
public:
    FileExport(UsageCollector& collector, usage_log::FileSystem& file_system, std::string directory,
               ExportFormat export_format, ExportNames names);
    // Writes the batches that were not exported yet and returns their number. Throws usage_log::FileError.
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

// A billing endpoint's reply.
struct SinkReply {
    bool received = false;                   // a valid reply arrived
    std::uint64_t acknowledged_batch = 0;    // the endpoint has all batches up to and including this one
    std::string error_text;
};
// Posts one batch; batch 0 only queries the position.
using SinkPost =
    std::function<SinkReply(const std::string& exporter, std::uint64_t batch, const std::string& body)>;

// Posts batches in order to a billing endpoint.
class SinkExport {
public:
    enum class State { Done, RetryLater, Stopped };    // Stopped: needs an operator, see last_error()

    SinkExport(UsageCollector& collector, std::string url, SinkPost post, ExportNames names);
    // Posts until the endpoint has all batches or an error occurs.
    State export_batches();
    // Queries the endpoint's position, to detect lost batches when there is nothing to send.
    State check_sink();
    const std::string& last_error() const { return last_error_; }
    std::string sink_name() const { return "http:" + url_; }
    std::uint64_t post_count() const { return post_count_; }

private:
    State stop_with_error(std::string reason);
    State handle_reply(const SinkReply& reply, std::uint64_t last);

    UsageCollector& collector_;
    std::string url_;
    SinkPost send_post_;
    ExportNames names_;
    std::string last_error_;
    std::uint64_t post_count_ = 0;
};

// Parses {"have": 12}. Empty for anything else.
std::optional<std::uint64_t> parse_acknowledged_batch(const std::string& body);

}    // namespace shaletray::usage
