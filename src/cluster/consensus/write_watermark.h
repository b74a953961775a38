// The sequence number of the newest acknowledged write, kept beside the database.
#pragma once

#include <cstdint>
#include <string>

namespace shaletray::consensus {

// Detects that files of the database were lost. The watermark is written after the write with its sequence
// number, and neither its file nor the file's name is ever synced. So it states only that at least this write
// was acknowledged: a database with a lower sequence number has lost acknowledged votes. After a loss of
// power the file may be outdated, damaged or missing, from which nothing follows.
class WriteWatermark {
public:
    // Opens or creates the file. If that fails, the watermark stays 0.
    explicit WriteWatermark(const std::string& path);
    WriteWatermark(const WriteWatermark&) = delete;
    WriteWatermark& operator=(const WriteWatermark&) = delete;
    ~WriteWatermark();
    // Sequence number of the newest write known to be acknowledged; 0: none.
    std::uint64_t value() const { return value_; }
    void write_value(std::uint64_t sequence);

private:
    int descriptor_;
    std::uint64_t value_ = 0;
};

}    // namespace shaletray::consensus
