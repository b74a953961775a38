// The file system under a state store.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace shaletray::consensus {

// LevelDB's environment, and the one operation that it lacks. Virtual, so that tests can simulate losses of
// power.
class SyncingFileSystem : public leveldb::EnvWrapper {
public:
    SyncingFileSystem() : EnvWrapper(leveldb::Env::Default()) {}
    // Makes all names that were created, renamed or removed in the folder so far durable; blocks until then.
    // Errors: IOError, after which each of these changes may or may not survive a loss of power.
    virtual leveldb::Status SyncFolder(const std::string& folder);
};

}    // namespace shaletray::consensus
