// The records of a replica's database: the state header, and the texts of its entries.
#pragma once

#include <leveldb/db.h>

#include <cstdint>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {

// What a database holds, as far as it could be read.
struct LoadedRecords {
    StateHeader header;                  // its state complete with the texts
    bool has_committed_entry = false;    // the committed entry and its text could be read
};

// Reads the records. Leaves in `records` what could be read, also when it returns an error. Errors: NotFound,
// where there is no header; Corruption; IOError.
leveldb::Status read_records(leveldb::DB& database, LoadedRecords& records);

// Writes and syncs the state in one batch; `sequence` must be greater than those of all earlier writes. A
// text that is stored already is not written again. `stored_header` is the header that the database holds;
// null where that is unknown: then everything is written and whatever else the database holds is deleted. On
// success `written_header` is the header now stored, without texts.
leveldb::Status write_records(leveldb::DB& database, const PersistentState& state, std::uint64_t sequence,
                              const StateHeader* stored_header, StateHeader& written_header);

}    // namespace shaletray::consensus
