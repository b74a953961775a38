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
    std::uint32_t gateway = 0;
    std::uint64_t incarnation = 1;
    std::uint32_t slots = 8192;            // of a segment; the last one tells what could not be written
    std::uint64_t most_segments = 2048;    // of this gateway that may wait to be read: the bound on the disk

    // Throws std::invalid_argument.
    void check() const;
};

struct WriterStats {
    std::uint64_t rows = 0, unrecorded = 0, segments = 0, failures = 0;
    std::int64_t unrecorded_units = 0;    // millionths
};

class Segment {
public:
    // Makes and locks the file. Throws FileError; nothing is left behind then.
    Segment(Files& files, const std::string& folder, const SegmentHead& head);
    std::span<std::byte, kSlot> slot(std::size_t i) const {
        return std::span<std::byte, kSlot>(map_->data() + (i + 1) * kSlot, kSlot);
    }
    const SegmentHead& head() const { return head_; }
    const std::string& path() const { return path_; }
    void sync(Files& files) { files.sync(*file_); }

private:
    SegmentHead head_;
    std::string path_;
    std::unique_ptr<File> file_;
    std::unique_ptr<Mapping> map_;
};

// Writes uses where it has room for them, and counts those for which it has none. Knows no thread: the next
// segment is handed to it.
class Writer {
public:
    Writer(WriterSettings settings, std::unique_ptr<Segment> first);
    // Gives it its sequence. False where it could only be counted.
    bool append(Use use);
    bool wants_next() const { return next_ == nullptr; }
    // Which one that must be.
    SegmentHead next_head() const;
    void take_next(std::unique_ptr<Segment> next);
    std::uint64_t sequence() const { return sequence_; }
    const WriterStats& stats() const { return stats_; }
    // Done with: an empty segment that was only prepared is removed.
    void close(Files& files);

private:
    std::uint32_t usable() const { return s_.slots - 1; }

    WriterSettings s_;
    std::unique_ptr<Segment> now_, next_;
    std::uint32_t used_ = 0;
    std::uint64_t sequence_ = 0;
    Use gap_;
    WriterStats stats_;
};

// The writer with a thread of its own that makes segments ahead, so that a slow disk is waited for there.
class Recorder {
public:
    // Removes what an earlier life left half made. Throws FileError or std::invalid_argument where it cannot
    // begin.
    Recorder(WriterSettings settings, Files& files = real_files());
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    bool append(const Use& use);
    const WriterStats& stats() const { return writer_->stats(); }
    // Why the last segment could not be made; empty where the last could.
    std::string trouble() const;

private:
    void prepare();

    WriterSettings s_;
    Files& files_;
    std::unique_ptr<Writer> writer_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<SegmentHead> wanted_;
    std::unique_ptr<Segment> made_;
    std::string trouble_;
    std::uint64_t failures_ = 0;
    bool ending_ = false, asked_ = false;
    std::thread thread_;
};

// ---- reading ----

struct ReadResult {
    std::uint32_t next = 0;       // the slot to go on from
    bool ended = false;           // nothing more will ever come
    std::uint32_t damaged = 0;    // slots that were written and cannot be read any more
    bool torn = false;            // the writer was killed within one, whose attempt was never sent
};
// Gives what stands in a segment from a slot on, at most so many. Throws FileError, or std::runtime_error
// where the file is no segment.
ReadResult read_segment(Files& files, const std::string& path, std::uint32_t from, std::uint32_t most,
                        const std::function<void(const SegmentHead&, const Use&)>& take);

}    // namespace shaletray::usage_log
