#include "balancer/usage_log/segment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace shaletray::usage_log {
namespace {

using namespace std::chrono_literals;

constexpr auto kRetryDelay = 200ms;    // after a segment could not be created

std::string segment_name_prefix(std::uint32_t gateway_index) { return fmt::format("use-{}-", gateway_index); }

}    // namespace

void WriterSettings::validate() const {
    if (directory.empty()) throw std::invalid_argument("journal: the directory is missing");
    if (incarnation == 0) throw std::invalid_argument("journal: the incarnation must be above 0");
    if (slot_count < 2 || slot_count > 1u << 20)
        throw std::invalid_argument("journal: the slots of a segment must be 2 to 1048576");
    if (max_segments < 2) throw std::invalid_argument("journal: most_segments must be 2 or more");
}

// Created under a temporary name and renamed when complete, so that readers see only complete segments.
Segment::Segment(FileSystem& file_system, const std::string& directory, const SegmentHeader& header)
    : header_(header), path_(directory + "/" + segment_name(header)) {
    const std::string temporary_path = path_ + ".making";
    const std::size_t size = (static_cast<std::size_t>(header.capacity) + 1) * kSlotSize;
    try {
        file_ = file_system.open(temporary_path, O_RDWR | O_CREAT | O_EXCL);
        if (!file_system.lock(*file_)) throw FileError(EWOULDBLOCK, "locking " + temporary_path);
        file_system.allocate(*file_, size);
        mapping_ = file_system.map_file(*file_, size, true);
        write_header(header, std::span<std::byte, kSlotSize>(mapping_->data(), kSlotSize));
        file_system.rename(temporary_path, path_);
    } catch (const FileError&) {
        try {
            file_system.remove(temporary_path);
        } catch (const FileError&) {    // the next start removes it
        }
        throw;
    }
}

SegmentWriter::SegmentWriter(WriterSettings settings, std::unique_ptr<Segment> first_segment)
    : settings_(std::move(settings)), current_segment_(std::move(first_segment)) {
    statistics_.segments = 1;
}

SegmentHeader SegmentWriter::next_segment_header() const {
    SegmentHeader header = current_segment_->header();
    ++header.segment_number;
    header.first_sequence += header.capacity;
    return header;
}

void SegmentWriter::set_next_segment(std::unique_ptr<Segment> next_segment) {
    next_segment_ = std::move(next_segment);
    ++statistics_.segments;
}

bool SegmentWriter::append(UsageRecord record) {
    if (used_slots_ == usable_slots() && next_segment_) {
        current_segment_ =
            std::move(next_segment_);    // releases the old segment's lock: no more records follow in it
        used_slots_ = 0;
        unrecorded_ = {};
    }
    if (used_slots_ < usable_slots()) {
        record.sequence = last_sequence_ = current_segment_->header().first_sequence + used_slots_;
        write_record(record, settings_.incarnation, current_segment_->slot(used_slots_++));
        ++statistics_.records;
        return true;
    }
    // Requests without a free slot are summed in the segment's last slot, so that a kill loses none of them.
    ++statistics_.unrecorded_requests;
    statistics_.unrecorded_units += record.unit_millionths;
    unrecorded_.kind = UsageRecord::Kind::Unrecorded;
    unrecorded_.sequence = current_segment_->header().first_sequence + usable_slots();
    if (unrecorded_.admitted_at == TimePoint{}) unrecorded_.admitted_at = record.admitted_at;
    unrecorded_.record_count = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(unrecorded_.unit_millionths == 0 ? 1 : unrecorded_.record_count + 1ULL, ~0u));
    unrecorded_.unit_millionths += record.unit_millionths;
    write_record(unrecorded_, settings_.incarnation, current_segment_->slot(usable_slots()));
    return false;
}

void SegmentWriter::close_segments(FileSystem& file_system) {
    if (next_segment_) file_system.remove(next_segment_->path());
    if (used_slots_ == 0 && unrecorded_.record_count == 0) file_system.remove(current_segment_->path());
    next_segment_.reset();
}

UsageRecorder::UsageRecorder(WriterSettings settings, FileSystem& file_system)
    : settings_(std::move(settings)), file_system_(file_system) {
    settings_.validate();
    for (const std::string& name : file_system_.list_directory(settings_.directory)) {
        if (name.starts_with(segment_name_prefix(settings_.gateway_index)) && name.ends_with(".making"))
            file_system_.remove(settings_.directory + "/" + name);
    }
    const SegmentHeader header{settings_.gateway_index, settings_.slot_count, settings_.incarnation, 0, 1};
    writer_ = std::make_unique<SegmentWriter>(
        settings_, std::make_unique<Segment>(file_system_, settings_.directory, header));
    thread_ = std::thread([this] { prepare_segments(); });
    const std::lock_guard lock(mutex_);
    requested_header_ = writer_->next_segment_header();
    segment_requested_ = true;
    wake_condition_.notify_one();
}

UsageRecorder::~UsageRecorder() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
        wake_condition_.notify_one();
    }
    thread_.join();
    if (prepared_segment_) writer_->set_next_segment(std::move(prepared_segment_));
    try {
        writer_->close_segments(file_system_);
    } catch (const FileError&) {    // an empty segment stays, which is harmless
    }
}

bool UsageRecorder::append(const UsageRecord& record) {
    const bool written = writer_->append(record);
    if (!writer_->needs_next_segment()) return written;
    const std::lock_guard lock(mutex_);
    if (prepared_segment_) {
        writer_->set_next_segment(std::move(prepared_segment_));
        segment_requested_ = false;
    } else if (!segment_requested_) {
        requested_header_ = writer_->next_segment_header();
        segment_requested_ = true;
        wake_condition_.notify_one();
    }
    return written;
}

std::string UsageRecorder::last_error() const {
    const std::lock_guard lock(mutex_);
    return last_error_;
}

// Runs on its own thread.
void UsageRecorder::prepare_segments() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        if (!requested_header_) {
            wake_condition_.wait(lock);
            continue;
        }
        const SegmentHeader header = *requested_header_;
        lock.unlock();
        std::unique_ptr<Segment> new_segment;
        std::string error_text;
        try {
            const auto names = file_system_.list_directory(settings_.directory);
            const auto own_segments = static_cast<std::uint64_t>(
                std::count_if(names.begin(), names.end(), [&](const std::string& name) {
                    return name.starts_with(segment_name_prefix(settings_.gateway_index)) &&
                           name.ends_with(".seg");
                }));
            if (own_segments >= settings_.max_segments)
                error_text =
                    fmt::format("{} segments have not been read yet, which is the limit", own_segments);
            else new_segment = std::make_unique<Segment>(file_system_, settings_.directory, header);
        } catch (const std::exception& error) {
            error_text = error.what();
        }
        lock.lock();
        last_error_ = error_text;
        if (new_segment) {
            prepared_segment_ = std::move(new_segment);
            requested_header_.reset();
        } else if (!is_stopping_) {
            ++failures_;
            wake_condition_.wait_for(lock, kRetryDelay);
        }
    }
}

ReadResult read_segment(FileSystem& file_system, const std::string& path, std::uint32_t first_slot,
                        std::uint32_t max_slots,
                        const std::function<void(const SegmentHeader&, const UsageRecord&)>& on_record) {
    const auto file = file_system.open(path, O_RDONLY);
    // Locked before reading: if the writer has released its lock, what is read is complete.
    const bool is_closed = file_system.lock(*file);
    Slot header_slot;
    if (::pread(file->handle(), header_slot.data(), kSlotSize, 0) != static_cast<ssize_t>(kSlotSize))
        throw std::runtime_error(path + " is shorter than a segment");
    const auto header = read_header(header_slot);
    if (!header || header->capacity < 2)
        throw std::runtime_error(path + " is not a segment of usage records");
    const std::size_t size = (static_cast<std::size_t>(header->capacity) + 1) * kSlotSize;
    if (::lseek(file->handle(), 0, SEEK_END) < static_cast<off_t>(size))
        throw std::runtime_error(path + " is shorter than a segment");
    const auto mapping = file_system.map_file(*file, size, false);
    const auto slot = [&](std::uint32_t index) {
        return std::span<const std::byte, kSlotSize>(mapping->data() + (index + std::size_t{1}) * kSlotSize,
                                                     kSlotSize);
    };
    const std::uint32_t usable_count = header->capacity - 1;
    ReadResult result;
    if (first_slot >= header->capacity) {
        result.next_slot = header->capacity;
        result.is_ended = true;
        return result;
    }
    result.next_slot = first_slot;
    std::uint32_t delivered = 0;
    UsageRecord usage_record;
    const auto holds_record = [&](std::uint32_t index) {
        return read_record(slot(index), header->incarnation, usage_record) == SlotState::Record &&
               usage_record.sequence == header->first_sequence + index;
    };
    while (result.next_slot < usable_count && delivered < max_slots) {
        if (holds_record(result.next_slot)) {
            on_record(*header, usage_record);
            ++delivered;
            ++result.next_slot;
            continue;
        }
        const SlotState slot_state = read_record(slot(result.next_slot), header->incarnation, usage_record);
        if (!is_closed) return result;    // the writer may be about to write it
        // If a record follows, this slot was written and is damaged; otherwise the writer stopped here.
        bool records_follow = false;
        for (std::uint32_t i = result.next_slot + 1; i < usable_count && !records_follow; ++i)
            records_follow = holds_record(i);
        if (!records_follow) {
            result.is_torn = slot_state == SlotState::Torn;
            result.next_slot = usable_count;
            break;
        }
        ++result.damaged_slots;
        ++result.next_slot;
    }
    if (result.next_slot == usable_count && is_closed && delivered < max_slots) {
        if (holds_record(usable_count)) on_record(*header, usage_record);
        else if (read_record(slot(usable_count), header->incarnation, usage_record) == SlotState::Torn)
            ++result.damaged_slots;
        result.next_slot = header->capacity;
        result.is_ended = true;
    }
    return result;
}

}    // namespace shaletray::usage_log
