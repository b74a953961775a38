// The file system under a state store.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace shaletray::consensus {

// LevelDB's default environment, extended by the sync of a folder. Virtual, so that tests can simulate losses
// of power.
class SyncingFileSystem : public leveldb::EnvWrapper {
public:
    SyncingFileSystem() : EnvWrapper(leveldb::Env::Default()) {}
    // Makes all preceding creations, renames and removals of names in the folder durable; blocks until then.
    // Error: IOError, after which each of these changes may or may not survive a loss of power.
    virtual leveldb::Status SyncFolder(const std::string& folder);
};

}    // namespace shaletray::consensus
