// Constants that several policy files share; the others are defined where they are used.
#pragma once

#include "decision/gateway_state.h"

namespace shaletray::decision {

using namespace std::chrono_literals;

constexpr Duration kIsolatedAfter = 3s;     // without any peer message; pooled buckets then work alone
constexpr Duration kBusyTick = 10ms;        // tick interval while requests are queued or in flight
constexpr double kFailureHalfLife = 3.0;    // seconds

}    // namespace shaletray::decision
