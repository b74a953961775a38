#include "balancer/control_socket/control_server.h"

#include <unistd.h>

#include "base/net/unix_socket.h"

namespace shaletray::control_socket {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxConnections = 8;    // most descriptors are kept for clients
constexpr Duration kIdleTimeout = 10s;

class CommandProtocol : public LineProtocol {
public:
    CommandProtocol(PlanCommandHandler& command_handler, const Clock& clock, std::uint64_t& commands_received)
        : command_handler_(command_handler), clock_(clock), commands_received_(commands_received) {}
    NextStep process_input(http::Buffer& in, std::string& out) override {
        while (true) {
            const std::string_view bytes = in.unread();
            const std::size_t end = bytes.find('\n');
            if (end == std::string_view::npos) {
                if (bytes.size() <= kMaxLineLength) return NextStep::ReadMore;
                out += "{\"ok\":false,\"why\":\"wrong\",\"text\":\"the line is longer than 16 KiB\"}\n";
                return NextStep::Close;
            }
            ++commands_received_;
            out += command_handler_.handle_line(bytes.substr(0, end), clock_.now()) + "\n";
            in.consume(end + 1);
        }
    }

private:
    PlanCommandHandler& command_handler_;
    const Clock& clock_;
    std::uint64_t& commands_received_;
};

}    // namespace

ControlServer::ControlServer(PlanCommandHandler command_handler, Reactor& reactor, std::string path, int mode)
    : command_handler_(std::move(command_handler)), path_(std::move(path)) {
    const Clock& clock = reactor.clock();
    line_server_ = std::make_unique<LineProtocolServer>(
        reactor, listen_at(path_, mode, static_cast<int>(kMaxConnections)),
        LineProtocolServer::Limits{kMaxConnections, kIdleTimeout, true}, [this, &clock] {
            return std::make_unique<CommandProtocol>(command_handler_, clock, commands_received_);
        });
}

ControlServer::~ControlServer() { ::unlink(path_.c_str()); }

}    // namespace shaletray::control_socket
