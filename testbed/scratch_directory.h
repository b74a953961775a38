// A directory of an experiment's own below the system's temporary one.
#pragma once

#include <filesystem>
#include <string>
#include <system_error>

namespace shaletray::testbed {

// Created with the object and removed with all that is in it. Not thread-safe; the owner outlives the
// processes that write there.
class ScratchDirectory {
public:
    // Throws std::filesystem::filesystem_error where it cannot be created.
    explicit ScratchDirectory(const std::string& name)
        : path_(std::filesystem::temp_directory_path() / name) {
        std::filesystem::create_directories(path_);
    }
    ~ScratchDirectory() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    ScratchDirectory(const ScratchDirectory&) = delete;
    ScratchDirectory& operator=(const ScratchDirectory&) = delete;

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

}    // namespace shaletray::testbed
