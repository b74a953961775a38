// The folder that contains a replica's LevelDB database.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>

#include <memory>
#include <string>

#include "cluster/consensus/directory_syncing_env.h"

namespace shaletray::consensus {

// Whether an operation failed for another reason than an I/O error, which may be temporary.
bool is_damaged(const leveldb::Status& status);

// Opens, repairs and recreates the database. Used by one thread at a time.
//
// A database that is being repaired or recreated may open without error at any time and yet lack acknowledged
// writes. A marker file, whose name is made durable, marks it as untrusted until the complete state has been
// written.
class DatabaseFolder {
public:
    // The file system must outlive the object.
    DatabaseFolder(std::string folder, SyncingFileSystem& file_system);

    // Creates the folder if necessary, makes its name durable, and checks for the marker file.
    leveldb::Status prepare();
    // Whether the folder contains other files than those left by an incomplete creation of a database.
    bool has_database_files() const;
    // Opens the database, or creates it if the folder contains none. An open database is closed first.
    leveldb::Status open();
    // Runs LevelDB's repair, and leaves the database closed.
    leveldb::Status repair();
    // Removes the database and creates a new one. The folder must be marked as untrusted.
    leveldb::Status recreate();
    bool is_open() const { return database_ != nullptr; }
    leveldb::DB& database() { return *database_; }

    bool is_untrusted() const { return is_untrusted_; }
    leveldb::Status mark_untrusted();
    leveldb::Status mark_trusted();

    // The path of the write watermark's file.
    std::string watermark_path() const;

private:
    // Keeps LevelDB from writing an info log file.
    class NullLogger : public leveldb::Logger {
    public:
        void Logv(const char*, std::va_list) override {}
    };

    leveldb::Options make_options();
    std::string file_path(const std::string& name) const { return folder_ + "/" + name; }
    // Removes the files that LevelDB's repair set aside as unusable.
    void remove_lost_files();

    const std::string folder_;
    SyncingFileSystem& file_system_;
    DirectorySyncingEnv env_;
    NullLogger null_logger_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> database_;
    bool is_untrusted_ = false;    // a marker file with a durable name exists
};

}    // namespace shaletray::consensus
