// How servers treat a request whose body they have not read yet, as the protocol lets them: they may answer
// before they have read a long body, keep the connection and read on later.
#pragma once

#include <cstddef>
#include <random>
#include <string>

#include "base/common/clock.h"

namespace shaletray::testbed {

enum class EarlyAnswer {
    None,           // the server reads the whole body and then answers
    Silence,        // it stops reading for a while, and never answers
    NotExecuted,    // 503 with X-Not-Executed
    ServerError     // 500
};

// Bytes of a request that have arrived when a server decides.
constexpr std::size_t kEarlyAnswerSize = 48 * 1024;

// Draws for one request; `share` of the requests, from 0 to 1, are not read to their end before the answer.
EarlyAnswer draw_early_answer(std::mt19937_64& random, double share);
// For how long the server reads nothing more.
Duration draw_reading_pause(std::mt19937_64& random);
// The whole answer; empty for None and Silence.
std::string write_early_answer(EarlyAnswer answer, const std::string& request_id);

}    // namespace shaletray::testbed
