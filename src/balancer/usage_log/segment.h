// Segments of the usage log: files with a fixed number of slots, mapped into memory while they are written,
// so that their records survive a kill of the gateway. More records may follow while the writer holds the
// lock of a segment. There is one writer per gateway and any number of readers; only one incarnation writes a
// segment.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "balancer/usage_log/file_system.h"
#include "balancer/usage_log/usage_record.h"

namespace shaletray::usage_log {

// Identity of a writer, and the sizes of its segments.
struct WriterSettings {
    std::string directory;
    std::uint32_t gateway_index = 0;
    std::uint64_t incarnation = 1;
    std::uint32_t slot_count = 8192;      // per segment; the last one counts requests without a record
    std::uint64_t max_segments = 2048;    // of this gateway not read yet; bounds the disk space

    // Throws std::invalid_argument with the reason.
    void validate() const;
};

// Totals since the start. `failures`: segments that could not be created.
struct WriterStatistics {
    std::uint64_t records = 0, unrecorded_requests = 0, segments = 0, failures = 0;
    std::int64_t unrecorded_units = 0;    // in millionths
};

// A segment that is being written. Destruction releases its lock.
class Segment {
public:
    // Creates and locks the file. On an error it removes the file and throws FileError.
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

// Writes records while there are free slots, and counts requests without one. Single-threaded: the caller
// prepares the next segment and passes it in.
class SegmentWriter {
public:
    SegmentWriter(WriterSettings settings, std::unique_ptr<Segment> first_segment);
    // Assigns the record's sequence number. False if the record could only be counted.
    bool append(UsageRecord record);
    bool needs_next_segment() const { return next_segment_ == nullptr; }
    // The header that the next segment must have.
    SegmentHeader next_segment_header() const;
    void set_next_segment(std::unique_ptr<Segment> next_segment);
    std::uint64_t last_sequence() const { return last_sequence_; }
    const WriterStatistics& statistics() const { return statistics_; }
    // Ends writing. Removes the prepared segment, which has no records.
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

// A writer with a thread that prepares segments in advance, so that a slow disk does not delay requests.
// append() is for one thread.
class UsageRecorder {
public:
    // Removes incomplete segments of earlier incarnations. Throws FileError or std::invalid_argument if it
    // cannot start.
    UsageRecorder(WriterSettings settings, FileSystem& file_system = real_file_system());
    ~UsageRecorder();
    UsageRecorder(const UsageRecorder&) = delete;
    UsageRecorder& operator=(const UsageRecorder&) = delete;

    // See SegmentWriter::append.
    bool append(const UsageRecord& record);
    const WriterStatistics& statistics() const { return writer_->statistics(); }
    // Why the last segment could not be created; empty if it could.
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

// How far a segment was read.
struct ReadResult {
    std::uint32_t next_slot = 0;        // first slot to read next time
    bool is_ended = false;              // no further records will follow
    std::uint32_t damaged_slots = 0;    // slots that were written and are unreadable now
    bool is_torn = false;    // the writer was killed while writing a record, whose request was not sent
};
// Passes at most `max_slots` records, from `first_slot` on, to `on_record`. Throws FileError, or
// std::runtime_error if the file is not a segment.
ReadResult read_segment(FileSystem& file_system, const std::string& path, std::uint32_t first_slot,
                        std::uint32_t max_slots,
                        const std::function<void(const SegmentHeader&, const UsageRecord&)>& on_record);

}    // namespace shaletray::usage_log
