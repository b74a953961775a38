// The table of existing buckets, by tenant. Pure.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/quota/tenant_bucket.h"

namespace shaletray::quota {

// A bucket's index is stable until the bucket is erased; references are valid until the next insert(). Not
// thread-safe.
class BucketTable {
public:
    using Index = std::uint32_t;

    TenantBucket& operator[](Index index) { return buckets_[index]; }
    const TenantBucket& operator[](Index index) const { return buckets_[index]; }
    std::optional<Index> index_of(std::uint64_t tenant) const;
    Index index_of(const TenantBucket& bucket) const { return static_cast<Index>(&bucket - buckets_.data()); }
    // Returns null where the tenant has no bucket.
    TenantBucket* find(std::uint64_t tenant);
    // Inserts an empty bucket. The tenant must not have one.
    TenantBucket& insert(std::uint64_t tenant);
    void erase(Index index);
    std::size_t size() const { return index_by_tenant_.size(); }
    // Calls action(index, bucket) for each bucket. The action must not insert or erase any.
    template <class Action>
    void for_each(Action action) {
        for (const auto& [tenant, index] : index_by_tenant_) action(index, buckets_[index]);
    }
    template <class Action>
    void for_each(Action action) const {
        for (const auto& [tenant, index] : index_by_tenant_) action(index, buckets_[index]);
    }

private:
    std::vector<TenantBucket> buckets_;
    std::vector<Index> free_indices_;
    boost::unordered_flat_map<std::uint64_t, Index> index_by_tenant_;
};

}    // namespace shaletray::quota
