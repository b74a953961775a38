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

constexpr std::size_t kMaxPathLength = 100;    // the system takes 107 bytes
constexpr std::size_t kMaxConnections = 2;
constexpr Duration kReadTimeout = 3s;
constexpr Duration kMaxHandoverTime = 2s;    // for the predecessor's answers, in all
// Between the old listener's end and the state: requests on connections it has just taken are still served by
// it.
constexpr Duration kSettlingTime = 20ms;
constexpr std::size_t kMaxStateSize = 64 * 1024 * 1024;
constexpr std::string_view kReleaseCommand = "release\n", kReleasedReply = "released\n",
                           kStateCommand = "state\n";

}    // namespace

std::string socket_path_for(const std::string& listen) {
    const char* const folder = std::getenv("TMPDIR");
    if (folder == nullptr || *folder == '\0' || listen.ends_with(":0")) return {};
    std::string place = fmt::format("{}/shaletray-{}", folder, listen);
    return place.size() > kMaxPathLength ? std::string() : place;
}

std::string request_predecessor_state(const std::string& place) {
    if (place.empty() || ::access(place.c_str(), F_OK) != 0) return {};
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(unix_address(place), Poco::Timespan(0, 500'000));
        const auto end = std::chrono::steady_clock::now() + kMaxHandoverTime;
        std::string heard;
        // False where the other side ended. Throws where it takes too long.
        const auto hear = [&] {
            const auto left = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
            socket.setReceiveTimeout(
                Poco::Timespan(0, static_cast<int>(std::max<Duration>(left, 1ms).count())));
            char bytes[16 * 1024];
            const int n = socket.receiveBytes(bytes, sizeof bytes);
            if (n > 0) heard.append(bytes, static_cast<std::size_t>(n));
            return n > 0 && heard.size() <= kMaxStateSize;
        };
        socket.sendBytes(kReleaseCommand.data(), static_cast<int>(kReleaseCommand.size()));
        while (!heard.ends_with('\n') && hear()) {
        }
        if (heard != kReleasedReply) return {};
        heard.clear();
        std::this_thread::sleep_for(kSettlingTime);
        socket.sendBytes(kStateCommand.data(), static_cast<int>(kStateCommand.size()));
        while (hear()) {
        }
        return heard;
    } catch (const Poco::Exception& error) {
        log(LogLevel::Info, Event::HandoverUnavailable, {log_field("why", error.displayText())});
        return {};
    }
}

class HandoverServer::HandoverProtocol : public LineProtocol {
public:
    explicit HandoverProtocol(HandoverServer& of) : server_(of) {}
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
                const bool begun = kReleaseCommand.starts_with(bytes) || kStateCommand.starts_with(bytes);
                return begun ? NextStep::ReadMore : NextStep::Close;
            }
        }
    }

private:
    HandoverServer& server_;
    bool release_requested_ = false;    // by this one
};

HandoverServer::HandoverServer(Reactor& reactor, std::string place, std::function<void()> release,
                               std::function<std::string()> state, std::function<void()> resume)
    : socket_path_(std::move(place)),
      release_listeners_(std::move(release)),
      export_state_(std::move(state)),
      resume_service_(std::move(resume)) {
    ::unlink(socket_path_.c_str());    // the predecessor's, which was asked before this
    line_server_ = std::make_unique<LineProtocolServer>(
        reactor, listen_at(socket_path_, 0600, static_cast<int>(kMaxConnections)),
        LineProtocolServer::Limits{kMaxConnections, kReadTimeout, true},
        [this] { return std::make_unique<HandoverProtocol>(*this); });
}

HandoverServer::~HandoverServer() {
    if (!is_released_) ::unlink(socket_path_.c_str());    // else it is the successor's by now
    state_sent_ = true;                                   // nobody is served any more
}

}    // namespace shaletray::handover
