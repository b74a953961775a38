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

constexpr std::size_t kLongestPath = 100;    // the system takes 107 bytes
constexpr std::size_t kMostConnections = 2;
constexpr Duration kPatience = 3s;
constexpr Duration kAtMost = 2s;    // for the predecessor's answers, in all
// Between the old listener's end and the state: requests on connections it has just taken are still served by
// it.
constexpr Duration kSettle = 20ms;
constexpr std::size_t kLongestState = 64 * 1024 * 1024;
constexpr std::string_view kRelease = "release\n", kReleased = "released\n", kState = "state\n";

}    // namespace

std::string place_for(const std::string& listen) {
    const char* const folder = std::getenv("TMPDIR");
    if (folder == nullptr || *folder == '\0' || listen.ends_with(":0")) return {};
    std::string place = fmt::format("{}/shaletray-{}", folder, listen);
    return place.size() > kLongestPath ? std::string() : place;
}

std::string ask_predecessor(const std::string& place) {
    if (place.empty() || ::access(place.c_str(), F_OK) != 0) return {};
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(unix_address(place), Poco::Timespan(0, 500'000));
        const auto end = std::chrono::steady_clock::now() + kAtMost;
        std::string heard;
        // False where the other side ended. Throws where it takes too long.
        const auto hear = [&] {
            const auto left = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
            socket.setReceiveTimeout(
                Poco::Timespan(0, static_cast<int>(std::max<Duration>(left, 1ms).count())));
            char bytes[16 * 1024];
            const int n = socket.receiveBytes(bytes, sizeof bytes);
            if (n > 0) heard.append(bytes, static_cast<std::size_t>(n));
            return n > 0 && heard.size() <= kLongestState;
        };
        socket.sendBytes(kRelease.data(), static_cast<int>(kRelease.size()));
        while (!heard.ends_with('\n') && hear()) {
        }
        if (heard != kReleased) return {};
        heard.clear();
        std::this_thread::sleep_for(kSettle);
        socket.sendBytes(kState.data(), static_cast<int>(kState.size()));
        while (hear()) {
        }
        return heard;
    } catch (const Poco::Exception& error) {
        log(LogLevel::Info, Event::HandoverNone, {kv("why", error.displayText())});
        return {};
    }
}

class Heir::Asked : public Talk {
public:
    explicit Asked(Heir& of) : heir_(of) {}
    ~Asked() override {
        if (!asked_ || heir_.given_) return;
        heir_.released_ = false;
        heir_.resume_();
    }
    Next take(http::Buffer& in, std::string& out) override {
        while (true) {
            const std::string_view bytes = in.unread();
            if (bytes.starts_with(kRelease) && !std::exchange(heir_.released_, true)) {
                in.consume(kRelease.size());
                asked_ = true;
                heir_.release_();
                out += kReleased;
            } else if (bytes.starts_with(kState) && asked_ && !std::exchange(heir_.given_, true)) {
                in.consume(kState.size());
                out += heir_.state_();
                return Next::End;
            } else {
                const bool begun = kRelease.starts_with(bytes) || kState.starts_with(bytes);
                return begun ? Next::Wait : Next::End;
            }
        }
    }

private:
    Heir& heir_;
    bool asked_ = false;    // by this one
};

Heir::Heir(Reactor& reactor, std::string place, std::function<void()> release,
           std::function<std::string()> state, std::function<void()> resume)
    : place_(std::move(place)),
      release_(std::move(release)),
      state_(std::move(state)),
      resume_(std::move(resume)) {
    ::unlink(place_.c_str());    // the predecessor's, which was asked before this
    talks_ =
        std::make_unique<TalkServer>(reactor, listen_at(place_, 0600, static_cast<int>(kMostConnections)),
                                     TalkServer::Limits{kMostConnections, kPatience, true},
                                     [this] { return std::make_unique<Asked>(*this); });
}

Heir::~Heir() {
    if (!released_) ::unlink(place_.c_str());    // else it is the successor's by now
    given_ = true;                               // nobody is served any more
}

}    // namespace shaletray::handover
