// Parsing of socket addresses.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace shaletray::transport {

// Parses a numeric IP address with a port. Host names are not resolved, since that would block the loop.
std::optional<Poco::Net::SocketAddress> parse_address(const std::string& address);

}    // namespace shaletray::transport
