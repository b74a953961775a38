#include "base/net/unix_socket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <stdexcept>

namespace shaletray {

Poco::Net::SocketAddress unix_address(const std::string& path) {
    return Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, path);
}

namespace {

// Whether a process listens at the socket: one left behind by a killed process refuses connections.
bool accepts_connections(const std::string& path) {
    try {
        Poco::Net::StreamSocket probe;
        probe.connect(unix_address(path), Poco::Timespan(0, 200000));
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

}    // namespace

Poco::Net::ServerSocket listen_at(const std::string& path, int mode, int backlog) {
    struct stat file_status {};
    if (::lstat(path.c_str(), &file_status) == 0) {
        if (!S_ISSOCK(file_status.st_mode))
            throw std::runtime_error(path + " exists and is not a socket: choose another path");
        if (accepts_connections(path))
            throw std::runtime_error(path + ": another process is listening there");
        ::unlink(path.c_str());
    }
    // No peer may connect before the file mode is set.
    Poco::Net::ServerSocket socket;
    const mode_t previous_umask = ::umask(0177);
    try {
        socket.bind(unix_address(path), false);
    } catch (...) {
        ::umask(previous_umask);
        throw;
    }
    ::umask(previous_umask);
    if (::chmod(path.c_str(), static_cast<mode_t>(mode)) != 0)
        throw std::runtime_error(path + ": cannot set its file mode");
    socket.listen(backlog);
    return socket;
}

}    // namespace shaletray
