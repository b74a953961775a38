#include "data_plane/proxy/client_connection.h"

#include <utility>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// In bytes a second: a body may come as slowly, give or take as much time again as there was for the head.
constexpr double kSlowest = 48.0 * 1024.0;
constexpr std::size_t kCrowdPart = 16;    // of the descriptors: so many connections that pass by are a crowd
constexpr Duration kStuck = 15s;          // an answer that is not taken
constexpr Duration kLinger = 1s;          // for a client to read an answer before the connection is cut
constexpr std::size_t kAhead = 96 * 1024;    // what a client may send ahead of its answer
// What is read and thrown away behind the last answer. Where that came in the middle of a body, the rest of
// it is, at the same pace as before: many clients look for an answer only behind their body.
constexpr std::size_t kMostDiscarded = 256 * 1024;
// Of the memory: for long bodies that are held until they are whole, and then for as long as an attempt may
// need them. For a moment there are two more of one: the client's buffer, and what a server has not taken.
constexpr double kBodiesShare = 1.0 / 4, kBodyShare = 1.0 / 8;
constexpr std::size_t kReadRoom = 8 * 1024;    // behind a body, so that its buffer grows once
constexpr int kReady = 200, kNotReady = 503;

Final rejection_answer(const Rejection& rejection) {
    return {rejection.status, "Content-Type: text/plain\r\n", std::string(rejection.reason) + "\n"};
}

}    // namespace

// A long request's body on its way. The engine may hold it for longer than there is a client.
class ClientConnection::LongBody : public Upload {
public:
    LongBody(ClientConnection& client, std::string_view first, std::optional<std::uint64_t> length,
             TimePoint now)
        : client_(&client), first_(first), length_(length), moved_(now) {}

    std::string_view first() const override { return first_; }
    bool given() const override { return sink_ != nullptr; }
    bool whole() const override { return whole_; }
    TimePoint moved() const override { return moved_; }
    std::optional<std::uint64_t> length() const override { return length_; }
    void begin(BodySink& sink) override {
        std::string().swap(first_);
        sink_ = &sink;
        go_on(true);
    }
    void go_on(bool wanted) override {
        wanted_ = wanted;
        if (wanted && client_ != nullptr) client_->pass_up();
    }

    bool wanted() const { return wanted_; }
    BodySink* sink() const { return sink_; }
    void came(TimePoint at, bool whole) {
        moved_ = at;
        whole_ = whole;
    }
    void detach() { client_ = nullptr; }

private:
    ClientConnection* client_;
    std::string first_;
    std::optional<std::uint64_t> length_;
    BodySink* sink_ = nullptr;
    bool wanted_ = false, whole_ = false;
    TimePoint moved_;
};

ClientConnection::ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket)
    : context_(context),
      stream_(context.reactor, *this),
      parser_(http::Parser::Kind::Request, context.door.limits()),
      since_(context.reactor.clock().now()) {
    stream_.adopt(socket);
    ++context_.counters.clients_accepted;
    ++context_.counters.clients_open;
    take_place();
}

ClientConnection::~ClientConnection() {
    enter(State::Closed);    // nothing here may be found by those that stay
    end_flow();
    end_upload();
    release_body();
    for (const auto& o : open_) release(*o);
    --context_.counters.clients_open;
}

// The one place where the state changes, and with it the connection's place among the spare ones.
void ClientConnection::enter(State state) {
    state_ = state;
    head_at_ = TimePoint{};
    since_ = context_.reactor.clock().now();
    take_place();
}

void ClientConnection::take_place() {
    const std::pair<Spare, TimePoint> place{spare(), since_};
    if (place == place_) return;
    if (place_.first != Spare::No) context_.spare.erase({place_.first, place_.second, this});
    const auto passing = [](Spare kind) { return kind == Spare::Silent || kind == Spare::AskedOnce; };
    context_.passing -= passing(place_.first);
    place_ = place;
    context_.passing += passing(place_.first);
    if (place_.first != Spare::No) context_.spare.insert({place_.first, place_.second, this});
}

// Where many clients ask once, or for readiness only, and do not come back, their connections are of no use
// to them and of harm to others: clients may hold only so many, and those that wait for one are late. The
// answer then ends the connection, which unlike a later close cannot cross a request.
bool ClientConnection::crowded() const {
    return asked_ <= 1 && context_.passing * kCrowdPart > context_.room.sockets;
}

Spare ClientConnection::spare() const {
    if (state_ == State::Lingering) return Spare::Answered;
    if (state_ != State::Reading) return Spare::No;
    return asked_ == 0 ? Spare::Silent : asked_ == 1 ? Spare::AskedOnce : Spare::Kept;
}

// What was kept for a request that has its answer.
void ClientConnection::release(Open& open) {
    context_.held_bodies -= std::exchange(open.held, 0);
    if (open.id.empty()) return;
    context_.open_ids.erase(open.id);
    open.id.clear();
}

void ClientConnection::on_input() {
    if (state_ == State::Lingering) {
        discarded_ += stream_.input().size();
        stream_.input().consume(stream_.input().size());
        if (discarded_ > (cut_short_ ? parser_.limits().body : kMostDiscarded)) stream_.read_on(false);
        return;
    }
    // From a request's first byte on: one that trickles in must not begin its time anew with every byte. The
    // first request's time began with the connection.
    if (state_ == State::Reading && !std::exchange(begun_, true) && asked_ > 0) enter(State::Reading);
    if (upload_) pass_up();
    else process();
    if (state_ != State::Reading && stream_.input().size() > kAhead) stream_.read_on(false);
}

// Whether the client's next request may be looked at. While others are open only beside those that overlap;
// and where the last answer will end the connection, nothing that follows is begun.
bool ClientConnection::may_read() const {
    if (state_ == State::Reading) return true;
    if ((state_ != State::Waiting && state_ != State::Writing) || open_.size() >= kMostOpen) return false;
    return open_.back()->overlaps && open_.back()->keep_alive && !parked_ && !context_.leaving();
}

// An answer may be written while its request is still being taken: the loop goes on, and never nests.
void ClientConnection::process() {
    if (processing_) return;
    processing_ = true;
    while (may_read()) {
        if (parked_) {
            begin_parked();
            continue;
        }
        const http::Status status = parser_.parse(stream_.input());
        if (status == http::Status::Bad) {
            reject(context_.door.faulty(parser_.fault()));
        } else if (status == http::Status::Done) {
            take_request();
        } else {
            if (parser_.head_done() && head_at_ == TimePoint{}) head_at_ = context_.reactor.clock().now();
            // Behind others it would be read as an answer to them.
            if (parser_.expects_continue() && open_.empty() && !std::exchange(continued_, true) &&
                !stream_.send(std::string(kContinue)))
                close();
            const std::size_t here = parser_.body(stream_.input()).size();
            if (!may_read() || here < kTakeFrom || may_hold(here) || !open_.empty()) break;
            take_request();
        }
    }
    processing_ = false;
}

void ClientConnection::take_request() {
    http::Buffer& input = stream_.input();
    const bool keep_alive = parser_.keep_alive(), http10 = parser_.http10(), whole = parser_.whole();
    if (whole && context_.door.asks_ready(parser_, input)) {
        next_message();
        const bool ready = context_.ready() && !context_.leaving();
        Final told{ready ? kReady : kNotReady, "", ready ? "ready\n" : "not ready\n"};
        return answer(open(keep_alive, http10), std::move(told));
    }
    ++asked_;    // whoever asks for readiness only must not pass for a usual client
    auto request = context_.door.read(parser_, input, context_.reactor.clock().now());
    if (const auto* rejection = std::get_if<Rejection>(&request)) return reject(*rejection);
    Taken& taken = std::get<Taken>(request);
    taken.overlaps = taken.overlaps && whole && !http10;
    if (open_.empty() || taken.overlaps) return begin(std::move(taken), keep_alive, http10, whole);
    parked_ = std::make_unique<Parked>(
        Parked{std::move(taken), keep_alive, http10, context_.reactor.clock().now()});
    next_message();
}

// Its time runs on while it waits for its turn.
void ClientConnection::begin_parked() {
    const std::unique_ptr<Parked> parked = std::move(parked_);
    Arrival& arrival = parked->request.arrival;
    const Duration waited = context_.reactor.clock().now() - parked->at;
    arrival.budget = std::max(Duration(0), arrival.budget - waited);
    begin(std::move(parked->request), parked->keep_alive, parked->http10, true);
}

// `whole`: it is done with as a message, or else its body is still coming.
void ClientConnection::begin(Taken&& request, bool keep_alive, bool http10, bool whole) {
    if (!request.id.empty() && !context_.open_ids.insert(request.id).second)
        return reject({409, "this id is that of an open request"});
    Arrival& arrival = request.arrival;
    if (!whole) {
        http::Buffer& input = stream_.input();
        const std::string_view first = parser_.body(input);
        release_body();
        uploaded_ = 0;
        upload_ = std::make_shared<LongBody>(*this, first, parser_.length(), context_.reactor.clock().now());
        arrival.payload.upload = upload_;
        ++context_.counters.uploads;
        parser_.drop_body(input, first.size());
        continued_ = false;
    } else if (parser_.whole()) {
        next_message();
    }
    Open* const o = &open(keep_alive, http10);
    o->id = std::move(request.id);
    o->overlaps = request.overlaps;
    o->unfinished = !whole;
    o->taking = true;
    passing_up_ = true;    // nothing of the rest before the request's number is known
    const std::uint64_t ticket = context_.intake.take(*o, std::move(arrival));
    passing_up_ = false;
    // Nothing follows it before this loop goes on: where it is not the last, it was answered.
    if (open_.empty() || open_.back().get() != o || o->answered) return;
    o->taking = false;
    o->ticket = ticket;
    if (state_ == State::Closed) context_.intake.withdraw(ticket);
    else pass_up();
}

ClientConnection::Open& ClientConnection::open(bool keep_alive, bool http10) {
    Open& o = *open_.emplace_back(std::make_unique<Open>(*this));
    o.keep_alive = keep_alive;
    o.http10 = http10;
    o.held = std::exchange(held_, 0);
    if (state_ == State::Reading) enter(State::Waiting);
    return o;
}

// The message is done with: what follows it is another one.
void ClientConnection::next_message() {
    stream_.input().consume(parser_.size());
    parser_.reset();
    parser_.limit(context_.door.limits());
    continued_ = false;
    head_at_ = TimePoint{};
}

// ---- long requests ----

// A body that comes slowly would hold a place at a server for seconds: it is better whole before its request
// is decided on, where the memory for that is there.
bool ClientConnection::may_hold(std::size_t here) {
    const double memory = context_.room.memory_mb * 1024 * 1024;
    const double all = static_cast<double>(parser_.length().value_or(here));
    const std::size_t others = context_.held_bodies - held_;
    if (all > memory * kBodyShare || static_cast<double>(others) + all > memory * kBodiesShare) return false;
    if (held_ == 0) stream_.input().prepare(static_cast<std::size_t>(all) - here + kReadRoom);
    held_ = static_cast<std::size_t>(all);
    context_.held_bodies = others + held_;
    return true;
}

void ClientConnection::release_body() { context_.held_bodies -= std::exchange(held_, 0); }

// Looks at what has come of the rest, and gives it to who takes it. He may stop it, or end the request.
void ClientConnection::pass_up() {
    if (!upload_ || passing_up_) return;
    passing_up_ = true;
    http::Buffer& input = stream_.input();
    const TimePoint now = context_.reactor.clock().now();
    const std::size_t had = parser_.body(input).size();
    if (!parser_.whole() && parser_.parse(input) == http::Status::Bad) {
        turn_back(context_.door.faulty(parser_.fault()));
    } else if (uploaded_ + parser_.body(input).size() > parser_.limits().body) {
        turn_back(context_.door.faulty(http::Fault::BodyTooLarge));
    } else {
        if (parser_.whole() ? !upload_->whole() : parser_.body(input).size() > had)
            upload_->came(now, parser_.whole());
        if (const std::string_view bytes = parser_.body(input); upload_->wanted() && !bytes.empty()) {
            const std::size_t count = bytes.size();
            upload_->sink()->on_body(bytes);
            if (upload_) {
                parser_.drop_body(input, count);
                uploaded_ += count;
            }
        }
    }
    passing_up_ = false;
    if (!upload_) return;
    if (parser_.whole() && parser_.body(input).empty() && upload_->given()) {
        const std::shared_ptr<LongBody> upload = upload_;
        end_upload();
        next_message();
        stream_.read_on(true);
        return upload->sink()->on_body_end(true);
    }
    // A client is not to blame while it is kept waiting.
    const bool stopped = !upload_->wanted() && input.size() > kAhead;
    if (stopped && stopped_at_ == TimePoint{}) stopped_at_ = now;
    else if (!stopped && stopped_at_ != TimePoint{}) since_ += now - std::exchange(stopped_at_, TimePoint{});
    stream_.read_on(!stopped);
}

void ClientConnection::end_upload() {
    if (!upload_) return;
    upload_->detach();
    upload_.reset();
    stopped_at_ = TimePoint{};
}

// What is wrong with a request shows after it was taken; it is the only one then.
void ClientConnection::turn_back(const Rejection& rejection) {
    Open& o = *open_.front();
    context_.intake.withdraw(o.ticket);
    o.keep_alive = false;
    answer(o, rejection_answer(rejection));
}

// The message that has just been read, or a part of it, is answered here.
void ClientConnection::reject(const Rejection& rejection) {
    Final answer_here = rejection_answer(rejection);
    const bool stays = rejection.keeps_connection && parser_.whole();
    const bool keep_alive = stays && parser_.keep_alive(), http10 = parser_.http10();
    if (stays) next_message();
    Open& o = open(keep_alive, http10);
    o.overlaps = stays && !http10;
    o.unfinished = !stays;
    answer(o, std::move(answer_here));
}

// ---- answers ----

void ClientConnection::Open::served(Payload&& payload) { of.answer(*this, std::move(payload)); }

void ClientConnection::Open::refused(Duration wait, Refusal why) {
    of.answer(*this, of.context_.door.refused(why, wait));
}

void ClientConnection::Open::failed(Failure why, Payload&& payload) {
    if (says_failure(payload)) of.answer(*this, std::move(payload));
    else of.answer(*this, of.context_.door.failed(why));
}

void ClientConnection::answer(Open& o, Final&& final) {
    Payload payload;
    payload.status = final.status;
    payload.head = std::move(final.headers);
    payload.body = std::move(final.body);
    answer(o, std::move(payload));
}

// It may be gone when this returns.
void ClientConnection::answer(Open& o, Payload&& payload) {
    o.answered = true;
    if (state_ == State::Closed) return;
    o.answer = std::move(payload);
    if (o.unfinished) end_upload();
    release(o);
    write_answers();
}

// As many as are there, in their order. The loop goes on, and never nests.
void ClientConnection::write_answers() {
    if (writing_) return;
    writing_ = true;
    while (state_ == State::Waiting && open_.front()->answered) write(*open_.front());
    writing_ = false;
}

// Where the connection is to end, it does behind the last of what was begun: none of that is lost.
void ClientConnection::write(Open& o) {
    Payload payload = std::move(o.answer);
    ++context_.counters.answered[payload.status];
    cut_short_ = o.unfinished && parser_.head_done() && !parser_.whole();
    const bool ends = open_.size() == 1 && (context_.leaving() || crowded());
    keep_alive_ = o.keep_alive && !cut_short_ && !ends;
    enter(State::Writing);
    if (payload.flow) return pass_on(std::move(payload), o.http10);
    if (keep_alive_) payload.head += context_.door.kept_headers();
    if (!stream_.send(write_answer(payload.status, payload.head, payload.body, keep_alive_))) return close();
    if (stream_.sent_all()) answered();
}

// ---- long answers ----

void ClientConnection::pass_on(Payload&& payload, bool http10) {
    const std::optional<std::uint64_t> length = payload.flow->length();
    framing_ = length ? Body::Stated : http10 ? Body::UntilClose : Body::Chunked;
    if (framing_ == Body::UntilClose) keep_alive_ = false;
    flow_ = std::move(payload.flow);
    ++context_.counters.flows_open;
    if (keep_alive_) payload.head += context_.door.kept_headers();
    if (!stream_.send(
            write_answer_head(payload.status, payload.head, framing_, length.value_or(0), keep_alive_)))
        return close();
    const std::shared_ptr<BodyFlow> flow = flow_;    // which the first piece may end
    flow->begin(*this);
}

void ClientConnection::on_body(std::string_view bytes) {
    if (state_ != State::Writing) return;
    since_ = context_.reactor.clock().now();    // it is not stuck
    if (!stream_.send(framing_ == Body::Chunked ? write_chunk(bytes) : std::string(bytes))) return close();
    if (!stream_.sent_all() && flow_) flow_->go_on(false);
}

// What was cut short must not look whole: the connection ends in the middle of it.
void ClientConnection::on_body_end(bool whole) {
    if (state_ != State::Writing) return;
    if (!whole) return close();
    end_flow();
    if (framing_ == Body::Chunked && !stream_.send(write_chunk(""))) return close();
    if (stream_.sent_all()) answered();
}

void ClientConnection::end_flow() {
    if (!flow_) return;
    flow_.reset();
    --context_.counters.flows_open;
}

void ClientConnection::on_sent() {
    if (state_ != State::Writing) return;
    since_ = context_.reactor.clock().now();
    if (flow_) flow_->go_on(true);
    else answered();
}

void ClientConnection::answered() {
    open_.erase(open_.begin());
    if (!keep_alive_) {
        parked_.reset();
        // Closing over bytes that were not read resets the connection, and the client may lose the answer.
        enter(State::Lingering);
        stream_.end_sending();
        stream_.input().consume(stream_.input().size());
        stream_.read_on(true);
        return;
    }
    enter(open_.empty() ? State::Reading : State::Waiting);
    begun_ = !stream_.input().empty();
    stream_.read_on(true);
    write_answers();
    process();
}

void ClientConnection::on_broken() { close(); }

void ClientConnection::close_if_idle() {
    if (idle()) stream_.read_now();
    if (idle()) close();
}

bool ClientConnection::make_room() {
    if (state_ == State::Reading) stream_.read_now();
    if (state_ != State::Reading && state_ != State::Lingering) return state_ == State::Closed;
    close();
    return true;
}

// How long the connection may stay as it is. A client that says nothing, or half a request, must not hold a
// descriptor for long: clients that do are many at times.
Duration ClientConnection::patience() const {
    if (state_ == State::Lingering && !cut_short_) return kLinger;
    if (state_ == State::Writing) return kStuck;
    const Duration to_ask = context_.door.header_timeout();
    const auto for_body = [to_ask](std::size_t bytes) {
        return to_ask + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(static_cast<double>(bytes) / kSlowest));
    };
    if (state_ == State::Lingering) return for_body(discarded_);
    const std::size_t here = parser_.body(stream_.input()).size();
    if (upload_) return for_body(uploaded_ + here);
    if (head_at_ != TimePoint{}) return head_at_ - since_ + for_body(here);
    return asked_ == 0 || begun_ ? to_ask : context_.door.idle_timeout(asked_);
}

void ClientConnection::sweep(TimePoint now) {
    const bool sends = upload_ && !upload_->whole() && stopped_at_ == TimePoint{};
    if ((state_ == State::Waiting && !sends) || now - since_ <= patience()) return;
    if (idle()) return close_if_idle();
    const Rejection late{408, "the request did not come whole in time"};
    if (sends) return turn_back(late);
    if (state_ == State::Reading) return reject(late);
    close();
}

void ClientConnection::close() {
    if (state_ == State::Closed) return;
    enter(State::Closed);
    end_flow();
    end_upload();
    release_body();
    stream_.close();
    for (const auto& o : open_) {
        release(*o);
        o->answer.flow.reset();    // of an answer that waited for its turn
        if (!o->answered && !o->taking) context_.intake.withdraw(o->ticket);
    }
    context_.closed(*this);
}

}    // namespace shaletray
