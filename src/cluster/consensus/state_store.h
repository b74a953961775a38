// The storage of a replica's persistent state.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/consensus/actions.h"

namespace shaletray::consensus {

class SyncingFileSystem;

// Why a store could not be opened.
struct StorageError {
    std::string reason;
};

// Stores the state of one replica. The functions must be called by one thread, that of the event loop; a
// thread of the store performs the writes, so that a slow disk does not block the event loop.
class StateStore {
public:
    // Opens the folder, or creates it. A new folder gets the disk identifier 0 for a founder, a random one
    // otherwise. State that is damaged, or older than a write that was acknowledged as stored, is discarded:
    // the folder gets a new disk identifier, without any votes, and keeps the committed entry if that could
    // be read; discard_reason() returns the reason. Error: StorageError if the disk cannot currently be read
    // or written; the caller may retry later.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder);
    // Same, on another file system, which must outlive the store.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder,
                                                                 SyncingFileSystem& file_system);
    // A store that keeps nothing beyond this process, for machines without a disk.
    static std::unique_ptr<StateStore> in_memory(bool founder);
    virtual ~StateStore() = default;
    // The state as it was when the store was opened.
    virtual const PersistentState& loaded_state() const = 0;
    // Writes and syncs the states in the order of the calls. A state that is superseded before it is written
    // may be skipped: its token is then reported with that of the later one. Failed writes are retried until
    // they succeed.
    virtual void save(Actions::StateWrite write) = 0;
    // Returns, in order, the tokens of the writes that have been stored since the last call.
    virtual std::vector<std::uint64_t> take_stored_tokens() = 0;
    // The callback runs on the store's thread whenever there are tokens to take.
    virtual void set_stored_callback(std::function<void()> callback) = 0;
    // Why open() discarded the state; empty if it did not.
    virtual std::string discard_reason() const { return {}; }
    // Number of failed write attempts so far.
    virtual std::uint64_t failed_writes() const { return 0; }
};

}    // namespace shaletray::consensus
