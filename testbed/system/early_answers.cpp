#include "system/early_answers.h"

#include <fmt/format.h>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMinReadingPause = 20ms, kMaxReadingPause = 900ms;

}    // namespace

EarlyAnswer draw_early_answer(std::mt19937_64& random, double share) {
    constexpr EarlyAnswer kKinds[] = {EarlyAnswer::Silence, EarlyAnswer::NotExecuted,
                                      EarlyAnswer::NotExecuted, EarlyAnswer::ServerError};
    if (std::uniform_real_distribution<double>()(random) >= share) return EarlyAnswer::None;
    return kKinds[random() % std::size(kKinds)];
}

Duration draw_reading_pause(std::mt19937_64& random) {
    const auto range = static_cast<std::uint64_t>((kMaxReadingPause - kMinReadingPause).count());
    return kMinReadingPause + Duration(static_cast<Duration::rep>(random() % range));
}

std::string write_early_answer(EarlyAnswer answer, const std::string& request_id) {
    if (answer == EarlyAnswer::None || answer == EarlyAnswer::Silence) return {};
    const bool is_executed = answer == EarlyAnswer::ServerError;
    return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                       is_executed ? "500 No" : "503 No\r\nX-Not-Executed: 1", request_id);
}

}    // namespace shaletray::testbed
