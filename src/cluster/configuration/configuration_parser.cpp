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

constexpr std::size_t kMaxTextBytes = 64 * 1024 * 1024;
constexpr Duration kMaxTimeout = 10min;
constexpr double kMaxTotalWeight = 1u << 31;    // of a route in all; so that the sum fits 32 bits

// Takes whole values of the text, and makes the chart of them.
class ConfigurationReader {
public:
    enum Section { Routes, Services, Tenants, kSectionCount };
    static constexpr std::string_view kSectionNames[] = {"routes", "services", "tenants"};

    bool has_error() const { return error_.has_value(); }
    ConfigurationError& error() { return *error_; }
    // Where the field is "" the place itself is meant.
    bool report_error(std::string_view location, std::string_view field, std::string reason) {
        std::string path(location);
        if (!location.empty() && !field.empty()) path += '.';
        error_ = ConfigurationError{path += field, std::move(reason)};
        return false;
    }

    bool read_revision(const json::value& value) {
        RevisionValue revision;
        if (!convert(value, "", "revision", revision)) return false;
        config_.version = revision.value;
        return true;
    }

    bool read_limits(const json::value& value) {
        const json::object* const fields = value.if_object();
        if (fields == nullptr)
            return report_error("limits", "", to_error_code(ValueError::NotObject).message());
        const auto read_bytes = [&](std::string_view field, std::size_t& target) {
            const json::value* const member = find_member(*fields, field);
            ByteCount parsed;
            if (member == nullptr) return true;
            if (!convert(*member, "limits", field, parsed)) return false;
            if (parsed.value == 0) return report_error("limits", field, "must be above 0");
            target = parsed.value;
            return true;
        };
        const auto read_duration = [&](std::string_view field, Duration& target) {
            const json::value* const member = find_member(*fields, field);
            return member == nullptr || convert_positive_duration(*member, "limits", field, target);
        };
        return read_bytes("max_header_bytes", config_.limits.max_header_bytes) &&
               read_bytes("max_body_bytes", config_.limits.max_body_bytes) &&
               read_duration("header_timeout", config_.limits.header_timeout) &&
               read_duration("idle_timeout", config_.limits.idle_timeout);
    }

    bool begin_section(Section section) {
        if (sections_[section].begun) return report_error(kSectionNames[section], "", "is there twice");
        sections_[section].begun = true;
        if (section == Tenants) config_.tenants.emplace();
        return true;
    }
    bool has_columns(Section section) const { return sections_[section].columns_read; }
    bool read_columns(Section section, const json::value& value) {
        SectionState& state = sections_[section];
        const json::array* const names = value.if_array();
        if (names == nullptr)
            return report_error(kSectionNames[section], "columns",
                                to_error_code(ValueError::NotArray).message());
        if (state.columns_read) return report_error(kSectionNames[section], "columns", "is there twice");
        state.columns_read = true;
        for (const json::value& cell : *names) {
            const Column* column = nullptr;
            if (const json::string* const name = cell.if_string())
                column = find_column(section, {name->data(), name->size()});
            else return report_error(kSectionNames[section], "columns", "holds what is not a text");
            if (column != nullptr &&
                std::find(state.columns.begin(), state.columns.end(), column) != state.columns.end())
                return report_error(kSectionNames[section], "columns",
                                    std::string(column->name) + " is there twice");
            state.columns.push_back(column);
        }
        return true;
    }
    bool begin_rows(Section section) {
        if (sections_[section].rows_read)
            return report_error(kSectionNames[section], "rows", "is there twice");
        return sections_[section].rows_read = true;
    }

    bool read_row(Section section, const json::value& value) {
        SectionState& state = sections_[section];
        current_row_ = {section, state.row_count++};
        const json::array* const cells = value.if_array();
        if (cells == nullptr) return report_row_error("", to_error_code(ValueError::NotArray).message());
        if (cells->size() != state.columns.size())
            return report_row_error("", "has " + std::to_string(cells->size()) + " values for " +
                                            std::to_string(state.columns.size()) + " columns");
        if (section == Routes) {
            routes_.emplace_back().timeout = kMaxTimeout;
            service_name_.clear();
            has_split_ = has_split_list_ = false;
        } else if (section == Services) {
            services_.emplace_back();
        } else {
            tenants_.emplace_back();
        }
        for (std::size_t i = 0; i < cells->size(); ++i)
            if (state.columns[i] != nullptr && !(*cells)[i].is_null() &&
                !(this->*state.columns[i]->parse)((*cells)[i], state.columns[i]->name))
                return false;
        return section == Routes ? finish_route() : section == Services ? finish_service() : finish_tenant();
    }

    // The text was gone through once: nothing that it must have is missing.
    bool check_complete() {
        if (config_.version == 0) return report_error("", "revision", "is missing");
        for (const Section section : {Routes, Services, Tenants}) {
            const SectionState& state = sections_[section];
            if (!state.begun && section != Tenants)
                return report_error("", kSectionNames[section], "is missing");
            if (state.begun && !state.columns_read)
                return report_error(kSectionNames[section], "columns", "is missing");
            if (state.begun && !state.rows_read)
                return report_error(kSectionNames[section], "rows", "is missing");
        }
        return true;
    }
    // All rows are read: what only the whole can show.
    bool finish() {
        std::vector<std::uint32_t> service_order;
        if (!sort_by_name(Services, services_, service_order)) return false;
        service_order_ = &service_order;
        std::vector<std::uint32_t> route_order, tenant_order;
        if (!validate_routes() || !sort_by_name(Routes, routes_, route_order)) return false;
        if (!validate_api_keys() || !sort_by_name(Tenants, tenants_, tenant_order)) return false;
        config_.services = build_entries(services_, service_order);
        config_.routes = build_entries(routes_, route_order);
        if (config_.tenants) config_.tenants = build_entries(tenants_, tenant_order);
        return true;
    }
    Configuration& config() { return config_; }

private:
    struct Column {
        std::string_view name;
        bool (ConfigurationReader::*parse)(const json::value&, std::string_view field);
    };
    struct SectionState {
        bool begun = false, columns_read = false, rows_read = false;
        std::vector<const Column*> columns;    // none: not known, and left out
        std::uint32_t row_count = 0;
    };

    // ---- places ----
    std::string location_of(Section section, std::size_t row) const {
        return std::string(kSectionNames[section]) + "[" + std::to_string(row) + "]";
    }
    bool report_row_error(std::string_view field, std::string reason) {
        return report_error(location_of(current_row_.first, current_row_.second), field, std::move(reason));
    }
    static const json::value* find_member(const json::object& fields, std::string_view name) {
        const json::value* const value = fields.if_contains({name.data(), name.size()});
        return value == nullptr || value->is_null() ? nullptr : value;
    }

    // ---- values ----
    template <class T>
    bool convert(const json::value& value, std::string_view location, std::string_view field, T& target) {
        json::result<T> parsed = json::try_value_to<T>(value);
        if (!parsed) return report_error(location, field, parsed.error().message());
        target = std::move(*parsed);
        return true;
    }
    bool convert_positive_duration(const json::value& value, std::string_view location,
                                   std::string_view field, Duration& target) {
        DurationValue duration;
        if (!convert(value, location, field, duration)) return false;
        if (duration.value <= Duration(0)) return report_error(location, field, "must be above 0");
        target = duration.value;
        return true;
    }
    // The same for a cell of the row at hand, whose place is only written out where something is wrong.
    template <class T>
    bool convert_cell(const json::value& value, std::string_view field, T& target) {
        json::result<T> parsed = json::try_value_to<T>(value);
        if (!parsed) return report_row_error(field, parsed.error().message());
        target = std::move(*parsed);
        return true;
    }
    template <class T, class Target>
    bool convert_cell_as(const json::value& value, std::string_view field, Target& target) {
        T parsed;
        if (!convert_cell(value, field, parsed)) return false;
        target = parsed.value;
        return true;
    }

    // ---- routes ----
    bool read_route_name(const json::value& value, std::string_view field) {
        return convert_cell_as<TextValue>(value, field, routes_.back().name) && mark_name_present();
    }
    bool read_hostname(const json::value& value, std::string_view field) {
        return convert_cell_as<TextValue>(value, field, routes_.back().hostname) && (has_host_ = true);
    }
    bool read_path_prefix(const json::value& value, std::string_view field) {
        std::string& prefix = routes_.back().path_prefix;
        if (!convert_cell_as<TextValue>(value, field, prefix)) return false;
        return prefix.starts_with('/') || report_row_error(field, "does not begin with a slash");
    }
    bool read_route_type(const json::value& value, std::string_view field) {
        return convert_cell(value, field, routes_.back().kind);
    }
    bool read_timeout(const json::value& value, std::string_view field) {
        DurationValue duration;
        if (!convert_cell(value, field, duration)) return false;
        if (duration.value <= Duration(0)) return report_row_error(field, "must be above 0");
        if (duration.value > kMaxTimeout) return report_row_error(field, "is over ten minutes");
        routes_.back().timeout = duration.value;
        return true;
    }
    bool read_target_latency(const json::value& value, std::string_view field) {
        Duration& target = routes_.back().target_latency;
        if (!convert_cell_as<DurationValue>(value, field, target)) return false;
        return target >= Duration(0) ||
               report_row_error(field, to_error_code(ValueError::Negative).message());
    }
    bool read_route_priority(const json::value& value, std::string_view field) {
        return convert_cell_as<IntegerValue>(value, field, routes_.back().priority);
    }
    bool read_max_attempts(const json::value& value, std::string_view field) {
        int& attempts = routes_.back().max_attempts;
        if (!convert_cell_as<NonNegativeInteger>(value, field, attempts)) return false;
        return attempts > 0 || report_row_error(field, "must be at least 1");
    }
    bool read_is_public(const json::value& value, std::string_view field) {
        const bool* const truth = value.if_bool();
        if (truth == nullptr) return report_row_error(field, to_error_code(ValueError::NotBoolean).message());
        routes_.back().is_public = *truth;
        return true;
    }
    bool read_service(const json::value& value, std::string_view field) {
        return convert_cell_as<TextValue>(value, field, service_name_);
    }
    bool read_traffic_split(const json::value& value, std::string_view field) {
        const json::array* const shares = value.if_array();
        if (shares == nullptr) return report_row_error(field, to_error_code(ValueError::NotArray).message());
        has_split_ = !shares->empty();
        has_split_list_ = true;
        double total_weight = 0.0;
        bool all_integers = true;
        weights_.clear();
        for (std::size_t i = 0; i < shares->size(); ++i) {
            const auto member_path = [&](std::string_view member) {
                return std::string(field) + "[" + std::to_string(i) + "]" + std::string(member);
            };
            const json::object* const fields = (*shares)[i].if_object();
            if (fields == nullptr)
                return report_row_error(member_path(""), to_error_code(ValueError::NotObject).message());
            const json::value* const service = find_member(*fields, "service");
            const json::value* const weight = find_member(*fields, "weight");
            if (service == nullptr) return report_row_error(member_path(".service"), "is missing");
            if (weight == nullptr) return report_row_error(member_path(".weight"), "is missing");
            const json::result<TextValue> name = json::try_value_to<TextValue>(*service);
            const json::result<NonNegativeNumber> share_weight =
                json::try_value_to<NonNegativeNumber>(*weight);
            if (!name) return report_row_error(member_path(".service"), name.error().message());
            if (!share_weight)
                return report_row_error(member_path(".weight"), share_weight.error().message());
            routes_.back().targets.push_back({std::string(name->value), 0});
            weights_.push_back(share_weight->value);
            total_weight += share_weight->value;
            all_integers = all_integers && std::trunc(share_weight->value) == share_weight->value;
        }
        if (!has_split_) return true;
        if (!(total_weight > 0.0)) return report_row_error(field, "has weights that add up to 0");
        if (!std::isfinite(total_weight)) return report_row_error(field, "has weights beyond all measure");
        // Whole numbers stand as they are; others are spread over the range, and none falls to 0.
        const double scale =
            all_integers && total_weight <= kMaxTotalWeight ? 1.0 : kMaxTotalWeight / total_weight;
        for (std::size_t i = 0; i < weights_.size(); ++i)
            if (weights_[i] > 0.0)
                routes_.back().targets[i].weight =
                    std::max(1u, static_cast<std::uint32_t>(std::lround(weights_[i] * scale)));
        return true;
    }
    bool finish_route() {
        Route& route = routes_.back();
        if (!std::exchange(has_name_, false)) return report_row_error("name", "is missing");
        if (!std::exchange(has_host_, false)) return report_row_error("hostname", "is missing");
        if (route.path_prefix.empty()) return report_row_error("path_prefix", "is missing");
        if (service_name_.empty() && !has_split_)
            return has_split_list_ ? report_row_error("traffic_split", "is empty")
                                   : report_row_error("service", "is missing, and traffic_split too");
        route_has_split_.push_back(has_split_);
        if (!has_split_) route.targets.push_back({service_name_, 1});
        else if (!service_name_.empty())
            services_beside_split_.emplace_back(current_row_.second, service_name_);
        return true;
    }
    bool is_known_service(std::string_view name) const {
        const std::vector<std::uint32_t>& order = *service_order_;
        const auto found = std::lower_bound(
            order.begin(), order.end(), name,
            [&](std::uint32_t row, std::string_view wanted) { return services_[row].name < wanted; });
        return found != order.end() && services_[*found].name == name;
    }
    bool validate_routes() {
        const auto report_unknown_service = [&](std::size_t row, std::string_view field,
                                                const std::string& name) {
            return report_error(location_of(Routes, row), field,
                                "names the unknown service \"" + name + "\"");
        };
        for (const auto& [row, name] : services_beside_split_)
            if (!is_known_service(name)) return report_unknown_service(row, "service", name);
        HashIndex known_routes(routes_.size());
        for (std::uint32_t row = 0; row < routes_.size(); ++row) {
            Route& route = routes_[row];
            for (std::size_t i = 0; i < route.targets.size(); ++i)
                if (!is_known_service(route.targets[i].service))
                    return report_unknown_service(row,
                                                  route_has_split_[row]
                                                      ? "traffic_split[" + std::to_string(i) + "].service"
                                                      : "service",
                                                  route.targets[i].service);
            std::erase_if(route.targets, [](const WeightedService& target) { return target.weight == 0; });
            route.targets.shrink_to_fit();
            const std::string_view host = host_without_port(route.hostname);
            const std::uint64_t hash = route_hash(host, route.path_prefix);
            const std::uint32_t other = known_routes.find(hash, [&](std::uint32_t candidate) {
                return routes_[candidate].path_prefix == route.path_prefix &&
                       hosts_equal(host_without_port(routes_[candidate].hostname), host);
            });
            if (other != HashIndex::kNone)
                return report_error(location_of(Routes, row), "path_prefix",
                                    "is that of " + location_of(Routes, other) + " on the same hostname");
            known_routes.add(hash, row);
        }
        return true;
    }

    // ---- services ----
    bool read_service_name(const json::value& value, std::string_view field) {
        return convert_cell_as<TextValue>(value, field, services_.back().name) && mark_name_present();
    }
    bool read_health_check(const json::value& value, std::string_view field) {
        return convert_cell_as<HeaderText>(value, field, services_.back().health_check);
    }
    bool read_max_connections(const json::value& value, std::string_view field) {
        return convert_cell_as<NonNegativeInteger>(value, field, services_.back().max_connections);
    }
    bool finish_service() {
        return std::exchange(has_name_, false) || report_row_error("name", "is missing");
    }

    // ---- tenants ----
    bool read_tenant_name(const json::value& value, std::string_view field) {
        return convert_cell_as<HeaderText>(value, field, tenants_.back().name) && mark_name_present();
    }
    bool read_api_keys(const json::value& value, std::string_view field) {
        const json::array* const keys = value.if_array();
        if (keys == nullptr) return report_row_error(field, to_error_code(ValueError::NotArray).message());
        for (std::size_t i = 0; i < keys->size(); ++i) {
            const json::result<HeaderText> key = json::try_value_to<HeaderText>((*keys)[i]);
            if (!key || key->value.empty())
                return report_row_error(std::string(field) + "[" + std::to_string(i) + "]",
                                        key ? "is empty" : key.error().message());
            tenants_.back().api_keys.push_back(key->value);
        }
        key_count_ += keys->size();
        tenants_.back().api_keys.shrink_to_fit();
        return true;
    }
    bool read_tenant_priority(const json::value& value, std::string_view field) {
        return convert_cell_as<IntegerValue>(value, field, tenants_.back().priority);
    }
    bool read_rate_per_s(const json::value& value, std::string_view field) {
        return convert_cell_as<NonNegativeNumber>(value, field, tenants_.back().rate_per_s);
    }
    bool read_burst(const json::value& value, std::string_view field) {
        return convert_cell_as<NonNegativeNumber>(value, field, tenants_.back().burst);
    }
    bool finish_tenant() { return std::exchange(has_name_, false) || report_row_error("name", "is missing"); }
    bool validate_api_keys() {
        HashIndex known_keys(key_count_);
        for (std::uint32_t row = 0; row < tenants_.size(); ++row) {
            for (const std::string_view key : tenants_[row].api_keys) {
                const std::uint64_t hash = api_key_hash(key);
                const std::uint32_t other = known_keys.find(hash, [&](std::uint32_t candidate) {
                    return std::find(tenants_[candidate].api_keys.begin(), tenants_[candidate].api_keys.end(),
                                     key) != tenants_[candidate].api_keys.end();
                });
                if (other == HashIndex::kNone) known_keys.add(hash, row);
                // The key itself is not told: refusals are logged.
                if (other != HashIndex::kNone && other != row)
                    return report_error(location_of(Tenants, row), "api_keys",
                                        "has a key of " + location_of(Tenants, other) + " too");
            }
        }
        return true;
    }

    bool mark_name_present() { return has_name_ = true; }
    // The places of the rows by rising names, each of which is there once.
    template <class Entry>
    bool sort_by_name(Section section, const std::deque<Entry>& rows, std::vector<std::uint32_t>& order) {
        order.resize(rows.size());
        std::iota(order.begin(), order.end(), 0u);
        const auto precedes = [&](std::uint32_t a, std::uint32_t b) {
            const int comparison = rows[a].name.compare(rows[b].name);
            return comparison != 0 ? comparison < 0 : a < b;
        };
        if (!std::is_sorted(order.begin(), order.end(), precedes))
            std::sort(order.begin(), order.end(), precedes);
        for (std::size_t i = 1; i < order.size(); ++i)
            if (rows[order[i]].name == rows[order[i - 1]].name)
                return report_error(location_of(section, order[i]), "name",
                                    "is that of " + location_of(section, order[i - 1]));
        return true;
    }
    template <class Entry>
    EntryList<Entry> build_entries(std::deque<Entry>& rows, const std::vector<std::uint32_t>& order) {
        EntryListBuilder<Entry> builder;
        for (const std::uint32_t row : order) builder.add(std::move(rows[row]));
        rows.clear();
        return builder.build();
    }

    static const Column* find_column(Section section, std::string_view name) {
        static const std::vector<Column> columns[kSectionCount] = {
            {{"name", &ConfigurationReader::read_route_name},
             {"hostname", &ConfigurationReader::read_hostname},
             {"path_prefix", &ConfigurationReader::read_path_prefix},
             {"route_type", &ConfigurationReader::read_route_type},
             {"timeout", &ConfigurationReader::read_timeout},
             {"target_latency", &ConfigurationReader::read_target_latency},
             {"priority", &ConfigurationReader::read_route_priority},
             {"traffic_split", &ConfigurationReader::read_traffic_split},
             {"max_attempts", &ConfigurationReader::read_max_attempts},
             {"public", &ConfigurationReader::read_is_public},
             {"service", &ConfigurationReader::read_service}},
            {{"name", &ConfigurationReader::read_service_name},
             {"health_check", &ConfigurationReader::read_health_check},
             {"max_connections", &ConfigurationReader::read_max_connections}},
            {{"name", &ConfigurationReader::read_tenant_name},
             {"api_keys", &ConfigurationReader::read_api_keys},
             {"priority", &ConfigurationReader::read_tenant_priority},
             {"rate_per_s", &ConfigurationReader::read_rate_per_s},
             {"burst", &ConfigurationReader::read_burst}},
        };
        for (const Column& column : columns[section])
            if (column.name == name) return &column;
        return nullptr;
    }

    Configuration config_;
    // In the operator's order, by which refusals tell of them. In deques, which do not move when they grow.
    std::deque<Route> routes_;
    std::deque<Service> services_;
    std::deque<Tenant> tenants_;
    const std::vector<std::uint32_t>* service_order_ = nullptr;
    std::optional<ConfigurationError> error_;
    SectionState sections_[kSectionCount];
    std::pair<Section, std::uint32_t> current_row_{Routes, 0};    // the row at hand
    bool has_name_ = false, has_host_ = false;
    bool has_split_list_ = false, has_split_ = false;    // a traffic_split at all, and one with shares
    std::string service_name_;
    std::vector<bool> route_has_split_;    // by route
    std::vector<double> weights_;
    std::vector<std::pair<std::uint32_t, std::string>>
        services_beside_split_;    // services of routes with a split too
    std::size_t key_count_ = 0;
};

// Boost.JSON's parser tells it of each value; it follows the outer shape, and gathers the values that the
// reader takes whole. Rows that come before their columns are left out, and read in a second pass.
class JsonHandler {
public:
    static constexpr std::size_t max_object_size = ~std::size_t{0}, max_array_size = ~std::size_t{0};
    static constexpr std::size_t max_key_size = ~std::size_t{0}, max_string_size = ~std::size_t{0};
    using ErrorCode = json::error_code;

    explicit JsonHandler(ConfigurationReader& reader) : reader_(reader), memory_(buffer_, sizeof buffer_) {}
    bool needs_second_pass() const {
        return rows_before_columns_[0] || rows_before_columns_[1] || rows_before_columns_[2];
    }
    void begin_second_pass() { second_pass_ = true; }

    bool on_document_begin(ErrorCode&) { return true; }
    bool on_document_end(ErrorCode&) { return true; }
    bool on_object_begin(ErrorCode& error) { return begin_container(true, error); }
    bool on_object_end(std::size_t count, ErrorCode& error) { return end_container(true, count, error); }
    bool on_array_begin(ErrorCode& error) { return begin_container(false, error); }
    bool on_array_end(std::size_t count, ErrorCode& error) { return end_container(false, count, error); }
    bool on_key_part(json::string_view text, std::size_t, ErrorCode&) {
        if (mode_ == Mode::Keep) values_.push_chars(text);
        if (mode_ == Mode::Traverse) key_.append(text.data(), text.size());
        return true;
    }
    bool on_key(json::string_view text, std::size_t, ErrorCode& error) {
        if (mode_ == Mode::Keep) values_.push_key(text);
        if (mode_ != Mode::Traverse) return true;
        key_.append(text.data(), text.size());
        const bool succeeded = level_ == Level::Root ? handle_root_key() : handle_section_key();
        key_.clear();
        return succeeded || abort_parse(error);
    }
    bool on_string_part(json::string_view text, std::size_t, ErrorCode& error) {
        // The first part of a text decides whether it is kept.
        if (mode_ == Mode::Traverse && !in_string_ && !begin_value(Shape::Scalar)) return abort_parse(error);
        in_string_ = true;
        if (mode_ == Mode::Keep) values_.push_chars(text);
        return true;
    }
    bool on_string(json::string_view text, std::size_t, ErrorCode& error) {
        if (mode_ == Mode::Traverse && !in_string_ && !begin_value(Shape::Scalar)) return abort_parse(error);
        in_string_ = false;
        if (mode_ == Mode::Keep) values_.push_string(text);
        return finish_value(error);
    }
    bool on_number_part(json::string_view, ErrorCode&) { return true; }
    bool on_int64(std::int64_t i, json::string_view, ErrorCode& error) {
        return handle_scalar(error, [&] { values_.push_int64(i); });
    }
    bool on_uint64(std::uint64_t u, json::string_view, ErrorCode& error) {
        return handle_scalar(error, [&] { values_.push_uint64(u); });
    }
    bool on_double(double d, json::string_view, ErrorCode& error) {
        return handle_scalar(error, [&] { values_.push_double(d); });
    }
    bool on_bool(bool b, ErrorCode& error) {
        return handle_scalar(error, [&] { values_.push_bool(b); });
    }
    bool on_null(ErrorCode& error) {
        if (mode_ == Mode::Traverse && !begin_value(Shape::Null)) return abort_parse(error);
        if (mode_ == Mode::Keep) values_.push_null();
        return finish_value(error);
    }
    bool on_comment_part(json::string_view, ErrorCode&) { return true; }
    bool on_comment(json::string_view, ErrorCode&) { return true; }

private:
    enum class Level {
        Outside,
        Root,
        Section,
        Rows
    };                                           // the innermost part of the outer shape that is open
    enum class Mode { Traverse, Keep, Skip };    // along the outer shape, or inside a value
    enum class Shape { Null, Scalar, Array, Object };
    enum class Member { Other, Revision, Limits, Section, Columns, Rows };

    bool abort_parse(ErrorCode& error) {
        error = json::make_error_code(json::error::exception);    // what is told is the reader's refusal
        return false;
    }
    bool keep_value() {
        mode_ = Mode::Keep;
        values_.reset(&memory_);
        return true;
    }
    bool skip_value() {
        mode_ = Mode::Skip;
        return true;
    }
    bool report_shape_error(std::string_view location, std::string_view field, ValueError error) {
        return reader_.report_error(location, field, to_error_code(error).message());
    }

    bool handle_root_key() {
        member_ = key_ == "revision" ? Member::Revision : key_ == "limits" ? Member::Limits : Member::Other;
        for (const ConfigurationReader::Section section :
             {ConfigurationReader::Routes, ConfigurationReader::Services, ConfigurationReader::Tenants})
            if (key_ == ConfigurationReader::kSectionNames[section]) {
                member_ = Member::Section;
                section_ = section;
            }
        return true;
    }
    bool handle_section_key() {
        member_ = key_ == "columns" ? Member::Columns : key_ == "rows" ? Member::Rows : Member::Other;
        return true;
    }
    // A value of the outer shape begins.
    bool begin_value(Shape shape) {
        const std::string_view section_name = ConfigurationReader::kSectionNames[section_];
        if (level_ == Level::Outside)
            return shape == Shape::Object || report_shape_error("", "body", ValueError::NotObject);
        if (level_ == Level::Rows)
            return second_pass_ || !rows_before_columns_[section_] ? keep_value() : skip_value();
        if (member_ == Member::Section) {
            if (shape == Shape::Null) return skip_value();    // left out
            if (shape != Shape::Object) return report_shape_error(section_name, "", ValueError::NotObject);
            return second_pass_ || reader_.begin_section(section_);
        }
        if (member_ == Member::Rows) {
            if (shape != Shape::Array) return report_shape_error(section_name, "rows", ValueError::NotArray);
            if (second_pass_) return rows_before_columns_[section_] || skip_value();
            rows_before_columns_[section_] = !reader_.has_columns(section_);
            return reader_.begin_rows(section_);
        }
        if (second_pass_ || member_ == Member::Other) return skip_value();
        if (member_ == Member::Limits && shape == Shape::Null) return skip_value();
        return keep_value();
    }
    bool begin_container(bool is_object, ErrorCode& error) {
        if (mode_ == Mode::Traverse) {
            if (!begin_value(is_object ? Shape::Object : Shape::Array)) return abort_parse(error);
            if (mode_ == Mode::Traverse) {
                level_ = level_ == Level::Outside ? Level::Root
                         : level_ == Level::Root  ? Level::Section
                                                  : Level::Rows;
                return true;
            }
        }
        ++open_containers_;
        return true;
    }
    bool end_container(bool is_object, std::size_t count, ErrorCode& error) {
        if (mode_ == Mode::Traverse) {
            level_ = level_ == Level::Rows      ? Level::Section
                     : level_ == Level::Section ? Level::Root
                                                : Level::Outside;
            return true;
        }
        if (mode_ == Mode::Keep && is_object) values_.push_object(count);
        if (mode_ == Mode::Keep && !is_object) values_.push_array(count);
        --open_containers_;
        return finish_value(error);
    }
    template <class Push>
    bool handle_scalar(ErrorCode& error, Push push) {
        if (mode_ == Mode::Traverse && !begin_value(Shape::Scalar)) return abort_parse(error);
        if (mode_ == Mode::Keep) push();
        return finish_value(error);
    }
    // A value has ended: where it was one of the outer shape, it is handed on.
    bool finish_value(ErrorCode& error) {
        if (open_containers_ > 0) return true;
        const Mode mode = std::exchange(mode_, Mode::Traverse);
        if (mode == Mode::Skip) return true;
        bool succeeded = true;
        {
            const json::value value = values_.release();
            if (level_ == Level::Rows) succeeded = reader_.read_row(section_, value);
            else if (member_ == Member::Columns) succeeded = reader_.read_columns(section_, value);
            else if (member_ == Member::Limits) succeeded = reader_.read_limits(value);
            else succeeded = reader_.read_revision(value);
        }
        memory_.release();
        return succeeded || abort_parse(error);
    }

    ConfigurationReader& reader_;
    unsigned char buffer_[4096];
    json::monotonic_resource memory_;
    json::value_stack values_;
    Level level_ = Level::Outside;
    Mode mode_ = Mode::Traverse;
    Member member_ = Member::Other;
    ConfigurationReader::Section section_ = ConfigurationReader::Routes;
    int open_containers_ = 0;    // containers that are open within a kept or skipped value
    bool in_string_ = false, second_pass_ = false;
    bool rows_before_columns_[ConfigurationReader::kSectionCount] = {};
    std::string key_;
};

}    // namespace

leaf::result<Configuration> parse_configuration(std::string_view text) {
    if (text.size() > kMaxTextBytes) return leaf::new_error(ConfigurationError{"body", "is over 64 MiB"});
    ConfigurationReader reader;
    json::basic_parser<JsonHandler> parser({}, reader);
    const auto parse = [&] {
        json::error_code error;
        const std::size_t consumed = parser.write_some(false, text.data(), text.size(), error);
        if (!error && consumed < text.size()) error = json::make_error_code(json::error::extra_data);
        if (error && !reader.has_error())
            reader.report_error(
                "", "body", "cannot be read: " + error.message() + " at byte " + std::to_string(consumed));
        return !error;
    };
    bool succeeded = parse() && reader.check_complete();
    if (succeeded && parser.handler().needs_second_pass()) {
        parser.reset();
        parser.handler().begin_second_pass();
        succeeded = parse();
    }
    if (!succeeded || !reader.finish()) return leaf::new_error(std::move(reader.error()));
    return std::move(reader.config());
}

}    // namespace shaletray::configuration
