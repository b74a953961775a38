#include "cluster/consensus/syncing_file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace shaletray::consensus {

leveldb::Status SyncingFileSystem::SyncFolder(const std::string& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
    const int error = errno;
    if (descriptor >= 0) ::close(descriptor);
    return synced ? leveldb::Status::OK() : leveldb::Status::IOError(folder, std::strerror(error));
}

}    // namespace shaletray::consensus
