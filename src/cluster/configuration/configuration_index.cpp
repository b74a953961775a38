#include <algorithm>
#include <utility>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {
namespace {

template <class Visitor>
void for_each_hash(const Route& route, Visitor visit) {
    visit(route_hash(host_without_port(route.hostname), route.path_prefix));
}
template <class Visitor>
void for_each_hash(const Tenant& tenant, Visitor visit) {
    for (const std::string_view key : tenant.api_keys) visit(api_key_hash(key));
}

// Rows by the hashes of what they are known by. The finder's number of a row is its piece's place here and
// its own in the piece, so that the pieces that two charts share keep their numbers.
template <class Entry>
class EntryIndex {
public:
    explicit EntryIndex(const EntryList<Entry>& entries) { build(entries); }
    EntryIndex(const EntryList<Entry>& entries, const EntryIndex& previous,
               const EntryList<Entry>& previous_entries)
        : EntryIndex(previous) {
        if (!update_chunks(previous_entries.chunks(), entries.chunks())) build(entries);
    }

    // `same` tells of a row whether it is the one sought.
    template <class Predicate>
    const Entry* find(std::uint64_t hash, Predicate matches) const {
        const auto entry_at = [&](std::uint32_t entry_number) -> const Entry& {
            return chunks_by_slot_[entry_number / kChunkCapacity]->entries[entry_number % kChunkCapacity];
        };
        const std::uint32_t found = hash_index_.find(
            hash, [&](std::uint32_t entry_number) { return matches(entry_at(entry_number)); });
        return found == HashIndex::kNone ? nullptr : &entry_at(found);
    }

private:
    static constexpr std::uint32_t kChunkCapacity = 128;
    static_assert(kChunkCapacity >= EntryList<Entry>::kMaxChunkSize);
    using Chunk = typename EntryList<Entry>::Chunk;
    using Chunks = typename EntryList<Entry>::Chunks;

    void build(const EntryList<Entry>& entries) {
        std::size_t hash_count = 0;
        for (const Entry& entry : entries) for_each_hash(entry, [&](std::uint64_t) { ++hash_count; });
        hash_index_ = HashIndex(hash_count);
        chunks_by_slot_.clear();
        free_slots_.clear();
        chunk_slots_.clear();
        for (const auto& chunk : entries.chunks()) {
            chunk_slots_.push_back(allocate_slot(chunk.get()));
            for_each_entry_hash(
                *chunk, chunk_slots_.back(),
                [&](std::uint64_t hash, std::uint32_t entry_number) { hash_index_.add(hash, entry_number); });
        }
    }
    // From the pieces that are indexed to others. False where that has to be done from the start.
    bool update_chunks(const Chunks& old_chunks, const Chunks& new_chunks) {
        if (!is_ascending(old_chunks) || !is_ascending(new_chunks)) return false;
        // By their first names: a piece that both have comes in the same order among those of either.
        const auto first_name = [](const Chunks& chunks, std::size_t position) -> const std::string& {
            return chunks[position]->entries.front().name;
        };
        std::vector<std::uint32_t> chunk_slots(new_chunks.size(), HashIndex::kNone);
        for (std::size_t old_index = 0, new_index = 0; old_index < old_chunks.size();) {
            if (new_index < new_chunks.size() && old_chunks[old_index] == new_chunks[new_index]) {
                chunk_slots[new_index++] = chunk_slots_[old_index++];
            } else if (new_index < new_chunks.size() &&
                       first_name(new_chunks, new_index) < first_name(old_chunks, old_index)) {
                ++new_index;
            } else {
                for_each_entry_hash(*old_chunks[old_index], chunk_slots_[old_index],
                                    [&](std::uint64_t hash, std::uint32_t entry_number) {
                                        hash_index_.remove(hash, entry_number);
                                    });
                free_slots_.push_back(chunk_slots_[old_index++]);
            }
        }
        std::size_t hash_count = hash_index_.count();
        const auto for_each_new_chunk = [&](auto visit) {
            for (std::size_t index = 0; index < new_chunks.size(); ++index)
                if (chunk_slots[index] == HashIndex::kNone) visit(index);
        };
        for_each_new_chunk([&](std::size_t index) {
            for_each_entry_hash(*new_chunks[index], 0, [&](std::uint64_t, std::uint32_t) { ++hash_count; });
        });
        if (!hash_index_.fits(hash_count)) return false;
        for_each_new_chunk([&](std::size_t index) {
            chunk_slots[index] = allocate_slot(new_chunks[index].get());
            for_each_entry_hash(
                *new_chunks[index], chunk_slots[index],
                [&](std::uint64_t hash, std::uint32_t entry_number) { hash_index_.add(hash, entry_number); });
        });
        chunk_slots_ = std::move(chunk_slots);
        return true;
    }
    static bool is_ascending(const Chunks& chunks) {
        for (std::size_t i = 1; i < chunks.size(); ++i)
            if (!(chunks[i - 1]->entries.front().name < chunks[i]->entries.front().name)) return false;
        return true;
    }
    std::uint32_t allocate_slot(const Chunk* chunk) {
        if (free_slots_.empty()) {
            chunks_by_slot_.push_back(chunk);
            return static_cast<std::uint32_t>(chunks_by_slot_.size() - 1);
        }
        const std::uint32_t slot = free_slots_.back();
        free_slots_.pop_back();
        chunks_by_slot_[slot] = chunk;
        return slot;
    }
    template <class Visitor>
    static void for_each_entry_hash(const Chunk& chunk, std::uint32_t slot, Visitor visit) {
        for (std::uint32_t index = 0; index < chunk.entries.size(); ++index)
            for_each_hash(chunk.entries[index],
                          [&](std::uint64_t hash) { visit(hash, slot * kChunkCapacity + index); });
    }

    HashIndex hash_index_{0};
    std::vector<const Chunk*> chunks_by_slot_;
    std::vector<std::uint32_t> free_slots_;
    std::vector<std::uint32_t> chunk_slots_;    // the places of the chart's pieces, in their order
};

const EntryList<Tenant>& tenants_or_empty(const Configuration& config) {
    static const EntryList<Tenant> no_tenants;
    return config.tenants ? *config.tenants : no_tenants;
}

}    // namespace

struct ConfigurationIndex::Indexes {
    EntryIndex<Route> routes;
    EntryIndex<Tenant> tenants_by_key;
    std::size_t max_prefix_length = 0;        // prefix
    bool has_prefix_without_slash = false;    // some prefix ends without one

    explicit Indexes(const Configuration& config)
        : routes(config.routes), tenants_by_key(tenants_or_empty(config)) {
        measure_prefixes(config);
    }
    Indexes(const Configuration& config, const Indexes& previous, const Configuration& previous_config)
        : routes(config.routes, previous.routes, previous_config.routes),
          tenants_by_key(tenants_or_empty(config), previous.tenants_by_key,
                         tenants_or_empty(previous_config)) {
        measure_prefixes(config);
    }
    void measure_prefixes(const Configuration& config) {
        for (const Route& route : config.routes) {
            max_prefix_length = std::max(max_prefix_length, route.path_prefix.size());
            if (!route.path_prefix.ends_with('/')) has_prefix_without_slash = true;
        }
    }
};

ConfigurationIndex::ConfigurationIndex(Configuration new_config)
    : config_(std::move(new_config)), indexes_(std::make_shared<Indexes>(config_)) {}
ConfigurationIndex::ConfigurationIndex(Configuration new_config, const ConfigurationIndex& previous)
    : config_(std::move(new_config)),
      indexes_(std::make_shared<Indexes>(config_, *previous.indexes_, previous.config_)) {}

const Route* ConfigurationIndex::find_route(std::string_view host, std::string_view path) const {
    host = host_without_port(host);
    path = path.substr(0, path.find('?'));
    const Route* best = nullptr;
    RunningHash hash = begin_route_hash(host);
    const auto try_prefix = [&](std::size_t length) {
        const Route* const found = indexes_->routes.find(hash.value(), [&](const Route& route) {
            return route.path_prefix == path.substr(0, length) &&
                   hosts_equal(host_without_port(route.hostname), host);
        });
        if (found != nullptr) best = found;
    };
    // A prefix ends with a slash, or before one, or with the path.
    for (std::size_t position = 0; position <= std::min(path.size(), indexes_->max_prefix_length);
         ++position) {
        const bool at_end = position == path.size();
        if (indexes_->has_prefix_without_slash && position > 0 && (at_end || path[position] == '/'))
            try_prefix(position);
        if (at_end) break;
        hash.append(path[position]);
        if (path[position] == '/') try_prefix(position + 1);
    }
    return best;
}

const Tenant* ConfigurationIndex::find_tenant(std::string_view key) const {
    return indexes_->tenants_by_key.find(api_key_hash(key), [&](const Tenant& tenant) {
        return std::find(tenant.api_keys.begin(), tenant.api_keys.end(), key) != tenant.api_keys.end();
    });
}

const std::string& ConfigurationIndex::pick_service(const Route& route, std::uint64_t random_value) {
    std::uint64_t total_weight = 0;
    for (const WeightedService& target : route.targets) total_weight += target.weight;
    // The draw as a part of the whole, by the upper half of their product.
    const std::uint64_t high = (random_value >> 32) * total_weight,
                        low = (random_value & 0xffffffff) * total_weight;
    std::uint64_t remaining = (high + (low >> 32)) >> 32;
    for (const WeightedService& target : route.targets) {
        if (remaining < target.weight) return target.service;
        remaining -= target.weight;
    }
    return route.targets.back().service;    // not reached: the part is below the whole
}

}    // namespace shaletray::configuration
