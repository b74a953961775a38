#include "balancer/usage_log/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace shaletray::usage_log {
namespace {

[[noreturn]] void throw_file_error(const std::string& operation, int code = errno) {
    throw FileError(code, operation);
}

class RealFileSystem : public FileSystem {
public:
    std::unique_ptr<File> open(const std::string& path, int flags) override {
        const int handle = ::open(path.c_str(), flags | O_CLOEXEC, 0640);
        if (handle < 0) throw_file_error("opening " + path);
        return std::make_unique<File>(handle);
    }
    void write(File& file, std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t count = ::write(file.handle(), bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) throw_file_error("writing");
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }
    void allocate(File& file, std::size_t size) override {
        if (const int code = posix_fallocate(file.handle(), 0, static_cast<off_t>(size)); code != 0)
            throw_file_error("allocating disk blocks", code);
    }
    std::unique_ptr<Mapping> map_file(File& file, std::size_t size, bool writable) override {
        void* const address =
            mmap(nullptr, size, writable ? PROT_READ | PROT_WRITE : PROT_READ, MAP_SHARED, file.handle(), 0);
        if (address == MAP_FAILED) throw_file_error("mapping");
        return std::make_unique<Mapping>(address, size);
    }
    void sync(File& file) override {
        if (fdatasync(file.handle()) != 0) throw_file_error("syncing");
    }
    void sync_directory(const std::string& path) override {
        const auto directory_file = open(path, O_RDONLY | O_DIRECTORY);
        if (fsync(directory_file->handle()) != 0) throw_file_error("syncing " + path);
    }
    void rename(const std::string& from, const std::string& to) override {
        if (::rename(from.c_str(), to.c_str()) != 0) throw_file_error("renaming " + from);
    }
    void remove(const std::string& path) override {
        if (unlink(path.c_str()) != 0 && errno != ENOENT) throw_file_error("removing " + path);
    }
    void truncate(File& file, std::size_t size) override {
        if (ftruncate(file.handle(), static_cast<off_t>(size)) != 0) throw_file_error("truncating");
    }
    bool lock(File& file) override {
        if (flock(file.handle(), LOCK_EX | LOCK_NB) == 0) return true;
        if (errno == EWOULDBLOCK) return false;
        throw_file_error("locking");
    }
};

}    // namespace

File::~File() { ::close(handle_); }
Mapping::~Mapping() { munmap(address_, size_); }

std::vector<std::string> FileSystem::list_directory(const std::string& directory) {
    std::error_code error;
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(directory, error))
        names.push_back(entry.path().filename().string());
    if (error) throw FileError(error.value(), "listing " + directory);
    std::sort(names.begin(), names.end());
    return names;
}

std::string FileSystem::read_file(const std::string& path) {
    const int handle = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0) throw_file_error("opening " + path);
    const File file(handle);
    std::string result;
    char chunk[65536];
    for (;;) {
        const ssize_t count = ::read(handle, chunk, sizeof chunk);
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) throw_file_error("reading " + path);
        if (count == 0) return result;
        result.append(chunk, static_cast<std::size_t>(count));
    }
}

bool FileSystem::file_exists(const std::string& path) { return ::access(path.c_str(), F_OK) == 0; }

FileSystem& real_file_system() {
    static RealFileSystem file_system;
    return file_system;
}

}    // namespace shaletray::usage_log
