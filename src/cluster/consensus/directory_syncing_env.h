// A LevelDB environment that makes file names durable, not only file contents.
#pragma once

#include <leveldb/env.h>

#include <atomic>
#include <memory>
#include <string>

#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus {

// Syncs the directory of one database where LevelDB does not. A file name survives a loss of power only if
// the directory was synced after the name was created. LevelDB syncs it before each sync of a MANIFEST, so
// that the tables named in the MANIFEST are safe. But votes are written to a new log file long before the
// next MANIFEST, and CURRENT is renamed after the last sync of the MANIFEST.
//
// Thread-safe: used by LevelDB's threads and by that of the store.
class DirectorySyncingEnv : public leveldb::EnvWrapper {
public:
    // The file system must outlive the environment.
    DirectorySyncingEnv(SyncingFileSystem& file_system, std::string folder);
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    // Fails while the last SyncDirectory() has failed. It is then unknown whether CURRENT will be the old or
    // the new file after a loss of power, so the files that either refers to must stay; LevelDB would remove
    // the MANIFEST that the new one names.
    leveldb::Status RemoveFile(const std::string& name) override;
    leveldb::Status SyncDirectory();

private:
    class SyncedLogFile;
    SyncingFileSystem& file_system_;
    const std::string folder_;
    std::atomic<bool> directory_sync_failed_ = false;    // result of the last SyncDirectory()
};

}    // namespace shaletray::consensus
