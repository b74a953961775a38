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
// Of status pages; a machine may have both programs at its address.
inline int status_port_of(std::string_view role) { return role == "gateway" ? 8049 : 8050; }
// Seconds between two looks at a condition, and until servers and operators learn of other machines.
constexpr double kPollInterval = 0.05, kSeedUpdateDelay = 3.0;
// Of one number's addresses: the fourth octet of an IPv4 address has no room for more.
constexpr std::size_t kAddressesPerOctet = 200;

inline std::string format_milliseconds(Duration d) {
    return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}    // namespace shaletray::testbed
