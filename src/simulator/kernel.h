// Events in virtual time over many entities and several threads, with a result that does not depend on how
// many. Conservative windows: nothing that one entity sends reaches another sooner than the lookahead, so
// within a window of that length entities cannot influence each other (Nicol, "The cost of conservative
// synchronization in parallel discrete event simulations", JACM 1993). Each entity takes its events in the
// order (time, sender, number).
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

// A generator of its own for each entity: what one draws changes nothing for another.
inline std::uint64_t mix(std::uint64_t seed, std::uint64_t what) {
    std::uint64_t z = seed + 0x9e3779b97f4a7c15ULL * (what + 1);    // SplitMix64
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

template <class Message>
class Kernel {
public:
    // What an entity may do while it handles an event.
    class Context {
    public:
        TimePoint now() const { return now_; }
        EntityId self() const { return self_; }
        EntityId from() const { return from_; }    // who sent the event
        // To another entity, after the lookahead or more. Throws std::logic_error where it is sooner: the
        // order of events would depend on threads.
        void send(EntityId to, Duration delay, Message message) {
            if (to != self_ && delay < kernel_.lookahead_)
                throw std::logic_error("sooner than the lookahead");
            kernel_.post(shard_, {now_ + delay, self_, kernel_.numbers_[self_]++, to, std::move(message)});
        }
        // To itself, at any time from now on.
        void wake(TimePoint at, Message message) {
            kernel_.post(shard_,
                         {std::max(at, now_), self_, kernel_.numbers_[self_]++, self_, std::move(message)});
        }

    private:
        friend class Kernel;
        Context(Kernel& kernel, std::size_t shard) : kernel_(kernel), shard_(shard) {}
        Kernel& kernel_;
        std::size_t shard_;
        TimePoint now_{};
        EntityId self_ = 0, from_ = 0;
    };
    class Entity {
    public:
        virtual ~Entity() = default;
        virtual void handle(Message&& message, Context& context) = 0;
    };

    Kernel(Duration lookahead, std::size_t threads)
        : lookahead_(lookahead), shards_(std::max<std::size_t>(1, threads)) {
        if (lookahead <= Duration(0)) throw std::invalid_argument("the lookahead must be above 0");
        for (Shard& s : shards_) s.out.resize(shards_.size());
    }

    EntityId add(std::unique_ptr<Entity> entity) {
        entities_.push_back(std::move(entity));
        numbers_.push_back(0);
        return static_cast<EntityId>(entities_.size() - 1);
    }
    Entity& at(EntityId id) { return *entities_[id]; }
    std::size_t size() const { return entities_.size(); }
    // Before the run: something that happens to an entity.
    void schedule(EntityId to, TimePoint at, Message message) {
        push(shards_[shard_of(to)], {at, to, numbers_[to]++, to, std::move(message)});
    }

    // All events before `end`. Errors of a handler come out here.
    void run(TimePoint end) {
        if (shards_.size() == 1) return run_alone(end);
        std::exception_ptr error;
        std::atomic<bool> failed{false};
        TimePoint window = earliest();
        bool stop = false;
        const auto complete = [&]() noexcept {
            for (Shard& to : shards_) {
                for (Shard& from : shards_) {
                    auto& box = from.out[static_cast<std::size_t>(&to - shards_.data())];
                    for (Event& event : box) push(to, std::move(event));
                    box.clear();
                }
            }
            window = earliest();
            stop = failed;    // all leave at the same window
        };
        std::barrier barrier(static_cast<std::ptrdiff_t>(shards_.size()), complete);
        std::vector<std::thread> threads;
        for (std::size_t s = 0; s < shards_.size(); ++s) {
            threads.emplace_back([&, s] {
                while (window < end && !stop) {
                    try {
                        work(s, std::min(end, window + lookahead_));
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
    std::uint64_t events() const {
        std::uint64_t all = 0;
        for (const Shard& s : shards_) all += s.events;
        return all;
    }

private:
    struct Event {
        TimePoint at;
        EntityId from;
        std::uint64_t number;
        EntityId to;
        Message message;
    };
    // What is ordered. The messages themselves stay where they are: moving them through the heap costs more
    // than all the rest of it.
    struct Key {
        TimePoint at;
        std::uint64_t number;
        EntityId from, to;
        std::uint32_t slot;
        bool operator<(const Key& other) const {    // the earliest on top
            if (at != other.at) return at > other.at;
            if (from != other.from) return from > other.from;
            return number > other.number;
        }
    };
    struct alignas(64) Shard {
        std::vector<Key> heap;
        std::vector<Message> messages;    // by slot
        std::vector<std::uint32_t> free;
        std::vector<std::vector<Event>> out;    // by shard
        std::uint64_t events = 0;
    };

    std::size_t shard_of(EntityId id) const { return id % shards_.size(); }
    static void push(Shard& shard, Event&& event) {
        std::uint32_t slot = 0;
        if (shard.free.empty()) {
            slot = static_cast<std::uint32_t>(shard.messages.size());
            shard.messages.push_back(std::move(event.message));
        } else {
            slot = shard.free.back();
            shard.free.pop_back();
            shard.messages[slot] = std::move(event.message);
        }
        shard.heap.push_back({event.at, event.number, event.from, event.to, slot});
        std::push_heap(shard.heap.begin(), shard.heap.end());
    }
    void post(std::size_t from, Event&& event) {
        const std::size_t to = shard_of(event.to);
        if (to == from) push(shards_[to], std::move(event));
        else shards_[from].out[to].push_back(std::move(event));
    }
    TimePoint earliest() const {
        TimePoint first = TimePoint::max() - lookahead_;
        for (const Shard& s : shards_)
            if (!s.heap.empty()) first = std::min(first, s.heap.front().at);
        return first;
    }
    void work(std::size_t s, TimePoint until) {
        Shard& shard = shards_[s];
        Context context(*this, s);
        while (!shard.heap.empty() && shard.heap.front().at < until) {
            std::pop_heap(shard.heap.begin(), shard.heap.end());
            const Key event = shard.heap.back();
            shard.heap.pop_back();
            Message message = std::move(shard.messages[event.slot]);
            shard.free.push_back(event.slot);
            ++shard.events;
            context.now_ = event.at;
            context.self_ = event.to;
            context.from_ = event.from;
            entities_[event.to]->handle(std::move(message), context);
        }
    }
    void run_alone(TimePoint end) { work(0, end); }

    Duration lookahead_;
    std::vector<Shard> shards_;
    std::vector<std::unique_ptr<Entity>> entities_;
    std::vector<std::uint64_t> numbers_;    // of events that an entity sent; touched by its own shard only
};

}    // namespace shaletray::testbed
