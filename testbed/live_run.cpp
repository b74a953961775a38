#include "live_run.h"

#include <Poco/NObserver.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Thread.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

#include "balancer/platform/messages.h"
#include "simulator/clients.h"
#include "simulator/kernel.h"
#include "simulator/measure.h"
#include "simulator/server.h"
#include "stand_ins/counter.h"
#include "test_processes.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using decision::Outcome;

constexpr Duration kSlack = 58ms;           // of an answer: the rule's 8 ms, and 50 more on sockets
constexpr Duration kDrainSlack = 300ms;     // likewise
constexpr Duration kCeilingLate = 150ms;    // of what a send says of its time
constexpr Duration kDeathNoticed = 3s;      // until fronts know that a gateway ended
constexpr Duration kUp = 10s;               // for the gateways to be ready
constexpr Duration kLate = 20ms;            // of a turn of our own
constexpr std::size_t kLongestMail = 2048;
constexpr double kLateShare = 0.01;

std::string text_of(decision::Repeat repeat) {
    switch (repeat) {
        case decision::Repeat::Safe: return "safe";
        case decision::Repeat::Keyed: return "keyed";
        case decision::Repeat::Unsafe: return "unsafe";
    }
    return "?";
}

class Live;

// ---- servers ----

class LiveServer : public ServerEnvironment {
public:
    LiveServer(Live& of, int number);
    ~LiveServer() override { cut(); }

    void trouble(const Fault& fault, bool begins);
    std::string address() const { return fmt::format("127.0.0.1:{}", port_); }
    RunStatistics& figures() { return server_.statistics; }
    void begins_at(TimePoint start) { server_.set_start(start); }

private:
    class Connection : public StreamOwner {
    public:
        Connection(LiveServer& of, std::uint64_t number);
        void on_input() override { server.serve(*this); }
        void on_disconnected() override { server.forget(*this); }

        LiveServer& server;
        std::uint64_t number;
        Stream stream;
        http::Parser parser;
        bool fresh = true, busy = false;
        std::string id;
    };
    void listen();
    void cut();
    void serve(Connection& c);
    void forget(Connection& c);
    void reply(Connection& c, std::string bytes);

    TimePoint current_time() const override;
    void schedule_wakeup(TimePoint at, std::uint64_t number) override;
    void send_answer(const JobId& job, Outcome outcome) override;

    Live& live_;
    int number_;
    int port_ = 0;
    std::unique_ptr<TestListener> acceptor_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::uint64_t last_ = 0;
    std::uint64_t life_ = 0;    // timers of an earlier one are void
    EmulatedServer server_;
};

// ---- discovery, of one gateway ----

class LiveDiscovery {
public:
    LiveDiscovery(Live& of, Reactor& reactor) : live_(of), reactor_(reactor) {
        acceptor_ = std::make_unique<TestListener>(reactor, 0, [this](const auto& socket) {
            watchers_.push_back(std::make_unique<Watcher>(*this, reactor_));
            watchers_.back()->stream.attach(socket);
        });
    }
    ~LiveDiscovery() {
        for (const auto& w : watchers_) reactor_.cancel_timer(w->beat);
    }
    std::string address() const { return acceptor_->address(); }
    void change(int server, decision::HostState state, std::int64_t up_since_ms);
    std::string all() const;

private:
    struct Watcher : StreamOwner {
        Watcher(LiveDiscovery& of, Reactor& reactor)
            : owner(of), stream(reactor, *this), parser(http::Parser::Kind::Request) {}
        void on_input() override { owner.serve(*this); }
        void on_disconnected() override { owner.forget(*this); }
        LiveDiscovery& owner;
        Stream stream;
        http::Parser parser;
        Timers::Id beat = 0;
        bool watches = false;
    };
    struct State {
        decision::HostState state = decision::HostState::Healthy;
        std::int64_t up_since_ms = 0;
        std::uint64_t revision = 1;
    };
    std::string member(int server, const State& s) const;
    std::string since(std::uint64_t revision) const;
    void serve(Watcher& w);
    void write(Watcher& w, const std::string& line);
    void beat(Watcher& w);
    void forget(Watcher& w);

    Live& live_;
    Reactor& reactor_;
    std::unique_ptr<TestListener> acceptor_;
    std::list<std::unique_ptr<Watcher>> watchers_;
    std::map<int, State> changed_;
    std::uint64_t revision_ = 1;
};

// ---- the network between gateways ----

// What one gateway takes for another: whatever it sends there reaches the other from the socket that the
// other takes for it.
class Wire {
public:
    Wire(Live& of, Reactor& reactor) : live_(of), reactor_(reactor) {
        socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        socket_.setBlocking(false);
        reactor_.addEventHandler(
            socket_, Poco::NObserver<Wire, Poco::Net::ReadableNotification>(*this, &Wire::on_readable));
    }
    ~Wire() {
        reactor_.removeEventHandler(
            socket_, Poco::NObserver<Wire, Poco::Net::ReadableNotification>(*this, &Wire::on_readable));
    }
    std::string address() const { return socket_.address().toString(); }
    void lead_to(Wire& back, const std::string& to) {
        back_ = &back;
        to_ = Poco::Net::SocketAddress(to);
    }

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    void pass_on(const std::string& bytes) {
        try {
            back_->socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), to_);
        } catch (const Poco::Exception&) {
            // Mail may be lost: its gateway is down.
        }
    }
    Live& live_;
    Reactor& reactor_;
    Poco::Net::DatagramSocket socket_;
    Wire* back_ = nullptr;
    Poco::Net::SocketAddress to_;
};

// ---- fronts ----

class LiveFront : public FrontendEnvironment {
public:
    LiveFront(Live& of, int number);
    Clients& clients() { return *clients_; }
    void begin();

private:
    TimePoint current_time() const override;
    void schedule_wakeup(TimePoint at, std::uint64_t what) override;
    void send_request(const ClientRequest& asked) override;
    void abandon_request(std::uint64_t request, int gateway_index) override;

    struct Out {
        int gateway_index = 0, attempt = 0;
        std::uint64_t ticket = 0;
    };
    Live& live_;
    int number_;
    std::unique_ptr<Clients> clients_;
    std::unordered_map<std::uint64_t, Out> out_;
};

// ---- the whole ----

class Live {
public:
    Live(const Scenario& scenario, LiveSettings settings);
    ~Live();
    LiveFigures run();

    // Of a request that reached a server whole.
    void arrived(const std::string& id, int cls);
    void turned_away(const std::string& id) { asked_[id].may_have_run = false; }
    bool reached(const std::string& id) const {
        const auto it = asked_.find(id);
        return it != asked_.end() && it->second.reached;
    }
    void asked(const std::string& id, const ClientRequest& a) {
        asked_[id] = {a.customer, a.units, a.request_number};
    }
    void new_for_drained(int server, const std::string& id);
    double mail_loss() const { return std::max(s_.peer_message_loss, mail_loss_); }
    void count_mail();

    // NOLINTBEGIN(readability-identifier-naming): public to the helpers of this file only; to be renamed
    Scenario s_;
    LiveSettings settings_;
    SystemClock clock_;
    Timers timers_;
    Reactor reactor_{clock_, timers_};
    std::mt19937_64 random_;
    TimePoint start_{};
    RunStatistics figures_;
    std::vector<std::unique_ptr<LiveServer>> servers_;
    std::vector<std::unique_ptr<HttpLoadClient>> callers_;
    std::vector<double> shares_;
    // NOLINTEND(readability-identifier-naming)

private:
    struct Known {
        decision::CustomerId customer{};
        double units = 0.0;
        std::uint64_t request = 0;
        bool reached = false, may_have_run = false;
    };
    struct Gateway {
        std::unique_ptr<LiveDiscovery> discovery;
        std::unique_ptr<FaultProxy> counter;
        std::unique_ptr<Process> process;
        std::string address, mail;
        double cpu_s = 0.0;
        int life = 0;
    };
    void start_gateway(int g);
    void end_gateway(int g);
    void poll_ready(int g, int life);
    void all_ready();
    void begin(const Fault& fault, bool begins);
    void tell_progress();
    void stop();
    std::size_t second() const {
        return std::min(static_cast<std::size_t>(std::max(0.0, secs(clock_.now() - start_))),
                        figures_.peer_messages_by_second.size() - 1);
    }

    bool own_folder_ = false;
    std::filesystem::path folder_;
    std::vector<Gateway> gateways_;
    std::map<std::pair<int, int>, std::unique_ptr<Wire>> wires_;
    std::unique_ptr<StandInCounter> counter_;
    std::vector<std::unique_ptr<LiveFront>> fronts_;
    std::unordered_map<std::string, Known> asked_;
    std::map<int, TimePoint> drained_;    // when the last gateway was told
    std::vector<AdmittedRequestUnits> sent_;
    double mail_loss_ = 0.0;
    int ready_ = 0;
    bool running_ = false;
    std::string trouble_;
    std::uint64_t late_ = 0, turns_ = 0;
    TimePoint beat_due_{};
    friend class LiveFront;
};

// ---- servers ----

LiveServer::LiveServer(Live& of, int number)
    : live_(of),
      number_(number),
      server_(of.s_, mix_hash(of.s_.seed, static_cast<std::uint64_t>(number) + 5'000'000), of.start_, *this) {
    listen();
}

void LiveServer::listen() {
    acceptor_ = std::make_unique<TestListener>(live_.reactor_, port_, [this](const auto& socket) {
        auto connection = std::make_unique<Connection>(*this, ++last_);
        connection->stream.attach(socket);
        connections_[last_] = std::move(connection);
    });
    port_ = acceptor_->port();
}

LiveServer::Connection::Connection(LiveServer& of, std::uint64_t n)
    : server(of), number(n), stream(of.live_.reactor_, *this), parser(http::Parser::Kind::Request) {}

void LiveServer::cut() {
    acceptor_.reset();
    while (!connections_.empty()) forget(*connections_.begin()->second);
}

void LiveServer::forget(Connection& c) {
    struct Gone : RetiredObject {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Connection> of) : held(std::move(of)) {}
        std::unique_ptr<Connection> held;
    };
    if (std::exchange(c.busy, false)) server_.on_cancel({c.number, 0, 0});
    const auto it = connections_.find(c.number);
    if (it == connections_.end()) return;
    c.stream.close();
    auto held = std::move(it->second);
    connections_.erase(it);
    live_.reactor_.destroy_later(std::make_unique<Gone>(std::move(held)));
}

void LiveServer::serve(Connection& c) {
    if (c.busy) return;
    const http::ParseStatus status = c.parser.parse(c.stream.input_buffer());
    if (status == http::ParseStatus::Malformed) return forget(c);
    if (status != http::ParseStatus::Complete) return;
    const http::Buffer& in = c.stream.input_buffer();
    std::string_view target = c.parser.target(in);
    if (target.starts_with("/health/live")) {
        if (server_.is_hung()) return;
        return reply(c, write_answer(200, "", "", true));
    }
    c.id = std::string(c.parser.header(in, "X-Correlation-Id"));
    target = target.substr(1, target.find('/', 1) - 1);
    int cls = -1;
    for (std::size_t i = 0; i < simulated_classes().size(); ++i)
        if (simulated_classes()[i].name == target) cls = static_cast<int>(i);
    if (cls < 0 || c.id.empty()) return reply(c, write_answer(404, "", "", true));
    if (server_.drops_request()) return;
    live_.arrived(c.id, cls);
    live_.new_for_drained(number_, c.id);
    c.busy = true;
    server_.on_request({c.number, 0, 0}, cls, std::exchange(c.fresh, false));
}

void LiveServer::reply(Connection& c, std::string bytes) {
    c.stream.input_buffer().consume(c.parser.message_size());
    c.parser.reset();
    c.busy = false;
    if (!c.stream.write_bytes(std::move(bytes))) return forget(c);
    if (!c.stream.input_buffer().empty()) serve(c);
}

TimePoint LiveServer::current_time() const { return live_.clock_.now(); }

void LiveServer::schedule_wakeup(TimePoint at, std::uint64_t number) {
    live_.reactor_.schedule_at(at, [this, number, life = life_] {
        if (life == life_) server_.on_wakeup(number);
    });
}

void LiveServer::send_answer(const JobId& job, Outcome outcome) {
    const auto it = connections_.find(job.sender);
    if (it == connections_.end()) return;
    Connection& c = *it->second;
    if (outcome == Outcome::Reset || outcome == Outcome::ConnectFailed) {
        c.busy = false;
        return forget(c);
    }
    const EmulatedServer::ReportedLoad load = server_.reported_load();
    std::string headers =
        fmt::format("X-Backend-Load: inflight={},queue={}\r\n", load.outstanding, load.backlog);
    if (outcome == Outcome::Full) {
        live_.turned_away(c.id);
        headers += "X-Unprocessed: 1\r\n";
    }
    const int status = outcome == Outcome::Ok ? 200 : outcome == Outcome::Full ? 503 : 500;
    reply(c, write_answer(status, headers, outcome == Outcome::Ok ? c.id : std::string(), true));
}

void LiveServer::trouble(const Fault& fault, bool begins) {
    server_.apply_fault(fault, begins);
    if (fault.kind != Fault::Kind::Crash && fault.kind != Fault::Kind::RoomLost) return;
    ++life_;
    if (begins) cut();
    else if (!server_.is_down()) listen();
}

// ---- discovery ----

std::string LiveDiscovery::member(int server, const State& s) const {
    const char* const phase = s.state == decision::HostState::Healthy    ? "in_service"
                              : s.state == decision::HostState::Draining ? "terminating"
                                                                         : "terminated";
    return Json{{"id", fmt::format("s-{:08x}", server)},
                {"host_port", live_.servers_[static_cast<std::size_t>(server)]->address()},
                {"locality", fmt::format("room-{}", server % live_.s_.room_count)},
                {"flavor", "std"},
                {"cell", server % 4},
                {"phase", phase},
                {"size", 1.0},
                {"up_since_ms", s.up_since_ms}}
        .dump();
}

std::string LiveDiscovery::all() const {
    std::string members;
    for (int i = 0; i < live_.s_.server_count; ++i) {
        const auto it = changed_.find(i);
        const State state = it == changed_.end() ? State{} : it->second;
        if (state.state == decision::HostState::Gone) continue;
        members += (members.empty() ? "" : ",") + member(i, state);
    }
    return fmt::format(R"({{"revision":{},"complete":true,"members":[{}]}})", revision_, members);
}

std::string LiveDiscovery::since(std::uint64_t revision) const {
    if (revision == 0 || revision > revision_) return all();
    std::string members;
    for (const auto& [server, state] : changed_)
        if (state.revision > revision) members += (members.empty() ? "" : ",") + member(server, state);
    return fmt::format(R"({{"revision":{},"complete":false,"members":[{}]}})", revision_, members);
}

void LiveDiscovery::change(int server, decision::HostState state, std::int64_t up_since_ms) {
    State& s = changed_[server];
    s.state = state;
    if (up_since_ms >= 0) s.up_since_ms = up_since_ms;
    const std::uint64_t before = revision_++;
    s.revision = revision_;
    std::vector<Watcher*> all;
    for (const auto& w : watchers_)
        if (w->watches) all.push_back(w.get());
    for (Watcher* w : all) write(*w, since(before));
}

void LiveDiscovery::serve(Watcher& w) {
    if (w.watches) return;
    const http::ParseStatus status = w.parser.parse(w.stream.input_buffer());
    if (status == http::ParseStatus::Malformed) return forget(w);
    if (status != http::ParseStatus::Complete) return;
    const std::string target(w.parser.target(w.stream.input_buffer()));
    w.stream.input_buffer().consume(w.parser.message_size());
    w.parser.reset();
    if (target.find("stream=1") == std::string::npos) {
        if (!w.stream.write_bytes(write_answer(200, "", all(), true))) forget(w);
        return;
    }
    std::uint64_t index = 0;
    if (const auto at = target.find("index="); at != std::string::npos)
        index = std::strtoull(target.c_str() + at + 6, nullptr, 10);
    w.watches = true;
    if (!w.stream.write_bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return forget(w);
    write(w, since(index));
    beat(w);
}

void LiveDiscovery::write(Watcher& w, const std::string& line) {
    if (!w.stream.write_bytes(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line))) forget(w);
}

void LiveDiscovery::beat(Watcher& w) {
    w.beat = reactor_.schedule_after(2s, [this, &w] {
        if (!w.stream.write_bytes("1\r\n\n\r\n")) return forget(w);
        beat(w);
    });
}

void LiveDiscovery::forget(Watcher& w) {
    struct Gone : RetiredObject {
        explicit Gone(std::unique_ptr<Watcher> of) : held(std::move(of)) {}
        std::unique_ptr<Watcher> held;
    };
    reactor_.cancel_timer(w.beat);
    w.stream.close();
    const auto it =
        std::find_if(watchers_.begin(), watchers_.end(), [&](const auto& one) { return one.get() == &w; });
    if (it == watchers_.end()) return;
    auto held = std::move(*it);
    watchers_.erase(it);
    reactor_.destroy_later(std::make_unique<Gone>(std::move(held)));
}

// ---- the network between gateways ----

void Wire::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    std::array<char, kLongestMail> bytes{};
    for (int i = 0; i < 64; ++i) {
        Poco::Net::SocketAddress from;
        int length = -1;
        try {
            length = socket_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
        } catch (const Poco::Exception&) {
            continue;
        }
        if (length <= 0) break;
        live_.count_mail();
        if (std::uniform_real_distribution<>(0.0, 1.0)(live_.random_) < live_.mail_loss()) continue;
        std::string mail(bytes.data(), static_cast<std::size_t>(length));
        if (live_.s_.network_delay < 1ms) pass_on(mail);
        else
            reactor_.schedule_after(live_.s_.network_delay,
                                    [this, mail = std::move(mail)] { pass_on(mail); });
    }
    reactor_.update_poll_timeout();
}

// ---- fronts ----

LiveFront::LiveFront(Live& of, int number) : live_(of), number_(number) {}

void LiveFront::begin() {
    clients_ = std::make_unique<Clients>(live_.s_, number_, live_.shares_, live_.start_, kSlack, *this);
    clients_->start_arrivals();
}

TimePoint LiveFront::current_time() const { return live_.clock_.now(); }

void LiveFront::schedule_wakeup(TimePoint at, std::uint64_t what) {
    live_.reactor_.schedule_at(at, [this, what] { clients_->on_wakeup(what); });
}

void LiveFront::send_request(const ClientRequest& a) {
    const std::string id = fmt::format("{:x}-{}", a.request_number, a.attempt_number);
    live_.asked(id, a);
    const auto& cls = simulated_classes()[static_cast<std::size_t>(a.class_index)];
    const bool get = cls.repeat == decision::Repeat::Safe;
    const int width = gateway_set_size(live_.s_);
    const std::string text = fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {}\r\nX-Tier: {}\r\nCookie: "
        "customer={:016x}\r\n"
        "X-Call-Terms: units={},spread={},first={}\r\nX-Time-Left: {}u\r\n{}\r\n",
        get ? "GET" : "POST", cls.name, a.request_number, id,
        live_.s_.plans[static_cast<std::size_t>(a.plan_index)].name, static_cast<std::uint64_t>(a.customer),
        a.units, width, first_gateway_of(live_.s_, a.customer), a.time_left.count(),
        get ? ""
        : cls.repeat == decision::Repeat::Keyed
            ? fmt::format("Idempotency-Key: {:032x}\r\nContent-Length: 0\r\n", a.request_number)
            : "Content-Length: 0\r\n");
    const TimePoint sent = current_time();
    Out& out = out_[a.request_number];
    out.gateway_index = a.gateway_index;
    out.attempt = a.attempt_number;
    const std::uint64_t ticket = live_.callers_[static_cast<std::size_t>(a.gateway_index)]->send_request(
        text, [this, request = a.request_number, attempt = a.attempt_number, id, sent, left = a.time_left,
               cls_name = cls.name](int status, Duration after) {
            const auto it = out_.find(request);
            if (it != out_.end() && it->second.attempt == attempt) out_.erase(it);
            const bool refused = status == 429 || status == 503;
            if (refused && !live_.reached(id))
                record_rule_check(
                    clients_->statistics.rules["held-back refusals"],
                    current_time() - sent <= left / 2 + kSlack,
                    [&] {
                        return fmt::format(
                            "request {} ({}, at {:.3f}) was refused {:.3f} s after it was sent, of {:.3f}",
                            id, cls_name, secs(sent - live_.start_), secs(current_time() - sent), secs(left));
                    },
                    request);
            clients_->on_answer(request,
                                status == 200 ? RequestEnd::Served
                                : refused     ? RequestEnd::Rejected
                                              : RequestEnd::Failed,
                                after);
        });
    // It may have ended already, where the connection was refused.
    if (const auto it = out_.find(a.request_number);
        it != out_.end() && it->second.attempt == a.attempt_number)
        it->second.ticket = ticket;
}

void LiveFront::abandon_request(std::uint64_t request, int gateway_index) {
    const auto it = out_.find(request);
    if (it == out_.end()) return;
    live_.callers_[static_cast<std::size_t>(gateway_index)]->abandon_request(it->second.ticket);
    out_.erase(it);
}

// ---- the whole ----

Live::Live(const Scenario& scenario, LiveSettings settings)
    : s_(scenario.with_drawn_faults()),
      settings_(std::move(settings)),
      random_(mix_hash(scenario.seed, 555)) {
    if (s_.plans.empty()) s_.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
    if (s_.gateway_count > kMostLiveGateways || s_.server_count > kMostLiveServers ||
        s_.request_rate > kMostLiveRate)
        throw std::invalid_argument(
            fmt::format("on sockets: at most {} gateways, {} servers and {} requests a second",
                        kMostLiveGateways, kMostLiveServers, kMostLiveRate));
    if (!s_.plan_changes.empty())
        throw std::invalid_argument("on sockets plans do not change; `make experiment NAME=plans` has that");
    own_folder_ = settings_.folder.empty();
    folder_ = own_folder_ ? std::filesystem::temp_directory_path() /
                                fmt::format("shaletray-live-{}-{}-{}", s_.name, s_.seed, getpid())
                          : std::filesystem::path(settings_.folder);
    std::filesystem::create_directories(folder_);
    shares_ = customer_activity(s_);
    const auto seconds = static_cast<std::size_t>(std::ceil(secs(s_.duration))) + 4;
    figures_.peer_messages_by_second.resize(seconds);
    figures_.admitted_units_by_second.resize(seconds);
    // The gateways' start is not part of the scenario.
    start_ = clock_.now() + kUp;
    gateways_.resize(static_cast<std::size_t>(s_.gateway_count));
}

Live::~Live() {
    for (Gateway& g : gateways_) g.process.reset();
    std::error_code ignored;
    if (own_folder_ && std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
}

void Live::start_gateway(int g) {
    Gateway& gateway_index = gateways_[static_cast<std::size_t>(g)];
    Json peers = Json::array();
    for (int h = 0; h < s_.gateway_count; ++h)
        peers.push_back(h == g ? gateway_index.mail : wires_.at({g, h})->address());
    Json config = {{"name", fmt::format("n{}", g)},
                   {"listen", gateway_index.address},
                   {"discovery", gateway_index.discovery->address()},
                   {"seed", fmt::format("{:x}", mix_hash(s_.seed, static_cast<std::uint64_t>(g)))},
                   {"limits", {{"memory_mb", 192}, {"sockets", 1024}}},
                   {"settings", Json::parse(settings_json(s_, g))}};
    if (s_.quota_sharing == Scenario::QuotaSharing::PeerMessages && s_.gateway_count > 1) {
        config["peers"] = peers;
        config["peer_listen"] = gateway_index.mail;
    }
    const auto path = folder_ / fmt::format("n{}.json", g);
    std::ofstream(path) << config;
    std::map<std::string, std::string> environment = gateway_environment(path.string());
    if (gateway_index.counter) {
        const auto file = folder_ / fmt::format("n{}.cue", g);
        std::ofstream(file) << fmt::format("counter: stores: [{{address: \"{}\"}}]\n",
                                           gateway_index.counter->address());
        environment["SHALETRAY_SETTINGS"] = file.string();
    }
    gateway_index.process =
        std::make_unique<Process>(std::vector<std::string>{settings_.programs + "/shaletray"}, environment,
                                  (folder_ / fmt::format("n{}.{}.log", g, ++gateway_index.life)).string());
    poll_ready(g, gateway_index.life);
}

void Live::end_gateway(int g) {
    Gateway& gateway_index = gateways_[static_cast<std::size_t>(g)];
    if (!gateway_index.process) return;
    gateway_index.cpu_s += gateway_index.process->cpu_seconds();
    gateway_index.process->kill();
    gateway_index.process.reset();
    ++gateway_index.life;
}

void Live::poll_ready(int g, int life) {
    if (life != gateways_[static_cast<std::size_t>(g)].life) return;
    auto caller = std::make_shared<HttpLoadClient>(reactor_, gateways_[static_cast<std::size_t>(g)].address);
    caller->send_request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
                         [this, g, life, caller](int status, Duration) {
                             // Whatever the answer: the connection is closed once this is off the call stack.
                             reactor_.schedule_after(0ms, [caller] {});
                             if (life != gateways_[static_cast<std::size_t>(g)].life) return;
                             if (status != 200) {
                                 reactor_.schedule_after(30ms, [this, g, life] { poll_ready(g, life); });
                                 return;
                             }
                             if (running_) {
                                 for (const auto& front : fronts_) front->clients().on_gateway_state(g, true);
                             } else if (++ready_ == s_.gateway_count) {
                                 all_ready();
                             }
                         });
}

// All stand: the scenario begins.
void Live::all_ready() {
    running_ = true;
    start_ = clock_.now();
    for (const auto& server : servers_) server->begins_at(start_);
    for (const auto& front : fronts_) front->begin();
    for (const Fault& f : s_.faults) {
        reactor_.schedule_at(start_ + f.starts_at, [this, &f] { begin(f, true); });
        reactor_.schedule_at(start_ + f.starts_at + f.duration, [this, &f] { begin(f, false); });
    }
    for (const HostListChange& told : host_list_changes(s_)) {
        const std::int64_t born = told.started_at < Duration(0)
                                      ? -1
                                      : std::chrono::duration_cast<std::chrono::milliseconds>(
                                            (start_ + told.started_at).time_since_epoch())
                                            .count();
        for (std::size_t g = 0; g < gateways_.size(); ++g) {
            const Duration heard = told.known_at + s_.list_delay +
                                   Duration(static_cast<std::int64_t>(
                                       random_() % static_cast<std::uint64_t>(s_.list_delay.count() + 1)));
            reactor_.schedule_at(start_ + heard, [this, g, told, born] {
                gateways_[g].discovery->change(told.server_index, told.state, born);
                if (told.state == decision::HostState::Healthy) drained_.erase(told.server_index);
                else drained_[told.server_index] = std::max(drained_[told.server_index], clock_.now());
            });
        }
    }
    const auto beat = [this](const auto& self) -> void {
        beat_due_ = clock_.now() + 10ms;
        reactor_.schedule_at(beat_due_, [this, self] {
            ++turns_;
            late_ += clock_.now() - beat_due_ > kLate;
            self(self);
        });
    };
    beat(beat);
    if (settings_.progress) tell_progress();
    reactor_.schedule_at(start_ + s_.duration + s_.request_timeout + 1s, [this] { stop(); });
}

void Live::tell_progress() {
    reactor_.schedule_after(1s, [this] {
        RunStatistics sum;
        for (const auto& front : fronts_) merge_statistics(sum, front->clients().statistics);
        sum.attempts = figures_.attempts;
        settings_.progress(secs(clock_.now() - start_), sum);
        tell_progress();
    });
}

void Live::begin(const Fault& f, bool begins) {
    switch (f.kind) {
        case Fault::Kind::PeerMessageLoss: mail_loss_ = begins ? f.magnitude : 0.0; return;
        case Fault::Kind::DiscoveryOutage: return;
        case Fault::Kind::StoreOutage:
            for (Gateway& g : gateways_) g.counter->set_partitioned(begins);
            return;
        case Fault::Kind::GatewayCrash:
            if (!begins) return start_gateway(f.gateway_index);
            end_gateway(f.gateway_index);
            if (f.duration > kDeathNoticed)
                reactor_.schedule_after(kDeathNoticed, [this, g = f.gateway_index] {
                    for (const auto& front : fronts_) front->clients().on_gateway_state(g, false);
                });
            return;
        default: break;
    }
    for (int i = 0; i < s_.server_count; ++i) {
        if (fault_affects_server(s_, f, i)) servers_[static_cast<std::size_t>(i)]->trouble(f, begins);
    }
}

void Live::stop() {
    for (Gateway& g : gateways_) {
        if (g.process) g.cpu_s += g.process->cpu_seconds();
        if (g.process && running_) {
            const int status = g.process->terminate();
            if (status != 0) trouble_ = fmt::format("a gateway ended with {}", status);
        }
        g.process.reset();
    }
    reactor_.stop();
    reactor_.wakeUp();
}

void Live::arrived(const std::string& id, int cls) {
    const auto it = asked_.find(id);
    if (it == asked_.end()) return;
    Known& k = it->second;
    if (cls == ClaimSubmit && k.reached)
        record_rule_check(
            figures_.rules["unasked repeats"], !k.may_have_run,
            [&] { return fmt::format("request {} reached a server once more, and may have run", id); },
            k.request);
    k.may_have_run = true;
    if (std::exchange(k.reached, true)) return;
    figures_.admitted_units_by_second[second()] += k.units;
    const auto plan = static_cast<std::size_t>(static_cast<std::uint64_t>(k.customer) % s_.plans.size());
    if (s_.plans[plan].ceiling_rate > 0.0)
        sent_.push_back({clock_.now(), k.customer, static_cast<float>(k.units)});
}

void Live::new_for_drained(int server, const std::string& id) {
    ++figures_.attempts;
    const auto it = drained_.find(server);
    if (it == drained_.end()) return;
    record_rule_check(figures_.rules["drains"], clock_.now() - it->second <= kDrainSlack, [&] {
        return fmt::format("request {} reached server {} {:.3f} s after the last gateway was told", id,
                           server, secs(clock_.now() - it->second));
    });
}

void Live::count_mail() {
    ++figures_.messages;
    if (running_) ++figures_.peer_messages_by_second[second()];
}

LiveFigures Live::run() {
    Poco::Thread thread;
    std::exception_ptr error;
    // POCO lets a reactor without sockets sleep on threads of its own only.
    thread.startFunc([&] {
        try {
            for (int i = 0; i < s_.server_count; ++i)
                servers_.push_back(std::make_unique<LiveServer>(*this, i));
            if (s_.quota_sharing == Scenario::QuotaSharing::SharedCounter)
                counter_ = std::make_unique<StandInCounter>();
            for (Gateway& g : gateways_) {
                g.discovery = std::make_unique<LiveDiscovery>(*this, reactor_);
                g.address = fmt::format("127.0.0.1:{}", find_free_port());
                Poco::Net::DatagramSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0), true);
                g.mail = probe.address().toString();
                if (counter_) g.counter = std::make_unique<FaultProxy>(reactor_, counter_->address());
                callers_.push_back(std::make_unique<HttpLoadClient>(reactor_, g.address));
            }
            for (int g = 0; g < s_.gateway_count; ++g)
                for (int h = 0; h < s_.gateway_count; ++h)
                    if (g != h) wires_[{g, h}] = std::make_unique<Wire>(*this, reactor_);
            for (auto& [pair, wire] : wires_)
                wire->lead_to(*wires_.at({pair.second, pair.first}),
                              gateways_[static_cast<std::size_t>(pair.second)].mail);
            for (int i = 0; i < s_.frontend_count; ++i)
                fronts_.push_back(std::make_unique<LiveFront>(*this, i));
            for (int g = 0; g < s_.gateway_count; ++g) start_gateway(g);
            reactor_.schedule_after(kUp, [this] {
                if (running_) return;
                trouble_ = "the gateways did not come up";
                stop();
            });
            reactor_.run();
        } catch (...) {
            error = std::current_exception();
        }
    });
    thread.join();
    if (error) std::rethrow_exception(error);
    if (!running_) throw std::runtime_error(trouble_);
    LiveFigures out;
    register_rules(out.figures);
    FineLatencyHistogram latency = make_latency_histogram();
    for (const auto& front : fronts_) {
        Clients& c = front->clients();
        c.finish_run();
        latency += c.latency_histogram();
        c.statistics.distinct_customers = c.distinct_customers();
        merge_statistics(out.figures, c.statistics);
    }
    for (const auto& server : servers_) merge_statistics(out.figures, server->figures());
    merge_statistics(out.figures, figures_);
    check_rate_limits(s_, std::move(sent_), {}, start_, kCeilingLate, out.figures);
    out.figures.p50_ms = latency_quantile_ms(latency, 0.5);
    out.figures.p99_ms = latency_quantile_ms(latency, 0.99);
    out.figures.p999_ms = latency_quantile_ms(latency, 0.999);
    for (const Gateway& g : gateways_) out.cpu_s += g.cpu_s;
    out.late =
        turns_ == 0 || static_cast<double>(late_) > kLateShare * static_cast<double>(turns_) ? late_ : 0;
    if (!trouble_.empty()) {
        RunStatistics::Rule& rule = out.figures.rules["gateways end in order"];
        ++rule.check_count;
        ++rule.violation_count;
        rule.first_violation = trouble_;
    }
    return out;
}

}    // namespace

bool LiveFigures::ran_late() const { return late > 0; }

std::string settings_json(const Scenario& s, int me) {
    const decision::Settings v = gateway_settings(s, me);
    Json rooms = Json::array();
    for (int i = 0; i < s.room_count; ++i) rooms.push_back(fmt::format("room-{}", i));
    Json out = {{"me", v.me},
                {"replicasOfMe", v.gateways},
                {"zone", v.zone},
                {"zones", rooms},
                {"kinds", {"std"}},
                {"membershipMode", "push"},
                {"loadInfo", {{"via", "inline"}}},
                {"specifics", {{"mailPerS", v.peer_messages_per_s}, {"mostUnits", v.most_units}}},
                {"limits",
                 {{"sendCap", v.send_cap},
                  {"maxOpen", 100000},
                  {"mayCancel", v.may_cancel},
                  {"mayProbe", v.may_probe},
                  {"mayTell", v.may_tell},
                  {"retryAfter", v.max_retry_after > Duration(0)},
                  {"maxRetryAfter", v.max_retry_after.count()},
                  {"dialTimeout", 250000},
                  {"connIdle", 15000000}}},
                {"rules",
                 {{"answerSlack", 8000},
                  {"cold", v.cold.count()},
                  {"drainGrace", v.drain_grace.count()},
                  {"fall", v.fall.count()},
                  {"fallMultiple", v.fall_multiple},
                  {"startCapacity", v.start_capacity}}}};
    for (const decision::ClassSettings& c : v.classes)
        out["classes"].push_back({{"name", c.name},
                                  {"idempotency", text_of(c.repeat)},
                                  {"window", c.window.count()},
                                  {"slo", c.aim.count()},
                                  {"hardLimit", c.give_up.count()},
                                  {"gain", c.worth},
                                  {"lateShare", c.late_share}});
    for (const decision::PlanSettings& p : v.plans)
        out["tiersOfService"].push_back({{"name", p.name},
                                         {"unitsPerS", p.rate},
                                         {"peakUnits", p.burst},
                                         {"maxOut", p.max_out},
                                         {"ceilingRate", p.ceiling_rate},
                                         {"hardBurst", p.ceiling_burst},
                                         {"hardSlack", p.ceiling_slack},
                                         {"pays", p.price},
                                         {"overWorth", p.over_worth},
                                         {"overCost", p.over_cost}});
    return out.dump();
}

std::string lone_config(const Scenario& s, const std::vector<std::string>& servers, const std::string& listen,
                        std::size_t sockets, double memory_mb) {
    Json members = Json::array();
    for (std::size_t i = 0; i < servers.size(); ++i)
        members.push_back({{"id", fmt::format("s{}", i)},
                           {"host_port", servers[i]},
                           {"locality", "room-0"},
                           {"flavor", "std"},
                           {"cell", 1},
                           {"phase", "in_service"},
                           {"size", 1.0},
                           {"up_since_ms", 0}});
    return Json{{"name", "n0"},
                {"listen", listen},
                {"discovery", fmt::format("127.0.0.1:{}", find_free_port())},
                {"seed", "1f"},
                {"limits", {{"memory_mb", memory_mb}, {"sockets", sockets}}},
                {"known", {{"revision", 1}, {"complete", true}, {"members", members}}},
                {"settings", Json::parse(settings_json(s, 0))}}
        .dump();
}

LiveFigures run_live(const Scenario& scenario, const LiveSettings& settings) {
    scenario.validate();
    signal(SIGPIPE, SIG_IGN);
    Live live(scenario, settings);
    return live.run();
}

}    // namespace shaletray::testbed
