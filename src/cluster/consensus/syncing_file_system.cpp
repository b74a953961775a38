#include "cluster/consensus/syncing_file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace shaletray::consensus {

leveldb::Status Disk::SyncFolder(const std::string& folder) {
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = fd >= 0 && ::fsync(fd) == 0;
    const int why = errno;
    if (fd >= 0) ::close(fd);
    return synced ? leveldb::Status::OK() : leveldb::Status::IOError(folder, std::strerror(why));
}

}    // namespace shaletray::consensus
