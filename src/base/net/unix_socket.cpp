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

// A socket that a killed process left behind refuses connections.
bool answered(const std::string& path) {
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
    struct stat info {};
    if (::lstat(path.c_str(), &info) == 0) {
        if (!S_ISSOCK(info.st_mode))
            throw std::runtime_error(path + " is there and is no socket: name another path");
        if (answered(path)) throw std::runtime_error(path + ": another process listens there");
        ::unlink(path.c_str());
    }
    // No peer may connect before the file mode is set.
    Poco::Net::ServerSocket socket;
    const mode_t before = ::umask(0177);
    try {
        socket.bind(unix_address(path), false);
    } catch (...) {
        ::umask(before);
        throw;
    }
    ::umask(before);
    if (::chmod(path.c_str(), static_cast<mode_t>(mode)) != 0)
        throw std::runtime_error(path + ": its mode cannot be set");
    socket.listen(backlog);
    return socket;
}

}    // namespace shaletray
