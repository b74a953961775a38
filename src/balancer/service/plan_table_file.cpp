#include "balancer/service/plan_table_file.h"

#include <fcntl.h>
#include <fmt/format.h>

#include "base/common/log.h"

namespace shaletray {

PlanTableFile::PlanTableFile(std::string path, plans::PlanTable& table, bool serve_damaged,
                             usage_log::FileSystem& files)
    : path_(std::move(path)), file_system_(files) {
    file_ = file_system_.open(path_, O_RDWR | O_CREAT | O_APPEND);
    if (!file_system_.lock(*file_))
        throw std::runtime_error(path_ + ": another process has this plan table open");
    const std::string text = file_system_.read_file(path_);
    std::size_t offset = 0, line = 0;
    while (offset < text.size()) {
        const std::size_t end = text.find('\n', offset);
        if (end == std::string::npos) {
            load_result_.is_torn = true;
            break;
        }
        ++line;
        try {
            table.append(plans::parse_change(std::string_view(text).substr(offset, end - offset)));
        } catch (const plans::InvalidChange& error) {
            load_result_.damage_reason = fmt::format("{}:{}: {}", path_, line, error.what());
            if (!serve_damaged)
                throw std::runtime_error(
                    load_result_.damage_reason +
                    "; restore the file from another gateway, or set plans.on_damage to \"serve\"");
            break;
        }
        offset = end + 1;
    }
    load_result_.change_count = table.version();
    size_ = offset;
    // A damaged part stays as evidence; a truncated last line never took effect.
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
        throw std::runtime_error("the plan table is damaged and accepts no changes: " +
                                 load_result_.damage_reason);
    const std::string text = plans::serialize_change(change) + "\n";
    try {
        file_system_.write(*file_, text);
    } catch (const usage_log::FileError& error) {
        try {
            file_system_.truncate(*file_, size_);    // a partial line must not precede the next one
        } catch (const usage_log::FileError& truncate_error) {
            load_result_.damage_reason = fmt::format("{}: {}", path_, truncate_error.what());
        }
        throw std::runtime_error(fmt::format("the plan table cannot be written: {}", error.what()));
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
