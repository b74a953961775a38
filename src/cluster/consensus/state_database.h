// Loads and writes a replica's state in its database, and recovers from damage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/consensus/database_folder.h"
#include "cluster/consensus/state_records.h"
#include "cluster/consensus/write_watermark.h"

namespace shaletray::consensus {

// The database with the persistent state of one replica. Used by one thread at a time; functions may block on
// the disk.
class StateDatabase {
public:
    // The file system must outlive the database.
    StateDatabase(std::string folder, SyncingFileSystem& file_system)
        : folder_(std::move(folder), file_system) {}

    // Opens the database and reads its state; discards a state that cannot be trusted (see StateStore::open).
    // Error: IOError; load() may then be retried with a new object.
    leveldb::Status load(bool founder);
    // Writes and syncs the state. After an error, reopen() must succeed before the next write.
    leveldb::Status write(const PersistentState& state);
    // Reopens the database, or recreates it if it is damaged. The caller must then write the state.
    leveldb::Status reopen();

    // The state that load() found.
    const PersistentState& loaded_state() const { return loaded_state_; }
    // Why load() discarded the state; empty if it did not.
    const std::string& discard_reason() const { return discard_reason_; }

private:
    // Starts with a new state under a new disk identifier, keeping the committed entry if it can be read or
    // repaired.
    leveldb::Status discard_state(std::string reason, LoadedRecords records);
    leveldb::Status repair(LoadedRecords& records);
    leveldb::Status recreate();

    DatabaseFolder folder_;
    std::optional<WriteWatermark> watermark_;
    PersistentState loaded_state_;
    std::string discard_reason_;
    std::optional<StateHeader> stored_header_;    // without texts; none: the database's contents are unknown
    std::uint64_t sequence_ = 0;                  // of the last write
};

}    // namespace shaletray::consensus
