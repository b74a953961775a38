// A state store that keeps nothing, for machines without a disk.
#pragma once

#include "cluster/consensus/state_store.h"

namespace shaletray::consensus {

// Reports each write as stored immediately and discards it, so its replica must not vote.
class InMemoryStateStore : public StateStore {
public:
    explicit InMemoryStateStore(bool founder);
    const PersistentState& loaded_state() const override { return loaded_state_; }
    void save(Actions::StateWrite write) override;
    std::vector<std::uint64_t> take_stored_tokens() override;
    void set_stored_callback(std::function<void()> callback) override;

private:
    PersistentState loaded_state_;
    std::vector<std::uint64_t> stored_tokens_;
    std::function<void()> stored_callback_;
};

}    // namespace shaletray::consensus
