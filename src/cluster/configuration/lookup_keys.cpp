#include "cluster/configuration/lookup_keys.h"

#include <xxhash.h>

namespace shaletray::configuration {

std::uint64_t api_key_hash(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

}    // namespace shaletray::configuration
