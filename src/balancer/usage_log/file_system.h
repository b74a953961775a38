// The few things that are done to files here, behind one interface, so that a test can let each of them fail
// or end the process at it, one step after another. Errors are thrown as FileError with what was done to
// what.
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

class FileError : public std::system_error {
public:
    FileError(int code, const std::string& what) : std::system_error(code, std::generic_category(), what) {}
};

// An open file; closed with this object, and with it a lock that it holds.
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

// Memory that is a file's; it stays with the system when this process is killed.
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

class FileSystem {
public:
    virtual ~FileSystem() = default;
    virtual std::unique_ptr<File> open(const std::string& path, int flags) = 0;
    virtual void write(File& file, std::string_view bytes) = 0;
    // Room that is really there, so that a full disk is told here and not at a store to memory.
    virtual void allocate(File& file, std::size_t size) = 0;
    virtual std::unique_ptr<Mapping> map_file(File& file, std::size_t size, bool writable) = 0;
    virtual void sync(File& file) = 0;
    virtual void sync_directory(const std::string& path) = 0;
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& path) = 0;
    virtual void truncate(File& file, std::size_t size) = 0;
    // False where another process holds it.
    virtual bool lock(File& file) = 0;

    // These change nothing.
    virtual std::vector<std::string> list_directory(const std::string& directory);
    virtual std::string read_file(const std::string& path);
    virtual bool file_exists(const std::string& path);
};

FileSystem& real_file_system();

}    // namespace shaletray::usage_log
