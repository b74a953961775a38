// Tuned values that more than one concern goes by; the others stand where they are used.
#pragma once

#include "decision/gateway_state.h"

namespace shaletray::decision {

using namespace std::chrono_literals;

constexpr Duration kAlone = 3s;          // no mail at all for this long: each lives on its own refill
constexpr Duration kBusyTick = 10ms;     // between two ticks while anything is held or out
constexpr double kFailHalfLife = 3.0;    // seconds

}    // namespace shaletray::decision
