// Batches handed on: put in place as sealed files, or posted to a billing endpoint. Each batch has one name
// for good, so that whatever is repeated after a kill or a lost answer is the same one. The cursor of a place
// moves in a transaction of the store, after the place has the batch.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "balancer/usage/collector.h"

namespace shaletray::usage {

struct Names {    // of the platform's plans and classes, for those who read the lines
    std::vector<std::string> plans, classes;
};

class FileExport {
public:
    FileExport(Collector& collector, usage_log::Files& files, std::string folder, Form form, Names names);
    // Puts all batches in place that are not there. How many. Throws usage_log::FileError.
    std::uint64_t run();
    std::string sink() const { return "files:" + folder_; }
    std::string name_of(std::uint64_t batch) const;

private:
    Collector& collector_;
    usage_log::Files& files_;
    std::string folder_;
    Form form_;
    Names names_;
};

// What a billing endpoint says to a batch.
struct SinkAnswer {
    bool heard = false;        // an answer came and could be read
    std::uint64_t have = 0;    // it has all batches up to this one
    std::string trouble;
};
// POST of one batch; batch 0: asks only how far it is.
using Post =
    std::function<SinkAnswer(const std::string& exporter, std::uint64_t batch, const std::string& body)>;

class SinkExport {
public:
    enum class State { Done, Later, Stopped };    // Stopped: an operator must look

    SinkExport(Collector& collector, std::string url, Post post, Names names);
    // Sends until all is there or something stands in the way.
    State run();
    // Asks how far it is, where nothing is to be sent: it may have forgotten since.
    State check();
    // What stood in the way.
    const std::string& trouble() const { return trouble_; }
    std::string sink() const { return "http:" + url_; }
    std::uint64_t posts() const { return posts_; }

private:
    State stop(std::string why);
    State take(const SinkAnswer& answer, std::uint64_t last);

    Collector& collector_;
    std::string url_;
    Post post_;
    Names names_;
    std::string trouble_;
    std::uint64_t posts_ = 0;
};

// {"have": 12}. Nothing where it is anything else.
std::optional<std::uint64_t> read_have(const std::string& body);

}    // namespace shaletray::usage
