#include "system/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration kIdle = 10s, kLinger = 1s, kSweepEvery = 500ms, kLongestWork = 20s;
constexpr Duration kUnacknowledged = 6s;    // then it ends all the same
constexpr Duration kLonger = 300ms;         // beyond `drain`
constexpr double kRampSpeed = 0.4;
constexpr int kClosesOneIn = 200;
constexpr std::size_t kShortestBody = 100, kLongestBody = 3000, kLongestAck = 4096;

std::string time_text(Duration d) {
    return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}    // namespace

class AppServer::Peer : public StreamOwner {
public:
    Peer(AppServer& of, Reactor& reactor) : stream(reactor, *this), owner_(of) {}
    ~Peer() override { owner_.reactor_.cancel(timer); }
    void on_input() override { owner_.take_in(*this); }
    void on_broken() override { owner_.forget(*this); }

    enum class State { Idle, Queued, Running };
    Stream stream;
    http::Parser parser{http::Parser::Kind::Request, {64 * 1024, 80 * 1024 * 1024, 200}};
    State state = State::Idle;
    std::string id;
    bool health = false, cut = false, closing = false;
    TimePoint deadline{}, used{};
    Timers::Id timer = 0;

private:
    AppServer& owner_;
};

AppServer::AppServer(Reactor& reactor, Calls& calls, Board& board, ServerPlan plan)
    : reactor_(reactor),
      board_(board),
      plan_(std::move(plan)),
      random_(plan_.seed),
      id_(fmt::format("i-{:08x}", random_() & 0xffffffff)),
      began_(reactor.clock().now()),
      acceptor_(std::make_unique<Acceptor>(reactor, plan_.address, [this](const auto& s) { accept(s); })),
      caller_(calls, plan_.control, random_()) {
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
    beat();
}

AppServer::~AppServer() {
    crash();
    reactor_.reap();
}

void AppServer::crash() { end(); }

void AppServer::end() {
    if (std::exchange(ended_, true)) return;
    caller_.stop();
    for (Timers::Id* timer : {&beat_timer_, &end_timer_, &sweep_timer_}) reactor_.cancel(*timer);
    acceptor_.reset();
    queue_.clear();
    while (!peers_.empty()) forget(*peers_.front());
}

void AppServer::freeze(bool is) {
    frozen_ = is;
    if (is || ended_) return;
    std::vector<Peer*> all;
    for (const auto& peer : peers_) all.push_back(peer.get());
    for (Peer* peer : all) {
        if (peer->state == Peer::State::Running && peer->timer == 0) finish(*peer);
        else if (peer->state == Peer::State::Idle) take_in(*peer);
    }
}

void AppServer::control(std::vector<std::string> gateways) {
    plan_.control = gateways;
    caller_.gateways(std::move(gateways));
}

// ---- beats ----

std::string AppServer::beat_body() {
    const Duration left = std::max(Duration(0), began_ + plan_.ramp - reactor_.clock().now());
    return Json{{"address", plan_.address},
                {"system_info",
                 {{"service", plan_.service},
                  {"revision", plan_.revision},
                  {"zone", plan_.zone},
                  {"capacity", plan_.slots}}},
                {"status",
                 {{"state", leaving_ ? "draining" : "in_service"},
                  {"call_count", ++calls_made_},
                  {"ramp_left", time_text(left)}}}}
        .dump();
}

void AppServer::beat() {
    reactor_.cancel(beat_timer_);
    if (frozen_) {
        beat_timer_ = reactor_.after(plan_.heartbeat, [this] { beat(); });
        return;
    }
    caller_.call(
        "POST", fmt::format("/members/{}/heartbeat", id_), [this] { return beat_body(); },
        plan_.heartbeat * 2, [this](const CallAnswer& answer) { beaten(answer); });
}

void AppServer::beaten(const CallAnswer& answer) {
    const bool good = answer.status >= 200 && answer.status < 300 && answer.body.size() <= kLongestAck;
    if (good) {
        known_ = true;
        const Json body = Json::parse(answer.body, nullptr, false);
        if (body.is_object() && body.contains("heartbeat_target") && body["heartbeat_target"].is_string())
            caller_.prefer(body["heartbeat_target"]);
        if (leaving_ && !std::exchange(left_, true)) {
            reactor_.cancel(end_timer_);
            end_timer_ = reactor_.after(plan_.drain + kLonger, [this] { deregister(); });
        }
    }
    // A little apart, so that not all beat at once for ever.
    const auto spread = static_cast<Duration::rep>(random_() % 100) - 50;
    beat_timer_ = reactor_.after(plan_.heartbeat + plan_.heartbeat * spread / 1000, [this] { beat(); });
}

void AppServer::drain() {
    if (ended_ || std::exchange(leaving_, true)) return;
    end_timer_ = reactor_.after(kUnacknowledged, [this] { end(); });
    beat();
}

void AppServer::deregister() {
    reactor_.cancel(beat_timer_);
    end_timer_ = reactor_.after(kUnacknowledged, [this] { end(); });
    caller_.call(
        "POST", fmt::format("/members/{}/deregister", id_), [this] { return beat_body(); }, kUnacknowledged,
        [this](const CallAnswer&) { end(); });
}

// ---- requests ----

void AppServer::accept(const Poco::Net::StreamSocket& socket) {
    if (peers_.size() >= plan_.connections) {
        Poco::Net::StreamSocket beyond = socket;
        beyond.setLinger(true, 0);
        beyond.close();
        return;
    }
    peers_.push_back(std::make_unique<Peer>(*this, reactor_));
    peers_.back()->used = reactor_.clock().now();
    peers_.back()->stream.adopt(socket);
}

void AppServer::forget(Peer& peer) {
    struct Gone : Retired {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Peer> of) : peer(std::move(of)) {}
        std::unique_ptr<Peer> peer;
    };
    peer.stream.close();
    reactor_.cancel(peer.timer);
    const bool ran = peer.state == Peer::State::Running;
    if (peer.state == Peer::State::Queued) std::erase(queue_, &peer);
    peer.state = Peer::State::Idle;
    const auto it =
        std::find_if(peers_.begin(), peers_.end(), [&](const auto& p) { return p.get() == &peer; });
    if (it == peers_.end()) return;
    reactor_.retire(std::make_unique<Gone>(std::move(*it)));
    peers_.erase(it);
    if (!ran) return;
    --running_;
    next();
}

void AppServer::take_in(Peer& peer) {
    if (peer.closing) return peer.stream.input().consume(peer.stream.input().size());
    peer.used = reactor_.clock().now();
    if (frozen_ || peer.state != Peer::State::Idle || peer.stream.input().empty()) return;
    const http::Status status = peer.parser.parse(peer.stream.input());
    if (status == http::Status::Bad) return forget(peer);
    if (status == http::Status::Done) serve(peer);
}

void AppServer::serve(Peer& peer) {
    const http::Buffer& in = peer.stream.input();
    const TimePoint now = reactor_.clock().now();
    peer.health = peer.parser.method(in) == "GET" && peer.parser.target(in) == "/health";
    peer.id = peer.parser.header(in, "X-Attempt-Id");
    peer.deadline = now + kLongestWork;
    const std::string_view left = peer.parser.header(in, "X-Deadline-Remaining");
    double ms = 0.0;
    if (const auto [end, error] = std::from_chars(left.data(), left.data() + left.size(), ms);
        error == std::errc{} && end != left.data())
        peer.deadline = now + from_secs(ms / 1e3);
    if (!peer.health) {
        if (peer.id.empty()) return refuse(peer, 400);
        board_.arrived(peer.id);
        const std::string_view target = peer.parser.header(in, "X-Target-Instance");
        if (!target.empty() && target != id_) return refuse(peer, 421);
    }
    if (running_ < plan_.slots) return begin(peer);
    if (queue_.size() >= static_cast<std::size_t>(plan_.slots)) return refuse(peer, 503);
    peer.state = Peer::State::Queued;
    queue_.push_back(&peer);
}

Duration AppServer::draw_work() {
    const bool slow = reactor_.clock().now() < began_ + plan_.ramp;
    const double factor = std::lognormal_distribution<double>(-0.08, 0.4)(random_);
    return from_secs(secs(plan_.work) * factor / plan_.speed / (slow ? kRampSpeed : 1.0));
}

void AppServer::begin(Peer& peer) {
    const TimePoint now = reactor_.clock().now();
    const http::Buffer& in = peer.stream.input();
    Duration work(0);
    if (!peer.health) {
        if (now >= peer.deadline) return refuse(peer, 503);
        board_.ran(peer.id, plan_.service, peer.parser.header(in, "X-Tenant"), peer.parser.method(in),
                   peer.parser.target(in), peer.parser.body(in));
        work = draw_work();
        peer.cut = now + work > peer.deadline;
        if (peer.cut) work = peer.deadline - now;
    }
    peer.state = Peer::State::Running;
    ++running_;
    peer.timer = reactor_.after(work, [this, &peer] {
        peer.timer = 0;
        if (!frozen_) finish(peer);
    });
}

void AppServer::finish(Peer& peer) {
    --running_;
    peer.state = Peer::State::Idle;
    if (peer.health) {
        answer(peer, leaving_ ? 503 : 200, fmt::format("X-Instance-Id: {}\r\n", id_), "well");
    } else if (peer.cut) {
        answer(peer, 504, fmt::format("X-Attempt-Id: {}\r\n", peer.id), "");
    } else {
        const std::size_t size = kShortestBody + random_() % (kLongestBody - kShortestBody);
        std::string body(size, static_cast<char>('a' + random_() % 26));
        body += peer.id;
        const std::string seal = fmt::format("{}.{:x}.{:x}", id_.substr(2), ++answers_, random_() & 0xffffff);
        board_.answered(peer.id, seal, body);
        answer(peer, 200, fmt::format("X-Attempt-Id: {}\r\nX-Server-Seal: {}\r\n", peer.id, seal), body);
    }
    next();
}

void AppServer::next() {
    while (!ended_ && running_ < plan_.slots && !queue_.empty()) {
        Peer* const peer = queue_.front();
        queue_.pop_front();
        peer->state = Peer::State::Idle;
        begin(*peer);
    }
}

void AppServer::refuse(Peer& peer, int status) {
    answer(peer, status, fmt::format("X-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n", peer.id), "");
}

void AppServer::answer(Peer& peer, int status, const std::string& headers, const std::string& body) {
    const bool closes = leaving_ || !peer.parser.keep_alive() || random_() % kClosesOneIn == 0;
    peer.stream.input().consume(peer.parser.size());
    peer.parser.reset();
    const std::string out =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}{}\r\n{}", status, status == 200 ? "OK" : "No",
                    body.size(), headers,
                    closes ? std::string("Connection: close\r\n")
                           : fmt::format("Keep-Alive: timeout={}\r\n",
                                         std::chrono::duration_cast<std::chrono::seconds>(kIdle).count()),
                    body);
    if (!peer.stream.send(out)) return forget(peer);
    if (closes) {
        peer.closing = true;
        peer.used = reactor_.clock().now() + kLinger - kIdle;    // closed by a sweep, should the caller not
        peer.stream.end_sending();
        return;
    }
    take_in(peer);
}

void AppServer::sweep() {
    const TimePoint now = reactor_.clock().now();
    std::vector<Peer*> old;
    for (const auto& peer : peers_)
        if (!frozen_ && peer->state == Peer::State::Idle && now - peer->used > kIdle)
            old.push_back(peer.get());
    for (Peer* peer : old) forget(*peer);
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

}    // namespace shaletray::testbed
