// Reads and writes the records of a replica's database: the state header and the texts of its entries.
#pragma once

#include <leveldb/db.h>

#include <cstdint>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// The contents of a database, as far as they could be read.
struct LoadedRecords {
    StateHeader header;                  // its state includes the texts
    bool has_committed_entry = false;    // the committed entry and its text could be read
};

// Reads the records. After an error, too, `records` contains what could be read. Errors: NotFound if there is
// no header; Corruption; IOError.
leveldb::Status read_records(leveldb::DB& database, LoadedRecords& records);

// Writes and syncs the state in one batch; `sequence` must be greater than that of any earlier write. A text
// that is already stored is not written again. `stored_header` is the header in the database, or null if that
// is unknown: then everything is written and all other keys are deleted. On success, `written_header` is the
// header now stored, without texts.
leveldb::Status write_records(leveldb::DB& database, const PersistentState& state, std::uint64_t sequence,
                              const StateHeader* stored_header, StateHeader& written_header);

}    // namespace shaletray::consensus
