// The configuration that the operator sends: its form, the checks it has to pass, and the tables that
// requests are looked up in. Pure: text in, values out. Times are Durations (microseconds). A chart that was
// read is sound: no part of the program checks it again.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"
#include "cluster/configuration/entry_list.h"

namespace shaletray::configuration {

// Why a configuration is not taken: answered to the operator as it stands.
struct ConfigurationError {
    std::string field;    // "routes[3].timeout"
    std::string reason;
};

enum class RouteKind { Idempotent, NonIdempotent };

struct WeightedService {
    std::string service;
    std::uint32_t weight = 0;
    bool operator==(const WeightedService&) const = default;
};
struct Route {
    std::string name, hostname, path_prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{0};           // above 0; ten minutes where it was left out
    Duration target_latency{0};    // 0: not stated
    int priority = 0;              // 0 is the highest
    std::vector<WeightedService>
        targets;             // one where it names a service; none has weight 0, in all less than 2^32
    int max_attempts = 1;    // servers that one request may be sent to, at least 1
    bool is_public = false;
    bool operator==(const Route&) const = default;
};
struct Service {
    std::string name, health_check;
    int max_connections = 0;    // of one server, from all callers together; 0: not stated
    bool operator==(const Service&) const = default;
};
// A tenant's keys in one piece of memory: there are hundreds of thousands of tenants. Gives string_views. A
// key holds no line feed, and is not empty.
class ApiKeyList {
public:
    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = std::string_view;
        using difference_type = std::ptrdiff_t;
        using pointer = const std::string_view*;
        using reference = std::string_view;
        iterator() = default;
        explicit iterator(std::string_view remaining) : remaining_(remaining) {}
        std::string_view operator*() const { return remaining_.substr(0, remaining_.find(kTerminator)); }
        iterator& operator++() {
            remaining_.remove_prefix(remaining_.find(kTerminator) + 1);
            return *this;
        }
        iterator operator++(int) {
            iterator previous = *this;
            ++*this;
            return previous;
        }
        bool operator==(const iterator& other) const { return remaining_.size() == other.remaining_.size(); }

    private:
        std::string_view remaining_;
    };
    using const_iterator = iterator;

    ApiKeyList() = default;
    ApiKeyList(std::initializer_list<std::string_view> keys) {
        for (const std::string_view key : keys) push_back(key);
    }
    void push_back(std::string_view key) { (text_ += key) += kTerminator; }
    void shrink_to_fit() { text_.shrink_to_fit(); }
    iterator begin() const { return iterator(text_); }
    iterator end() const { return iterator(); }
    bool empty() const { return text_.empty(); }
    std::size_t size() const { return static_cast<std::size_t>(std::distance(begin(), end())); }
    bool operator==(const ApiKeyList&) const = default;

private:
    static constexpr char kTerminator = '\n';
    std::string text_;    // each key with its end
};
struct Tenant {
    std::string name;
    ApiKeyList api_keys;
    std::optional<int> priority;             // goes before the route's
    double rate_per_s = 0.0, burst = 0.0;    // rate 0: no limit
    bool operator==(const Tenant&) const = default;
};
struct Limits {
    std::size_t max_header_bytes = 16384, max_body_bytes = 64 * 1024 * 1024;
    Duration header_timeout = std::chrono::seconds(3), idle_timeout = std::chrono::seconds(15);
    bool operator==(const Limits&) const = default;
};
struct Configuration {
    std::uint64_t version = 0;    // 0: none was ever taken
    EntryList<Route> routes;
    EntryList<Service> services;
    std::optional<EntryList<Tenant>> tenants;    // none: no keys are asked for
    Limits limits;
    bool operator==(const Configuration&) const = default;
};

// The operator's text, at most 64 MiB. Routes, services and tenants come in the order of their names, each
// name once. Errors: Refusal.
boost::leaf::result<Configuration> parse_configuration(std::string_view text);
// Of the rows, whatever their order: equal charts have equal digests. For charts that were read it takes no
// longer than the time for a word of every 64 rows; likewise a copy.
std::uint64_t digest_of(const Configuration& config);

// What leads from one chart to another, as bytes. Names of rows are their keys. What a patch leads to has its
// rows in the order of their names; a whole keeps the order that it was given.
std::string write_full(const Configuration& config);
std::string write_delta(const Configuration& from, const Configuration& to);
// Either kind. What a patch leads to shares with `held` what it does not change, and takes time as the
// changes do. Errors: Refusal, where it is damaged, or a patch to something else than `held` (whole ones take
// no notice of it): the whole is then to be asked for.
boost::leaf::result<Configuration> apply_update(const Configuration& current, std::string_view bytes);

// A chart made ready for look-ups; immutable, shared by the requests under way.
class ConfigurationIndex {
public:
    explicit ConfigurationIndex(Configuration new_config);
    // The same, quicker where the chart shares rows with the other table's.
    ConfigurationIndex(Configuration new_config, const ConfigurationIndex& previous);
    const Configuration& config() const { return config_; }
    // The route of that host (without regard to case, without its port) with the longest prefix of the path
    // (the target up to '?'); none: 404. A prefix that does not end with a slash begins whole segments only:
    // "/a" is for "/a" and "/a/b", not for "/ab". Takes the time that the path's length wants, however many
    // routes there are.
    const Route* find_route(std::string_view host, std::string_view path) const;
    const Tenant* find_tenant(std::string_view key) const;    // none: 401
    bool requires_api_key() const { return config_.tenants.has_value(); }
    // The service for a request by weights: `draw` is spread evenly over 64 bits.
    static const std::string& pick_service(const Route& route, std::uint64_t random_value);

private:
    struct Indexes;
    Configuration config_;
    std::shared_ptr<const Indexes> indexes_;
};

}    // namespace shaletray::configuration
