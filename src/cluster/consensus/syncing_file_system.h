// The disk under the lamp's state: LevelDB's files, and the one call that they lack.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace shaletray::consensus {

class SyncingFileSystem : public leveldb::EnvWrapper {
public:
    SyncingFileSystem() : EnvWrapper(leveldb::Env::Default()) {}
    // Names made, renamed or removed in the folder before this last once it has returned; it waits for the
    // disk. Errors: IOError, after which each of them may be kept or lost.
    virtual leveldb::Status SyncFolder(const std::string& folder);
};

}    // namespace shaletray::consensus
