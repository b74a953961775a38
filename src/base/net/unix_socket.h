// Unix domain sockets at a path of the file system, where the file mode controls who may connect.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace shaletray {

// Listens at `path` with file permissions `mode`, and replaces a socket that a dead process left behind.
// Throws std::runtime_error if another process listens there or the path is not a socket, and Poco::Exception
// if the path cannot be used.
Poco::Net::ServerSocket listen_at(const std::string& path, int mode, int backlog);
// The socket address of a path, to connect to it.
Poco::Net::SocketAddress unix_address(const std::string& path);

}    // namespace shaletray
