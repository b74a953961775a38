#include "balancer/service/plan_table_file.h"

#include <fcntl.h>
#include <fmt/format.h>

#include "base/common/log.h"

namespace shaletray {

PlanTableFile::PlanTableFile(std::string path, plans::PlanTable& book, bool serve_damaged,
                             usage_log::FileSystem& files)
    : path_(std::move(path)), file_system_(files) {
    file_ = file_system_.open(path_, O_RDWR | O_CREAT | O_APPEND);
    if (!file_system_.lock(*file_)) throw std::runtime_error(path_ + ": another process has this book open");
    const std::string text = file_system_.read_file(path_);
    std::size_t at = 0, line = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string::npos) {
            load_result_.is_torn = true;
            break;
        }
        ++line;
        try {
            book.append(plans::parse_change(std::string_view(text).substr(at, end - at)));
        } catch (const plans::InvalidChange& error) {
            load_result_.damage_reason = fmt::format("{}:{}: {}", path_, line, error.what());
            if (!serve_damaged)
                throw std::runtime_error(
                    load_result_.damage_reason +
                    "; restore it from another gateway's, or set plans.on_damage to \"serve\"");
            break;
        }
        at = end + 1;
    }
    load_result_.change_count = book.version();
    size_ = at;
    // A spoilt part is evidence and stays; a line that was cut short never counted.
    if (load_result_.is_torn && load_result_.damage_reason.empty()) file_system_.truncate(*file_, size_);
    thread_ = std::thread([this] { run_sync(); });
}

PlanTableFile::~PlanTableFile() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
        wake_condition_.notify_one();
    }
    thread_.join();
}

void PlanTableFile::append_change(const plans::PlanChange& change) {
    if (!load_result_.damage_reason.empty())
        throw std::runtime_error("the book is damaged and takes no changes: " + load_result_.damage_reason);
    const std::string text = plans::serialize_change(change) + "\n";
    try {
        file_system_.write(*file_, text);
    } catch (const usage_log::FileError& error) {
        try {
            file_system_.truncate(*file_, size_);    // half a line must not stand before the next one
        } catch (const usage_log::FileError& again) {
            load_result_.damage_reason = fmt::format("{}: {}", path_, again.what());
        }
        throw std::runtime_error(fmt::format("the book cannot be written: {}", error.what()));
    }
    size_ += text.size();
    const std::lock_guard lock(mutex_);
    has_unsynced_ = true;
    wake_condition_.notify_one();
}

void PlanTableFile::run_sync() {
    std::unique_lock lock(mutex_);
    for (;;) {
        if (has_unsynced_) {
            has_unsynced_ = false;
            lock.unlock();
            try {
                file_system_.sync(*file_);
            } catch (const usage_log::FileError& error) {
                log(LogLevel::Error, Event::PlanTableNotDurable, {log_field("why", error.what())});
            }
            lock.lock();
            continue;
        }
        if (is_stopping_) return;
        wake_condition_.wait(lock);
    }
}

}    // namespace shaletray
