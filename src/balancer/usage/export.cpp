#include "balancer/usage/export.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray::usage {

FileExport::FileExport(Collector& collector, usage_log::Files& files, std::string folder, Form form,
                       Names names)
    : collector_(collector),
      files_(files),
      folder_(std::move(folder)),
      form_(form),
      names_(std::move(names)) {}

std::string FileExport::name_of(std::uint64_t batch) const {
    return fmt::format("usage-{}-{:010}.{}", collector_.exporter(), batch,
                       form_ == Form::Csv ? "csv" : "jsonl");
}

std::uint64_t FileExport::run() {
    std::uint64_t done = 0;
    const std::uint64_t last = collector_.sealed();
    for (std::uint64_t id = collector_.served(sink()) + 1; id <= last; ++id, ++done) {
        const auto batch = collector_.batch(id);
        if (!batch)
            throw std::runtime_error(fmt::format("batch {} is dropped here and was never exported", id));
        const std::string place = folder_ + "/" + name_of(id), making = place + ".making";
        {
            const auto file = files_.open(making, O_WRONLY | O_CREAT | O_TRUNC);
            files_.write(*file, write_batch(*batch, form_, names_.plans, names_.classes));
            files_.sync(*file);
        }
        files_.rename(making, place);    // the same bytes, should it be there already
        files_.sync_folder(folder_);
        collector_.serve(sink(), id);
    }
    return done;
}

std::optional<std::uint64_t> read_have(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("have") || !json["have"].is_number_unsigned())
        return std::nullopt;
    return json["have"].get<std::uint64_t>();
}

SinkExport::SinkExport(Collector& collector, std::string url, Post post, Names names)
    : collector_(collector), url_(std::move(url)), post_(std::move(post)), names_(std::move(names)) {}

SinkExport::State SinkExport::stop(std::string why) {
    trouble_ = std::move(why);
    return State::Stopped;
}

SinkExport::State SinkExport::take(const SinkAnswer& answer, std::uint64_t last) {
    if (!answer.heard) {
        trouble_ = answer.trouble;
        return State::Later;
    }
    if (answer.have > last)
        return stop(
            fmt::format("the endpoint has batch {} of this store, which made {}: a copy of the store exports "
                        "too, or it was restored from a backup",
                        answer.have, last));
    return State::Done;
}

SinkExport::State SinkExport::check() {
    trouble_.clear();
    ++posts_;
    const SinkAnswer answer = post_(collector_.exporter(), 0, {});
    const State state = take(answer, collector_.sealed());
    if (state == State::Done && answer.have != collector_.served(sink()))
        collector_.serve(sink(), answer.have);
    return state;
}

SinkExport::State SinkExport::run() {
    trouble_.clear();
    const std::uint64_t last = collector_.sealed();
    // An endpoint that keeps falling back is not followed round for ever within one call.
    for (std::uint64_t left = 2 * (last - std::min(last, collector_.served(sink()))) + 64; left > 0; --left) {
        const std::uint64_t id = collector_.served(sink()) + 1;
        if (id > last) return State::Done;
        const auto batch = collector_.batch(id);
        if (!batch)
            return stop(
                fmt::format("the endpoint has batches up to {}, and those up to {} are dropped here: fetch "
                            "them from the files",
                            id - 1, collector_.oldest() - 1));
        ++posts_;
        const SinkAnswer answer = post_(collector_.exporter(), id,
                                        write_batch(*batch, Form::JsonLines, names_.plans, names_.classes));
        if (const State state = take(answer, last); state != State::Done) return state;
        // Up to where it has them: also further, where answers were lost, and further back, where it forgot.
        if (answer.have + 1 == id) {
            trouble_ = fmt::format("the endpoint answered and did not take batch {}", id);
            return State::Later;
        }
        collector_.serve(sink(), answer.have);
    }
    trouble_ = "the endpoint keeps falling back";
    return State::Later;
}

}    // namespace shaletray::usage
