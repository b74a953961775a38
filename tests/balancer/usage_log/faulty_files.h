// A file system for tests that injects one fault: at a given step it kills the process or throws an error.
#pragma once

#include <cerrno>
#include <csignal>

#include "balancer/usage_log/file_system.h"

namespace shaletray::usage_log::test {

// Steps are counted from 1. A write is two steps, with half of the bytes written between them.
class FaultyFiles : public FileSystem {
public:
    enum class Way { None, Kill, Error };
    // Injects `way` at this step from now on; None injects nothing.
    void at(int step, Way way) {
        failing_step_ = step;
        fault_ = way;
        step_count = 0;
    }
    // Counts a step; tests also call it for steps that are not file operations.
    void run_step(const char* = nullptr) {
        if (++step_count != failing_step_ || fault_ == Way::None) return;
        if (fault_ == Way::Kill) raise(SIGKILL);
        throw FileError(ENOSPC, "injected fault");
    }
    std::unique_ptr<File> open(const std::string& path, int flags) override {
        run_step();
        return real_file_system_.open(path, flags);
    }
    void write(File& file, std::string_view bytes) override {
        run_step();
        real_file_system_.write(file, bytes.substr(0, bytes.size() / 2));
        run_step();    // half of the bytes are written
        real_file_system_.write(file, bytes.substr(bytes.size() / 2));
    }
    void allocate(File& file, std::size_t size) override {
        run_step(), real_file_system_.allocate(file, size);
    }
    std::unique_ptr<Mapping> map_file(File& file, std::size_t size, bool writable) override {
        run_step();
        return real_file_system_.map_file(file, size, writable);
    }
    void sync(File& file) override { run_step(), real_file_system_.sync(file); }
    void sync_directory(const std::string& path) override {
        run_step(), real_file_system_.sync_directory(path);
    }
    void rename(const std::string& from, const std::string& to) override {
        run_step(), real_file_system_.rename(from, to);
    }
    void remove(const std::string& path) override { run_step(), real_file_system_.remove(path); }
    void truncate(File& file, std::size_t size) override {
        run_step(), real_file_system_.truncate(file, size);
    }
    bool lock(File& file) override { return real_file_system_.lock(file); }
    int step_count = 0;

private:
    FileSystem& real_file_system_ = real_file_system();
    int failing_step_ = 0;
    Way fault_ = Way::None;
};

}    // namespace shaletray::usage_log::test
