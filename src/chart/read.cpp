// The operator's text becomes a chart as it is parsed, a row at a time: of a large one, no more than one row
// ever stands beside the chart as JSON values. Each kind of value has its tag_invoke; what is wrong with it
// is an error code, to which the reader adds the place.
#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/value_stack.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "chart/chart.h"
#include "chart/names.h"
#include "chart/rows.h"

namespace shaletray::chart {

namespace json = boost::json;
namespace leaf = boost::leaf;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostText = 64 * 1024 * 1024;
constexpr Duration kMostTimeout = 10min;
constexpr double kMostTime = 1e15;          // microseconds; thirty years
constexpr double kMostWeight = 1u << 31;    // of a route in all; so that the sum fits 32 bits

enum class Fault { Text = 1, Line, Time, Number, Whole, Negative, Truth, Kind, Revision, List, Object };

class Faults : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "chart"; }
    std::string message(int fault) const override {
        switch (Fault{fault}) {
            case Fault::Text: return "is not a text";
            case Fault::Line: return "has a character that no header can carry";
            case Fault::Time: return "is not a time as \"1500ms\" or \"2.5s\"";
            case Fault::Number: return "is not a number";
            case Fault::Whole: return "is not a whole number";
            case Fault::Negative: return "is below 0";
            case Fault::Truth: return "is neither true nor false";
            case Fault::Kind: return "is neither idempotent nor non_idempotent";
            case Fault::Revision: return "is not \"r\" and a number above 0";
            case Fault::List: return "is not a list";
            case Fault::Object: return "is not an object";
        }
        return "is wrong";
    }
};
boost::system::error_code wrong(Fault fault) {
    static const Faults faults;
    return {static_cast<int>(fault), faults};
}

// What a value can be asked to be, beside bool and text.
struct Time {
    Duration value{0};
};
struct Revision {
    std::uint64_t value = 0;
};
struct Whole {    // cut to what an int can hold
    int value = 0;
};
struct Count {    // likewise, and not below 0
    int value = 0;
};
struct Bytes {
    std::size_t value = 0;
};
struct Amount {    // not below 0
    double value = 0.0;
};
struct Text {
    std::string_view value;
};
struct Line {    // fit to stand in a header or a request line
    std::string_view value;
};

template <class T>
using Tag = json::try_value_to_tag<T>;

json::result<Text> tag_invoke(Tag<Text>, const json::value& value) {
    const json::string* const text = value.if_string();
    if (text == nullptr) return wrong(Fault::Text);
    return Text{{text->data(), text->size()}};
}
json::result<Line> tag_invoke(Tag<Line>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text) return text.error();
    for (const char c : text->value)
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return wrong(Fault::Line);
    return Line{text->value};
}
json::result<Time> tag_invoke(Tag<Time>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text) return wrong(Fault::Time);
    double number = 0.0;
    const char* const end = text->value.data() + text->value.size();
    const auto [at, error] = std::from_chars(text->value.data(), end, number);
    const std::string_view unit(at, static_cast<std::size_t>(end - at));
    if (error != std::errc{} || (unit != "ms" && unit != "s")) return wrong(Fault::Time);
    const double micros = number * (unit == "s" ? 1e6 : 1e3);
    // Written so that a value that is not a number fails too.
    if (!(std::abs(micros) <= kMostTime)) return wrong(Fault::Time);
    // What is above 0 does not become it.
    return Time{Duration(micros > 0.0 ? std::max(1LL, std::llround(micros)) : std::llround(micros))};
}
json::result<Revision> tag_invoke(Tag<Revision>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text || !text->value.starts_with('r')) return wrong(Fault::Revision);
    Revision revision;
    const char* const end = text->value.data() + text->value.size();
    const auto [at, error] = std::from_chars(text->value.data() + 1, end, revision.value);
    if (error != std::errc{} || at != end || revision.value == 0) return wrong(Fault::Revision);
    return revision;
}
json::result<double> whole_number(const json::value& value) {
    double number = 0.0;
    if (const std::int64_t* i = value.if_int64()) number = static_cast<double>(*i);
    else if (const std::uint64_t* u = value.if_uint64()) number = static_cast<double>(*u);
    else if (const double* d = value.if_double(); d != nullptr && std::trunc(*d) == *d) number = *d;
    else return wrong(Fault::Whole);
    return number;
}
json::result<Whole> tag_invoke(Tag<Whole>, const json::value& value) {
    const json::result<double> number = whole_number(value);
    if (!number) return number.error();
    constexpr double least = std::numeric_limits<int>::min(), most = std::numeric_limits<int>::max();
    return Whole{static_cast<int>(std::clamp(*number, least, most))};
}
json::result<Count> tag_invoke(Tag<Count>, const json::value& value) {
    const json::result<Whole> number = json::try_value_to<Whole>(value);
    if (!number) return number.error();
    if (number->value < 0) return wrong(Fault::Negative);
    return Count{number->value};
}
json::result<Bytes> tag_invoke(Tag<Bytes>, const json::value& value) {
    const json::result<double> number = whole_number(value);
    if (!number) return number.error();
    if (*number < 0.0) return wrong(Fault::Negative);
    return Bytes{static_cast<std::size_t>(std::min(*number, 1e15))};
}
json::result<Amount> tag_invoke(Tag<Amount>, const json::value& value) {
    if (!value.is_number()) return wrong(Fault::Number);
    const double number = value.to_number<double>();
    if (!std::isfinite(number)) return wrong(Fault::Number);
    if (number < 0.0) return wrong(Fault::Negative);
    return Amount{number};
}

}    // namespace

// Here, where it is found by its argument.
static json::result<RouteKind> tag_invoke(Tag<RouteKind>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (text && text->value == "idempotent") return RouteKind::Idempotent;
    if (text && text->value == "non_idempotent") return RouteKind::NonIdempotent;
    return wrong(Fault::Kind);
}

namespace {

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
            chart_.routes.emplace_back().timeout = kMostTimeout;
            service_.clear();
            has_split_ = has_list_ = false;
        } else if (table == Services) {
            chart_.services.emplace_back();
        } else {
            chart_.tenants->emplace_back();
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
        if (!ordered(Services, chart_.services)) return false;
        if (!routes_hold()) return false;
        if (!ordered(Routes, chart_.routes)) return false;
        return !chart_.tenants || (keys_hold() && ordered(Tenants, *chart_.tenants));
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
        return cell_as<Text>(v, f, chart_.routes.back().name) && name_given();
    }
    bool hostname(const json::value& v, std::string_view f) {
        return cell_as<Text>(v, f, chart_.routes.back().hostname) && (has_host_ = true);
    }
    bool path_prefix(const json::value& v, std::string_view f) {
        std::string& prefix = chart_.routes.back().path_prefix;
        if (!cell_as<Text>(v, f, prefix)) return false;
        return prefix.starts_with('/') || refuse_here(f, "does not begin with a slash");
    }
    bool route_type(const json::value& v, std::string_view f) {
        return cell(v, f, chart_.routes.back().kind);
    }
    bool timeout(const json::value& v, std::string_view f) {
        Time time;
        if (!cell(v, f, time)) return false;
        if (time.value <= Duration(0)) return refuse_here(f, "must be above 0");
        if (time.value > kMostTimeout) return refuse_here(f, "is over ten minutes");
        chart_.routes.back().timeout = time.value;
        return true;
    }
    bool target_latency(const json::value& v, std::string_view f) {
        Duration& target = chart_.routes.back().target_latency;
        if (!cell_as<Time>(v, f, target)) return false;
        return target >= Duration(0) || refuse_here(f, wrong(Fault::Negative).message());
    }
    bool route_priority(const json::value& v, std::string_view f) {
        return cell_as<Whole>(v, f, chart_.routes.back().priority);
    }
    bool max_attempts(const json::value& v, std::string_view f) {
        int& attempts = chart_.routes.back().max_attempts;
        if (!cell_as<Count>(v, f, attempts)) return false;
        return attempts > 0 || refuse_here(f, "must be at least 1");
    }
    bool is_public(const json::value& v, std::string_view f) {
        const bool* const truth = v.if_bool();
        if (truth == nullptr) return refuse_here(f, wrong(Fault::Truth).message());
        chart_.routes.back().is_public = *truth;
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
            chart_.routes.back().to.push_back({std::string(name->value), 0});
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
                chart_.routes.back().to[i].weight =
                    std::max(1u, static_cast<std::uint32_t>(std::lround(weights_[i] * scale)));
        return true;
    }
    bool route_read() {
        Route& route = chart_.routes.back();
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
        const auto at = std::lower_bound(chart_.services.begin(), chart_.services.end(), name,
                                         [](const Service& s, std::string_view n) { return s.name < n; });
        return at != chart_.services.end() && at->name == name;
    }
    // Services are in order, routes are still in the operator's.
    bool routes_hold() {
        const auto unknown = [&](std::size_t row, std::string_view field, const std::string& name) {
            return refuse(place(Routes, row), field, "names the unknown service \"" + name + "\"");
        };
        for (const auto& [row, name] : beside_split_)
            if (!known_service(name)) return unknown(row, "service", name);
        Finder seen(chart_.routes.size());
        for (std::uint32_t row = 0; row < chart_.routes.size(); ++row) {
            Route& route = chart_.routes[row];
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
                return chart_.routes[at].path_prefix == route.path_prefix &&
                       same_host(bare_host(chart_.routes[at].hostname), host);
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
        return cell_as<Text>(v, f, chart_.services.back().name) && name_given();
    }
    bool health_check(const json::value& v, std::string_view f) {
        return cell_as<Line>(v, f, chart_.services.back().health_check);
    }
    bool max_connections(const json::value& v, std::string_view f) {
        return cell_as<Count>(v, f, chart_.services.back().max_connections);
    }
    bool service_read() { return std::exchange(has_name_, false) || refuse_here("name", "is missing"); }

    // ---- tenants ----
    bool tenant_name(const json::value& v, std::string_view f) {
        return cell_as<Line>(v, f, chart_.tenants->back().name) && name_given();
    }
    bool api_keys(const json::value& v, std::string_view f) {
        const json::array* const keys = v.if_array();
        if (keys == nullptr) return refuse_here(f, wrong(Fault::List).message());
        for (std::size_t i = 0; i < keys->size(); ++i) {
            const json::result<Line> key = json::try_value_to<Line>((*keys)[i]);
            if (!key || key->value.empty())
                return refuse_here(std::string(f) + "[" + std::to_string(i) + "]",
                                   key ? "is empty" : key.error().message());
            chart_.tenants->back().api_keys.push_back(key->value);
        }
        keys_ += keys->size();
        chart_.tenants->back().api_keys.shrink_to_fit();
        return true;
    }
    bool tenant_priority(const json::value& v, std::string_view f) {
        return cell_as<Whole>(v, f, chart_.tenants->back().priority);
    }
    bool rate_per_s(const json::value& v, std::string_view f) {
        return cell_as<Amount>(v, f, chart_.tenants->back().rate_per_s);
    }
    bool burst(const json::value& v, std::string_view f) {
        return cell_as<Amount>(v, f, chart_.tenants->back().burst);
    }
    bool tenant_read() { return std::exchange(has_name_, false) || refuse_here("name", "is missing"); }
    // Tenants are still in the operator's order.
    bool keys_hold() {
        const std::vector<Tenant>& tenants = *chart_.tenants;
        Finder seen(keys_);
        for (std::uint32_t row = 0; row < tenants.size(); ++row) {
            for (const std::string_view key : tenants[row].api_keys) {
                const std::uint64_t hash = key_hash(key);
                const std::uint32_t other = seen.find(hash, [&](std::uint32_t at) {
                    return std::find(tenants[at].api_keys.begin(), tenants[at].api_keys.end(), key) !=
                           tenants[at].api_keys.end();
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
    template <class Row>
    bool ordered(Table table, std::vector<Row>& rows) {
        const std::vector<std::uint32_t> from = sort_rows(rows);
        const auto origin = [&](std::size_t at) { return from.empty() ? at : from[at]; };
        for (std::size_t at = 1; at < rows.size(); ++at)
            if (rows[at].name == rows[at - 1].name)
                return refuse(place(table, origin(at)), "name", "is that of " + place(table, origin(at - 1)));
        rows.shrink_to_fit();
        return true;
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

}    // namespace shaletray::chart
