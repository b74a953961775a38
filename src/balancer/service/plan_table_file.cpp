#include "balancer/service/plan_table_file.h"

#include <fcntl.h>
#include <fmt/format.h>

#include "base/common/log.h"

namespace shaletray {

BookFile::BookFile(std::string path, plans::Book& book, bool serve_damaged, usage_log::Files& files)
    : path_(std::move(path)), files_(files) {
    file_ = files_.open(path_, O_RDWR | O_CREAT | O_APPEND);
    if (!files_.lock(*file_)) throw std::runtime_error(path_ + ": another process has this book open");
    const std::string text = files_.read(path_);
    std::size_t at = 0, line = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string::npos) {
            loaded_.torn = true;
            break;
        }
        ++line;
        try {
            book.apply(plans::read_change(std::string_view(text).substr(at, end - at)));
        } catch (const plans::BadChange& error) {
            loaded_.damage = fmt::format("{}:{}: {}", path_, line, error.what());
            if (!serve_damaged)
                throw std::runtime_error(
                    loaded_.damage +
                    "; restore it from another gateway's, or set plans.on_damage to \"serve\"");
            break;
        }
        at = end + 1;
    }
    loaded_.changes = book.version();
    size_ = at;
    // A spoilt part is evidence and stays; a line that was cut short never counted.
    if (loaded_.torn && loaded_.damage.empty()) files_.truncate(*file_, size_);
    thread_ = std::thread([this] { sync(); });
}

BookFile::~BookFile() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        wake_.notify_one();
    }
    thread_.join();
}

void BookFile::append(const plans::Change& change) {
    if (!loaded_.damage.empty())
        throw std::runtime_error("the book is damaged and takes no changes: " + loaded_.damage);
    const std::string text = plans::write_change(change) + "\n";
    try {
        files_.write(*file_, text);
    } catch (const usage_log::FileError& error) {
        try {
            files_.truncate(*file_, size_);    // half a line must not stand before the next one
        } catch (const usage_log::FileError& again) {
            loaded_.damage = fmt::format("{}: {}", path_, again.what());
        }
        throw std::runtime_error(fmt::format("the book cannot be written: {}", error.what()));
    }
    size_ += text.size();
    const std::lock_guard lock(mutex_);
    dirty_ = true;
    wake_.notify_one();
}

void BookFile::sync() {
    std::unique_lock lock(mutex_);
    for (;;) {
        if (dirty_) {
            dirty_ = false;
            lock.unlock();
            try {
                files_.sync(*file_);
            } catch (const usage_log::FileError& error) {
                log(LogLevel::Error, Event::BookNotDurable, {kv("why", error.what())});
            }
            lock.lock();
            continue;
        }
        if (ending_) return;
        wake_.wait(lock);
    }
}

}    // namespace shaletray
