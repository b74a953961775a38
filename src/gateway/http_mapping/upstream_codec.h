// Writes requests to the servers and interprets their responses. Does no I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/http/answer.h"
#include "data_plane/proxy/upstream_protocol.h"
#include "gateway/http_mapping/upstream_hosts.h"

namespace shaletray::http_mapping {

// Why a server responded with status 421 (Misdirected Request).
enum class MisdirectionReason {
    OtherInstance,    // the request named another instance: the gateway's list of servers is outdated
    KeyNotHeld,       // it is the named instance, but does not hold the request's shard key
};

// Writes requests and health checks to the servers of all services, and interprets their responses. Stateless
// except for the lookup of hosts.
class UpstreamCodec final : public UpstreamProtocol {
public:
    // The data of a host that requests to it need.
    struct Target {
        std::string id;              // instance id, as the server announces it
        std::string health_check;    // path
    };
    using MisdirectionObserver = std::function<void(HostId, MisdirectionReason)>;
    // `target_of` returns nothing for an unknown host. `on_misdirected` is called once for each response with
    // status 421.
    explicit UpstreamCodec(std::function<std::optional<Target>(HostId)> target_of,
                           MisdirectionObserver on_misdirected = {})
        : target_of_(std::move(target_of)), on_misdirected_(std::move(on_misdirected)) {}

    std::string write_request(const Payload& request, HostId host, Duration time_left) const override;
    std::string write_health_check(HostId host, std::string_view address) const override;
    AnswerMatch match_answer(const ExchangeContext& request, const http::Parser& parser,
                             const http::Buffer& buffer) const override;
    Outcome outcome_of(const ExchangeContext& request, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    void on_response(const ExchangeContext& request, const http::Parser& parser,
                     const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    std::optional<Duration> server_idle_timeout(const http::Parser& parser,
                                                const http::Buffer& buffer) const override;

private:
    std::function<std::optional<Target>(HostId)> target_of_;
    MisdirectionObserver on_misdirected_;
};

}    // namespace shaletray::http_mapping
