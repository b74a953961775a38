#include "balancer/usage_log/persistent_counters.h"

#include <fcntl.h>

#include <atomic>
#include <stdexcept>

namespace shaletray::usage_log {
namespace {

constexpr std::uint64_t kMagic = 0x31796c6c61747274;    // "trtally1"

}    // namespace

PersistentCounters::PersistentCounters(std::string path, FileSystem& file_system) {
    const bool is_new = !file_system.file_exists(path);
    file_ = file_system.open(path, O_RDWR | O_CREAT);
    if (!file_system.lock(*file_)) throw std::runtime_error(path + ": another process has opened it");
    const std::size_t size = (kSlots + 1) * sizeof(Slot);
    file_system.allocate(*file_, size);
    mapping_ = file_system.map_file(*file_, size, true);
    Slot* const header = reinterpret_cast<Slot*>(mapping_->data());
    // A kill between the allocation and the header leaves a file of zeros, which holds no counters.
    if (is_new || header->key == 0) header->key = kMagic;
    if (header->key != kMagic) throw std::runtime_error(path + " is not a file of counters");
    for (std::size_t index = 0; index < kSlots; ++index) {
        if (slots()[index].key == 0) continue;
        initial_values_[slots()[index].key] = slots()[index].value;
        slots_by_key_[slots()[index].key] = index;
    }
}

PersistentCounters::Slot* PersistentCounters::slots() const {
    return reinterpret_cast<Slot*>(mapping_->data()) + 1;
}

bool PersistentCounters::set_value(std::uint64_t key, std::int64_t value) {
    if (const auto found = slots_by_key_.find(key); found != slots_by_key_.end()) {
        // A single store: a kill leaves either the old value or the new one.
        std::atomic_ref(slots()[found->second].value).store(value, std::memory_order_relaxed);
        return true;
    }
    for (std::size_t index = 0; index < kSlots; ++index) {
        if (slots()[index].key != 0) continue;
        std::atomic_ref(slots()[index].value).store(value, std::memory_order_relaxed);
        std::atomic_signal_fence(std::memory_order_seq_cst);
        std::atomic_ref(slots()[index].key).store(key, std::memory_order_relaxed);
        slots_by_key_[key] = index;
        return true;
    }
    return false;
}

void PersistentCounters::remove_key(std::uint64_t key) {
    const auto found = slots_by_key_.find(key);
    if (found == slots_by_key_.end()) return;
    std::atomic_ref(slots()[found->second].key).store(0, std::memory_order_relaxed);
    slots_by_key_.erase(found);
}

}    // namespace shaletray::usage_log
