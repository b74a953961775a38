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
struct Later : RetiredObject {
    explicit Later(std::unique_ptr<T> of) : held(std::move(of)) {}
    std::unique_ptr<T> held;
};

// Takes an object off its owner's list; it is destroyed when nothing of it is on the call stack.
template <class T>
void put_off(Reactor& reactor, std::list<std::unique_ptr<T>>& list, T& object) {
    const auto it = std::find_if(list.begin(), list.end(), [&](const auto& p) { return p.get() == &object; });
    if (it == list.end()) return;
    reactor.destroy_later(std::make_unique<Later<T>>(std::move(*it)));
    list.erase(it);
}

}    // namespace

// ---- processes ----

Process::Process(std::vector<std::string> arguments, std::map<std::string, std::string> environment,
                 std::string log_path)
    : log_path_(std::move(log_path)) {
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        const std::string name = text.substr(0, text.find('='));
        environment.try_emplace(name, text.substr(std::min(text.size(), name.size() + 1)));
    }
    std::vector<std::string> settings;
    for (const auto& [name, value] : environment) settings.push_back(fmt::format("{}={}", name, value));
    std::vector<char*> argv, envp;
    for (std::string& word : arguments) argv.push_back(word.data());
    for (std::string& setting : settings) envp.push_back(setting.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
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
    const int failed =
        posix_spawn(&pid_, arguments[0].c_str(), &actions, &attributes, argv.data(), envp.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error(fmt::format("{} cannot be started", arguments[0]));
}

Process::~Process() { kill(); }

void Process::send_signal(int signal_number) {
    if (pid_ > 0) ::kill(pid_, signal_number);
}

int Process::reap_child() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, 0) != pid_) status = -1;
    pid_ = 0;
    return status != -1 && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Process::kill() {
    if (pid_ <= 0) return;
    send_signal(SIGKILL);
    reap_child();
}

int Process::terminate() {
    constexpr auto kPatience = 15s;
    send_signal(SIGTERM);
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

double Process::cpu_seconds() const {
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

bool Process::is_alive() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
}

std::string Process::log_text() const {
    std::ifstream in(log_path_, std::ios::binary);
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

int find_free_port() {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

// ---- accepting ----

TestListener::TestListener(Reactor& reactor, int port, ConnectionHandler handle_connection)
    : TestListener(reactor, fmt::format("127.0.0.1:{}", port), std::move(handle_connection)) {}

TestListener::TestListener(Reactor& reactor, const std::string& address, ConnectionHandler handle_connection)
    : reactor_(reactor), handle_connection_(std::move(handle_connection)) {
    socket_.bind(Poco::Net::SocketAddress(address), true);
    socket_.listen(256);
    socket_.setBlocking(false);
    reactor_.addEventHandler(socket_, Poco::NObserver<TestListener, Poco::Net::ReadableNotification>(
                                          *this, &TestListener::on_readable));
}

TestListener::~TestListener() {
    reactor_.removeEventHandler(socket_, Poco::NObserver<TestListener, Poco::Net::ReadableNotification>(
                                             *this, &TestListener::on_readable));
    // The reactor may hold it a while longer, and the system would go on taking connections for nobody.
    socket_.close();
}

void TestListener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    try {
        handle_connection_(socket_.acceptConnection());
    } catch (const Poco::Exception&) {
        // It went away before it was taken.
    }
    reactor_.update_poll_timeout();
}

// ---- workers ----

class HttpServerConnection : public StreamOwner {
public:
    HttpServerConnection(StandInWorkers& of, Reactor& reactor, int number)
        : owner(of), worker(number), stream(reactor, *this), parser(http::Parser::Kind::Request) {}
    ~HttpServerConnection() override { stop(); }
    void on_input() override { owner.process_input(*this); }
    void on_disconnected() override { owner.remove_connection(*this); }
    void stop() {
        if (reactor != nullptr) reactor->cancel_timer(timer);
        stream.close();
    }

    StandInWorkers& owner;
    int worker;    // below 0: discovery
    Stream stream;
    http::Parser parser;
    Reactor* reactor = nullptr;
    Timers::Id timer = 0;
    bool busy = false;
};

StandInWorkers::StandInWorkers(Reactor& reactor, int count, Duration service_time, RequestObserver on_request)
    : reactor_(reactor), service_time_(service_time), on_request_(std::move(on_request)) {
    for (int i = 0; i < count; ++i)
        workers_.push_back(std::make_unique<TestListener>(
            reactor, 0, [this, i](const auto& s) { accept_connection(i, s); }));
    discovery_ =
        std::make_unique<TestListener>(reactor, 0, [this](const auto& s) { accept_connection(-1, s); });
}

StandInWorkers::~StandInWorkers() = default;

std::string StandInWorkers::host_list() const {
    std::string members;
    for (std::size_t i = 0; i < workers_.size(); ++i)
        members += fmt::format(
            R"({}{{"id":"w{}","host_port":"{}","locality":"room-a","flavor":"std-2core","cell":1,)"
            R"("phase":"in_service","size":1.0,"up_since_ms":0}})",
            i == 0 ? "" : ",", i, workers_[i]->address());
    return fmt::format(R"({{"revision":1,"complete":true,"members":[{}]}})", members);
}

void StandInWorkers::accept_connection(int worker, const Poco::Net::StreamSocket& socket) {
    connections_.push_back(std::make_unique<HttpServerConnection>(*this, reactor_, worker));
    connections_.back()->reactor = &reactor_;
    connections_.back()->stream.attach(socket);
}

void StandInWorkers::remove_connection(HttpServerConnection& connection) {
    connection.stop();
    put_off(reactor_, connections_, connection);
}

void StandInWorkers::process_input(HttpServerConnection& connection) {
    if (connection.busy) return;
    const http::ParseStatus status = connection.parser.parse(connection.stream.input_buffer());
    if (status == http::ParseStatus::Malformed) return remove_connection(connection);
    if (status != http::ParseStatus::Complete) return;
    const http::Buffer& in = connection.stream.input_buffer();
    std::string answer;
    if (connection.worker < 0) {
        const std::string line = host_list() + "\n";
        connection.stream.write_bytes(fmt::format(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", line.size(), line));
        connection.busy = true;
        // Empty lines show that it is there.
        const auto beat = [this, &connection](const auto& self) -> void {
            connection.timer = reactor_.schedule_after(1s, [&connection, self] {
                if (connection.stream.write_bytes("1\r\n\n\r\n")) self(self);
            });
        };
        return beat(beat);
    }
    const bool live = connection.parser.target(in).starts_with("/health");
    if (!live) on_request_(connection.worker, connection.parser.target(in), reactor_.clock().now());
    answer = write_answer(200, "", connection.parser.header(in, "X-Correlation-Id"), true);
    connection.stream.input_buffer().consume(connection.parser.message_size());
    connection.parser.reset();
    connection.busy = true;
    connection.timer =
        reactor_.schedule_after(live ? Duration(0) : service_time_, [this, &connection, answer] {
            connection.busy = false;
            if (!connection.stream.write_bytes(answer)) return remove_connection(connection);
            if (!connection.stream.input_buffer().empty()) process_input(connection);
        });
}

// ---- relays ----

class FaultProxy::ConnectionPair {
public:
    ConnectionPair(FaultProxy& of, Reactor& reactor, const Poco::Net::StreamSocket& socket)
        : owner_(of), near_(*this), far_(*this), near_stream_(reactor, near_), far_stream_(reactor, far_) {
        near_.to = &far_stream_;
        far_.to = &near_stream_;
        near_.from = &near_stream_;
        far_.from = &far_stream_;
        near_stream_.attach(socket);
        if (!owner_.partitioned_) dialled_ = far_stream_.connect(owner_.target_address_);
    }
    bool useful() const { return dialled_ || owner_.partitioned_; }
    void stop() {
        near_stream_.close();
        far_stream_.close();
    }

private:
    struct Side : StreamOwner {
        explicit Side(ConnectionPair& of) : pair(of) {}
        void on_input() override {
            std::string bytes(from->input_buffer().unread());
            from->input_buffer().consume(bytes.size());
            if (!pair.owner_.partitioned_ && !to->write_bytes(std::move(bytes))) on_disconnected();
        }
        void on_disconnected() override {
            pair.stop();
            pair.owner_.remove_pair(pair);
        }
        ConnectionPair& pair;
        Stream *from = nullptr, *to = nullptr;
    };
    FaultProxy& owner_;
    Side near_, far_;
    Stream near_stream_, far_stream_;
    bool dialled_ = false;
};

FaultProxy::FaultProxy(Reactor& reactor, std::string target_address)
    : reactor_(reactor), target_address_(std::move(target_address)) {
    acceptor_ = std::make_unique<TestListener>(reactor, 0, [this](const auto& s) { accept_connection(s); });
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept_connection(const Poco::Net::StreamSocket& socket) {
    auto pair = std::make_unique<ConnectionPair>(*this, reactor_, socket);
    if (pair->useful()) pairs_.push_back(std::move(pair));
}

void FaultProxy::remove_pair(ConnectionPair& pair) { put_off(reactor_, pairs_, pair); }

void FaultProxy::set_partitioned(bool partitioned) {
    if (partitioned_ == partitioned) return;
    partitioned_ = partitioned;
    // Cut: what stands stays open and silent. Joined: it was lost, and is found to be.
    if (partitioned_) return;
    while (!pairs_.empty()) {
        ConnectionPair& pair = *pairs_.front();
        pair.stop();
        remove_pair(pair);
    }
}

// ---- callers ----

class HttpLoadClient::Connection : public StreamOwner {
public:
    Connection(HttpLoadClient& of, Reactor& reactor)
        : stream(reactor, *this), parser(http::Parser::Kind::Response), owner_(of) {}
    void on_input() override {
        const http::ParseStatus status = parser.parse(stream.input_buffer());
        if (status == http::ParseStatus::Malformed) return owner_.on_request_ended(*this, 0, {}, false);
        if (status != http::ParseStatus::Complete) return;
        const int answer = parser.status_code();
        const bool keep = parser.keep_alive();
        const std::string after(parser.header(stream.input_buffer(), "Retry-After"));
        stream.input_buffer().consume(parser.message_size());
        parser.reset();
        owner_.on_request_ended(*this, answer, from_seconds(std::strtod(after.c_str(), nullptr)), keep);
    }
    void on_disconnected() override { owner_.on_request_ended(*this, 0, {}, false); }

    Stream stream;
    http::Parser parser;
    AnswerCallback answered;    // none: idle
    std::uint64_t ticket = 0;

private:
    HttpLoadClient& owner_;
};

HttpLoadClient::HttpLoadClient(Reactor& reactor, std::string address)
    : reactor_(reactor), address_(std::move(address)) {}
HttpLoadClient::~HttpLoadClient() = default;

std::uint64_t HttpLoadClient::send_request(const std::string& request, AnswerCallback on_answer) {
    ++busy_connections_;
    const std::uint64_t ticket = ++last_ticket_;
    for (const auto& line : connections_) {
        if (line->answered || !line->stream.is_quiet()) continue;
        line->answered = std::move(on_answer);
        line->ticket = ticket;
        if (!line->stream.write_bytes(request)) on_request_ended(*line, 0, {}, false);
        return ticket;
    }
    connections_.push_back(std::make_unique<Connection>(*this, reactor_));
    Connection& line = *connections_.back();
    line.answered = std::move(on_answer);
    line.ticket = ticket;
    if (!line.stream.connect(address_) || !line.stream.write_bytes(request))
        on_request_ended(line, 0, {}, false);
    return ticket;
}

void HttpLoadClient::abandon_request(std::uint64_t ticket) {
    for (const auto& line : connections_) {
        if (!line->answered || line->ticket != ticket) continue;
        line->answered = nullptr;
        --busy_connections_;
        line->stream.close();
        put_off(reactor_, connections_, *line);
        return;
    }
}

void HttpLoadClient::on_request_ended(Connection& connection, int status, Duration retry_after,
                                      bool keep_alive) {
    const AnswerCallback answered = std::exchange(connection.answered, nullptr);
    if (!keep_alive) {
        connection.stream.close();
        put_off(reactor_, connections_, connection);
    }
    if (!answered) return;
    --busy_connections_;
    answered(status, retry_after);
}

}    // namespace shaletray::testbed
