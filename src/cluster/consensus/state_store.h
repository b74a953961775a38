// Where a replica keeps its persistent state.
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

// Stores the state of one replica. The functions are called by one thread, that of the event loop; the writes
// are made by a thread of the store, so that a slow disk does not block the loop.
class StateStore {
public:
    // Opens the folder, or makes it. A new folder gets the disk identifier 0 for a founder, a random one
    // otherwise. State that is damaged, or older than what was acknowledged as stored, is discarded: the
    // folder starts afresh under a new disk identifier, with the committed entry if that could be read, and
    // discard_reason() says why.
    // Errors: StorageError, where the disk cannot be read or written at present; to be tried again later.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder);
    // Likewise on another file system, which must outlive the store.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder,
                                                                 SyncingFileSystem& file_system);
    // Keeps nothing beyond this process: for machines without a disk.
    static std::unique_ptr<StateStore> in_memory(bool founder);
    virtual ~StateStore() = default;
    // The state as it was when the store was opened.
    virtual const PersistentState& loaded_state() const = 0;
    // Writes and syncs the state, in the order of the calls. A state that is superseded before its turn may
    // be skipped: its token is then reported with that of the later one. A failed write is retried until it
    // succeeds.
    virtual void save(Actions::StateWrite write) = 0;
    // The tokens of the writes that have reached the disk since the last call, in order.
    virtual std::vector<std::uint64_t> take_stored_tokens() = 0;
    // The callback is run on the store's thread whenever there are tokens to take.
    virtual void set_stored_callback(std::function<void()> callback) = 0;
    // Why the state was discarded at opening; empty: it was not.
    virtual std::string discard_reason() const { return {}; }
    // How many writes have failed so far; each was retried.
    virtual std::uint64_t failed_writes() const { return 0; }
};

}    // namespace shaletray::consensus
