// The lamp's state on disk, by LevelDB, written by a thread of its own so that a slow disk holds up no loop.
#pragma once

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cluster/consensus/actions.h"

namespace shaletray::consensus {

class SyncingFileSystem;    // see disk.h

struct StorageError {
    std::string reason;
};

class StateStore {
public:
    // Opens or makes the folder. `founder` says that an empty folder takes disk number 0, else one is drawn.
    // Errors: DiskTrouble, where the disk cannot be read or written now; to be tried again later. What can be
    // read only in part, or falls short of what was once stored, is given up: the folder begins anew under
    // another disk number, with the decree where that could be read, and given_up() says why.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder);
    // Likewise on another disk, which must outlive it.
    static boost::leaf::result<std::unique_ptr<StateStore>> open(const std::string& folder, bool founder,
                                                                 SyncingFileSystem& disk);
    // Nothing is kept beyond this process: for machines without a disk.
    static std::unique_ptr<StateStore> in_memory(bool founder);
    virtual ~StateStore() = default;
    virtual const PersistentState& loaded_state() const = 0;
    // Written and synced in order by the store's own thread. What was overtaken before its turn may be left
    // out; its token counts as stored with the later one. A write that fails is tried again until it holds.
    virtual void save(Actions::StateWrite write) = 0;
    // Tokens that are on the disk by now, in order. Called by the loop; `wake` is called from the store's
    // thread whenever there are new ones.
    virtual std::vector<std::uint64_t> take_stored_tokens() = 0;
    virtual void set_stored_callback(std::function<void()> callback) = 0;
    virtual std::string discard_reason() const { return {}; }    // empty: nothing was
    virtual std::uint64_t failed_writes() const { return 0; }    // so far; each was tried again
};

}    // namespace shaletray::consensus
