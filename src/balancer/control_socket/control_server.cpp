#include "balancer/control_socket/control_server.h"

#include <unistd.h>

#include "base/net/unix_socket.h"

namespace shaletray::control_socket {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostConnections = 8;    // descriptors are for clients
constexpr Duration kIdle = 10s;

class Lines : public Talk {
public:
    Lines(Office& office, const Clock& clock, std::uint64_t& asked)
        : office_(office), clock_(clock), asked_(asked) {}
    Next take(http::Buffer& in, std::string& out) override {
        while (true) {
            const std::string_view bytes = in.unread();
            const std::size_t end = bytes.find('\n');
            if (end == std::string_view::npos) {
                if (bytes.size() <= kLongestLine) return Next::Wait;
                out += "{\"ok\":false,\"why\":\"wrong\",\"text\":\"the line is longer than 16 KiB\"}\n";
                return Next::End;
            }
            ++asked_;
            out += office_.answer(bytes.substr(0, end), clock_.now()) + "\n";
            in.consume(end + 1);
        }
    }

private:
    Office& office_;
    const Clock& clock_;
    std::uint64_t& asked_;
};

}    // namespace

Server::Server(Office office, Reactor& reactor, std::string path, int mode)
    : office_(std::move(office)), path_(std::move(path)) {
    const Clock& clock = reactor.clock();
    talks_ = std::make_unique<TalkServer>(reactor, listen_at(path_, mode, static_cast<int>(kMostConnections)),
                                          TalkServer::Limits{kMostConnections, kIdle, true}, [this, &clock] {
                                              return std::make_unique<Lines>(office_, clock, asked_);
                                          });
}

Server::~Server() { ::unlink(path_.c_str()); }

}    // namespace shaletray::control_socket
