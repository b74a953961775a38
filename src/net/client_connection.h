// One client's connection: a request in, its answer out, then the next.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "core/engine.h"
#include "http/answer.h"
#include "net/door.h"
#include "net/stream.h"

namespace shaletray {

class ClientConnection;

// How readily a connection is given up when room is wanted: the first of these goes first.
enum class Spare { Answered, Silent, AskedOnce, Kept, No };

// What there is for all clients together.
struct ClientRoom {
    std::size_t sockets = 1024;    // descriptors, those for servers among them
    double memory_mb = 32.0;       // of which a quarter may hold long bodies
};

// What the connections of one listener share.
struct ClientContext {
    Intake& intake;
    Door& door;
    ClientRoom room;
    Counters& counters;
    Reactor& reactor;
    std::function<bool()> ready;
    std::function<void(ClientConnection&)> closed;    // gives the connection up, to be destroyed later
    bool stopping = false, draining = false;
    bool leaving() const { return stopping || draining; }    // answers end their connections, readiness is no
    std::size_t held_bodies = 0;    // bytes of long bodies that are held whole, or are to be
    // Connections that carry no request, the longest standing first in each kind. A connection keeps its own
    // place up to date.
    std::set<std::tuple<Spare, TimePoint, ClientConnection*>> spare{};
    std::size_t passing = 0;    // of those, what has asked once or not at all
    // Of the requests that are open: one under another's id could be taken for a copy of it by a server.
    std::unordered_set<std::string> open_ids{};
};

class ClientConnection : public Retired, private Front, private StreamOwner, private BodySink {
public:
    ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket);
    ~ClientConnection() override;

    bool idle() const { return state_ == State::Reading && stream_.input().empty(); }
    // Closes it where it only waits; what a client has sent meanwhile is read first.
    void close_if_idle();
    // Closes it for a new client, unless it is found to carry a request after all. False where it stays.
    bool make_room();
    // Closes a connection that stood still for too long.
    void sweep(TimePoint now);

private:
    class LongBody;
    enum class State { Reading, Waiting, Writing, Lingering, Closed };

    void served(Payload&& answer) override;
    void refused(Duration retry_after, Refusal why) override;
    void failed(Failure why, Payload&& answer) override;
    void on_input() override;
    void on_sent() override;
    void on_broken() override;

    void on_body(std::string_view bytes) override;
    void on_body_end(bool whole) override;

    void process();
    void pass_up();
    void end_upload();
    void turn_back(const Rejection& rejection);
    void pass_on(Payload&& answer);
    void answer(Final&& final);
    void begin_answer(int status);
    std::string headers(std::string_view own) const;
    void next_message();
    void end_flow();
    void take_request();
    void reject(const Rejection& rejection);
    void answer(int status, std::string_view own, std::string_view body);
    void answered();
    void close();
    void enter(State state);
    bool may_hold(std::size_t here);
    void release_body();
    Spare spare() const;
    bool crowded() const;
    void take_place();
    Duration patience() const;
    void release_id();

    ClientContext& context_;
    Stream stream_;
    // Where a longer body cannot be held, its request is taken once so much is here, and what follows is
    // passed on as it comes.
    static constexpr std::size_t kTakeFrom = 64 * 1024;
    http::Parser parser_;
    State state_ = State::Reading;
    std::uint64_t request_ = 0;    // its ticket
    std::string id_;               // of the request that is open
    std::uint64_t asked_ = 0;      // whole requests
    std::size_t discarded_ = 0;    // bytes behind the last answer
    std::pair<Spare, TimePoint> place_{Spare::No, {}};
    std::size_t held_ = 0;                // of context_.held_bodies
    std::shared_ptr<LongBody> upload_;    // of the request that is being passed on
    std::size_t uploaded_ = 0;            // bytes of it that were given
    TimePoint stopped_at_{};              // since when its client is kept waiting
    bool passing_up_ = false;
    std::shared_ptr<BodyFlow> flow_;    // of the answer that is being passed on
    Body framing_ = Body::Stated;
    bool http10_ = false;
    bool keep_alive_ = true, continued_ = false, processing_ = false;
    bool cut_short_ = false;    // answered in the middle of a body
    bool begun_ = false;        // some of a request is here
    TimePoint head_at_{};       // when the head of the request that is read was whole
    TimePoint since_;           // when the state last changed, or the request began
};

}    // namespace shaletray
