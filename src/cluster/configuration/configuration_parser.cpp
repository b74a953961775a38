// The operator's text becomes a chart as it is parsed, a row at a time: of a large one, no more than one row
// ever stands beside the chart as JSON values. Each kind of value has its tag_invoke; what is wrong with it
// is an error code, to which the reader adds the place.
#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/value_stack.hpp>
#include <cmath>
#include <deque>
#include <numeric>
#include <utility>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/entry_list_builder.h"
#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/json_values.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {

namespace json = boost::json;
namespace leaf = boost::leaf;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostText = 64 * 1024 * 1024;
constexpr Duration kMostTimeout = 10min;
constexpr double kMostWeight = 1u << 31;    // of a route in all; so that the sum fits 32 bits

// Takes whole values of the text, and makes the chart of them.
class Reader {
public:
    enum Table { Routes, Services, Tenants, kTables };
    static constexpr std::string_view kTableNames[] = {"routes", "services", "tenants"};

    bool refused() const { return refusal_.has_value(); }
    Refusal& refusal() { return *refusal_; }
    // Where the field is "" the place itself is meant.
    bool refuse(std::string_view place, std::string_view field, std::string why) {
        std::string whole(place);
        if (!place.empty() && !field.empty()) whole += '.';
        refusal_ = Refusal{whole += field, std::move(why)};
        return false;
    }

    bool revision(const json::value& value) {
        Revision revision;
        if (!take(value, "", "revision", revision)) return false;
        chart_.version = revision.value;
        return true;
    }

    bool limits(const json::value& value) {
        const json::object* const fields = value.if_object();
        if (fields == nullptr) return refuse("limits", "", wrong(Fault::Object).message());
        const auto bytes = [&](std::string_view field, std::size_t& into) {
            const json::value* const cell = given(*fields, field);
            Bytes read;
            if (cell == nullptr) return true;
            if (!take(*cell, "limits", field, read)) return false;
            if (read.value == 0) return refuse("limits", field, "must be above 0");
            into = read.value;
            return true;
        };
        const auto time = [&](std::string_view field, Duration& into) {
            const json::value* const cell = given(*fields, field);
            return cell == nullptr || take_span(*cell, "limits", field, into);
        };
        return bytes("max_header_bytes", chart_.limits.max_header_bytes) &&
               bytes("max_body_bytes", chart_.limits.max_body_bytes) &&
               time("header_timeout", chart_.limits.header_timeout) &&
               time("idle_timeout", chart_.limits.idle_timeout);
    }

    bool table_begun(Table table) {
        if (tables_[table].begun) return refuse(kTableNames[table], "", "is there twice");
        tables_[table].begun = true;
        if (table == Tenants) chart_.tenants.emplace();
        return true;
    }
    bool has_columns(Table table) const { return tables_[table].columns_read; }
    bool columns(Table table, const json::value& value) {
        TableState& state = tables_[table];
        const json::array* const names = value.if_array();
        if (names == nullptr) return refuse(kTableNames[table], "columns", wrong(Fault::List).message());
        if (state.columns_read) return refuse(kTableNames[table], "columns", "is there twice");
        state.columns_read = true;
        for (const json::value& cell : *names) {
            const Column* column = nullptr;
            if (const json::string* const name = cell.if_string())
                column = known(table, {name->data(), name->size()});
            else return refuse(kTableNames[table], "columns", "holds what is not a text");
            if (column != nullptr &&
                std::find(state.columns.begin(), state.columns.end(), column) != state.columns.end())
                return refuse(kTableNames[table], "columns", std::string(column->name) + " is there twice");
            state.columns.push_back(column);
        }
        return true;
    }
    bool rows_begun(Table table) {
        if (tables_[table].rows_read) return refuse(kTableNames[table], "rows", "is there twice");
        return tables_[table].rows_read = true;
    }

    bool row(Table table, const json::value& value) {
        TableState& state = tables_[table];
        place_ = {table, state.rows++};
        const json::array* const cells = value.if_array();
        if (cells == nullptr) return refuse_here("", wrong(Fault::List).message());
        if (cells->size() != state.columns.size())
            return refuse_here("", "has " + std::to_string(cells->size()) + " values for " +
                                       std::to_string(state.columns.size()) + " columns");
        if (table == Routes) {
            routes_.emplace_back().timeout = kMostTimeout;
            service_.clear();
            has_split_ = has_list_ = false;
        } else if (table == Services) {
            services_.emplace_back();
        } else {
            tenants_.emplace_back();
        }
        for (std::size_t i = 0; i < cells->size(); ++i)
            if (state.columns[i] != nullptr && !(*cells)[i].is_null() &&
                !(this->*state.columns[i]->read)((*cells)[i], state.columns[i]->name))
                return false;
        return table == Routes ? route_read() : table == Services ? service_read() : tenant_read();
    }

    // The text was gone through once: nothing that it must have is missing.
    bool complete() {
        if (chart_.version == 0) return refuse("", "revision", "is missing");
        for (const Table table : {Routes, Services, Tenants}) {
            const TableState& state = tables_[table];
            if (!state.begun && table != Tenants) return refuse("", kTableNames[table], "is missing");
            if (state.begun && !state.columns_read)
                return refuse(kTableNames[table], "columns", "is missing");
            if (state.begun && !state.rows_read) return refuse(kTableNames[table], "rows", "is missing");
        }
        return true;
    }
    // All rows are read: what only the whole can show.
    bool finish() {
        std::vector<std::uint32_t> services;
        if (!order(Services, services_, services)) return false;
        service_order_ = &services;
        std::vector<std::uint32_t> routes, tenants;
        if (!routes_hold() || !order(Routes, routes_, routes)) return false;
        if (!keys_hold() || !order(Tenants, tenants_, tenants)) return false;
        chart_.services = built(services_, services);
        chart_.routes = built(routes_, routes);
        if (chart_.tenants) chart_.tenants = built(tenants_, tenants);
        return true;
    }
    Chart& chart() { return chart_; }

private:
    struct Column {
        std::string_view name;
        bool (Reader::*read)(const json::value&, std::string_view field);
    };
    struct TableState {
        bool begun = false, columns_read = false, rows_read = false;
        std::vector<const Column*> columns;    // none: not known, and left out
        std::uint32_t rows = 0;
    };

    // ---- places ----
    std::string place(Table table, std::size_t row) const {
        return std::string(kTableNames[table]) + "[" + std::to_string(row) + "]";
    }
    bool refuse_here(std::string_view field, std::string why) {
        return refuse(place(place_.first, place_.second), field, std::move(why));
    }
    static const json::value* given(const json::object& fields, std::string_view name) {
        const json::value* const value = fields.if_contains({name.data(), name.size()});
        return value == nullptr || value->is_null() ? nullptr : value;
    }

    // ---- values ----
    template <class T>
    bool take(const json::value& value, std::string_view place, std::string_view field, T& into) {
        json::result<T> read = json::try_value_to<T>(value);
        if (!read) return refuse(place, field, read.error().message());
        into = std::move(*read);
        return true;
    }
    bool take_span(const json::value& value, std::string_view place, std::string_view field, Duration& into) {
        Time time;
        if (!take(value, place, field, time)) return false;
        if (time.value <= Duration(0)) return refuse(place, field, "must be above 0");
        into = time.value;
        return true;
    }
    // The same for a cell of the row at hand, whose place is only written out where something is wrong.
    template <class T>
    bool cell(const json::value& value, std::string_view field, T& into) {
        json::result<T> read = json::try_value_to<T>(value);
        if (!read) return refuse_here(field, read.error().message());
        into = std::move(*read);
        return true;
    }
    template <class T, class Into>
    bool cell_as(const json::value& value, std::string_view field, Into& into) {
        T read;
        if (!cell(value, field, read)) return false;
        into = read.value;
        return true;
    }

    // ---- routes ----
    bool route_name(const json::value& v, std::string_view f) {
        return cell_as<Text>(v, f, routes_.back().name) && name_given();
    }
    bool hostname(const json::value& v, std::string_view f) {
        return cell_as<Text>(v, f, routes_.back().hostname) && (has_host_ = true);
    }
    bool path_prefix(const json::value& v, std::string_view f) {
        std::string& prefix = routes_.back().path_prefix;
        if (!cell_as<Text>(v, f, prefix)) return false;
        return prefix.starts_with('/') || refuse_here(f, "does not begin with a slash");
    }
    bool route_type(const json::value& v, std::string_view f) { return cell(v, f, routes_.back().kind); }
    bool timeout(const json::value& v, std::string_view f) {
        Time time;
        if (!cell(v, f, time)) return false;
        if (time.value <= Duration(0)) return refuse_here(f, "must be above 0");
        if (time.value > kMostTimeout) return refuse_here(f, "is over ten minutes");
        routes_.back().timeout = time.value;
        return true;
    }
    bool target_latency(const json::value& v, std::string_view f) {
        Duration& target = routes_.back().target_latency;
        if (!cell_as<Time>(v, f, target)) return false;
        return target >= Duration(0) || refuse_here(f, wrong(Fault::Negative).message());
    }
    bool route_priority(const json::value& v, std::string_view f) {
        return cell_as<Whole>(v, f, routes_.back().priority);
    }
    bool max_attempts(const json::value& v, std::string_view f) {
        int& attempts = routes_.back().max_attempts;
        if (!cell_as<Count>(v, f, attempts)) return false;
        return attempts > 0 || refuse_here(f, "must be at least 1");
    }
    bool is_public(const json::value& v, std::string_view f) {
        const bool* const truth = v.if_bool();
        if (truth == nullptr) return refuse_here(f, wrong(Fault::Truth).message());
        routes_.back().is_public = *truth;
        return true;
    }
    bool service(const json::value& v, std::string_view f) { return cell_as<Text>(v, f, service_); }
    bool traffic_split(const json::value& v, std::string_view f) {
        const json::array* const shares = v.if_array();
        if (shares == nullptr) return refuse_here(f, wrong(Fault::List).message());
        has_split_ = !shares->empty();
        has_list_ = true;
        double whole = 0.0;
        bool exact = true;
        weights_.clear();
        for (std::size_t i = 0; i < shares->size(); ++i) {
            const auto at = [&](std::string_view field) {
                return std::string(f) + "[" + std::to_string(i) + "]" + std::string(field);
            };
            const json::object* const fields = (*shares)[i].if_object();
            if (fields == nullptr) return refuse_here(at(""), wrong(Fault::Object).message());
            const json::value* const service = given(*fields, "service");
            const json::value* const weight = given(*fields, "weight");
            if (service == nullptr) return refuse_here(at(".service"), "is missing");
            if (weight == nullptr) return refuse_here(at(".weight"), "is missing");
            const json::result<Text> name = json::try_value_to<Text>(*service);
            const json::result<Amount> part = json::try_value_to<Amount>(*weight);
            if (!name) return refuse_here(at(".service"), name.error().message());
            if (!part) return refuse_here(at(".weight"), part.error().message());
            routes_.back().to.push_back({std::string(name->value), 0});
            weights_.push_back(part->value);
            whole += part->value;
            exact = exact && std::trunc(part->value) == part->value;
        }
        if (!has_split_) return true;
        if (!(whole > 0.0)) return refuse_here(f, "has weights that add up to 0");
        if (!std::isfinite(whole)) return refuse_here(f, "has weights beyond all measure");
        // Whole numbers stand as they are; others are spread over the range, and none falls to 0.
        const double scale = exact && whole <= kMostWeight ? 1.0 : kMostWeight / whole;
        for (std::size_t i = 0; i < weights_.size(); ++i)
            if (weights_[i] > 0.0)
                routes_.back().to[i].weight =
                    std::max(1u, static_cast<std::uint32_t>(std::lround(weights_[i] * scale)));
        return true;
    }
    bool route_read() {
        Route& route = routes_.back();
        if (!std::exchange(has_name_, false)) return refuse_here("name", "is missing");
        if (!std::exchange(has_host_, false)) return refuse_here("hostname", "is missing");
        if (route.path_prefix.empty()) return refuse_here("path_prefix", "is missing");
        if (service_.empty() && !has_split_)
            return has_list_ ? refuse_here("traffic_split", "is empty")
                             : refuse_here("service", "is missing, and traffic_split too");
        splits_.push_back(has_split_);
        if (!has_split_) route.to.push_back({service_, 1});
        else if (!service_.empty()) beside_split_.emplace_back(place_.second, service_);
        return true;
    }
    bool known_service(std::string_view name) const {
        const std::vector<std::uint32_t>& order = *service_order_;
        const auto at = std::lower_bound(
            order.begin(), order.end(), name,
            [&](std::uint32_t row, std::string_view name) { return services_[row].name < name; });
        return at != order.end() && services_[*at].name == name;
    }
    bool routes_hold() {
        const auto unknown = [&](std::size_t row, std::string_view field, const std::string& name) {
            return refuse(place(Routes, row), field, "names the unknown service \"" + name + "\"");
        };
        for (const auto& [row, name] : beside_split_)
            if (!known_service(name)) return unknown(row, "service", name);
        Finder seen(routes_.size());
        for (std::uint32_t row = 0; row < routes_.size(); ++row) {
            Route& route = routes_[row];
            for (std::size_t i = 0; i < route.to.size(); ++i)
                if (!known_service(route.to[i].service))
                    return unknown(
                        row, splits_[row] ? "traffic_split[" + std::to_string(i) + "].service" : "service",
                        route.to[i].service);
            std::erase_if(route.to, [](const Share& share) { return share.weight == 0; });
            route.to.shrink_to_fit();
            const std::string_view host = bare_host(route.hostname);
            const std::uint64_t hash = route_hash(host, route.path_prefix);
            const std::uint32_t other = seen.find(hash, [&](std::uint32_t at) {
                return routes_[at].path_prefix == route.path_prefix &&
                       same_host(bare_host(routes_[at].hostname), host);
            });
            if (other != Finder::kNone)
                return refuse(place(Routes, row), "path_prefix",
                              "is that of " + place(Routes, other) + " on the same hostname");
            seen.add(hash, row);
        }
        return true;
    }

    // ---- services ----
    bool service_name(const json::value& v, std::string_view f) {
        return cell_as<Text>(v, f, services_.back().name) && name_given();
    }
    bool health_check(const json::value& v, std::string_view f) {
        return cell_as<Line>(v, f, services_.back().health_check);
    }
    bool max_connections(const json::value& v, std::string_view f) {
        return cell_as<Count>(v, f, services_.back().max_connections);
    }
    bool service_read() { return std::exchange(has_name_, false) || refuse_here("name", "is missing"); }

    // ---- tenants ----
    bool tenant_name(const json::value& v, std::string_view f) {
        return cell_as<Line>(v, f, tenants_.back().name) && name_given();
    }
    bool api_keys(const json::value& v, std::string_view f) {
        const json::array* const keys = v.if_array();
        if (keys == nullptr) return refuse_here(f, wrong(Fault::List).message());
        for (std::size_t i = 0; i < keys->size(); ++i) {
            const json::result<Line> key = json::try_value_to<Line>((*keys)[i]);
            if (!key || key->value.empty())
                return refuse_here(std::string(f) + "[" + std::to_string(i) + "]",
                                   key ? "is empty" : key.error().message());
            tenants_.back().api_keys.push_back(key->value);
        }
        keys_ += keys->size();
        tenants_.back().api_keys.shrink_to_fit();
        return true;
    }
    bool tenant_priority(const json::value& v, std::string_view f) {
        return cell_as<Whole>(v, f, tenants_.back().priority);
    }
    bool rate_per_s(const json::value& v, std::string_view f) {
        return cell_as<Amount>(v, f, tenants_.back().rate_per_s);
    }
    bool burst(const json::value& v, std::string_view f) {
        return cell_as<Amount>(v, f, tenants_.back().burst);
    }
    bool tenant_read() { return std::exchange(has_name_, false) || refuse_here("name", "is missing"); }
    bool keys_hold() {
        Finder seen(keys_);
        for (std::uint32_t row = 0; row < tenants_.size(); ++row) {
            for (const std::string_view key : tenants_[row].api_keys) {
                const std::uint64_t hash = key_hash(key);
                const std::uint32_t other = seen.find(hash, [&](std::uint32_t at) {
                    return std::find(tenants_[at].api_keys.begin(), tenants_[at].api_keys.end(), key) !=
                           tenants_[at].api_keys.end();
                });
                if (other == Finder::kNone) seen.add(hash, row);
                // The key itself is not told: refusals are logged.
                if (other != Finder::kNone && other != row)
                    return refuse(place(Tenants, row), "api_keys",
                                  "has a key of " + place(Tenants, other) + " too");
            }
        }
        return true;
    }

    bool name_given() { return has_name_ = true; }
    // The places of the rows by rising names, each of which is there once.
    template <class Row>
    bool order(Table table, const std::deque<Row>& rows, std::vector<std::uint32_t>& order) {
        order.resize(rows.size());
        std::iota(order.begin(), order.end(), 0u);
        const auto before = [&](std::uint32_t a, std::uint32_t b) {
            const int names = rows[a].name.compare(rows[b].name);
            return names != 0 ? names < 0 : a < b;
        };
        if (!std::is_sorted(order.begin(), order.end(), before))
            std::sort(order.begin(), order.end(), before);
        for (std::size_t i = 1; i < order.size(); ++i)
            if (rows[order[i]].name == rows[order[i - 1]].name)
                return refuse(place(table, order[i]), "name", "is that of " + place(table, order[i - 1]));
        return true;
    }
    template <class Row>
    Rows<Row> built(std::deque<Row>& rows, const std::vector<std::uint32_t>& order) {
        Builder<Row> builder;
        for (const std::uint32_t row : order) builder.add(std::move(rows[row]));
        rows.clear();
        return builder.done();
    }

    static const Column* known(Table table, std::string_view name) {
        static const std::vector<Column> columns[kTables] = {
            {{"name", &Reader::route_name},
             {"hostname", &Reader::hostname},
             {"path_prefix", &Reader::path_prefix},
             {"route_type", &Reader::route_type},
             {"timeout", &Reader::timeout},
             {"target_latency", &Reader::target_latency},
             {"priority", &Reader::route_priority},
             {"traffic_split", &Reader::traffic_split},
             {"max_attempts", &Reader::max_attempts},
             {"public", &Reader::is_public},
             {"service", &Reader::service}},
            {{"name", &Reader::service_name},
             {"health_check", &Reader::health_check},
             {"max_connections", &Reader::max_connections}},
            {{"name", &Reader::tenant_name},
             {"api_keys", &Reader::api_keys},
             {"priority", &Reader::tenant_priority},
             {"rate_per_s", &Reader::rate_per_s},
             {"burst", &Reader::burst}},
        };
        for (const Column& column : columns[table])
            if (column.name == name) return &column;
        return nullptr;
    }

    Chart chart_;
    // In the operator's order, by which refusals tell of them. In deques, which do not move when they grow.
    std::deque<Route> routes_;
    std::deque<Service> services_;
    std::deque<Tenant> tenants_;
    const std::vector<std::uint32_t>* service_order_ = nullptr;
    std::optional<Refusal> refusal_;
    TableState tables_[kTables];
    std::pair<Table, std::uint32_t> place_{Routes, 0};    // the row at hand
    bool has_name_ = false, has_host_ = false;
    bool has_list_ = false, has_split_ = false;    // a traffic_split at all, and one with shares
    std::string service_;
    std::vector<bool> splits_;    // by route
    std::vector<double> weights_;
    std::vector<std::pair<std::uint32_t, std::string>>
        beside_split_;    // services of routes with a split too
    std::size_t keys_ = 0;
};

// Boost.JSON's parser tells it of each value; it follows the outer shape, and gathers the values that the
// reader takes whole. Rows that come before their columns are left out, and read in a second pass.
class Handler {
public:
    static constexpr std::size_t max_object_size = ~std::size_t{0}, max_array_size = ~std::size_t{0};
    static constexpr std::size_t max_key_size = ~std::size_t{0}, max_string_size = ~std::size_t{0};
    using Error = json::error_code;

    explicit Handler(Reader& reader) : reader_(reader), memory_(buffer_, sizeof buffer_) {}
    bool needs_second_pass() const { return early_[0] || early_[1] || early_[2]; }
    void begin_second_pass() { second_ = true; }

    bool on_document_begin(Error&) { return true; }
    bool on_document_end(Error&) { return true; }
    bool on_object_begin(Error& ec) { return begin(true, ec); }
    bool on_object_end(std::size_t n, Error& ec) { return end(true, n, ec); }
    bool on_array_begin(Error& ec) { return begin(false, ec); }
    bool on_array_end(std::size_t n, Error& ec) { return end(false, n, ec); }
    bool on_key_part(json::string_view s, std::size_t, Error&) {
        if (mode_ == Mode::Keep) values_.push_chars(s);
        if (mode_ == Mode::Walk) key_.append(s.data(), s.size());
        return true;
    }
    bool on_key(json::string_view s, std::size_t, Error& ec) {
        if (mode_ == Mode::Keep) values_.push_key(s);
        if (mode_ != Mode::Walk) return true;
        key_.append(s.data(), s.size());
        const bool good = level_ == Level::Top ? on_top_key() : on_table_key();
        key_.clear();
        return good || stop(ec);
    }
    bool on_string_part(json::string_view s, std::size_t, Error& ec) {
        // The first part of a text decides whether it is kept.
        if (mode_ == Mode::Walk && !in_text_ && !choose(Shape::Scalar)) return stop(ec);
        in_text_ = true;
        if (mode_ == Mode::Keep) values_.push_chars(s);
        return true;
    }
    bool on_string(json::string_view s, std::size_t, Error& ec) {
        if (mode_ == Mode::Walk && !in_text_ && !choose(Shape::Scalar)) return stop(ec);
        in_text_ = false;
        if (mode_ == Mode::Keep) values_.push_string(s);
        return settle(ec);
    }
    bool on_number_part(json::string_view, Error&) { return true; }
    bool on_int64(std::int64_t i, json::string_view, Error& ec) {
        return scalar(ec, [&] { values_.push_int64(i); });
    }
    bool on_uint64(std::uint64_t u, json::string_view, Error& ec) {
        return scalar(ec, [&] { values_.push_uint64(u); });
    }
    bool on_double(double d, json::string_view, Error& ec) {
        return scalar(ec, [&] { values_.push_double(d); });
    }
    bool on_bool(bool b, Error& ec) {
        return scalar(ec, [&] { values_.push_bool(b); });
    }
    bool on_null(Error& ec) {
        if (mode_ == Mode::Walk && !choose(Shape::Null)) return stop(ec);
        if (mode_ == Mode::Keep) values_.push_null();
        return settle(ec);
    }
    bool on_comment_part(json::string_view, Error&) { return true; }
    bool on_comment(json::string_view, Error&) { return true; }

private:
    enum class Level { Outside, Top, Table, Rows };    // the innermost part of the outer shape that is open
    enum class Mode { Walk, Keep, Skip };              // along the outer shape, or inside a value
    enum class Shape { Null, Scalar, Array, Object };
    enum class Part { Other, Revision, Limits, Table, Columns, Rows };

    bool stop(Error& ec) {
        ec = json::make_error_code(json::error::exception);    // what is told is the reader's refusal
        return false;
    }
    bool keep() {
        mode_ = Mode::Keep;
        values_.reset(&memory_);
        return true;
    }
    bool skip() {
        mode_ = Mode::Skip;
        return true;
    }
    bool misshapen(std::string_view place, std::string_view field, Fault fault) {
        return reader_.refuse(place, field, wrong(fault).message());
    }

    bool on_top_key() {
        part_ = key_ == "revision" ? Part::Revision : key_ == "limits" ? Part::Limits : Part::Other;
        for (const Reader::Table table : {Reader::Routes, Reader::Services, Reader::Tenants})
            if (key_ == Reader::kTableNames[table]) {
                part_ = Part::Table;
                table_ = table;
            }
        return true;
    }
    bool on_table_key() {
        part_ = key_ == "columns" ? Part::Columns : key_ == "rows" ? Part::Rows : Part::Other;
        return true;
    }
    // A value of the outer shape begins.
    bool choose(Shape shape) {
        const std::string_view table = Reader::kTableNames[table_];
        if (level_ == Level::Outside) return shape == Shape::Object || misshapen("", "body", Fault::Object);
        if (level_ == Level::Rows) return second_ || !early_[table_] ? keep() : skip();
        if (part_ == Part::Table) {
            if (shape == Shape::Null) return skip();    // left out
            if (shape != Shape::Object) return misshapen(table, "", Fault::Object);
            return second_ || reader_.table_begun(table_);
        }
        if (part_ == Part::Rows) {
            if (shape != Shape::Array) return misshapen(table, "rows", Fault::List);
            if (second_) return early_[table_] || skip();
            early_[table_] = !reader_.has_columns(table_);
            return reader_.rows_begun(table_);
        }
        if (second_ || part_ == Part::Other) return skip();
        if (part_ == Part::Limits && shape == Shape::Null) return skip();
        return keep();
    }
    bool begin(bool object, Error& ec) {
        if (mode_ == Mode::Walk) {
            if (!choose(object ? Shape::Object : Shape::Array)) return stop(ec);
            if (mode_ == Mode::Walk) {
                level_ = level_ == Level::Outside ? Level::Top
                         : level_ == Level::Top   ? Level::Table
                                                  : Level::Rows;
                return true;
            }
        }
        ++inside_;
        return true;
    }
    bool end(bool object, std::size_t n, Error& ec) {
        if (mode_ == Mode::Walk) {
            level_ = level_ == Level::Rows    ? Level::Table
                     : level_ == Level::Table ? Level::Top
                                              : Level::Outside;
            return true;
        }
        if (mode_ == Mode::Keep && object) values_.push_object(n);
        if (mode_ == Mode::Keep && !object) values_.push_array(n);
        --inside_;
        return settle(ec);
    }
    template <class Push>
    bool scalar(Error& ec, Push push) {
        if (mode_ == Mode::Walk && !choose(Shape::Scalar)) return stop(ec);
        if (mode_ == Mode::Keep) push();
        return settle(ec);
    }
    // A value has ended: where it was one of the outer shape, it is handed on.
    bool settle(Error& ec) {
        if (inside_ > 0) return true;
        const Mode mode = std::exchange(mode_, Mode::Walk);
        if (mode == Mode::Skip) return true;
        bool good = true;
        {
            const json::value value = values_.release();
            if (level_ == Level::Rows) good = reader_.row(table_, value);
            else if (part_ == Part::Columns) good = reader_.columns(table_, value);
            else if (part_ == Part::Limits) good = reader_.limits(value);
            else good = reader_.revision(value);
        }
        memory_.release();
        return good || stop(ec);
    }

    Reader& reader_;
    unsigned char buffer_[4096];
    json::monotonic_resource memory_;
    json::value_stack values_;
    Level level_ = Level::Outside;
    Mode mode_ = Mode::Walk;
    Part part_ = Part::Other;
    Reader::Table table_ = Reader::Routes;
    int inside_ = 0;    // containers that are open within a kept or skipped value
    bool in_text_ = false, second_ = false;
    bool early_[Reader::kTables] = {};
    std::string key_;
};

}    // namespace

leaf::result<Chart> read_chart(std::string_view text) {
    if (text.size() > kMostText) return leaf::new_error(Refusal{"body", "is over 64 MiB"});
    Reader reader;
    json::basic_parser<Handler> parser({}, reader);
    const auto parse = [&] {
        json::error_code ec;
        const std::size_t read = parser.write_some(false, text.data(), text.size(), ec);
        if (!ec && read < text.size()) ec = json::make_error_code(json::error::extra_data);
        if (ec && !reader.refused())
            reader.refuse("", "body", "cannot be read: " + ec.message() + " at byte " + std::to_string(read));
        return !ec;
    };
    bool good = parse() && reader.complete();
    if (good && parser.handler().needs_second_pass()) {
        parser.reset();
        parser.handler().begin_second_pass();
        good = parse();
    }
    if (!good || !reader.finish()) return leaf::new_error(std::move(reader.refusal()));
    return std::move(reader.chart());
}

}    // namespace shaletray::configuration
