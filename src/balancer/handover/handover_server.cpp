#include "balancer/handover/handover_server.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "base/common/log.h"
#include "base/net/unix_socket.h"

namespace shaletray::handover {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxPathLength = 100;    // sun_path holds at most 107 bytes
constexpr std::size_t kMaxConnections = 2;
constexpr Duration kReadTimeout = 3s;
constexpr Duration kMaxHandoverTime = 2s;    // for all replies of the predecessor together
// Delay between the release and the request for the state, in which the predecessor still receives requests
// on the connections that it has just accepted.
constexpr Duration kSettlingTime = 20ms;
constexpr std::size_t kMaxStateSize = 64 * 1024 * 1024;
constexpr std::string_view kReleaseCommand = "release\n", kReleasedReply = "released\n",
                           kStateCommand = "state\n";

}    // namespace

std::string socket_path_for(const std::string& listen) {
    const char* const folder = std::getenv("TMPDIR");
    if (folder == nullptr || *folder == '\0' || listen.ends_with(":0")) return {};
    std::string path = fmt::format("{}/shaletray-{}", folder, listen);
    return path.size() > kMaxPathLength ? std::string() : path;
}

std::string request_predecessor_state(const std::string& path) {
    if (path.empty() || ::access(path.c_str(), F_OK) != 0) return {};
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(unix_address(path), Poco::Timespan(0, 500'000));
        const auto deadline = std::chrono::steady_clock::now() + kMaxHandoverTime;
        std::string received;
        // False at the end of the stream, or if the reply is too long. Throws on timeout.
        const auto receive = [&] {
            const auto remaining =
                std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now());
            socket.setReceiveTimeout(
                Poco::Timespan(0, static_cast<int>(std::max<Duration>(remaining, 1ms).count())));
            char bytes[16 * 1024];
            const int count = socket.receiveBytes(bytes, sizeof bytes);
            if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
            return count > 0 && received.size() <= kMaxStateSize;
        };
        socket.sendBytes(kReleaseCommand.data(), static_cast<int>(kReleaseCommand.size()));
        while (!received.ends_with('\n') && receive()) {
        }
        if (received != kReleasedReply) return {};
        received.clear();
        std::this_thread::sleep_for(kSettlingTime);
        socket.sendBytes(kStateCommand.data(), static_cast<int>(kStateCommand.size()));
        while (receive()) {
        }
        return received;
    } catch (const Poco::Exception& error) {
        log(LogLevel::Info, Event::HandoverUnavailable, {log_field("why", error.displayText())});
        return {};
    }
}

class HandoverServer::HandoverProtocol : public LineProtocol {
public:
    explicit HandoverProtocol(HandoverServer& server) : server_(server) {}
    ~HandoverProtocol() override {
        if (!release_requested_ || server_.state_sent_) return;
        server_.is_released_ = false;
        server_.resume_service_();
    }
    NextStep process_input(http::Buffer& in, std::string& out) override {
        while (true) {
            const std::string_view bytes = in.unread();
            if (bytes.starts_with(kReleaseCommand) && !std::exchange(server_.is_released_, true)) {
                in.consume(kReleaseCommand.size());
                release_requested_ = true;
                server_.release_listeners_();
                out += kReleasedReply;
            } else if (bytes.starts_with(kStateCommand) && release_requested_ &&
                       !std::exchange(server_.state_sent_, true)) {
                in.consume(kStateCommand.size());
                out += server_.export_state_();
                return NextStep::Close;
            } else {
                const bool is_prefix = kReleaseCommand.starts_with(bytes) || kStateCommand.starts_with(bytes);
                return is_prefix ? NextStep::ReadMore : NextStep::Close;
            }
        }
    }

private:
    HandoverServer& server_;
    bool release_requested_ = false;    // by this one
};

HandoverServer::HandoverServer(Reactor& reactor, std::string path, std::function<void()> release_listeners,
                               std::function<std::string()> export_state,
                               std::function<void()> resume_service)
    : socket_path_(std::move(path)),
      release_listeners_(std::move(release_listeners)),
      export_state_(std::move(export_state)),
      resume_service_(std::move(resume_service)) {
    ::unlink(socket_path_.c_str());    // the predecessor's socket, which has been used by now
    line_server_ = std::make_unique<LineProtocolServer>(
        reactor, listen_at(socket_path_, 0600, static_cast<int>(kMaxConnections)),
        LineProtocolServer::Limits{kMaxConnections, kReadTimeout, true},
        [this] { return std::make_unique<HandoverProtocol>(*this); });
}

HandoverServer::~HandoverServer() {
    if (!is_released_) ::unlink(socket_path_.c_str());    // otherwise the successor has replaced it
    state_sent_ = true;                                   // prevents a call of resume_service_
}

}    // namespace shaletray::handover
