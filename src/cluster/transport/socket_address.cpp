#include "cluster/transport/socket_address.h"

#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <cstdint>

namespace shaletray::transport {

std::optional<Poco::Net::SocketAddress> parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc{} || parsed_end != end) return std::nullopt;
    Poco::Net::IPAddress ip;
    if (!Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip)) return std::nullopt;
    return Poco::Net::SocketAddress(ip, port);
}

}    // namespace shaletray::transport
