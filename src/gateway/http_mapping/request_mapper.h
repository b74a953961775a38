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
#include "cluster/configuration/configuration_index.h"
#include "data_plane/proxy/request_mapping.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray::http_mapping {

// What a request is for, by the chart that was in force when it came. Goes with its Arrival, as `purpose`.
struct RouteMatch {
    std::shared_ptr<const configuration::ConfigurationIndex>
        configuration_index;    // keeps what is pointed to here
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;    // none: a public route, or no keys are asked for

    int priority() const {
        return tenant != nullptr && tenant->priority ? *tenant->priority : route->priority;
    }
};

class RequestMapper final : public RequestMapping {
public:
    // All requests read from now on go by this chart.
    void set_configuration(std::shared_ptr<const configuration::ConfigurationIndex> index) {
        configuration_index_ = std::move(index);
    }
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index() const {
        return configuration_index_;
    }

    bool is_readiness_check(const http::Parser&, const http::Buffer&) const override { return false; }
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint now) override;
    http::Limits parser_limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t requested) const override;
    GatewayAnswer rejection_answer(RejectionReason reason, Duration retry_after) const override;
    GatewayAnswer failure_answer(FailureReason reason) const override;

private:
    std::shared_ptr<const configuration::ConfigurationIndex> configuration_index_;
};

// "400" to "400.7" milliseconds; none where it is no time, below zero or above an hour.
std::optional<Duration> parse_deadline(std::string_view text);

// Messages to and from the servers of all services.
class UpstreamCodec final : public UpstreamProtocol {
public:
    struct Target {
        std::string id, health_check;
    };
    explicit UpstreamCodec(std::function<std::optional<Target>(HostId)> target_of)
        : target_of_(std::move(target_of)) {}

    std::string write_request(const Payload& request, HostId host, Duration time_left) const override;
    std::string write_health_check(HostId host, std::string_view address) const override;
    AnswerMatch match_answer(const ExchangeContext& request, const http::Parser& parser,
                             const http::Buffer& buffer) const override;
    Outcome outcome_of(const ExchangeContext& request, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    std::optional<Duration> server_idle_timeout(const http::Parser& parser,
                                                const http::Buffer& buffer) const override;

private:
    std::function<std::optional<Target>(HostId)> target_of_;
};

}    // namespace shaletray::http_mapping
