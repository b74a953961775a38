#include "cluster/consensus/state_store.h"

#include "cluster/consensus/in_memory_state_store.h"
#include "cluster/consensus/leveldb_state_store.h"
#include "cluster/consensus/syncing_file_system.h"

namespace shaletray::consensus {

boost::leaf::result<std::unique_ptr<StateStore>> StateStore::open(const std::string& folder, bool founder) {
    static SyncingFileSystem file_system;
    return open(folder, founder, file_system);
}

boost::leaf::result<std::unique_ptr<StateStore>> StateStore::open(const std::string& folder, bool founder,
                                                                  SyncingFileSystem& file_system) {
    auto store = std::make_unique<LevelDbStateStore>(folder, file_system);
    const leveldb::Status status = store->start(founder);
    if (!status.ok()) return boost::leaf::new_error(StorageError{status.ToString()});
    return std::unique_ptr<StateStore>(std::move(store));
}

std::unique_ptr<StateStore> StateStore::in_memory(bool founder) {
    return std::make_unique<InMemoryStateStore>(founder);
}

}    // namespace shaletray::consensus
