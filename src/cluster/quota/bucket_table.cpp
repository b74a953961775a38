#include "cluster/quota/bucket_table.h"

namespace shaletray::quota {

std::optional<BucketTable::Index> BucketTable::index_of(std::uint64_t tenant) const {
    const auto found = index_by_tenant_.find(tenant);
    if (found == index_by_tenant_.end()) return std::nullopt;
    return found->second;
}

TenantBucket* BucketTable::find(std::uint64_t tenant) {
    const std::optional<Index> index = index_of(tenant);
    return index ? &buckets_[*index] : nullptr;
}

TenantBucket& BucketTable::insert(std::uint64_t tenant) {
    auto index = static_cast<Index>(buckets_.size());
    if (free_indices_.empty()) {
        buckets_.emplace_back();
    } else {
        index = free_indices_.back();
        free_indices_.pop_back();
    }
    index_by_tenant_[tenant] = index;
    TenantBucket& bucket = buckets_[index];
    bucket = TenantBucket{};
    bucket.id = tenant;
    return bucket;
}

void BucketTable::erase(Index index) {
    index_by_tenant_.erase(buckets_[index].id);
    buckets_[index] = TenantBucket{};
    free_indices_.push_back(index);
}

}    // namespace shaletray::quota
