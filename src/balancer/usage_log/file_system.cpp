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

[[noreturn]] void fail(const std::string& what, int code = errno) { throw FileError(code, what); }

class RealFiles : public Files {
public:
    std::unique_ptr<File> open(const std::string& path, int flags) override {
        const int handle = ::open(path.c_str(), flags | O_CLOEXEC, 0640);
        if (handle < 0) fail("opening " + path);
        return std::make_unique<File>(handle);
    }
    void write(File& file, std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(file.handle(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) fail("writing");
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void reserve(File& file, std::size_t size) override {
        if (const int code = posix_fallocate(file.handle(), 0, static_cast<off_t>(size)); code != 0)
            fail("making room", code);
    }
    std::unique_ptr<Mapping> map(File& file, std::size_t size, bool writable) override {
        void* const at =
            mmap(nullptr, size, writable ? PROT_READ | PROT_WRITE : PROT_READ, MAP_SHARED, file.handle(), 0);
        if (at == MAP_FAILED) fail("mapping");
        return std::make_unique<Mapping>(at, size);
    }
    void sync(File& file) override {
        if (fdatasync(file.handle()) != 0) fail("syncing");
    }
    void sync_folder(const std::string& path) override {
        const auto folder = open(path, O_RDONLY | O_DIRECTORY);
        if (fsync(folder->handle()) != 0) fail("syncing " + path);
    }
    void rename(const std::string& from, const std::string& to) override {
        if (::rename(from.c_str(), to.c_str()) != 0) fail("renaming " + from);
    }
    void remove(const std::string& path) override {
        if (unlink(path.c_str()) != 0 && errno != ENOENT) fail("removing " + path);
    }
    void truncate(File& file, std::size_t size) override {
        if (ftruncate(file.handle(), static_cast<off_t>(size)) != 0) fail("cutting");
    }
    bool lock(File& file) override {
        if (flock(file.handle(), LOCK_EX | LOCK_NB) == 0) return true;
        if (errno == EWOULDBLOCK) return false;
        fail("locking");
    }
};

}    // namespace

File::~File() { ::close(handle_); }
Mapping::~Mapping() { munmap(at_, size_); }

std::vector<std::string> Files::list(const std::string& folder) {
    std::error_code error;
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error))
        names.push_back(entry.path().filename().string());
    if (error) throw FileError(error.value(), "listing " + folder);
    std::sort(names.begin(), names.end());
    return names;
}

std::string Files::read(const std::string& path) {
    const int handle = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0) fail("opening " + path);
    const File file(handle);
    std::string out;
    char chunk[65536];
    for (;;) {
        const ssize_t n = ::read(handle, chunk, sizeof chunk);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) fail("reading " + path);
        if (n == 0) return out;
        out.append(chunk, static_cast<std::size_t>(n));
    }
}

bool Files::exists(const std::string& path) { return ::access(path.c_str(), F_OK) == 0; }

Files& real_files() {
    static RealFiles files;
    return files;
}

}    // namespace shaletray::usage_log
