// A parallel discrete event simulation kernel. Entities exchange messages in virtual time on several threads;
// the result does not depend on the number of threads. Synchronization is conservative: no message reaches
// another entity sooner than the lookahead, so entities cannot influence each other within a window of that
// length (Nicol, "The cost of conservative synchronization in parallel discrete event simulations", JACM
// 1993). Each entity handles its events in the order (time, sender, number).
#pragma once

#include <algorithm>
#include <atomic>
#include <barrier>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

#include "decision/control.h"

namespace shaletray::testbed {

using decision::Duration;
using decision::TimePoint;
using EntityId = std::uint32_t;

// Mixes two numbers (SplitMix64), for digests and for the seeds of separate random generators, so that the
// draws of one entity do not affect another.
inline std::uint64_t mix_hash(std::uint64_t seed, std::uint64_t value) {
    std::uint64_t z = seed + 0x9e3779b97f4a7c15ULL * (value + 1);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

template <class Message>
class Kernel {
public:
    // The operations available to an entity while it handles an event.
    class Context {
    public:
        TimePoint current_time() const { return current_time_; }
        EntityId own_id() const { return own_id_; }
        EntityId sender_id() const { return sender_id_; }    // of the event
        // Sends to another entity. Throws std::logic_error if the delay is shorter than the lookahead, as the
        // order of events would then depend on the threads.
        void send_message(EntityId to, Duration delay, Message message) {
            if (to != own_id_ && delay < kernel_.lookahead_)
                throw std::logic_error("the delay of a message is shorter than the lookahead");
            kernel_.post_event(shard_, {current_time_ + delay, own_id_, kernel_.event_numbers_[own_id_]++, to,
                                        std::move(message)});
        }
        // Schedules a message to the entity itself; a time in the past means now.
        void schedule_self(TimePoint at, Message message) {
            kernel_.post_event(shard_, {std::max(at, current_time_), own_id_,
                                        kernel_.event_numbers_[own_id_]++, own_id_, std::move(message)});
        }

    private:
        friend class Kernel;
        Context(Kernel& kernel, std::size_t shard) : kernel_(kernel), shard_(shard) {}
        Kernel& kernel_;
        std::size_t shard_;
        TimePoint current_time_{};
        EntityId own_id_ = 0, sender_id_ = 0;
    };
    class Entity {
    public:
        virtual ~Entity() = default;
        virtual void handle_message(Message&& message, Context& context) = 0;
    };

    Kernel(Duration lookahead, std::size_t threads)
        : lookahead_(lookahead), shards_(std::max<std::size_t>(1, threads)) {
        if (lookahead <= Duration(0)) throw std::invalid_argument("the lookahead must be above 0");
        for (Shard& s : shards_) s.outgoing_events.resize(shards_.size());
    }

    EntityId add_entity(std::unique_ptr<Entity> entity) {
        entities_.push_back(std::move(entity));
        event_numbers_.push_back(0);
        return static_cast<EntityId>(entities_.size() - 1);
    }
    Entity& entity_at(EntityId id) { return *entities_[id]; }
    std::size_t entity_count() const { return entities_.size(); }
    // Schedules a message to an entity before the run.
    void schedule_message(EntityId to, TimePoint at, Message message) {
        push_event(shards_[shard_index_of(to)], {at, to, event_numbers_[to]++, to, std::move(message)});
    }

    // Handles all events before `end`. Rethrows the first exception of a handler.
    void run_until(TimePoint end) {
        if (shards_.size() == 1) return run_single_threaded(end);
        std::exception_ptr error;
        std::atomic<bool> failed{false};
        TimePoint window = earliest_event();
        bool stop = false;
        const auto complete = [&]() noexcept {
            for (Shard& to : shards_) {
                for (Shard& from : shards_) {
                    auto& events = from.outgoing_events[static_cast<std::size_t>(&to - shards_.data())];
                    for (Event& event : events) push_event(to, std::move(event));
                    events.clear();
                }
            }
            window = earliest_event();
            stop = failed;    // all threads stop after the same window
        };
        std::barrier barrier(static_cast<std::ptrdiff_t>(shards_.size()), complete);
        std::vector<std::thread> threads;
        for (std::size_t s = 0; s < shards_.size(); ++s) {
            threads.emplace_back([&, s] {
                while (window < end && !stop) {
                    try {
                        process_window(s, std::min(end, window + lookahead_));
                    } catch (...) {
                        if (!failed.exchange(true)) error = std::current_exception();
                    }
                    barrier.arrive_and_wait();
                }
            });
        }
        for (std::thread& t : threads) t.join();
        if (error) std::rethrow_exception(error);
    }
    std::uint64_t event_count() const {
        std::uint64_t all = 0;
        for (const Shard& s : shards_) all += s.event_count;
        return all;
    }

private:
    struct Event {
        TimePoint due_at;
        EntityId sender;
        std::uint64_t number;
        EntityId recipient;
        Message message;
    };
    // An entry of the event heap. Messages stay in their slots, as moving them through the heap would cost
    // more than all other work of the kernel.
    struct Key {
        TimePoint due_at;
        std::uint64_t number;
        EntityId sender, recipient;
        std::uint32_t slot;
        bool operator<(const Key& other) const {    // the earliest event is on top
            if (due_at != other.due_at) return due_at > other.due_at;
            if (sender != other.sender) return sender > other.sender;
            return number > other.number;
        }
    };
    struct alignas(64) Shard {
        std::vector<Key> event_heap;
        std::vector<Message> messages;    // by slot
        std::vector<std::uint32_t> free_slots;
        std::vector<std::vector<Event>> outgoing_events;    // by shard
        std::uint64_t event_count = 0;
    };

    std::size_t shard_index_of(EntityId id) const { return id % shards_.size(); }
    static void push_event(Shard& shard, Event&& event) {
        std::uint32_t slot = 0;
        if (shard.free_slots.empty()) {
            slot = static_cast<std::uint32_t>(shard.messages.size());
            shard.messages.push_back(std::move(event.message));
        } else {
            slot = shard.free_slots.back();
            shard.free_slots.pop_back();
            shard.messages[slot] = std::move(event.message);
        }
        shard.event_heap.push_back({event.due_at, event.number, event.sender, event.recipient, slot});
        std::push_heap(shard.event_heap.begin(), shard.event_heap.end());
    }
    void post_event(std::size_t from, Event&& event) {
        const std::size_t to = shard_index_of(event.recipient);
        if (to == from) push_event(shards_[to], std::move(event));
        else shards_[from].outgoing_events[to].push_back(std::move(event));
    }
    TimePoint earliest_event() const {
        TimePoint first = TimePoint::max() - lookahead_;
        for (const Shard& s : shards_)
            if (!s.event_heap.empty()) first = std::min(first, s.event_heap.front().due_at);
        return first;
    }
    void process_window(std::size_t s, TimePoint until) {
        Shard& shard = shards_[s];
        Context context(*this, s);
        while (!shard.event_heap.empty() && shard.event_heap.front().due_at < until) {
            std::pop_heap(shard.event_heap.begin(), shard.event_heap.end());
            const Key event = shard.event_heap.back();
            shard.event_heap.pop_back();
            Message message = std::move(shard.messages[event.slot]);
            shard.free_slots.push_back(event.slot);
            ++shard.event_count;
            context.current_time_ = event.due_at;
            context.own_id_ = event.recipient;
            context.sender_id_ = event.sender;
            entities_[event.recipient]->handle_message(std::move(message), context);
        }
    }
    void run_single_threaded(TimePoint end) { process_window(0, end); }

    Duration lookahead_;
    std::vector<Shard> shards_;
    std::vector<std::unique_ptr<Entity>> entities_;
    std::vector<std::uint64_t>
        event_numbers_;    // next event number of each sender; accessed by the sender's shard only
};

}    // namespace shaletray::testbed
