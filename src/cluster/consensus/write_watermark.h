// The sequence number of the newest acknowledged write, kept beside the database.
#pragma once

#include <cstdint>
#include <string>

namespace shaletray::consensus {

// Detects that files of the database were lost. Neither this file nor its name is ever synced, and it is
// written after the write that it is about: it states "at least this write was acknowledged", no more. A
// database with a lower sequence number has lost acknowledged votes. After a loss of power the file may be
// outdated, damaged or missing, which means nothing.
class WriteWatermark {
public:
    // Opens or makes the file. Without it the watermark stays 0.
    explicit WriteWatermark(const std::string& path);
    WriteWatermark(const WriteWatermark&) = delete;
    WriteWatermark& operator=(const WriteWatermark&) = delete;
    ~WriteWatermark();
    // 0: nothing is known to have been acknowledged.
    std::uint64_t value() const { return value_; }
    void write_value(std::uint64_t sequence);

private:
    int descriptor_;
    std::uint64_t value_ = 0;
};

}    // namespace shaletray::consensus
