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
struct Refusal {
    std::string field;    // "routes[3].timeout"
    std::string why;
};

enum class RouteKind { Idempotent, NonIdempotent };

struct Share {
    std::string service;
    std::uint32_t weight = 0;
    bool operator==(const Share&) const = default;
};
struct Route {
    std::string name, hostname, path_prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{0};           // above 0; ten minutes where it was left out
    Duration target_latency{0};    // 0: not stated
    int priority = 0;              // 0 is the highest
    std::vector<Share> to;         // one where it names a service; none has weight 0, in all less than 2^32
    int max_attempts = 1;          // servers that one request may be sent to, at least 1
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
class Keys {
public:
    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = std::string_view;
        using difference_type = std::ptrdiff_t;
        using pointer = const std::string_view*;
        using reference = std::string_view;
        iterator() = default;
        explicit iterator(std::string_view left) : left_(left) {}
        std::string_view operator*() const { return left_.substr(0, left_.find(kEnd)); }
        iterator& operator++() {
            left_.remove_prefix(left_.find(kEnd) + 1);
            return *this;
        }
        iterator operator++(int) {
            iterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const iterator& other) const { return left_.size() == other.left_.size(); }

    private:
        std::string_view left_;
    };
    using const_iterator = iterator;

    Keys() = default;
    Keys(std::initializer_list<std::string_view> keys) {
        for (const std::string_view key : keys) push_back(key);
    }
    void push_back(std::string_view key) { (text_ += key) += kEnd; }
    void shrink_to_fit() { text_.shrink_to_fit(); }
    iterator begin() const { return iterator(text_); }
    iterator end() const { return iterator(); }
    bool empty() const { return text_.empty(); }
    std::size_t size() const { return static_cast<std::size_t>(std::distance(begin(), end())); }
    bool operator==(const Keys&) const = default;

private:
    static constexpr char kEnd = '\n';
    std::string text_;    // each key with its end
};
struct Tenant {
    std::string name;
    Keys api_keys;
    std::optional<int> priority;             // goes before the route's
    double rate_per_s = 0.0, burst = 0.0;    // rate 0: no limit
    bool operator==(const Tenant&) const = default;
};
struct Limits {
    std::size_t max_header_bytes = 16384, max_body_bytes = 64 * 1024 * 1024;
    Duration header_timeout = std::chrono::seconds(3), idle_timeout = std::chrono::seconds(15);
    bool operator==(const Limits&) const = default;
};
struct Chart {
    std::uint64_t version = 0;    // 0: none was ever taken
    Rows<Route> routes;
    Rows<Service> services;
    std::optional<Rows<Tenant>> tenants;    // none: no keys are asked for
    Limits limits;
    bool operator==(const Chart&) const = default;
};

// The operator's text, at most 64 MiB. Routes, services and tenants come in the order of their names, each
// name once. Errors: Refusal.
boost::leaf::result<Chart> read_chart(std::string_view json);
// Of the rows, whatever their order: equal charts have equal digests. For charts that were read it takes no
// longer than the time for a word of every 64 rows; likewise a copy.
std::uint64_t digest_of(const Chart& chart);

// What leads from one chart to another, as bytes. Names of rows are their keys. What a patch leads to has its
// rows in the order of their names; a whole keeps the order that it was given.
std::string write_whole(const Chart& chart);
std::string write_patch(const Chart& from, const Chart& to);
// Either kind. What a patch leads to shares with `held` what it does not change, and takes time as the
// changes do. Errors: Refusal, where it is damaged, or a patch to something else than `held` (whole ones take
// no notice of it): the whole is then to be asked for.
boost::leaf::result<Chart> read_update(const Chart& held, std::string_view bytes);

// A chart made ready for look-ups; immutable, shared by the requests under way.
class Table {
public:
    explicit Table(Chart chart);
    // The same, quicker where the chart shares rows with the other table's.
    Table(Chart chart, const Table& before);
    const Chart& chart() const { return chart_; }
    // The route of that host (without regard to case, without its port) with the longest prefix of the path
    // (the target up to '?'); none: 404. A prefix that does not end with a slash begins whole segments only:
    // "/a" is for "/a" and "/a/b", not for "/ab". Takes the time that the path's length wants, however many
    // routes there are.
    const Route* route(std::string_view host, std::string_view path) const;
    const Tenant* tenant(std::string_view key) const;    // none: 401
    bool asks_for_keys() const { return chart_.tenants.has_value(); }
    // The service for a request by weights: `draw` is spread evenly over 64 bits.
    static const std::string& pick(const Route& route, std::uint64_t draw);

private:
    struct Index;
    Chart chart_;
    std::shared_ptr<const Index> index_;
};

}    // namespace shaletray::configuration
