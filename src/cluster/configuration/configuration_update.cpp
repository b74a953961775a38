#include "cluster/configuration/configuration_update.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "base/runtime/capnp_codec.h"
#include "cluster/configuration/configuration.capnp.h"
#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/entry_codec.h"
#include "cluster/configuration/entry_list_builder.h"
#include "cluster/configuration/entry_list_changes.h"

namespace shaletray::configuration {

namespace leaf = boost::leaf;

namespace {

// Limit of an unpacked message: 128 MiB. The largest allowed text (64 MiB) encodes to well below that.
constexpr std::uint64_t kMaxMessageWords = 16 * 1024 * 1024;
// Cap'n Proto's default; the structs and lists of an update nest five levels deep.
constexpr int kMaxMessageDepth = 64;

Configuration sorted_by_name(Configuration config) {
    config.routes = sorted_by_name(config.routes);
    config.services = sorted_by_name(config.services);
    if (config.tenants) config.tenants = sorted_by_name(*config.tenants);
    return config;
}

// ---- encoding ----

template <class Container>
unsigned list_size(const Container& entries) {
    return static_cast<unsigned>(entries.size());
}

template <class Entry, class WireEntries>
void encode_entries(const EntryList<Entry>& entries, WireEntries list) {
    unsigned i = 0;
    for (const Entry& entry : entries) encode(entry, list[i++]);
}

template <class Entry, class WireEntries>
void encode_entries(const std::vector<const Entry*>& entries, WireEntries list) {
    for (unsigned i = 0; i < list.size(); ++i) encode(*entries[i], list[i]);
}

template <class Entry>
void encode_names(const std::vector<const Entry*>& entries, capnp::List<capnp::Text>::Builder list) {
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, runtime::text_reader_of(entries[i]->name));
}

// ---- decoding ----

template <class Entry, class WireEntries>
leaf::result<EntryList<Entry>> merge_entries(const EntryList<Entry>& current, WireEntries changed,
                                             capnp::List<capnp::Text>::Reader removed,
                                             std::size_t max_entries) {
    // Lists of empty elements occupy no bytes, so that a short message could claim any list length.
    if (changed.size() > max_entries || removed.size() > max_entries)
        return leaf::new_error(ConfigurationError{"update", "claims more entries than its bytes can hold"});
    return EntryListMerger<Entry, WireEntries>(changed, removed).merge(current);
}

leaf::result<Configuration> apply_message(const Configuration& current, wire::Update::Reader update,
                                          std::size_t max_entries) {
    const bool is_delta = update.getIsDelta();
    if (is_delta && update.getBaseDigest() != digest_of(current))
        return leaf::new_error(ConfigurationError{"base", "does not match the current configuration"});
    const Configuration base = is_delta ? sorted_by_name(current) : Configuration{};
    Configuration config;
    config.version = update.getVersion();
    config.limits = decode(update.getLimits());
    BOOST_LEAF_ASSIGN(config.routes,
                      merge_entries(base.routes, update.getRoutes(), update.getRemovedRoutes(), max_entries));
    BOOST_LEAF_ASSIGN(config.services, merge_entries(base.services, update.getServices(),
                                                     update.getRemovedServices(), max_entries));
    if (update.getHasTenants()) {
        BOOST_LEAF_ASSIGN(config.tenants, merge_entries(tenants_or_empty(base), update.getTenants(),
                                                        update.getRemovedTenants(), max_entries));
    }
    if (update.getDigest() != digest_of(config))
        return leaf::new_error(ConfigurationError{"digest", "does not match the resulting configuration"});
    return config;
}

leaf::result<Configuration> decode_update(const Configuration& current, std::string_view bytes) {
    BOOST_LEAF_AUTO(word_count, runtime::unpacked_word_count(bytes));
    if (word_count > kMaxMessageWords)
        return leaf::new_error(ConfigurationError{"update", "exceeds the maximum message size"});
    // Each word is read once; the factor of two allows for the way Cap'n Proto counts reads.
    const runtime::ReadLimits limits{.max_words = 2 * word_count, .max_depth = kMaxMessageDepth};
    return runtime::unpack<wire::Update>(bytes, limits, [&](wire::Update::Reader update) {
        return apply_message(current, update, bytes.size());
    });
}

}    // namespace

std::string write_full(const Configuration& config) {
    capnp::MallocMessageBuilder message;
    wire::Update::Builder update = message.initRoot<wire::Update>();
    update.setDigest(digest_of(config));
    update.setVersion(config.version);
    encode(config.limits, update.initLimits());
    encode_entries(config.routes, update.initRoutes(list_size(config.routes)));
    encode_entries(config.services, update.initServices(list_size(config.services)));
    update.setHasTenants(config.tenants.has_value());
    if (config.tenants) encode_entries(*config.tenants, update.initTenants(list_size(*config.tenants)));
    return runtime::pack(message);
}

std::string write_delta(const Configuration& from, const Configuration& to) {
    capnp::MallocMessageBuilder message;
    wire::Update::Builder update = message.initRoot<wire::Update>();
    update.setIsDelta(true);
    update.setBaseDigest(digest_of(from));
    update.setDigest(digest_of(to));
    update.setVersion(to.version);
    encode(to.limits, update.initLimits());
    // The changes point into these copies, which share the chunks of the originals where those are sorted.
    const Configuration before = sorted_by_name(from), after = sorted_by_name(to);
    const auto routes = find_changes(before.routes, after.routes);
    encode_entries(routes.changed, update.initRoutes(list_size(routes.changed)));
    encode_names(routes.removed, update.initRemovedRoutes(list_size(routes.removed)));
    const auto services = find_changes(before.services, after.services);
    encode_entries(services.changed, update.initServices(list_size(services.changed)));
    encode_names(services.removed, update.initRemovedServices(list_size(services.removed)));
    update.setHasTenants(after.tenants.has_value());
    if (after.tenants) {
        const auto tenants = find_changes(tenants_or_empty(before), *after.tenants);
        encode_entries(tenants.changed, update.initTenants(list_size(tenants.changed)));
        encode_names(tenants.removed, update.initRemovedTenants(list_size(tenants.removed)));
    }
    return runtime::pack(message);
}

leaf::result<Configuration> apply_update(const Configuration& current, std::string_view bytes) {
    return leaf::try_handle_some(
        [&] { return decode_update(current, bytes); },
        [](const runtime::MalformedMessage& malformed) -> leaf::result<Configuration> {
            return leaf::new_error(ConfigurationError{"update", "is malformed: " + malformed.reason});
        });
}

}    // namespace shaletray::configuration
