// Sockets in the file system, whose mode says who may come.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace shaletray {

// Takes over the path from a process that is gone. Throws std::runtime_error where another one listens there
// or the path is no socket, and Poco::Exception where it cannot be used.
Poco::Net::ServerSocket listen_at(const std::string& path, int mode, int backlog);
Poco::Net::SocketAddress unix_address(const std::string& path);

}    // namespace shaletray
