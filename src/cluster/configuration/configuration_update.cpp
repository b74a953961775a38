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
constexpr std::uint64_t kMostWords = 16 * 1024 * 1024;

class IntoText : public kj::OutputStream {
public:
    explicit IntoText(std::string& text) : text_(text) {}
    void write(const void* bytes, std::size_t size) override {
        text_.append(static_cast<const char*>(bytes), size);
    }

private:
    std::string& text_;
};

::capnp::Text::Reader text(const std::string& text) { return {text.c_str(), text.size()}; }
std::string text(::capnp::Text::Reader text) { return {text.begin(), text.size()}; }

// ---- rows ----

void write(const Route& from, form::Route::Builder to) {
    to.setName(text(from.name));
    to.setHostname(text(from.hostname));
    to.setPathPrefix(text(from.path_prefix));
    to.setIdempotent(from.kind == RouteKind::Idempotent);
    to.setIsPublic(from.is_public);
    to.setPriority(from.priority);
    to.setTimeout(from.timeout.count());
    to.setTargetLatency(from.target_latency.count());
    to.setMaxAttempts(from.max_attempts);
    auto shares = to.initTo(static_cast<unsigned>(from.to.size()));
    for (unsigned i = 0; i < shares.size(); ++i) {
        shares[i].setService(text(from.to[i].service));
        shares[i].setWeight(from.to[i].weight);
    }
}
Route read(form::Route::Reader from) {
    Route route;
    route.name = text(from.getName());
    route.hostname = text(from.getHostname());
    route.path_prefix = text(from.getPathPrefix());
    route.kind = from.getIdempotent() ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.is_public = from.getIsPublic();
    route.priority = from.getPriority();
    route.timeout = Duration(from.getTimeout());
    route.target_latency = Duration(from.getTargetLatency());
    route.max_attempts = from.getMaxAttempts();
    for (const auto share : from.getTo()) route.to.push_back({text(share.getService()), share.getWeight()});
    route.to.shrink_to_fit();
    return route;
}

void write(const Service& from, form::Service::Builder to) {
    to.setName(text(from.name));
    to.setHealthCheck(text(from.health_check));
    to.setMaxConnections(from.max_connections);
}
Service read(form::Service::Reader from) {
    return {text(from.getName()), text(from.getHealthCheck()), from.getMaxConnections()};
}

void write(const Tenant& from, form::Tenant::Builder to) {
    to.setName(text(from.name));
    auto keys = to.initApiKeys(static_cast<unsigned>(from.api_keys.size()));
    unsigned i = 0;
    for (const std::string_view key : from.api_keys) {
        auto room = keys.init(i++, static_cast<unsigned>(key.size()));
        std::copy(key.begin(), key.end(), room.begin());
    }
    to.setHasPriority(from.priority.has_value());
    to.setPriority(from.priority.value_or(0));
    to.setRatePerS(from.rate_per_s);
    to.setBurst(from.burst);
}
Tenant read(form::Tenant::Reader from) {
    Tenant tenant;
    tenant.name = text(from.getName());
    for (const auto key : from.getApiKeys()) tenant.api_keys.push_back({key.begin(), key.size()});
    tenant.api_keys.shrink_to_fit();
    if (from.getHasPriority()) tenant.priority = from.getPriority();
    tenant.rate_per_s = from.getRatePerS();
    tenant.burst = from.getBurst();
    return tenant;
}

void write(const Limits& from, form::Limits::Builder to) {
    to.setMaxHeaderBytes(from.max_header_bytes);
    to.setMaxBodyBytes(from.max_body_bytes);
    to.setHeaderTimeout(from.header_timeout.count());
    to.setIdleTimeout(from.idle_timeout.count());
}
Limits read(form::Limits::Reader from) {
    return {from.getMaxHeaderBytes(), from.getMaxBodyBytes(), Duration(from.getHeaderTimeout()),
            Duration(from.getIdleTimeout())};
}

// ---- tables ----

template <class Row>
using Some = std::vector<const Row*>;

template <class Row>
struct Difference {
    Some<Row> set, gone;
};
template <class Row>
Difference<Row> difference(const Rows<Row>& from, const Rows<Row>& to) {
    Difference<Row> difference;
    auto old = from.begin();
    for (const Row& row : to) {
        for (; old != from.end() && old->name < row.name; ++old) difference.gone.push_back(&*old);
        const bool had = old != from.end() && old->name == row.name;
        // The same one, where they share it.
        if (!had || (&*old != &row && *old != row)) difference.set.push_back(&row);
        if (had) ++old;
    }
    for (; old != from.end(); ++old) difference.gone.push_back(&*old);
    return difference;
}

template <class Row, class List>
void write_rows(const Some<Row>& rows, List list) {
    for (unsigned i = 0; i < list.size(); ++i) write(*rows[i], list[i]);
}
template <class Row>
void write_names(const Some<Row>& rows, ::capnp::List<::capnp::Text>::Builder list) {
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, text(rows[i]->name));
}
template <class Rows>
unsigned count(const Rows& rows) {
    return static_cast<unsigned>(rows.size());
}

struct Damaged {
    const char* why;
};

// The rows that a table is left with; those held are in order. Throws Damaged.
template <class Row, class List>
Rows<Row> merged(const Rows<Row>& held, List set, ::capnp::List<::capnp::Text>::Reader gone,
                 std::size_t most) {
    // An empty list may claim any length.
    if (set.size() > most || gone.size() > most) throw Damaged{"claims more rows than it can hold"};
    Builder<Row> rows;
    unsigned next_set = 0, next_gone = 0;
    std::optional<Row> next;
    const auto advance = [&] {
        next.reset();
        if (next_set < set.size()) next = read(set[next_set++]);
    };
    advance();
    for (auto piece = held.pieces().begin(); piece != held.pieces().end(); ++piece) {
        const bool last = piece + 1 == held.pieces().end();
        const auto inside = [&](const std::string& name) {
            return last || name < (*std::next(piece))->rows.front().name;
        };
        const bool less = next_gone < gone.size() && inside(text(gone[next_gone]));
        if (!less && !(next && inside(next->name))) {
            rows.add(*piece);
            continue;
        }
        for (const Row& row : (*piece)->rows) {
            while (next && next->name < row.name) {
                rows.add(std::move(*next));
                advance();
            }
            if (next && next->name == row.name) {
                rows.add(std::move(*next));
                advance();
            } else if (next_gone < gone.size() && text(gone[next_gone]) == row.name) {
                ++next_gone;
            } else {
                rows.add(row);
            }
        }
        while (next && inside(next->name)) {
            rows.add(std::move(*next));
            advance();
        }
    }
    while (next) {
        rows.add(std::move(*next));
        advance();
    }
    if (next_gone != gone.size()) throw Damaged{"takes away what is not there"};
    return rows.done();
}

Chart ordered(Chart chart) {
    chart.routes = ordered(chart.routes);
    chart.services = ordered(chart.services);
    if (chart.tenants) chart.tenants = ordered(*chart.tenants);
    return chart;
}

leaf::result<Chart> applied(const Chart& held, form::Update::Reader update, std::size_t size) {
    const bool patch = update.getPatch();
    if (patch && update.getBase() != digest_of(held))
        return leaf::new_error(Refusal{"base", "is another chart than the one held"});
    const Chart base = patch ? ordered(held) : Chart{};
    Chart chart;
    chart.version = update.getVersion();
    chart.limits = read(update.getLimits());
    chart.routes = merged(base.routes, update.getRoutes(), update.getRoutesGone(), size);
    chart.services = merged(base.services, update.getServices(), update.getServicesGone(), size);
    if (update.getAsksForKeys())
        chart.tenants = merged(base.tenants ? *base.tenants : Rows<Tenant>(), update.getTenants(),
                               update.getTenantsGone(), size);
    if (update.getDigest() != digest_of(chart))
        return leaf::new_error(Refusal{"digest", "is not that of what the update leads to"});
    return chart;
}

std::string packed(::capnp::MessageBuilder& message) {
    std::string bytes;
    bytes.reserve(::capnp::computeSerializedSizeInWords(message) * sizeof(::capnp::word));
    IntoText out(bytes);
    ::capnp::writePackedMessage(out, message);
    return bytes;
}

}    // namespace

std::string write_whole(const Chart& chart) {
    ::capnp::MallocMessageBuilder message;
    form::Update::Builder update = message.initRoot<form::Update>();
    update.setDigest(digest_of(chart));
    update.setVersion(chart.version);
    write(chart.limits, update.initLimits());
    const auto rows = [](const auto& table, auto list) {
        unsigned i = 0;
        for (const auto& row : table) write(row, list[i++]);
    };
    rows(chart.routes, update.initRoutes(count(chart.routes)));
    rows(chart.services, update.initServices(count(chart.services)));
    update.setAsksForKeys(chart.tenants.has_value());
    if (chart.tenants) rows(*chart.tenants, update.initTenants(count(*chart.tenants)));
    return packed(message);
}

std::string write_patch(const Chart& from, const Chart& to) {
    ::capnp::MallocMessageBuilder message;
    form::Update::Builder update = message.initRoot<form::Update>();
    update.setPatch(true);
    update.setBase(digest_of(from));
    update.setDigest(digest_of(to));
    update.setVersion(to.version);
    write(to.limits, update.initLimits());
    // Copies share their rows; what is told of them is pointed to.
    const Chart before = ordered(from), after = ordered(to);
    const auto routes = difference(before.routes, after.routes);
    write_rows(routes.set, update.initRoutes(count(routes.set)));
    write_names(routes.gone, update.initRoutesGone(count(routes.gone)));
    const auto services = difference(before.services, after.services);
    write_rows(services.set, update.initServices(count(services.set)));
    write_names(services.gone, update.initServicesGone(count(services.gone)));
    update.setAsksForKeys(after.tenants.has_value());
    if (after.tenants) {
        static const Rows<Tenant> kNone;
        const auto tenants = difference(before.tenants ? *before.tenants : kNone, *after.tenants);
        write_rows(tenants.set, update.initTenants(count(tenants.set)));
        write_names(tenants.gone, update.initTenantsGone(count(tenants.gone)));
    }
    return packed(message);
}

leaf::result<Chart> read_update(const Chart& held, std::string_view bytes) {
    try {
        const auto packed = kj::arrayPtr(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
        const std::size_t words = ::capnp::computeUnpackedSizeInWords(packed);
        if (words > kMostWords) throw Damaged{"is larger than any chart"};
        kj::ArrayInputStream in(packed);
        // What the message claims to hold is made room for only where so much has come. All is read once;
        // twice as much leaves room for how it is counted.
        ::capnp::ReaderOptions options;
        options.traversalLimitInWords = 2 * words;
        ::capnp::PackedMessageReader message(in, options);
        return applied(held, message.getRoot<form::Update>(), bytes.size());
    } catch (const kj::Exception& damage) {
        return leaf::new_error(
            Refusal{"update", std::string("is damaged: ") + damage.getDescription().cStr()});
    } catch (const Damaged& damage) {
        return leaf::new_error(Refusal{"update", damage.why});
    }
}

}    // namespace shaletray::configuration
