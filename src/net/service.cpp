#include "net/service.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kOwnDescriptors = 32;    // listener, discovery, peers, epoll, standard streams, spare
constexpr double kClientShare = 0.7;           // of the others
constexpr Duration kAcceptOn = 700ms;          // after the order to stop, for clients that do not know yet
// The process is ended by force the longest deadline plus 0.7 s after that order.
constexpr Duration kShortestGrace = 3s, kEndBefore = 100ms;
constexpr double kIdleShare = 0.6;    // of the time after which servers close a connection

std::size_t share_of(const Config& config, double share) {
    return static_cast<std::size_t>(static_cast<double>(config.sockets - kOwnDescriptors) * share);
}

}    // namespace

Service::Service(Config config)
    : config_(std::move(config)),
      hosts_(config_.settings.drain_grace),
      engine_(config_.settings, config_.seed, clock_, timers_, counters_) {
    const Duration idle(
        static_cast<std::int64_t>(static_cast<double>(config_.conn_idle.count()) * kIdleShare));
    pool_ = std::make_unique<ServerPool>(
        engine_, hosts_, counters_, reactor_,
        ServerPool::Limits{share_of(config_, 1.0 - kClientShare), config_.dial_timeout, idle});
    peers_ = std::make_unique<PeerSocket>(engine_, config_, counters_, reactor_);
    watch_ = std::make_unique<DiscoveryWatch>(engine_, hosts_, config_, counters_, reactor_, [this] {
        listed_ = listed_ || hosts_.size() > 0;
        pool_->list_changed();
    });
    engine_.connect(*pool_, *peers_, *watch_);
    listener_ = std::make_unique<Listener>(engine_, config_, counters_, reactor_,
                                           share_of(config_, kClientShare), [this] { return listed_; });
}

Service::~Service() = default;

void Service::run(std::function<void()> look) {
    reactor_.before_turn([this, look = std::move(look)](bool sockets) {
        // Discovery may be among them, and then comes before all others. A turn without sockets has nothing
        // of it.
        if (sockets) watch_->read_now();
        look();
        look_after_stop();
    });
    watch_->start();
    reactor_.reckon_timeout();
    reactor_.run();
}

void Service::stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    listener_->begin_stop();
}

bool Service::reload(const Config& changed) {
    if (changed.discovery == config_.discovery) return false;
    log(LogLevel::Info, "discovery moves from {} to {}", config_.discovery, changed.discovery);
    config_.discovery = changed.discovery;
    watch_->move_to(changed.discovery);
    ++counters_.reloads;
    return true;
}

void Service::look_after_stop() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration stopping = clock_.now() - stopping_since_;
    if (stopping >= kAcceptOn) listener_->end_accepting();
    const Duration longest = std::max(config_.longest_deadline(), kShortestGrace) + kAcceptOn - kEndBefore;
    if (stopping >= longest) engine_.give_up_all();
    if ((stopping >= kAcceptOn && listener_->clients() == 0) || stopping >= longest) reactor_.stop();
}

}    // namespace shaletray
