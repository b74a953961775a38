// Segments: files of so many slots, mapped into memory while they are written. What is in them stays with the
// system when the gateway is killed; a lock that ends with the writer tells a reader whether more may come.
// One writer a gateway, any number of readers, and nobody ever writes to a segment of another life.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "balancer/usage_log/file_system.h"
#include "balancer/usage_log/usage_record.h"

namespace shaletray::usage_log {

struct WriterSettings {
    std::string folder;
    std::uint32_t gateway_index = 0;
    std::uint64_t incarnation = 1;
    std::uint32_t slot_count = 8192;      // of a segment; the last one tells what could not be written
    std::uint64_t max_segments = 2048;    // of this gateway that may wait to be read: the bound on the disk

    // Throws std::invalid_argument.
    void validate() const;
};

struct WriterStatistics {
    std::uint64_t records = 0, unrecorded_requests = 0, segments = 0, failures = 0;
    std::int64_t unrecorded_units = 0;    // millionths
};

class Segment {
public:
    // Makes and locks the file. Throws FileError; nothing is left behind then.
    Segment(FileSystem& file_system, const std::string& directory, const SegmentHeader& header);
    std::span<std::byte, kSlotSize> slot(std::size_t index) const {
        return std::span<std::byte, kSlotSize>(mapping_->data() + (index + 1) * kSlotSize, kSlotSize);
    }
    const SegmentHeader& header() const { return header_; }
    const std::string& path() const { return path_; }
    void sync_to_disk(FileSystem& file_system) { file_system.sync(*file_); }

private:
    SegmentHeader header_;
    std::string path_;
    std::unique_ptr<File> file_;
    std::unique_ptr<Mapping> mapping_;
};

// Writes uses where it has room for them, and counts those for which it has none. Knows no thread: the next
// segment is handed to it.
class SegmentWriter {
public:
    SegmentWriter(WriterSettings settings, std::unique_ptr<Segment> first_segment);
    // Gives it its sequence. False where it could only be counted.
    bool append(UsageRecord record);
    bool needs_next_segment() const { return next_segment_ == nullptr; }
    // Which one that must be.
    SegmentHeader next_segment_header() const;
    void set_next_segment(std::unique_ptr<Segment> next_segment);
    std::uint64_t last_sequence() const { return last_sequence_; }
    const WriterStatistics& statistics() const { return statistics_; }
    // Done with: an empty segment that was only prepared is removed.
    void close_segments(FileSystem& file_system);

private:
    std::uint32_t usable_slots() const { return settings_.slot_count - 1; }

    WriterSettings settings_;
    std::unique_ptr<Segment> current_segment_, next_segment_;
    std::uint32_t used_slots_ = 0;
    std::uint64_t last_sequence_ = 0;
    UsageRecord unrecorded_;
    WriterStatistics statistics_;
};

// The writer with a thread of its own that makes segments ahead, so that a slow disk is waited for there.
class UsageRecorder {
public:
    // Removes what an earlier life left half made. Throws FileError or std::invalid_argument where it cannot
    // begin.
    UsageRecorder(WriterSettings settings, FileSystem& file_system = real_file_system());
    ~UsageRecorder();
    UsageRecorder(const UsageRecorder&) = delete;
    UsageRecorder& operator=(const UsageRecorder&) = delete;

    bool append(const UsageRecord& record);
    const WriterStatistics& statistics() const { return writer_->statistics(); }
    // Why the last segment could not be made; empty where the last could.
    std::string last_error() const;

private:
    void prepare_segments();

    WriterSettings settings_;
    FileSystem& file_system_;
    std::unique_ptr<SegmentWriter> writer_;
    mutable std::mutex mutex_;
    std::condition_variable wake_condition_;
    std::optional<SegmentHeader> requested_header_;
    std::unique_ptr<Segment> prepared_segment_;
    std::string last_error_;
    std::uint64_t failures_ = 0;
    bool is_stopping_ = false, segment_requested_ = false;
    std::thread thread_;
};

// ---- reading ----

struct ReadResult {
    std::uint32_t next_slot = 0;        // the slot to go on from
    bool is_ended = false;              // nothing more will ever come
    std::uint32_t damaged_slots = 0;    // slots that were written and cannot be read any more
    bool is_torn = false;               // the writer was killed within one, whose attempt was never sent
};
// Gives what stands in a segment from a slot on, at most so many. Throws FileError, or std::runtime_error
// where the file is no segment.
ReadResult read_segment(FileSystem& file_system, const std::string& path, std::uint32_t first_slot,
                        std::uint32_t max_slots,
                        const std::function<void(const SegmentHeader&, const UsageRecord&)>& on_record);

}    // namespace shaletray::usage_log
