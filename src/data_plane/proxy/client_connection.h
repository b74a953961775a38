// One client's connection: a request in, its answer out, then the next. Requests that may overlap are worked
// on at the same time, and answered in their order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/http/answer.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/request_mapping.h"

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

class ClientConnection : public Retired, private StreamOwner, private BodySink {
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
    // Reading: nothing is owed. Waiting: for the answer that is to be written next. Writing: that one.
    enum class State { Reading, Waiting, Writing, Lingering, Closed };
    static constexpr std::size_t kMostOpen = 16;    // requests of one connection
    // A request, or what was answered at the door, until its answer is written.
    struct Open : Front {
        explicit Open(ClientConnection& client) : of(client) {}
        void served(Payload&& answer) override;
        void refused(Duration retry_after, Refusal why) override;
        void failed(Failure why, Payload&& answer) override;

        ClientConnection& of;
        std::uint64_t ticket = 0;
        std::string id;
        std::size_t held = 0;    // of context_.held_bodies
        bool keep_alive = true, http10 = false, overlaps = false;
        bool unfinished = false;    // its body was not whole when this began
        bool taking = false;        // its ticket is not known yet
        bool answered = false;      // by what follows, which waits for its turn
        Payload answer;
    };
    // Read, but not to be worked on beside others.
    struct Parked {
        Taken request;
        bool keep_alive, http10;
        TimePoint at;
    };

    void on_input() override;
    void on_sent() override;
    void on_broken() override;

    void on_body(std::string_view bytes) override;
    void on_body_end(bool whole) override;

    void process();
    void pass_up();
    void end_upload();
    void turn_back(const Rejection& rejection);
    bool may_read() const;
    void take_request();
    void begin_parked();
    void begin(Taken&& request, bool keep_alive, bool http10, bool whole);
    Open& open(bool keep_alive, bool http10);
    void next_message();
    void reject(const Rejection& rejection);
    void answer(Open& open, Payload&& answer);
    void answer(Open& open, Final&& final);
    void release(Open& open);
    void write_answers();
    void write(Open& open);
    void pass_on(Payload&& answer, bool http10);
    void end_flow();
    void answered();
    void close();
    void enter(State state);
    bool may_hold(std::size_t here);
    void release_body();
    Spare spare() const;
    bool crowded() const;
    void take_place();
    Duration patience() const;

    ClientContext& context_;
    Stream stream_;
    // Where a longer body cannot be held, its request is taken once so much is here, and what follows is
    // passed on as it comes.
    static constexpr std::size_t kTakeFrom = 64 * 1024;
    http::Parser parser_;
    State state_ = State::Reading;
    std::vector<std::unique_ptr<Open>> open_;    // in the order of their answers
    std::unique_ptr<Parked> parked_;
    std::uint64_t asked_ = 0;      // whole requests
    std::size_t discarded_ = 0;    // bytes behind the last answer
    std::pair<Spare, TimePoint> place_{Spare::No, {}};
    std::size_t held_ = 0;                // of context_.held_bodies, for what is being read
    std::shared_ptr<LongBody> upload_;    // of the request that is being passed on
    std::size_t uploaded_ = 0;            // bytes of it that were given
    TimePoint stopped_at_{};              // since when its client is kept waiting
    bool passing_up_ = false;
    std::shared_ptr<BodyFlow> flow_;    // of the answer that is being passed on
    Body framing_ = Body::Stated;
    bool keep_alive_ = true;    // after the answer that is being written
    bool continued_ = false, processing_ = false, writing_ = false;
    bool cut_short_ = false;    // answered in the middle of a body
    bool begun_ = false;        // some of a request is here
    TimePoint head_at_{};       // when the head of the request that is read was whole
    TimePoint since_;           // when the state last changed, or the request began
};

}    // namespace shaletray
