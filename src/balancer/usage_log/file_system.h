// File operations of the usage log and the plan table file behind an interface, so that tests can make each
// of them fail or kill the process. Errors are thrown as FileError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace shaletray::usage_log {

// A failed file operation, with the system's error code.
class FileError : public std::system_error {
public:
    FileError(int code, const std::string& operation)
        : std::system_error(code, std::generic_category(), operation) {}
};

// An open file. Destruction closes it and releases its lock.
class File {
public:
    explicit File(int handle) : handle_(handle) {}
    ~File();
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    int handle() const { return handle_; }

private:
    int handle_;
};

// A shared mapping of a file. What is written to it survives a kill of this process. Destruction unmaps it.
class Mapping {
public:
    Mapping(void* address, std::size_t size) : address_(address), size_(size) {}
    ~Mapping();
    Mapping(const Mapping&) = delete;
    Mapping& operator=(const Mapping&) = delete;
    std::byte* data() const { return static_cast<std::byte*>(address_); }
    std::size_t size() const { return size_; }

private:
    void* address_;
    std::size_t size_;
};

// Thread-safe for operations on different files.
class FileSystem {
public:
    virtual ~FileSystem() = default;
    // `flags` as for open(2).
    virtual std::unique_ptr<File> open(const std::string& path, int flags) = 0;
    virtual void write(File& file, std::string_view bytes) = 0;
    // Reserves disk blocks, so that a full disk is an error here and not SIGBUS at a write to mapped memory.
    virtual void allocate(File& file, std::size_t size) = 0;
    virtual std::unique_ptr<Mapping> map_file(File& file, std::size_t size, bool writable) = 0;
    virtual void sync(File& file) = 0;
    virtual void sync_directory(const std::string& path) = 0;
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& path) = 0;
    virtual void truncate(File& file, std::size_t size) = 0;
    // False if another process holds the lock.
    virtual bool lock(File& file) = 0;

    // Read-only operations.
    virtual std::vector<std::string> list_directory(const std::string& directory);
    virtual std::string read_file(const std::string& path);
    virtual bool file_exists(const std::string& path);
};

// The operating system's file system.
FileSystem& real_file_system();

}    // namespace shaletray::usage_log
