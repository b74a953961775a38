// What this platform's HTTP messages mean, and how ours are written.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "balancer/platform/gateway_config.h"
#include "base/http/answer.h"
#include "base/http/message.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/request_mapping.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray {

// Of a request whose body is still coming the body is left to the caller, as its `upload`.
std::variant<Arrival, Rejection> read_request(const http::Parser& parser, const http::Buffer& buffer,
                                              const Config& config);
std::string_view correlation_id(const http::Parser& parser, const http::Buffer& buffer);
bool asks_ready(const http::Parser& parser, const http::Buffer& buffer);

// "480m" or "480000u"; nothing below zero.
bool parse_time_left(std::string_view text, Duration& left);
// "inflight=7,queue=2,util=0.61", under the names the module's settings use. What cannot be read is left out.
LoadReport parse_load(std::string_view text);

// To a server.
std::string write_request(const Payload& request, Duration left);
std::string write_probe(std::string_view host);
std::string write_watch(std::string_view host, std::int64_t revision);

// From a server.
Outcome outcome_of(const http::Parser& parser, const http::Buffer& buffer);
LoadReport report_of(const http::Parser& parser, const http::Buffer& buffer);
Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body = true);
// The true units that a good answer tells where units are settled afterwards ("X-Cost-Units: 3"): above 0.
// kUnitsUntold where it tells none; kUnitsMalformed where it tells anything else, or twice.
double settled_units_of(const http::Parser& parser, const http::Buffer& buffer);

// To a client.
std::string retry_after(Duration wait);

// The above, as the parts on sockets ask for it.
class PlatformDoor : public Door {
public:
    explicit PlatformDoor(const Config& config) : config_(config) {}

    bool asks_ready(const http::Parser& parser, const http::Buffer& buffer) const override;
    std::variant<Taken, Rejection> read(const http::Parser& parser, const http::Buffer& buffer,
                                        TimePoint now) override;
    Rejection faulty(http::Fault fault) const override;
    http::Limits limits() const override;
    Duration header_timeout() const override;
    Duration idle_timeout(std::uint64_t asked) const override;
    Final refused(Refusal why, Duration wait) const override;
    Final failed(Failure why) const override;

private:
    const Config& config_;
};

class PlatformDialect : public Dialect {
public:
    std::string write_request(const Payload& request, HostId host, Duration left) const override;
    std::string write_probe(HostId host, std::string_view address) const override;
    Outcome outcome_of(const Asked& asked, const http::Parser& parser,
                       const http::Buffer& buffer) const override;
    bool good(const Asked& asked, const http::Parser& parser, const http::Buffer& buffer) const override;
    LoadReport report_of(const http::Parser& parser, const http::Buffer& buffer) const override;
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override;
    double settled_units_of(const http::Parser& parser, const http::Buffer& buffer) const override;
};

}    // namespace shaletray
