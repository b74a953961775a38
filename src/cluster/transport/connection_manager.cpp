#include "cluster/transport/connection_manager.h"

#include <Poco/NObserver.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/net/stream.h"
#include "cluster/transport/frame.h"
#include "cluster/transport/send_queue.h"

namespace shaletray::transport {
namespace {

using namespace std::chrono_literals;

constexpr int kBacklog = 64;
constexpr int kMostAccepted = 16;          // in one go
constexpr int kMostDatagrams = 64;         // in one go, so that a flood does not keep others waiting
constexpr int kMostReadOut = 64;           // reads of a connection that another one follows
constexpr Duration kAcceptPause = 20ms;    // out of descriptors: the backlog waits
constexpr Duration kOldest = 3s;           // of what waits for a peer that is not reached
constexpr Duration kUnused = 30s;          // then a session is closed
constexpr Duration kUnheard = 60s;         // then a received connection is: its sender did not end it
constexpr Duration kSweepEvery = 5s;
constexpr Duration kStoodUp = 1s;                    // a connection that did so is dialled anew at once
constexpr std::size_t kWrittenAtOnce = 64 * 1024;    // bytes of several frames
constexpr std::size_t kReadAhead = 64 * 1024;        // bytes; a frame's length is not believed beyond

// Numeric addresses only: there is nobody to look names up with.
std::optional<Poco::Net::SocketAddress> parse(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [read, error] = std::from_chars(address.data() + colon + 1, end, port);
    Poco::Net::IPAddress ip;
    if (error != std::errc{} || read != end || !Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip))
        return std::nullopt;
    return Poco::Net::SocketAddress(ip, port);
}

}    // namespace

class Mailer::Impl {
public:
    Impl(Reactor& reactor, const std::string& address, std::uint64_t life, Limits limits,
         std::function<void(Letter&&)> heard);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void datagram(const std::string& to, Kind kind, std::string_view bytes);
    void session(const std::string& to, Kind kind, std::string_view bytes);

    // NOLINTBEGIN(readability-identifier-naming): public to the helpers of this file only; to be renamed
    std::uint64_t life_;
    std::string address_;
    Counts counts_;
    // NOLINTEND(readability-identifier-naming)

private:
    // A peer that we send to. The connection is dialled while something waits, and only written to.
    class Outgoing : public StreamOwner {
    public:
        Outgoing(Impl& of, std::string to, std::uint32_t seed)
            : of_(of), to_(std::move(to)), outbox_(of.limits_.most_queued), backoff_(seed) {}
        ~Outgoing() override;
        void give(std::string frame);
        // Closes a connection that nobody used since; true where nothing is left to keep.
        bool sweep(TimePoint unused_since);

        void on_connected() override;
        void on_input() override;
        void on_sent() override;
        void on_broken() override { failed(); }

    private:
        void dial();
        void feed();
        void failed();
        void close();
        void watch_progress();

        Impl& of_;
        std::string to_;
        Outbox outbox_;
        Backoff backoff_;
        std::unique_ptr<Stream> stream_;
        bool up_ = false;
        TimePoint used_{}, up_since_{}, not_before_{};
        std::size_t unsent_ = 0;    // when progress was looked at last
        Timers::Id dial_timer_ = 0, retry_ = 0, progress_ = 0;
    };
    // A connection that a peer dialled, only read from.
    struct Taken : StreamOwner {
        Taken(Impl& impl) : of(impl), stream(impl.reactor_, *this) {}
        void on_input() override { of.take_in(*this); }
        void on_broken() override { of.drop(*this); }

        Impl& of;
        Stream stream;
        std::string from;    // once it said so
        TimePoint heard{};
        std::list<std::unique_ptr<Taken>>::iterator place;
    };

    void on_datagram(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void on_dialled(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept();
    void accept_on(bool wanted);
    void take_in(Taken& c);
    void follow(Taken& c);
    void spoilt(Taken& c);
    void drop(Taken& c);
    void to_myself(Kind kind, std::string_view bytes);
    void hear_myself();
    void hear(Letter&& letter);
    void set_options(Poco::Net::StreamSocket& socket) const;
    void sweep();

    Reactor& reactor_;
    Limits limits_;
    std::function<void(Letter&&)> heard_;
    Poco::Net::DatagramSocket mail_;
    Poco::Net::ServerSocket listener_;
    bool accepting_ = false;
    std::vector<char> datagram_;
    std::unordered_map<std::string, std::unique_ptr<Outgoing>> outgoing_;
    std::list<std::unique_ptr<Taken>> taken_;              // the longest unheard first
    std::unordered_map<std::string, Taken*> by_sender_;    // the connection it dialled last
    std::deque<Letter> own_;
    std::size_t own_bytes_ = 0;
    Timers::Id own_timer_ = 0, sweep_timer_ = 0, pause_timer_ = 0;
};

Mailer::Impl::Impl(Reactor& reactor, const std::string& address, std::uint64_t life, Limits limits,
                   std::function<void(Letter&&)> heard)
    : life_(life),
      reactor_(reactor),
      limits_(limits),
      heard_(std::move(heard)),
      datagram_(kLongestDatagram + 1) {
    const auto place = parse(address);
    if (!place) throw Poco::Net::InvalidAddressException(address);
    listener_.bind(*place, true, false);
    listener_.listen(kBacklog);
    listener_.setBlocking(false);
    address_ = listener_.address().toString();
    mail_.bind(listener_.address(), false, false);
    mail_.setBlocking(false);
    reactor_.addEventHandler(
        mail_, Poco::NObserver<Impl, Poco::Net::ReadableNotification>(*this, &Impl::on_datagram));
    accept_on(true);
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

Mailer::Impl::~Impl() {
    accept_on(false);
    reactor_.removeEventHandler(
        mail_, Poco::NObserver<Impl, Poco::Net::ReadableNotification>(*this, &Impl::on_datagram));
    for (Timers::Id* timer : {&own_timer_, &sweep_timer_, &pause_timer_}) reactor_.cancel(*timer);
    outgoing_.clear();
    taken_.clear();
    reactor_.reap();    // what was closed refers to us
}

void Mailer::Impl::set_options(Poco::Net::StreamSocket& socket) const {
    try {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limits_.silence).count();
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
    } catch (const Poco::Exception&) {
        // It broke meanwhile, which the stream will tell; or it ends later than it might.
    }
}

// --- what is sent ---

void Mailer::Impl::datagram(const std::string& to, Kind kind, std::string_view bytes) {
    if (to == address_) return to_myself(kind, bytes);
    const std::string out = write_datagram(kind, address_, life_, bytes);
    const auto place = parse(to);
    int sent = -1;
    try {
        if (place && out.size() <= kLongestDatagram)
            sent = mail_.sendTo(out.data(), static_cast<int>(out.size()), *place);
    } catch (const Poco::Exception&) {
        // Mail may be lost in any case: what cannot be sent now is not kept.
    }
    if (sent < 0) {
        ++counts_.dropped;
        return;
    }
    ++counts_.sent;
    counts_.sent_bytes += out.size();
}

void Mailer::Impl::session(const std::string& to, Kind kind, std::string_view bytes) {
    if (to == address_) return to_myself(kind, bytes);
    if (bytes.size() > limits_.longest || !parse(to)) {
        ++counts_.dropped;
        return;
    }
    auto& peer = outgoing_[to];
    if (!peer) {
        const std::size_t seed = std::hash<std::string>()(address_ + to) ^ life_;
        peer = std::make_unique<Outgoing>(*this, to, static_cast<std::uint32_t>(seed));
    }
    peer->give(write_frame(kind, address_, life_, bytes));
}

void Mailer::Impl::to_myself(Kind kind, std::string_view bytes) {
    for (; !own_.empty() && own_bytes_ + bytes.size() > limits_.most_queued; ++counts_.dropped) {
        own_bytes_ -= own_.front().bytes.size();
        own_.pop_front();
    }
    own_bytes_ += bytes.size();
    own_.push_back({kind, address_, life_, std::string(bytes)});
    if (own_timer_ == 0) own_timer_ = reactor_.after(Duration(0), [this] { hear_myself(); });
}

// What is sent meanwhile waits for the next turn.
void Mailer::Impl::hear_myself() {
    own_timer_ = 0;
    own_bytes_ = 0;
    for (Letter& letter : std::exchange(own_, {})) heard_(std::move(letter));
}

Mailer::Impl::Outgoing::~Outgoing() { close(); }

void Mailer::Impl::Outgoing::give(std::string frame) {
    const TimePoint now = of_.reactor_.clock().now();
    used_ = now;
    of_.counts_.dropped += outbox_.push(std::move(frame), now);
    if (up_) feed();
    else if (stream_ || retry_ != 0) return;
    else if (now >= not_before_) dial();
    else retry_ = of_.reactor_.at(not_before_, [this] { dial(); });
}

void Mailer::Impl::Outgoing::dial() {
    retry_ = 0;
    of_.counts_.dropped += outbox_.expire(of_.reactor_.clock().now() - kOldest);
    if (outbox_.empty()) return;
    stream_ = std::make_unique<Stream>(of_.reactor_, *this);
    if (!stream_->dial(to_)) return failed();
    of_.set_options(stream_->socket());
    dial_timer_ = of_.reactor_.after(of_.limits_.dial, [this] {
        dial_timer_ = 0;
        failed();
    });
}

void Mailer::Impl::Outgoing::on_connected() {
    of_.reactor_.cancel(dial_timer_);
    up_ = true;
    up_since_ = of_.reactor_.clock().now();
    feed();
}

void Mailer::Impl::Outgoing::feed() {
    while (up_ && stream_->sent_all()) {
        outbox_.written();
        if (outbox_.empty()) return of_.reactor_.cancel(progress_);
        std::string bytes = outbox_.take(kWrittenAtOnce);
        of_.counts_.sent += outbox_.taken();
        of_.counts_.sent_bytes += bytes.size();
        if (!stream_->send(std::move(bytes))) return failed();
    }
    if (progress_ == 0) watch_progress();
}

// A peer whose machine takes nothing, yet answers for its kernel, is as good as gone.
void Mailer::Impl::Outgoing::watch_progress() {
    unsent_ = stream_->unsent();
    progress_ = of_.reactor_.after(of_.limits_.silence, [this] {
        progress_ = 0;
        if (stream_->sent_all()) return;
        if (stream_->unsent() == unsent_) failed();
        else watch_progress();
    });
}

void Mailer::Impl::Outgoing::on_sent() {
    used_ = of_.reactor_.clock().now();
    feed();
}

// Nothing is ever answered on a session.
void Mailer::Impl::Outgoing::on_input() {
    ++of_.counts_.spoilt;
    failed();
}

void Mailer::Impl::Outgoing::close() {
    for (Timers::Id* timer : {&dial_timer_, &retry_, &progress_}) of_.reactor_.cancel(*timer);
    if (stream_) retire(of_.reactor_, std::move(stream_));
    of_.counts_.dropped += outbox_.lost();
    up_ = false;
}

// What was being written is lost: nobody knows how much of it was read. What waits is kept.
void Mailer::Impl::Outgoing::failed() {
    const TimePoint now = of_.reactor_.clock().now();
    const bool stood = up_ && now - up_since_ >= kStoodUp;
    close();
    if (stood) backoff_.reset();
    not_before_ = stood ? now : now + backoff_.next();
    of_.counts_.dropped += outbox_.expire(now - kOldest);
    if (!outbox_.empty()) retry_ = of_.reactor_.at(not_before_, [this] { dial(); });
}

bool Mailer::Impl::Outgoing::sweep(TimePoint unused_since) {
    if (used_ >= unused_since || !outbox_.empty() || (stream_ && !up_)) return false;
    if (stream_ && !stream_->sent_all()) return false;
    outbox_.written();
    close();
    return true;
}

// --- what is heard ---

void Mailer::Impl::hear(Letter&& letter) {
    ++counts_.heard;
    counts_.heard_bytes += letter.bytes.size();
    heard_(std::move(letter));
}

void Mailer::Impl::on_datagram(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMostDatagrams; ++i) {
        Poco::Net::SocketAddress from;
        int length = -1;
        try {
            length = mail_.receiveFrom(datagram_.data(), static_cast<int>(datagram_.size()), from);
        } catch (const Poco::Exception&) {
            continue;    // what an earlier datagram met on its way; the next call reads on
        }
        if (length < 0) break;
        auto letter = read_letter({datagram_.data(), static_cast<std::size_t>(length)});
        if (letter) hear(std::move(*letter));
        else ++counts_.spoilt;
    }
    reactor_.reckon_timeout();
}

void Mailer::Impl::accept_on(bool wanted) {
    if (accepting_ == wanted) return;
    const Poco::NObserver<Impl, Poco::Net::ReadableNotification> observer(*this, &Impl::on_dialled);
    if (wanted) reactor_.addEventHandler(listener_, observer);
    else reactor_.removeEventHandler(listener_, observer);
    accepting_ = wanted;
}

void Mailer::Impl::on_dialled(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMostAccepted; ++i) {
        if (!accept()) break;
    }
    reactor_.reckon_timeout();
}

bool Mailer::Impl::accept() {
    try {
        const Poco::Net::StreamSocket socket = listener_.acceptConnection();
        if (taken_.size() >= limits_.most_sessions) drop(*taken_.front());
        taken_.push_back(std::make_unique<Taken>(*this));
        Taken& c = *taken_.back();
        c.place = std::prev(taken_.end());
        c.heard = reactor_.clock().now();
        c.stream.adopt(socket);
        return true;
    } catch (const Poco::Exception& error) {
        if (error.code() == POCO_EWOULDBLOCK) return false;    // none waits, or it left before that
        // Out of descriptors, above all: the listener stays readable, and trying on would spin.
        if (!taken_.empty()) drop(*taken_.front());
        accept_on(false);
        if (pause_timer_ == 0) {
            pause_timer_ = reactor_.after(kAcceptPause, [this] {
                pause_timer_ = 0;
                accept_on(true);
            });
        }
        return false;
    }
}

void Mailer::Impl::take_in(Taken& c) {
    c.heard = reactor_.clock().now();
    taken_.splice(taken_.end(), taken_, c.place);
    http::Buffer& in = c.stream.input();
    while (c.stream.is_open()) {
        const std::size_t length = frame_length(in.unread());
        if (in.size() < kFrameHead) break;
        if (length == 0 || length > limits_.longest + kMostAround) return spoilt(c);
        if (in.size() < kFrameHead + length) {
            const std::size_t missing = kFrameHead + length - in.size();
            in.prepare(std::min(missing, std::max(kReadAhead, in.size())));
            break;
        }
        auto letter = read_letter(in.unread().substr(kFrameHead, length));
        in.consume(kFrameHead + length);
        if (!letter || (!c.from.empty() && c.from != letter->from)) return spoilt(c);
        if (c.from.empty()) {
            c.from = letter->from;
            follow(c);
        }
        hear(std::move(*letter));
    }
}

// A sender has one connection at a time: where a new one speaks, an earlier one of it is over. What it still
// holds came before.
void Mailer::Impl::follow(Taken& c) {
    Taken* const before = std::exchange(by_sender_[c.from], &c);
    if (before == nullptr) return;
    for (int i = 0; i < kMostReadOut && before->stream.is_open() && !before->stream.quiet(); ++i)
        before->stream.read_now();
    if (before->stream.is_open()) drop(*before);
}

void Mailer::Impl::spoilt(Taken& c) {
    ++counts_.spoilt;
    drop(c);
}

void Mailer::Impl::drop(Taken& c) {
    struct Gone : Retired {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Taken> of) : connection(std::move(of)) {}
        std::unique_ptr<Taken> connection;
    };
    c.stream.close();
    const auto known = by_sender_.find(c.from);
    if (known != by_sender_.end() && known->second == &c) by_sender_.erase(known);
    const auto place = c.place;
    reactor_.retire(std::make_unique<Gone>(std::move(*place)));
    taken_.erase(place);
}

void Mailer::Impl::sweep() {
    const TimePoint now = reactor_.clock().now();
    std::erase_if(outgoing_, [&](const auto& peer) { return peer.second->sweep(now - kUnused); });
    while (!taken_.empty() && taken_.front()->heard < now - kUnheard) drop(*taken_.front());
    sweep_timer_ = reactor_.after(kSweepEvery, [this] { sweep(); });
}

// --- the contract ---

Mailer::Mailer(Reactor& reactor, const std::string& address, std::uint64_t life, Limits limits,
               std::function<void(Letter&&)> heard)
    : impl_(std::make_unique<Impl>(reactor, address, life, limits, std::move(heard))) {}
Mailer::~Mailer() = default;
void Mailer::datagram(const std::string& to, Kind kind, std::string_view bytes) {
    impl_->datagram(to, kind, bytes);
}
void Mailer::session(const std::string& to, Kind kind, std::string_view bytes) {
    impl_->session(to, kind, bytes);
}
void Mailer::life(std::uint64_t life) { impl_->life_ = life; }
const std::string& Mailer::address() const { return impl_->address_; }
const Mailer::Counts& Mailer::counts() const { return impl_->counts_; }

}    // namespace shaletray::transport
