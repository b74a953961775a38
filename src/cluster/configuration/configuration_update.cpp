// Charts on the wire. The one place where Cap'n Proto's exceptions are met: what is damaged ends there.
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <utility>

#include "cluster/configuration/configuration.capnp.h"
#include "cluster/configuration/configuration.h"
#include "cluster/configuration/entry_list_builder.h"

namespace shaletray::configuration {

namespace leaf = boost::leaf;

namespace {

// Of a message once unpacked; a chart of 64 MiB of text stays well below it.
constexpr std::uint64_t kMaxMessageWords = 16 * 1024 * 1024;

class StringOutputStream : public kj::OutputStream {
public:
    explicit StringOutputStream(std::string& output) : output_(output) {}
    void write(const void* bytes, std::size_t size) override {
        output_.append(static_cast<const char*>(bytes), size);
    }

private:
    std::string& output_;
};

::capnp::Text::Reader convert_text(const std::string& text) { return {text.c_str(), text.size()}; }
std::string convert_text(::capnp::Text::Reader text) { return {text.begin(), text.size()}; }

// ---- rows ----

void encode(const Route& entry, form::Route::Builder builder) {
    builder.setName(convert_text(entry.name));
    builder.setHostname(convert_text(entry.hostname));
    builder.setPathPrefix(convert_text(entry.path_prefix));
    builder.setIdempotent(entry.kind == RouteKind::Idempotent);
    builder.setIsPublic(entry.is_public);
    builder.setPriority(entry.priority);
    builder.setTimeout(entry.timeout.count());
    builder.setTargetLatency(entry.target_latency.count());
    builder.setMaxAttempts(entry.max_attempts);
    auto targets = builder.initTo(static_cast<unsigned>(entry.targets.size()));
    for (unsigned i = 0; i < targets.size(); ++i) {
        targets[i].setService(convert_text(entry.targets[i].service));
        targets[i].setWeight(entry.targets[i].weight);
    }
}
Route decode(form::Route::Reader reader) {
    Route route;
    route.name = convert_text(reader.getName());
    route.hostname = convert_text(reader.getHostname());
    route.path_prefix = convert_text(reader.getPathPrefix());
    route.kind = reader.getIdempotent() ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.is_public = reader.getIsPublic();
    route.priority = reader.getPriority();
    route.timeout = Duration(reader.getTimeout());
    route.target_latency = Duration(reader.getTargetLatency());
    route.max_attempts = reader.getMaxAttempts();
    for (const auto target : reader.getTo())
        route.targets.push_back({convert_text(target.getService()), target.getWeight()});
    route.targets.shrink_to_fit();
    return route;
}

void encode(const Service& entry, form::Service::Builder builder) {
    builder.setName(convert_text(entry.name));
    builder.setHealthCheck(convert_text(entry.health_check));
    builder.setMaxConnections(entry.max_connections);
}
Service decode(form::Service::Reader reader) {
    return {convert_text(reader.getName()), convert_text(reader.getHealthCheck()),
            reader.getMaxConnections()};
}

void encode(const Tenant& entry, form::Tenant::Builder builder) {
    builder.setName(convert_text(entry.name));
    auto keys = builder.initApiKeys(static_cast<unsigned>(entry.api_keys.size()));
    unsigned i = 0;
    for (const std::string_view key : entry.api_keys) {
        auto key_builder = keys.init(i++, static_cast<unsigned>(key.size()));
        std::copy(key.begin(), key.end(), key_builder.begin());
    }
    builder.setHasPriority(entry.priority.has_value());
    builder.setPriority(entry.priority.value_or(0));
    builder.setRatePerS(entry.rate_per_s);
    builder.setBurst(entry.burst);
}
Tenant decode(form::Tenant::Reader reader) {
    Tenant tenant;
    tenant.name = convert_text(reader.getName());
    for (const auto key : reader.getApiKeys()) tenant.api_keys.push_back({key.begin(), key.size()});
    tenant.api_keys.shrink_to_fit();
    if (reader.getHasPriority()) tenant.priority = reader.getPriority();
    tenant.rate_per_s = reader.getRatePerS();
    tenant.burst = reader.getBurst();
    return tenant;
}

void encode(const Limits& entry, form::Limits::Builder builder) {
    builder.setMaxHeaderBytes(entry.max_header_bytes);
    builder.setMaxBodyBytes(entry.max_body_bytes);
    builder.setHeaderTimeout(entry.header_timeout.count());
    builder.setIdleTimeout(entry.idle_timeout.count());
}
Limits decode(form::Limits::Reader reader) {
    return {reader.getMaxHeaderBytes(), reader.getMaxBodyBytes(), Duration(reader.getHeaderTimeout()),
            Duration(reader.getIdleTimeout())};
}

// ---- tables ----

template <class Entry>
using EntryPointers = std::vector<const Entry*>;

template <class Entry>
struct Difference {
    EntryPointers<Entry> changed, removed;
};
template <class Entry>
Difference<Entry> compute_difference(const EntryList<Entry>& from, const EntryList<Entry>& to) {
    Difference<Entry> result;
    auto previous = from.begin();
    for (const Entry& entry : to) {
        for (; previous != from.end() && previous->name < entry.name; ++previous)
            result.removed.push_back(&*previous);
        const bool existed = previous != from.end() && previous->name == entry.name;
        // The same one, where they share it.
        if (!existed || (&*previous != &entry && *previous != entry)) result.changed.push_back(&entry);
        if (existed) ++previous;
    }
    for (; previous != from.end(); ++previous) result.removed.push_back(&*previous);
    return result;
}

template <class Entry, class List>
void encode_entries(const EntryPointers<Entry>& entries, List list) {
    for (unsigned i = 0; i < list.size(); ++i) encode(*entries[i], list[i]);
}
template <class Entry>
void encode_names(const EntryPointers<Entry>& entries, ::capnp::List<::capnp::Text>::Builder list) {
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, convert_text(entries[i]->name));
}
template <class Container>
unsigned list_size(const Container& entries) {
    return static_cast<unsigned>(entries.size());
}

struct MalformedUpdate {
    const char* reason;
};

// The rows that a table is left with; those held are in order. Throws Damaged.
template <class Entry, class List>
EntryList<Entry> merge_entries(const EntryList<Entry>& current, List changed,
                               ::capnp::List<::capnp::Text>::Reader removed, std::size_t max_entries) {
    // An empty list may claim any length.
    if (changed.size() > max_entries || removed.size() > max_entries)
        throw MalformedUpdate{"claims more rows than it can hold"};
    EntryListBuilder<Entry> builder;
    unsigned next_changed = 0, next_removed = 0;
    std::optional<Entry> next_entry;
    const auto advance = [&] {
        next_entry.reset();
        if (next_changed < changed.size()) next_entry = decode(changed[next_changed++]);
    };
    advance();
    for (auto chunk = current.chunks().begin(); chunk != current.chunks().end(); ++chunk) {
        const bool is_last = chunk + 1 == current.chunks().end();
        const auto belongs_to_chunk = [&](const std::string& name) {
            return is_last || name < (*std::next(chunk))->entries.front().name;
        };
        const bool has_removal =
            next_removed < removed.size() && belongs_to_chunk(convert_text(removed[next_removed]));
        if (!has_removal && !(next_entry && belongs_to_chunk(next_entry->name))) {
            builder.add(*chunk);
            continue;
        }
        for (const Entry& entry : (*chunk)->entries) {
            while (next_entry && next_entry->name < entry.name) {
                builder.add(std::move(*next_entry));
                advance();
            }
            if (next_entry && next_entry->name == entry.name) {
                builder.add(std::move(*next_entry));
                advance();
            } else if (next_removed < removed.size() && convert_text(removed[next_removed]) == entry.name) {
                ++next_removed;
            } else {
                builder.add(entry);
            }
        }
        while (next_entry && belongs_to_chunk(next_entry->name)) {
            builder.add(std::move(*next_entry));
            advance();
        }
    }
    while (next_entry) {
        builder.add(std::move(*next_entry));
        advance();
    }
    if (next_removed != removed.size()) throw MalformedUpdate{"takes away what is not there"};
    return builder.build();
}

Configuration sorted_by_name(Configuration config) {
    config.routes = sorted_by_name(config.routes);
    config.services = sorted_by_name(config.services);
    if (config.tenants) config.tenants = sorted_by_name(*config.tenants);
    return config;
}

leaf::result<Configuration> apply_message(const Configuration& current, form::Update::Reader update,
                                          std::size_t max_entries) {
    const bool is_delta = update.getPatch();
    if (is_delta && update.getBase() != digest_of(current))
        return leaf::new_error(ConfigurationError{"base", "is another chart than the one held"});
    const Configuration base = is_delta ? sorted_by_name(current) : Configuration{};
    Configuration config;
    config.version = update.getVersion();
    config.limits = decode(update.getLimits());
    config.routes = merge_entries(base.routes, update.getRoutes(), update.getRoutesGone(), max_entries);
    config.services =
        merge_entries(base.services, update.getServices(), update.getServicesGone(), max_entries);
    if (update.getAsksForKeys())
        config.tenants = merge_entries(base.tenants ? *base.tenants : EntryList<Tenant>(),
                                       update.getTenants(), update.getTenantsGone(), max_entries);
    if (update.getDigest() != digest_of(config))
        return leaf::new_error(ConfigurationError{"digest", "is not that of what the update leads to"});
    return config;
}

std::string pack_message(::capnp::MessageBuilder& message) {
    std::string bytes;
    bytes.reserve(::capnp::computeSerializedSizeInWords(message) * sizeof(::capnp::word));
    StringOutputStream stream(bytes);
    ::capnp::writePackedMessage(stream, message);
    return bytes;
}

}    // namespace

std::string write_full(const Configuration& config) {
    ::capnp::MallocMessageBuilder message;
    form::Update::Builder update = message.initRoot<form::Update>();
    update.setDigest(digest_of(config));
    update.setVersion(config.version);
    encode(config.limits, update.initLimits());
    const auto encode_list = [](const auto& entries, auto list) {
        unsigned i = 0;
        for (const auto& entry : entries) encode(entry, list[i++]);
    };
    encode_list(config.routes, update.initRoutes(list_size(config.routes)));
    encode_list(config.services, update.initServices(list_size(config.services)));
    update.setAsksForKeys(config.tenants.has_value());
    if (config.tenants) encode_list(*config.tenants, update.initTenants(list_size(*config.tenants)));
    return pack_message(message);
}

std::string write_delta(const Configuration& from, const Configuration& to) {
    ::capnp::MallocMessageBuilder message;
    form::Update::Builder update = message.initRoot<form::Update>();
    update.setPatch(true);
    update.setBase(digest_of(from));
    update.setDigest(digest_of(to));
    update.setVersion(to.version);
    encode(to.limits, update.initLimits());
    // Copies share their rows; what is told of them is pointed to.
    const Configuration before = sorted_by_name(from), after = sorted_by_name(to);
    const auto routes = compute_difference(before.routes, after.routes);
    encode_entries(routes.changed, update.initRoutes(list_size(routes.changed)));
    encode_names(routes.removed, update.initRoutesGone(list_size(routes.removed)));
    const auto services = compute_difference(before.services, after.services);
    encode_entries(services.changed, update.initServices(list_size(services.changed)));
    encode_names(services.removed, update.initServicesGone(list_size(services.removed)));
    update.setAsksForKeys(after.tenants.has_value());
    if (after.tenants) {
        static const EntryList<Tenant> no_tenants;
        const auto tenants =
            compute_difference(before.tenants ? *before.tenants : no_tenants, *after.tenants);
        encode_entries(tenants.changed, update.initTenants(list_size(tenants.changed)));
        encode_names(tenants.removed, update.initTenantsGone(list_size(tenants.removed)));
    }
    return pack_message(message);
}

leaf::result<Configuration> apply_update(const Configuration& current, std::string_view bytes) {
    try {
        const auto packed_bytes =
            kj::arrayPtr(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
        const std::size_t word_count = ::capnp::computeUnpackedSizeInWords(packed_bytes);
        if (word_count > kMaxMessageWords) throw MalformedUpdate{"is larger than any chart"};
        kj::ArrayInputStream stream(packed_bytes);
        // What the message claims to hold is made room for only where so much has come. All is read once;
        // twice as much leaves room for how it is counted.
        ::capnp::ReaderOptions options;
        options.traversalLimitInWords = 2 * word_count;
        ::capnp::PackedMessageReader message(stream, options);
        return apply_message(current, message.getRoot<form::Update>(), bytes.size());
    } catch (const kj::Exception& error) {
        return leaf::new_error(
            ConfigurationError{"update", std::string("is damaged: ") + error.getDescription().cStr()});
    } catch (const MalformedUpdate& error) {
        return leaf::new_error(ConfigurationError{"update", error.reason});
    }
}

}    // namespace shaletray::configuration
