// What a platform's messages to and from servers say.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/http/message.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// What the exchange on a connection is about.
struct ExchangeContext {
    HostId host{};
    bool is_health_check = false;
    std::string request_id = {};    // of the request's payload; none of a probe
};

// Whether an answer belongs to what was asked.
enum class AnswerMatch {
    Match,
    EarlierRequest,    // to something asked before: it is skipped, and the next one is read
    Mismatch,          // to nothing that is known: spoilt, and the connection with it
};

class UpstreamProtocol {
public:
    virtual ~UpstreamProtocol() = default;
    // A request of which only the first part is there is written with that part (payload.upload).
    virtual std::string write_request(const Payload& request, HostId host, Duration time_left) const = 0;
    virtual std::string write_health_check(HostId host, std::string_view address) const = 0;

    // Of final answers only. The first three are asked as soon as the head is whole, and must be answered by
    // the head alone; outcome_of is asked once more when the answer is whole. Ok and what is `good` is passed
    // on to the client; ConnectFailed, Full and NotSent say that nothing of the request ran.
    virtual AnswerMatch match_answer(const ExchangeContext&, const http::Parser&, const http::Buffer&) const {
        return AnswerMatch::Match;
    }
    virtual Outcome outcome_of(const ExchangeContext& exchange, const http::Parser& parser,
                               const http::Buffer& buffer) const = 0;
    virtual bool is_forwardable(const ExchangeContext& exchange, const http::Parser& parser,
                                const http::Buffer& buffer) const {
        return outcome_of(exchange, parser, buffer) == Outcome::Ok;
    }
    virtual LoadReport load_report_of(const http::Parser&, const http::Buffer&) const { return {}; }
    // Status and headers as the client is to have them, and the body where it is wanted.
    virtual Payload answer_of(const http::Parser& parser, const http::Buffer& buffer,
                              bool with_body) const = 0;
    virtual double settled_units_of(const http::Parser&, const http::Buffer&) const {
        return kUnitsUnreported;
    }
    // After how long without a request the server closes the connection, where its answer tells. Kept
    // connections are closed after 0.6 of it.
    virtual std::optional<Duration> server_idle_timeout(const http::Parser&, const http::Buffer&) const {
        return std::nullopt;
    }
};

}    // namespace shaletray
