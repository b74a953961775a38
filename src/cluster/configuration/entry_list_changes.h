// Finds the changes between two entry lists that are sorted by name, and applies such changes to a list.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/runtime/capnp_codec.h"
#include "cluster/configuration/configuration_error.h"
#include "cluster/configuration/entry_codec.h"
#include "cluster/configuration/entry_list_builder.h"

namespace shaletray::configuration {

// The difference between two lists. Points into both lists, which must outlive it.
template <class Entry>
struct EntryListChanges {
    std::vector<const Entry*> changed;    // added or modified entries, in the new list
    std::vector<const Entry*> removed;    // entries of the old list that the new one lacks
};

template <class Entry>
EntryListChanges<Entry> find_changes(const EntryList<Entry>& from, const EntryList<Entry>& to) {
    EntryListChanges<Entry> changes;
    auto previous = from.begin();
    for (const Entry& entry : to) {
        for (; previous != from.end() && previous->name < entry.name; ++previous)
            changes.removed.push_back(&*previous);
        const bool existed = previous != from.end() && previous->name == entry.name;
        // Entries at the same address are in a shared chunk and need no comparison.
        if (!existed || (&*previous != &entry && *previous != entry)) changes.changed.push_back(&entry);
        if (existed) ++previous;
    }
    for (; previous != from.end(); ++previous) changes.removed.push_back(&*previous);
    return changes;
}

// Applies the changes of an update to a list. `WireEntries` is the message's list of added and modified
// entries.
template <class Entry, class WireEntries>
class EntryListMerger {
public:
    using WireNames = capnp::List<capnp::Text>::Reader;

    EntryListMerger(WireEntries changed, WireNames removed) : changed_(changed), removed_(removed) {}

    // Returns the updated list, which shares unchanged chunks with `current`. To be called once. Errors:
    // ConfigurationError. Throws kj::Exception where the message is malformed.
    boost::leaf::result<EntryList<Entry>> merge(const EntryList<Entry>& current) {
        read_next_changed();
        const auto& chunks = current.chunks();
        for (std::size_t i = 0; i < chunks.size(); ++i) {
            const bool is_last = i + 1 == chunks.size();
            const std::string* const next_name = is_last ? nullptr : &chunks[i + 1]->entries.front().name;
            if (has_changes_before(next_name)) merge_chunk(*chunks[i], next_name);
            else builder_.add(chunks[i]);
        }
        add_changed_before(nullptr);
        if (removed_count_ != removed_.size())
            return boost::leaf::new_error(ConfigurationError{"update", "removes an unknown entry"});
        return builder_.build();
    }

private:
    using Chunk = typename EntryList<Entry>::Chunk;

    // Whether `name` sorts before the first entry of the next chunk, which is `next_name`. Always true where
    // there is no next chunk.
    static bool is_before(std::string_view name, const std::string* next_name) {
        return next_name == nullptr || name < *next_name;
    }
    bool has_changes_before(const std::string* next_name) const {
        const bool has_removal = removed_count_ < removed_.size() && is_before(removed_name(), next_name);
        return has_removal || (next_changed_ && is_before(next_changed_->name, next_name));
    }
    std::string_view removed_name() const { return runtime::text_of(removed_[removed_count_]); }

    void merge_chunk(const Chunk& chunk, const std::string* next_name) {
        for (const Entry& entry : chunk.entries) {
            add_changed_before(&entry.name);
            if (next_changed_ && next_changed_->name == entry.name) {
                add_next_changed();
            } else if (removed_count_ < removed_.size() && removed_name() == entry.name) {
                ++removed_count_;
            } else {
                builder_.add(entry);
            }
        }
        add_changed_before(next_name);
    }
    void add_changed_before(const std::string* next_name) {
        while (next_changed_ && is_before(next_changed_->name, next_name)) add_next_changed();
    }
    void add_next_changed() {
        builder_.add(std::move(*next_changed_));
        read_next_changed();
    }
    void read_next_changed() {
        next_changed_.reset();
        if (changed_count_ < changed_.size()) next_changed_ = decode(changed_[changed_count_++]);
    }

    WireEntries changed_;
    WireNames removed_;
    unsigned changed_count_ = 0, removed_count_ = 0;    // elements read of each list
    std::optional<Entry> next_changed_;
    EntryListBuilder<Entry> builder_;
};

}    // namespace shaletray::configuration
