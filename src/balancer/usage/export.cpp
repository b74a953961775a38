#include "balancer/usage/export.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray::usage {

FileExport::FileExport(UsageCollector& collector, usage_log::FileSystem& file_system, std::string directory,
                       ExportFormat export_format, ExportNames names)
    : collector_(collector),
      file_system_(file_system),
      directory_(std::move(directory)),
      format_(export_format),
      names_(std::move(names)) {}

std::string FileExport::file_name_of(std::uint64_t batch) const {
    return fmt::format("usage-{}-{:010}.{}", collector_.exporter_name(), batch,
                       format_ == ExportFormat::Csv ? "csv" : "jsonl");
}

std::uint64_t FileExport::export_batches() {
    std::uint64_t exported_batches = 0;
    const std::uint64_t last = collector_.last_sealed_batch();
    for (std::uint64_t id = collector_.acknowledged_batch(sink_name()) + 1; id <= last;
         ++id, ++exported_batches) {
        const auto batch = collector_.read_batch(id);
        if (!batch) throw std::runtime_error(fmt::format("batch {} was pruned before it was exported", id));
        const std::string path = directory_ + "/" + file_name_of(id), temporary_path = path + ".making";
        {
            const auto file = file_system_.open(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
            file_system_.write(*file, write_batch(*batch, format_, names_.plans, names_.classes));
            file_system_.sync(*file);
        }
        file_system_.rename(temporary_path, path);    // an existing file has the same bytes
        file_system_.sync_directory(directory_);
        collector_.set_acknowledged(sink_name(), id);
    }
    return exported_batches;
}

std::optional<std::uint64_t> parse_acknowledged_batch(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("have") || !json["have"].is_number_unsigned())
        return std::nullopt;
    return json["have"].get<std::uint64_t>();
}

SinkExport::SinkExport(UsageCollector& collector, std::string url, SinkPost post, ExportNames names)
    : collector_(collector), url_(std::move(url)), send_post_(std::move(post)), names_(std::move(names)) {}

SinkExport::State SinkExport::stop_with_error(std::string reason) {
    last_error_ = std::move(reason);
    return State::Stopped;
}

SinkExport::State SinkExport::handle_reply(const SinkReply& reply, std::uint64_t last) {
    if (!reply.received) {
        last_error_ = reply.error_text;
        return State::RetryLater;
    }
    if (reply.acknowledged_batch > last)
        return stop_with_error(
            fmt::format("the endpoint has batch {} of this store, which made {}: a copy of the store exports "
                        "too, or it was restored from a backup",
                        reply.acknowledged_batch, last));
    return State::Done;
}

SinkExport::State SinkExport::check_sink() {
    last_error_.clear();
    ++post_count_;
    const SinkReply reply = send_post_(collector_.exporter_name(), 0, {});
    const State state = handle_reply(reply, collector_.last_sealed_batch());
    if (state == State::Done && reply.acknowledged_batch != collector_.acknowledged_batch(sink_name()))
        collector_.set_acknowledged(sink_name(), reply.acknowledged_batch);
    return state;
}

SinkExport::State SinkExport::export_batches() {
    last_error_.clear();
    const std::uint64_t last = collector_.last_sealed_batch();
    // Bounds the posts of one call to an endpoint that keeps losing batches.
    for (std::uint64_t posts_left =
             2 * (last - std::min(last, collector_.acknowledged_batch(sink_name()))) + 64;
         posts_left > 0; --posts_left) {
        const std::uint64_t id = collector_.acknowledged_batch(sink_name()) + 1;
        if (id > last) return State::Done;
        const auto batch = collector_.read_batch(id);
        if (!batch)
            return stop_with_error(
                fmt::format("the endpoint has batches up to {}, and those up to {} are dropped here: fetch "
                            "them from the files",
                            id - 1, collector_.oldest_batch() - 1));
        ++post_count_;
        const SinkReply reply =
            send_post_(collector_.exporter_name(), id,
                       write_batch(*batch, ExportFormat::JsonLines, names_.plans, names_.classes));
        if (const State state = handle_reply(reply, last); state != State::Done) return state;
        // The endpoint's position may be ahead, if replies were lost, or behind, if it lost batches.
        if (reply.acknowledged_batch + 1 == id) {
            last_error_ = fmt::format("the endpoint replied but did not accept batch {}", id);
            return State::RetryLater;
        }
        collector_.set_acknowledged(sink_name(), reply.acknowledged_batch);
    }
    last_error_ = "the endpoint keeps losing batches";
    return State::RetryLater;
}

}    // namespace shaletray::usage
