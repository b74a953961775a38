// The folder of a replica's LevelDB database.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>

#include <memory>
#include <string>

#include "cluster/consensus/directory_syncing_env.h"

namespace shaletray::consensus {

// Whether an operation failed for another reason than that the disk refused it, which may pass.
bool is_damaged(const leveldb::Status& status);

// Opens, repairs and recreates the database, and marks it as untrusted meanwhile. Used by one thread at a
// time.
//
// A database that was repaired or recreated may open without error at any moment and yet lack acknowledged
// writes. A marker file, whose name is made durable, says so until the complete state has been written.
class DatabaseFolder {
public:
    // The file system must outlive the object.
    DatabaseFolder(std::string folder, SyncingFileSystem& file_system);

    // Makes the folder, makes its name durable, and looks for the marker.
    leveldb::Status prepare();
    // Whether the folder holds more than what a database leaves that was never completely created.
    bool has_database_files() const;
    // Opens the database; creates it where the folder holds none. Closes it before, if it is open.
    leveldb::Status open();
    // Lets LevelDB repair what it can, and leaves the database closed.
    leveldb::Status repair();
    // Removes the database and creates it anew. The folder must be marked as untrusted.
    leveldb::Status recreate();
    bool is_open() const { return database_ != nullptr; }
    leveldb::DB& database() { return *database_; }

    bool is_untrusted() const { return is_untrusted_; }
    leveldb::Status mark_untrusted();
    leveldb::Status mark_trusted();

    // Where the file of the write watermark belongs.
    std::string watermark_path() const;

private:
    // LevelDB would otherwise keep a log file of its own.
    class NullLogger : public leveldb::Logger {
    public:
        void Logv(const char*, std::va_list) override {}
    };

    leveldb::Options make_options();
    std::string file_path(const std::string& name) const { return folder_ + "/" + name; }
    // Files that LevelDB's repair could not use.
    void remove_lost_files();

    const std::string folder_;
    SyncingFileSystem& file_system_;
    DirectorySyncingEnv env_;
    NullLogger null_logger_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> database_;
    bool is_untrusted_ = false;    // by a marker whose name is durable
};

}    // namespace shaletray::consensus
