// A replica's state in its database: loading, writing, and recovering from damage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/consensus/database_folder.h"
#include "cluster/consensus/state_records.h"
#include "cluster/consensus/write_watermark.h"

namespace shaletray::consensus {

// Used by one thread at a time. Each function may block on the disk.
class StateDatabase {
public:
    // The file system must outlive the database.
    StateDatabase(std::string folder, SyncingFileSystem& file_system)
        : folder_(std::move(folder), file_system) {}

    // Opens the database and reads its state; discards a state that cannot be trusted (see StateStore::open).
    // Errors: IOError; load() may then be called again on another object.
    leveldb::Status load(bool founder);
    // Writes and syncs the state. After an error the database takes no writes until it is reopened.
    leveldb::Status write(const PersistentState& state);
    // Opens the database again, or recreates it where it is damaged: the caller must then write the state.
    leveldb::Status reopen();

    // As it was found by load().
    const PersistentState& loaded_state() const { return loaded_state_; }
    // Why load() discarded the state; empty: it did not.
    const std::string& discard_reason() const { return discard_reason_; }

private:
    // Starts afresh under a new disk identifier, with the committed entry if that can be read or repaired.
    leveldb::Status discard_state(std::string reason, LoadedRecords records);
    leveldb::Status repair(LoadedRecords& records);
    leveldb::Status recreate();

    DatabaseFolder folder_;
    std::optional<WriteWatermark> watermark_;
    PersistentState loaded_state_;
    std::string discard_reason_;
    std::optional<StateHeader> stored_header_;    // without texts; none: what the database holds is not known
    std::uint64_t sequence_ = 0;                  // of the last write
};

}    // namespace shaletray::consensus
