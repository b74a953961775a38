#include "data_plane/proxy/client_listener.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 512;
constexpr Duration kSweepEvery = 250ms;
constexpr Duration kAcceptPause = 20ms;    // out of descriptors: the backlog waits
constexpr int kMostAtOnce = 16;            // new connections in one go, so that a flood keeps no one waiting
// What stands for less is not closed to make room: an answer may not be read yet, a request may be under way,
// and who is promised a kept connection has it for two seconds.
constexpr Duration kYoungAnswered = 100ms, kYoungSilent = 20ms, kYoungKept = 2s;

}    // namespace

Poco::Net::ServerSocket Listener::listen(const std::string& address) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true, true);
    socket.listen(kBacklog);
    return socket;
}

Listener::Listener(Intake& intake, Door& door, ClientRoom room, Counters& counters, Reactor& reactor,
                   Poco::Net::ServerSocket socket, std::size_t most_clients, std::function<bool()> ready)
    : context_{intake, door, room, counters, reactor, std::move(ready), {}, false, false},
      most_clients_(most_clients),
      socket_(std::move(socket)) {
    context_.closed = [this](ClientConnection& client) {
        const auto it = clients_.find(&client);
        if (it == clients_.end()) return;
        context_.reactor.retire(std::move(it->second));
        clients_.erase(it);
        if (!accepting_ && pause_timer_ == 0) accept_on(true);
    };
    socket_.setBlocking(false);
    accept_on(true);
    sweep_timer_ = reactor.after(kSweepEvery, [this] { sweep(); });
}

Listener::~Listener() {
    open_ = false;
    accept_on(false);
    context_.reactor.cancel(sweep_timer_);
    context_.reactor.cancel(pause_timer_);
    clients_.clear();
    context_.reactor.reap();    // closed connections refer to what they share here
}

void Listener::accept_on(bool wanted) {
    if (accepting_ == wanted || (wanted && !open_)) return;
    const Poco::NObserver<Listener, Poco::Net::ReadableNotification> observer(*this, &Listener::on_readable);
    if (wanted) context_.reactor.addEventHandler(socket_, observer);
    else context_.reactor.removeEventHandler(socket_, observer);
    accepting_ = wanted;
}

void Listener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMostAtOnce && open_ && accepting_; ++i) {
        if (!accept()) break;
    }
    context_.reactor.reckon_timeout();
}

// False where there was nothing more to accept.
bool Listener::accept() {
    if (clients_.size() >= most_clients_ && !make_room()) {
        // The budget of descriptors is spent: clients wait in the backlog until one leaves, or may be closed.
        ++context_.counters.clients_rejected;
        pause_accepting(kAcceptPause);
        return false;
    }
    try {
        auto client = std::make_unique<ClientConnection>(context_, socket_.acceptConnection());
        ClientConnection* const key = client.get();
        clients_.emplace(key, std::move(client));
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK) return false;    // none waits, or it left before that
        // Out of descriptors, above all: the listener stays readable, and trying on would spin.
        if (gate_.open()) log(LogLevel::Warning, Event::AcceptFailed, {kv("why", error.displayText())});
        make_room();
        pause_accepting(kAcceptPause);
        return false;
    }
}

void Listener::pause_accepting(Duration wait) {
    accept_on(false);
    if (pause_timer_ != 0) return;
    pause_timer_ = context_.reactor.after(wait, [this] {
        pause_timer_ = 0;
        accept_on(true);
    });
}

// Closes a connection that carries no request: first those that were answered for good, then those that never
// asked, then those that asked once, and a usual client's last. What is too young stays.
bool Listener::make_room() {
    const TimePoint now = context_.reactor.clock().now();
    const std::pair<Spare, Duration> kinds[] = {{Spare::Answered, kYoungAnswered},
                                                {Spare::Silent, kYoungSilent},
                                                {Spare::AskedOnce, kYoungKept},
                                                {Spare::Kept, kYoungKept},
                                                {Spare::AskedOnce, Duration(0)}};
    for (const auto& [kind, young] : kinds) {
        // One that turns out to carry a request leaves the set, so this ends.
        while (true) {
            const auto it = context_.spare.lower_bound({kind, TimePoint::min(), nullptr});
            if (it == context_.spare.end() || std::get<0>(*it) != kind || now - std::get<1>(*it) < young)
                break;
            if (std::get<2>(*it)->make_room()) return true;
        }
    }
    return false;
}

void Listener::sweep() {
    std::vector<ClientConnection*> all;
    for (const auto& [key, client] : clients_) all.push_back(key);
    const TimePoint now = context_.reactor.clock().now();
    for (ClientConnection* client : all) {
        client->sweep(now);
        if (!open_) client->close_if_idle();
    }
    sweep_timer_ = context_.reactor.after(open_ ? kSweepEvery : kSweepEvery / 10, [this] { sweep(); });
}

void Listener::begin_anew(Poco::Net::ServerSocket socket) {
    context_.stopping = false;
    socket_ = std::move(socket);
    socket_.setBlocking(false);
    open_ = true;
    accept_on(true);
}

void Listener::begin_stop() {
    context_.stopping = true;
    close_idle();
}

void Listener::drain(bool wanted) {
    context_.draining = wanted;
    if (wanted) close_idle();
}

void Listener::close_idle() {
    std::vector<ClientConnection*> all;
    for (const auto& [key, client] : clients_) all.push_back(key);
    for (ClientConnection* client : all) client->close_if_idle();
}

void Listener::end_accepting() {
    if (!open_) return;
    // What waits in the backlog was accepted by the machine: closing over it would lose its requests.
    while (accept()) {
    }
    accept_on(false);
    open_ = false;
    socket_.close();
    context_.reactor.cancel(sweep_timer_);
    sweep();
}

}    // namespace shaletray
