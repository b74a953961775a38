#include "balancer/usage_log/persistent_counters.h"

#include <fcntl.h>

#include <atomic>
#include <stdexcept>

namespace shaletray::usage_log {
namespace {

constexpr std::uint64_t kMagic = 0x31796c6c61747274;    // "trtally1"

}    // namespace

Tallies::Tallies(std::string path, Files& files) {
    const bool is_new = !files.exists(path);
    file_ = files.open(path, O_RDWR | O_CREAT);
    if (!files.lock(*file_)) throw std::runtime_error(path + ": another process has it open");
    const std::size_t size = (kSlots + 1) * sizeof(Slot);
    files.reserve(*file_, size);
    map_ = files.map(*file_, size, true);
    Slot* const head = reinterpret_cast<Slot*>(map_->data());
    // A kill may have come between its making and its head: then nothing is in it.
    if (is_new || head->key == 0) head->key = kMagic;
    if (head->key != kMagic) throw std::runtime_error(path + " holds something else");
    for (std::size_t i = 0; i < kSlots; ++i) {
        if (slots()[i].key == 0) continue;
        read_[slots()[i].key] = slots()[i].value;
        at_[slots()[i].key] = i;
    }
}

Tallies::Slot* Tallies::slots() const { return reinterpret_cast<Slot*>(map_->data()) + 1; }

bool Tallies::put(std::uint64_t key, std::int64_t value) {
    if (const auto it = at_.find(key); it != at_.end()) {
        // One store each: a kill leaves the old figure or the new one.
        std::atomic_ref(slots()[it->second].value).store(value, std::memory_order_relaxed);
        return true;
    }
    for (std::size_t i = 0; i < kSlots; ++i) {
        if (slots()[i].key != 0) continue;
        std::atomic_ref(slots()[i].value).store(value, std::memory_order_relaxed);
        std::atomic_signal_fence(std::memory_order_seq_cst);
        std::atomic_ref(slots()[i].key).store(key, std::memory_order_relaxed);
        at_[key] = i;
        return true;
    }
    return false;
}

void Tallies::drop(std::uint64_t key) {
    const auto it = at_.find(key);
    if (it == at_.end()) return;
    std::atomic_ref(slots()[it->second].key).store(0, std::memory_order_relaxed);
    at_.erase(it);
}

}    // namespace shaletray::usage_log
