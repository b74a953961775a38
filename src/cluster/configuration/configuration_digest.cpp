// The digest sums the hashes of entries, so that their order does not matter. Processes of different versions
// compare digests: the fields that enter them, and their encoding, must never change (see
// configuration.capnp).
#include "cluster/configuration/configuration_digest.h"

#include <xxhash.h>

#include <bit>

namespace shaletray::configuration {
namespace {

// Hash seeds, so that entries of different types with equal fields have different hashes.
enum class HashSeed : std::uint64_t { Configuration = 0, Route = 1, Service = 2, Tenant = 3 };

// Appends the encoding of fields to a buffer and hashes the buffer.
class FieldHasher {
public:
    void add_text(std::string_view text) {
        add_uint64(text.size());
        bytes_ += text;
    }
    void add_uint64(std::uint64_t number) {
        char encoded[8];
        for (char& byte : encoded) {
            byte = static_cast<char>(number);
            number >>= 8;
        }
        bytes_.append(encoded, sizeof encoded);
    }
    void add_int64(std::int64_t number) { add_uint64(static_cast<std::uint64_t>(number)); }
    void add_double(double number) { add_uint64(std::bit_cast<std::uint64_t>(number)); }
    // Returns the hash of the added fields and clears the buffer.
    std::uint64_t finish(HashSeed seed) {
        const std::uint64_t hash =
            XXH3_64bits_withSeed(bytes_.data(), bytes_.size(), static_cast<std::uint64_t>(seed));
        bytes_.clear();
        return hash;
    }

private:
    std::string bytes_;
};

void add_fields(FieldHasher& hasher, const Route& route) {
    hasher.add_text(route.name);
    hasher.add_text(route.hostname);
    hasher.add_text(route.path_prefix);
    hasher.add_int64(route.kind == RouteKind::Idempotent);
    hasher.add_int64(route.is_public);
    hasher.add_int64(route.priority);
    hasher.add_int64(route.timeout.count());
    hasher.add_int64(route.target_latency.count());
    hasher.add_int64(route.max_attempts);
    for (const WeightedService& target : route.targets) {
        hasher.add_text(target.service);
        hasher.add_uint64(target.weight);
    }
}
void add_fields(FieldHasher& hasher, const Service& service) {
    hasher.add_text(service.name);
    hasher.add_text(service.health_check);
    hasher.add_int64(service.max_connections);
}
void add_fields(FieldHasher& hasher, const Tenant& tenant) {
    hasher.add_text(tenant.name);
    hasher.add_int64(tenant.priority.has_value());
    hasher.add_int64(tenant.priority.value_or(0));
    hasher.add_double(tenant.rate_per_s);
    hasher.add_double(tenant.burst);
    for (const std::string_view key : tenant.api_keys) hasher.add_text(key);
}

template <class Entry>
std::uint64_t compute_hash(const Entry& entry, HashSeed seed) {
    // Reused for all entries, so that its buffer is allocated once.
    thread_local FieldHasher hasher;
    add_fields(hasher, entry);
    return hasher.finish(seed);
}
template <class Entry>
std::uint64_t sum_hashes(const EntryList<Entry>& entries) {
    std::uint64_t total = 0;
    for (const auto& chunk : entries.chunks()) {
        if (chunk->has_hash_sum) {
            total += chunk->hash_sum;
        } else {
            for (const Entry& entry : chunk->entries) total += entry_hash(entry);
        }
    }
    return total;
}

}    // namespace

std::uint64_t entry_hash(const Route& route) { return compute_hash(route, HashSeed::Route); }
std::uint64_t entry_hash(const Service& service) { return compute_hash(service, HashSeed::Service); }
std::uint64_t entry_hash(const Tenant& tenant) { return compute_hash(tenant, HashSeed::Tenant); }

std::uint64_t digest_of(const Configuration& config) {
    FieldHasher hasher;
    for (const std::uint64_t value : {config.version, sum_hashes(config.routes), sum_hashes(config.services),
                                      config.tenants ? sum_hashes(*config.tenants) : std::uint64_t{0}})
        hasher.add_uint64(value);
    hasher.add_int64(config.tenants.has_value());
    hasher.add_uint64(config.limits.max_header_bytes);
    hasher.add_uint64(config.limits.max_body_bytes);
    hasher.add_int64(config.limits.header_timeout.count());
    hasher.add_int64(config.limits.idle_timeout.count());
    return hasher.finish(HashSeed::Configuration);
}

}    // namespace shaletray::configuration
