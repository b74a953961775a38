// The environment in which LevelDB runs: file names are made durable, not only file contents.
#pragma once

#include <leveldb/env.h>

#include <atomic>
#include <memory>
#include <string>

#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus {

// Syncs the directory of one database where LevelDB does not. A file name survives a loss of power only once
// its directory was synced. LevelDB does this before each sync of a MANIFEST, so that the tables named in it
// are safe. But votes are in a new log file long before the next MANIFEST, and CURRENT is renamed after the
// last one.
//
// Used by LevelDB's threads and by that of the store.
class DirectorySyncingEnv : public leveldb::EnvWrapper {
public:
    // The file system must outlive the environment.
    DirectorySyncingEnv(SyncingFileSystem& file_system, std::string folder);
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    // Refuses while a failed sync leaves open whether CURRENT is the old file or the new one after a loss of
    // power: what either refers to must stay, and LevelDB would remove the MANIFEST of the new one.
    leveldb::Status RemoveFile(const std::string& name) override;
    leveldb::Status SyncDirectory();

private:
    class SyncedLogFile;
    SyncingFileSystem& file_system_;
    const std::string folder_;
    std::atomic<bool> directory_sync_failed_ = false;    // at the last SyncDirectory()
};

}    // namespace shaletray::consensus
