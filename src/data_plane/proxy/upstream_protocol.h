// What a platform's messages to and from servers say.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/http/message.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// What the exchange on a connection is about.
struct Asked {
    HostId host{};
    bool probe = false;
    std::string id = {};    // of the request's payload; none of a probe
};

// Whether an answer belongs to what was asked.
enum class Fits {
    Yes,
    Surplus,    // to something asked before: it is skipped, and the next one is read
    No,         // to nothing that is known: spoilt, and the connection with it
};

class Dialect {
public:
    virtual ~Dialect() = default;
    // A request of which only the first part is there is written with that part (payload.upload).
    virtual std::string write_request(const Payload& request, HostId host, Duration left) const = 0;
    virtual std::string write_probe(HostId host, std::string_view address) const = 0;

    // Of final answers only. The first three are asked as soon as the head is whole, and must be answered by
    // the head alone; outcome_of is asked once more when the answer is whole. Ok and what is `good` is passed
    // on to the client; ConnectFailed, Full and NotSent say that nothing of the request ran.
    virtual Fits fits(const Asked&, const http::Parser&, const http::Buffer&) const { return Fits::Yes; }
    virtual Outcome outcome_of(const Asked& asked, const http::Parser& parser,
                               const http::Buffer& buffer) const = 0;
    virtual bool good(const Asked& asked, const http::Parser& parser, const http::Buffer& buffer) const {
        return outcome_of(asked, parser, buffer) == Outcome::Ok;
    }
    virtual LoadReport report_of(const http::Parser&, const http::Buffer&) const { return {}; }
    // Status and headers as the client is to have them, and the body where it is wanted.
    virtual Payload answer_of(const http::Parser& parser, const http::Buffer& buffer,
                              bool with_body) const = 0;
    virtual double settled_units_of(const http::Parser&, const http::Buffer&) const { return kUnitsUntold; }
    // After how long without a request the server closes the connection, where its answer tells. Kept
    // connections are closed after 0.6 of it.
    virtual std::optional<Duration> idle_limit(const http::Parser&, const http::Buffer&) const {
        return std::nullopt;
    }
};

}    // namespace shaletray
