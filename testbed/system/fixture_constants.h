// Constants that the parts of SystemFixture share. Internal to this folder.
#pragma once

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::testbed {

constexpr int kFrontendPort = 8045, kReadinessPort = 8048, kControlPort = 8042, kFirstPort = 7100,
              kLastPort = 7115;
constexpr int kServerPort = 8080;
// The port of the status pages. It differs by role, as a machine may run both programs at one address.
inline int status_port_of(std::string_view role) { return role == "gateway" ? 8049 : 8050; }
// Seconds between two checks of a condition, and until servers and operators use changed control addresses.
constexpr double kPollInterval = 0.05, kSeedUpdateDelay = 3.0;
// Addresses used for each third octet; the fourth octet is below 255.
constexpr std::size_t kAddressesPerOctet = 200;

inline std::string format_milliseconds(Duration d) {
    return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}    // namespace shaletray::testbed
