// How requests are written to the servers, and what their answers mean. Pure.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/http/answer.h"
#include "data_plane/proxy/upstream_protocol.h"
#include "gateway/http_mapping/upstream_hosts.h"

namespace shaletray::http_mapping {

// Why a server answered 421 (Misdirected Request).
enum class MisdirectionReason {
    OtherInstance,    // it is not the instance that the request named: the list of servers is old
    KeyNotHeld,       // it is, and does not hold the request's shard key
};

// Writes requests and health checks to the servers of all services, and reads their answers. Stateless, but
// for the lookup of hosts.
class UpstreamCodec final : public UpstreamProtocol {
public:
    // What has to be known of a host.
    struct Target {
        std::string id;              // of the instance, as the server states it
        std::string health_check;    // path
    };
    using MisdirectionObserver = std::function<void(HostId, MisdirectionReason)>;
    // `target_of` returns nothing for a host that isn't known any more. `on_misdirected` is called once for
    // each 421 of a server.
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
