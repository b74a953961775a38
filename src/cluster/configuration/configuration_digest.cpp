// What two processes compare to know that they hold the same. Sums of the rows' hashes, so that the order of
// rows does not matter. What enters here is fixed for good (see chart.capnp).
#include <xxhash.h>

#include <bit>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/entry_list_builder.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {
namespace {

class Bytes {
public:
    void text(std::string_view text) {
        number(text.size());
        bytes_ += text;
    }
    void number(std::uint64_t number) {
        char raw[8];
        for (char& c : raw) {
            c = static_cast<char>(number);
            number >>= 8;
        }
        bytes_.append(raw, sizeof raw);
    }
    void whole(std::int64_t number) { this->number(static_cast<std::uint64_t>(number)); }
    void real(double number) { this->number(std::bit_cast<std::uint64_t>(number)); }
    std::uint64_t hash(std::uint64_t kind) {
        const std::uint64_t hash = XXH3_64bits_withSeed(bytes_.data(), bytes_.size(), kind);
        bytes_.clear();
        return hash;
    }

private:
    std::string bytes_;
};

void put(Bytes& out, const Route& route) {
    out.text(route.name);
    out.text(route.hostname);
    out.text(route.path_prefix);
    out.whole(route.kind == RouteKind::Idempotent);
    out.whole(route.is_public);
    out.whole(route.priority);
    out.whole(route.timeout.count());
    out.whole(route.target_latency.count());
    out.whole(route.max_attempts);
    for (const Share& share : route.to) {
        out.text(share.service);
        out.number(share.weight);
    }
}
void put(Bytes& out, const Service& service) {
    out.text(service.name);
    out.text(service.health_check);
    out.whole(service.max_connections);
}
void put(Bytes& out, const Tenant& tenant) {
    out.text(tenant.name);
    out.whole(tenant.priority.has_value());
    out.whole(tenant.priority.value_or(0));
    out.real(tenant.rate_per_s);
    out.real(tenant.burst);
    for (const std::string_view key : tenant.api_keys) out.text(key);
}

template <class Row>
std::uint64_t hash(const Row& row, std::uint64_t kind) {
    // Kept from row to row, so that its memory is.
    thread_local Bytes bytes;
    put(bytes, row);
    return bytes.hash(kind);
}
template <class Row>
std::uint64_t sum(const Rows<Row>& rows) {
    std::uint64_t sum = 0;
    for (const auto& piece : rows.pieces())
        if (piece->summed) sum += piece->sum;
        else
            for (const Row& row : piece->rows) sum += row_hash(row);
    return sum;
}

}    // namespace

std::uint64_t row_hash(const Route& route) { return hash(route, 1); }
std::uint64_t row_hash(const Service& service) { return hash(service, 2); }
std::uint64_t row_hash(const Tenant& tenant) { return hash(tenant, 3); }

std::uint64_t digest_of(const Chart& chart) {
    Bytes bytes;
    for (const std::uint64_t part : {chart.version, sum(chart.routes), sum(chart.services),
                                     chart.tenants ? sum(*chart.tenants) : std::uint64_t{0}})
        bytes.number(part);
    bytes.whole(chart.tenants.has_value());
    bytes.number(chart.limits.max_header_bytes);
    bytes.number(chart.limits.max_body_bytes);
    bytes.whole(chart.limits.header_timeout.count());
    bytes.whole(chart.limits.idle_timeout.count());
    return bytes.hash(0);
}

std::uint64_t key_hash(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

}    // namespace shaletray::configuration
