#include "cluster/consensus/in_memory_state_store.h"

#include <utility>

#include "cluster/consensus/disk_id.h"

namespace shaletray::consensus {

InMemoryStateStore::InMemoryStateStore(bool founder) {
    loaded_state_.disk_id = founder ? kFounderDiskId : generate_disk_id();
}

void InMemoryStateStore::save(Actions::StateWrite write) {
    stored_tokens_.push_back(write.token);
    if (stored_callback_) stored_callback_();
}

std::vector<std::uint64_t> InMemoryStateStore::take_stored_tokens() {
    return std::exchange(stored_tokens_, {});
}

void InMemoryStateStore::set_stored_callback(std::function<void()> callback) {
    stored_callback_ = std::move(callback);
}

}    // namespace shaletray::consensus
