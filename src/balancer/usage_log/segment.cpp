#include "balancer/usage_log/segment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace shaletray::usage_log {
namespace {

using namespace std::chrono_literals;

constexpr auto kTryAgain = 200ms;    // where a segment could not be made

std::string own_part(std::uint32_t gateway) { return fmt::format("use-{}-", gateway); }

}    // namespace

void WriterSettings::check() const {
    if (folder.empty()) throw std::invalid_argument("journal: no folder");
    if (incarnation == 0) throw std::invalid_argument("journal: the incarnation must be above 0");
    if (slots < 2 || slots > 1u << 20) throw std::invalid_argument("journal: slots must be 2 to 1048576");
    if (most_segments < 2) throw std::invalid_argument("journal: most_segments must be 2 or more");
}

// Made under another name and put in place when it is whole: a reader finds whole ones only.
Segment::Segment(Files& files, const std::string& folder, const SegmentHead& head)
    : head_(head), path_(folder + "/" + segment_name(head)) {
    const std::string making = path_ + ".making";
    const std::size_t size = (static_cast<std::size_t>(head.capacity) + 1) * kSlot;
    try {
        file_ = files.open(making, O_RDWR | O_CREAT | O_EXCL);
        if (!files.lock(*file_)) throw FileError(EWOULDBLOCK, "locking " + making);
        files.reserve(*file_, size);
        map_ = files.map(*file_, size, true);
        write_head(head, std::span<std::byte, kSlot>(map_->data(), kSlot));
        files.rename(making, path_);
    } catch (const FileError&) {
        try {
            files.remove(making);
        } catch (const FileError&) {    // left for the next start
        }
        throw;
    }
}

Writer::Writer(WriterSettings settings, std::unique_ptr<Segment> first)
    : s_(std::move(settings)), now_(std::move(first)) {
    stats_.segments = 1;
}

SegmentHead Writer::next_head() const {
    SegmentHead head = now_->head();
    ++head.number;
    head.first += head.capacity;
    return head;
}

void Writer::take_next(std::unique_ptr<Segment> next) {
    next_ = std::move(next);
    ++stats_.segments;
}

bool Writer::append(Use use) {
    if (used_ == usable() && next_) {
        now_ = std::move(next_);    // the old one's lock ends with it: a reader knows that it is whole
        used_ = 0;
        gap_ = {};
    }
    if (used_ < usable()) {
        use.sequence = sequence_ = now_->head().first + used_;
        write_use(use, s_.incarnation, now_->slot(used_++));
        ++stats_.rows;
        return true;
    }
    // What cannot be written is added up in the segment's last slot, so that no kill loses count of it.
    ++stats_.unrecorded;
    stats_.unrecorded_units += use.units;
    gap_.kind = Use::Kind::Gap;
    gap_.sequence = now_->head().first + usable();
    if (gap_.at == TimePoint{}) gap_.at = use.at;
    gap_.rows =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(gap_.units == 0 ? 1 : gap_.rows + 1ULL, ~0u));
    gap_.units += use.units;
    write_use(gap_, s_.incarnation, now_->slot(usable()));
    return false;
}

void Writer::close(Files& files) {
    if (next_) files.remove(next_->path());
    if (used_ == 0 && gap_.rows == 0) files.remove(now_->path());
    next_.reset();
}

Recorder::Recorder(WriterSettings settings, Files& files) : s_(std::move(settings)), files_(files) {
    s_.check();
    for (const std::string& name : files_.list(s_.folder)) {
        if (name.starts_with(own_part(s_.gateway)) && name.ends_with(".making"))
            files_.remove(s_.folder + "/" + name);
    }
    const SegmentHead head{s_.gateway, s_.slots, s_.incarnation, 0, 1};
    writer_ = std::make_unique<Writer>(s_, std::make_unique<Segment>(files_, s_.folder, head));
    thread_ = std::thread([this] { prepare(); });
    const std::lock_guard lock(mutex_);
    wanted_ = writer_->next_head();
    asked_ = true;
    wake_.notify_one();
}

Recorder::~Recorder() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        wake_.notify_one();
    }
    thread_.join();
    if (made_) writer_->take_next(std::move(made_));
    try {
        writer_->close(files_);
    } catch (const FileError&) {    // an empty segment stays, which harms nobody
    }
}

bool Recorder::append(const Use& use) {
    const bool written = writer_->append(use);
    if (!writer_->wants_next()) return written;
    const std::lock_guard lock(mutex_);
    if (made_) {
        writer_->take_next(std::move(made_));
        asked_ = false;
    } else if (!asked_) {
        wanted_ = writer_->next_head();
        asked_ = true;
        wake_.notify_one();
    }
    return written;
}

std::string Recorder::trouble() const {
    const std::lock_guard lock(mutex_);
    return trouble_;
}

// On its own thread.
void Recorder::prepare() {
    std::unique_lock lock(mutex_);
    while (!ending_) {
        if (!wanted_) {
            wake_.wait(lock);
            continue;
        }
        const SegmentHead head = *wanted_;
        lock.unlock();
        std::unique_ptr<Segment> made;
        std::string trouble;
        try {
            const auto names = files_.list(s_.folder);
            const auto own = static_cast<std::uint64_t>(
                std::count_if(names.begin(), names.end(), [&](const std::string& name) {
                    return name.starts_with(own_part(s_.gateway)) && name.ends_with(".seg");
                }));
            if (own >= s_.most_segments)
                trouble = fmt::format("{} segments wait to be read, and no more may", own);
            else made = std::make_unique<Segment>(files_, s_.folder, head);
        } catch (const std::exception& error) {
            trouble = error.what();
        }
        lock.lock();
        trouble_ = trouble;
        if (made) {
            made_ = std::move(made);
            wanted_.reset();
        } else if (!ending_) {
            ++failures_;
            wake_.wait_for(lock, kTryAgain);
        }
    }
}

ReadResult read_segment(Files& files, const std::string& path, std::uint32_t from, std::uint32_t most,
                        const std::function<void(const SegmentHead&, const Use&)>& take) {
    const auto file = files.open(path, O_RDONLY);
    // Asked before anything is read: what is read after its writer let go is all there will be.
    const bool whole = files.lock(*file);
    Slot first;
    if (::pread(file->handle(), first.data(), kSlot, 0) != static_cast<ssize_t>(kSlot))
        throw std::runtime_error(path + " is cut short");
    const auto head = read_head(first);
    if (!head || head->capacity < 2) throw std::runtime_error(path + " is no segment of use records");
    const std::size_t size = (static_cast<std::size_t>(head->capacity) + 1) * kSlot;
    if (::lseek(file->handle(), 0, SEEK_END) < static_cast<off_t>(size))
        throw std::runtime_error(path + " is cut short");
    const auto map = files.map(*file, size, false);
    const auto slot = [&](std::uint32_t i) {
        return std::span<const std::byte, kSlot>(map->data() + (i + std::size_t{1}) * kSlot, kSlot);
    };
    const std::uint32_t usable = head->capacity - 1;
    ReadResult result;
    if (from >= head->capacity) {
        result.next = head->capacity;
        result.ended = true;
        return result;
    }
    result.next = from;
    std::uint32_t given = 0;
    Use use;
    const auto good = [&](std::uint32_t i) {
        return read_use(slot(i), head->incarnation, use) == Found::Use && use.sequence == head->first + i;
    };
    while (result.next < usable && given < most) {
        if (good(result.next)) {
            take(*head, use);
            ++given;
            ++result.next;
            continue;
        }
        const Found found = read_use(slot(result.next), head->incarnation, use);
        if (!whole) return result;    // it may be about to be written
        // With anything behind it, it was written once and is spoilt now; without, it is where the writer
        // ended.
        bool more = false;
        for (std::uint32_t i = result.next + 1; i < usable && !more; ++i) more = good(i);
        if (!more) {
            result.torn = found == Found::Torn;
            result.next = usable;
            break;
        }
        ++result.damaged;
        ++result.next;
    }
    if (result.next == usable && whole && given < most) {
        if (good(usable)) take(*head, use);
        else if (read_use(slot(usable), head->incarnation, use) == Found::Torn) ++result.damaged;
        result.next = head->capacity;
        result.ended = true;
    }
    return result;
}

}    // namespace shaletray::usage_log
