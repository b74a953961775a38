// What the system's messages to clients and from servers mean: routes, keys, ids and deadlines of requests,
// and how requests are written to servers and their answers read. Pure; the chart is handed in.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/http/answer.h"
#include "cluster/configuration/configuration.h"
#include "data_plane/proxy/request_mapping.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray::http_mapping {

// What a request is for, by the chart that was in force when it came. Goes with its Arrival, as `purpose`.
struct Errand {
    std::shared_ptr<const configuration::Table> table;    // keeps what is pointed to here
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;    // none: a public route, or no keys are asked for

    int priority() const {
        return tenant != nullptr && tenant->priority ? *tenant->priority : route->priority;
    }
};

class Passage final : public Door {
public:
    // All requests read from now on go by this chart.
    void chart(std::shared_ptr<const configuration::Table> table) { table_ = std::move(table); }
    const std::shared_ptr<const configuration::Table>& table() const { return table_; }

    bool asks_ready(const http::Parser&, const http::Buffer&) const override { return false; }
    std::variant<Taken, Rejection> read(const http::Parser& parser, const http::Buffer& buffer,
                                        TimePoint now) override;
    http::Limits limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t asked) const override;
    Final refused(Refusal why, Duration wait) const override;
    Final failed(Failure why) const override;

private:
    std::shared_ptr<const configuration::Table> table_;
};

// "400" to "400.7" milliseconds; none where it is no time, below zero or above an hour.
std::optional<Duration> read_deadline(std::string_view text);

// Messages to and from the servers of all services.
class Tongue final : public Dialect {
public:
    struct Target {
        std::string id, health_check;
    };
    explicit Tongue(std::function<std::optional<Target>(HostId)> target) : target_(std::move(target)) {}

    std::string write_request(const Payload& request, HostId host, Duration left) const override;
    std::string write_probe(HostId host, std::string_view address) const override;
    Fits fits(const Asked& asked, const http::Parser& parser, const http::Buffer& buffer) const override;
    Outcome outcome_of(const Asked& asked, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    std::optional<Duration> idle_limit(const http::Parser& parser, const http::Buffer& buffer) const override;

private:
    std::function<std::optional<Target>(HostId)> target_;
};

}    // namespace shaletray::http_mapping
