#include "test_processes.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include "balancer/platform/messages.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

Duration from_seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

template <class T>
struct Later : Retired {
    explicit Later(std::unique_ptr<T> of) : held(std::move(of)) {}
    std::unique_ptr<T> held;
};

// Takes an object off its owner's list; it is destroyed when nothing of it is on the call stack.
template <class T>
void put_off(Reactor& reactor, std::list<std::unique_ptr<T>>& list, T& object) {
    const auto it = std::find_if(list.begin(), list.end(), [&](const auto& p) { return p.get() == &object; });
    if (it == list.end()) return;
    reactor.retire(std::make_unique<Later<T>>(std::move(*it)));
    list.erase(it);
}

}    // namespace

// ---- processes ----

Process::Process(std::vector<std::string> words, std::map<std::string, std::string> environment,
                 std::string log)
    : log_(std::move(log)) {
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        const std::string name = text.substr(0, text.find('='));
        environment.try_emplace(name, text.substr(std::min(text.size(), name.size() + 1)));
    }
    std::vector<std::string> settings;
    for (const auto& [name, value] : environment) settings.push_back(fmt::format("{}={}", name, value));
    std::vector<char*> argv, envp;
    for (std::string& word : words) argv.push_back(word.data());
    for (std::string& setting : settings) envp.push_back(setting.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A child that held our listening sockets would keep a server reachable that has ended.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    // A thread of POCO's holds SIGTERM back, and a child would inherit that.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed = posix_spawn(&pid_, words[0].c_str(), &actions, &attributes, argv.data(), envp.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error(fmt::format("{} cannot be started", words[0]));
}

Process::~Process() { kill(); }

void Process::signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
}

int Process::reap() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, 0) != pid_) status = -1;
    pid_ = 0;
    return status != -1 && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Process::kill() {
    if (pid_ <= 0) return;
    signal(SIGKILL);
    reap();
}

int Process::end() {
    constexpr auto kPatience = 15s;
    signal(SIGTERM);
    const auto until = std::chrono::steady_clock::now() + kPatience;
    for (int status = 0; pid_ > 0 && std::chrono::steady_clock::now() < until;) {
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(5ms);
    }
    kill();
    return -1;
}

double Process::cpu() const {
    std::ifstream in(fmt::format("/proc/{}/schedstat", pid_));
    double nanoseconds = 0.0;
    in >> nanoseconds;
    return nanoseconds / 1e9;
}

double Process::peak_mb() const {
    std::ifstream in(fmt::format("/proc/{}/status", pid_));
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmHWM:")) return std::strtod(line.c_str() + 6, nullptr) / 1024.0;
    return 0.0;
}

bool Process::alive() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
}

std::string Process::log_text() const {
    std::ifstream in(log_, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::map<std::string, std::string> gateway_environment(const std::string& config,
                                                       const std::string& settings) {
    return {{"EDGE_CONFIG", config},
            {"EDGE_NAME", ""},
            {"EDGE_LISTEN", ""},
            {"EDGE_DISCOVERY", ""},
            {"SHALETRAY_SETTINGS", settings}};
}

int free_port() {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

// ---- accepting ----

Acceptor::Acceptor(Reactor& reactor, int port, Take take)
    : Acceptor(reactor, fmt::format("127.0.0.1:{}", port), std::move(take)) {}

Acceptor::Acceptor(Reactor& reactor, const std::string& address, Take take)
    : reactor_(reactor), take_(std::move(take)) {
    socket_.bind(Poco::Net::SocketAddress(address), true);
    socket_.listen(256);
    socket_.setBlocking(false);
    reactor_.addEventHandler(
        socket_, Poco::NObserver<Acceptor, Poco::Net::ReadableNotification>(*this, &Acceptor::on_readable));
}

Acceptor::~Acceptor() {
    reactor_.removeEventHandler(
        socket_, Poco::NObserver<Acceptor, Poco::Net::ReadableNotification>(*this, &Acceptor::on_readable));
    // The reactor may hold it a while longer, and the system would go on taking connections for nobody.
    socket_.close();
}

void Acceptor::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    try {
        take_(socket_.acceptConnection());
    } catch (const Poco::Exception&) {
        // It went away before it was taken.
    }
    reactor_.reckon_timeout();
}

// ---- workers ----

class HttpPeer : public StreamOwner {
public:
    HttpPeer(Workers& of, Reactor& reactor, int number)
        : owner(of), worker(number), stream(reactor, *this), parser(http::Parser::Kind::Request) {}
    ~HttpPeer() override { stop(); }
    void on_input() override { owner.serve(*this); }
    void on_broken() override { owner.forget(*this); }
    void stop() {
        if (reactor != nullptr) reactor->cancel(timer);
        stream.close();
    }

    Workers& owner;
    int worker;    // below 0: discovery
    Stream stream;
    http::Parser parser;
    Reactor* reactor = nullptr;
    Timers::Id timer = 0;
    bool busy = false;
};

Workers::Workers(Reactor& reactor, int count, Duration work, Seen seen)
    : reactor_(reactor), work_(work), seen_(std::move(seen)) {
    for (int i = 0; i < count; ++i)
        workers_.push_back(
            std::make_unique<Acceptor>(reactor, 0, [this, i](const auto& s) { accept(i, s); }));
    discovery_ = std::make_unique<Acceptor>(reactor, 0, [this](const auto& s) { accept(-1, s); });
}

Workers::~Workers() = default;

std::string Workers::list() const {
    std::string members;
    for (std::size_t i = 0; i < workers_.size(); ++i)
        members += fmt::format(
            R"({}{{"id":"w{}","host_port":"{}","locality":"room-a","flavor":"std-2core","cell":1,)"
            R"("phase":"in_service","size":1.0,"up_since_ms":0}})",
            i == 0 ? "" : ",", i, workers_[i]->address());
    return fmt::format(R"({{"revision":1,"complete":true,"members":[{}]}})", members);
}

void Workers::accept(int worker, const Poco::Net::StreamSocket& socket) {
    peers_.push_back(std::make_unique<HttpPeer>(*this, reactor_, worker));
    peers_.back()->reactor = &reactor_;
    peers_.back()->stream.adopt(socket);
}

void Workers::forget(HttpPeer& peer) {
    peer.stop();
    put_off(reactor_, peers_, peer);
}

void Workers::serve(HttpPeer& peer) {
    if (peer.busy) return;
    const http::Status status = peer.parser.parse(peer.stream.input());
    if (status == http::Status::Bad) return forget(peer);
    if (status != http::Status::Done) return;
    const http::Buffer& in = peer.stream.input();
    std::string answer;
    if (peer.worker < 0) {
        const std::string line = list() + "\n";
        peer.stream.send(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                                     line.size(), line));
        peer.busy = true;
        // Empty lines show that it is there.
        const auto beat = [this, &peer](const auto& self) -> void {
            peer.timer = reactor_.after(1s, [&peer, self] {
                if (peer.stream.send("1\r\n\n\r\n")) self(self);
            });
        };
        return beat(beat);
    }
    const bool live = peer.parser.target(in).starts_with("/health");
    if (!live) seen_(peer.worker, peer.parser.target(in), reactor_.clock().now());
    answer = write_answer(200, "", peer.parser.header(in, "X-Correlation-Id"), true);
    peer.stream.input().consume(peer.parser.size());
    peer.parser.reset();
    peer.busy = true;
    peer.timer = reactor_.after(live ? Duration(0) : work_, [this, &peer, answer] {
        peer.busy = false;
        if (!peer.stream.send(answer)) return forget(peer);
        if (!peer.stream.input().empty()) serve(peer);
    });
}

// ---- relays ----

class Relay::Pair {
public:
    Pair(Relay& of, Reactor& reactor, const Poco::Net::StreamSocket& socket)
        : owner_(of), near_(*this), far_(*this), near_stream_(reactor, near_), far_stream_(reactor, far_) {
        near_.to = &far_stream_;
        far_.to = &near_stream_;
        near_.from = &near_stream_;
        far_.from = &far_stream_;
        near_stream_.adopt(socket);
        if (!owner_.cut_) dialled_ = far_stream_.dial(owner_.to_);
    }
    bool useful() const { return dialled_ || owner_.cut_; }
    void stop() {
        near_stream_.close();
        far_stream_.close();
    }

private:
    struct Side : StreamOwner {
        explicit Side(Pair& of) : pair(of) {}
        void on_input() override {
            std::string bytes(from->input().unread());
            from->input().consume(bytes.size());
            if (!pair.owner_.cut_ && !to->send(std::move(bytes))) on_broken();
        }
        void on_broken() override {
            pair.stop();
            pair.owner_.forget(pair);
        }
        Pair& pair;
        Stream *from = nullptr, *to = nullptr;
    };
    Relay& owner_;
    Side near_, far_;
    Stream near_stream_, far_stream_;
    bool dialled_ = false;
};

Relay::Relay(Reactor& reactor, std::string to) : reactor_(reactor), to_(std::move(to)) {
    acceptor_ = std::make_unique<Acceptor>(reactor, 0, [this](const auto& s) { accept(s); });
}

Relay::~Relay() = default;

void Relay::accept(const Poco::Net::StreamSocket& socket) {
    auto pair = std::make_unique<Pair>(*this, reactor_, socket);
    if (pair->useful()) pairs_.push_back(std::move(pair));
}

void Relay::forget(Pair& pair) { put_off(reactor_, pairs_, pair); }

void Relay::cut(bool is) {
    if (cut_ == is) return;
    cut_ = is;
    // Cut: what stands stays open and silent. Joined: it was lost, and is found to be.
    if (cut_) return;
    while (!pairs_.empty()) {
        Pair& pair = *pairs_.front();
        pair.stop();
        forget(pair);
    }
}

// ---- callers ----

class Caller::Line : public StreamOwner {
public:
    Line(Caller& of, Reactor& reactor)
        : stream(reactor, *this), parser(http::Parser::Kind::Response), owner_(of) {}
    void on_input() override {
        const http::Status status = parser.parse(stream.input());
        if (status == http::Status::Bad) return owner_.ended(*this, 0, {}, false);
        if (status != http::Status::Done) return;
        const int answer = parser.status();
        const bool keep = parser.keep_alive();
        const std::string after(parser.header(stream.input(), "Retry-After"));
        stream.input().consume(parser.size());
        parser.reset();
        owner_.ended(*this, answer, from_seconds(std::strtod(after.c_str(), nullptr)), keep);
    }
    void on_broken() override { owner_.ended(*this, 0, {}, false); }

    Stream stream;
    http::Parser parser;
    Answered answered;    // none: idle
    std::uint64_t ticket = 0;

private:
    Caller& owner_;
};

Caller::Caller(Reactor& reactor, std::string address) : reactor_(reactor), address_(std::move(address)) {}
Caller::~Caller() = default;

std::uint64_t Caller::ask(const std::string& request, Answered answered) {
    ++busy_;
    const std::uint64_t ticket = ++last_;
    for (const auto& line : lines_) {
        if (line->answered || !line->stream.quiet()) continue;
        line->answered = std::move(answered);
        line->ticket = ticket;
        if (!line->stream.send(request)) ended(*line, 0, {}, false);
        return ticket;
    }
    lines_.push_back(std::make_unique<Line>(*this, reactor_));
    Line& line = *lines_.back();
    line.answered = std::move(answered);
    line.ticket = ticket;
    if (!line.stream.dial(address_) || !line.stream.send(request)) ended(line, 0, {}, false);
    return ticket;
}

void Caller::leave(std::uint64_t ticket) {
    for (const auto& line : lines_) {
        if (!line->answered || line->ticket != ticket) continue;
        line->answered = nullptr;
        --busy_;
        line->stream.close();
        put_off(reactor_, lines_, *line);
        return;
    }
}

void Caller::ended(Line& line, int status, Duration retry_after, bool keep) {
    const Answered answered = std::exchange(line.answered, nullptr);
    if (!keep) {
        line.stream.close();
        put_off(reactor_, lines_, line);
    }
    if (!answered) return;
    --busy_;
    answered(status, retry_after);
}

}    // namespace shaletray::testbed
