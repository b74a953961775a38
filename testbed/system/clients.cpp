#include "system/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPollEvery = 1s, kPollPatience = 1s;
constexpr Duration kDial = 1s;       // for a new connection to come up
constexpr Duration kKept = 5s;       // an idle connection is not used after that
constexpr Duration kLeast = 20ms;    // of time left, for a further try
constexpr Duration kPause = 10ms;    // before one that nobody told when to come
constexpr int kMostTries = 4;

bool is_promise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }
// After these nobody comes again.
bool is_last(int status) {
    return status == 400 || status == 401 || status == 404 || status == 413 || status == 431 ||
           (status >= 200 && status < 300);
}

}    // namespace

// ---- the platform ----

Front::Front(Calls& calls, std::vector<Gate> gates) : calls_(calls) {
    for (Gate& gate : gates) gates_.push_back({std::move(gate)});
    poll();
}

Front::~Front() { calls_.reactor().cancel(timer_); }

void Front::poll() {
    for (Kept& kept : gates_) {
        if (kept.removed) continue;
        calls_.ask(kept.gate.readiness, "GET", "/readiness", "", kPollPatience,
                   [&kept](const CallAnswer& a) { kept.misses = a.status == 200 ? 0 : kept.misses + 1; });
    }
    timer_ = calls_.reactor().after(kPollEvery, [this] { poll(); });
}

bool Front::all_ready() const {
    return std::all_of(gates_.begin(), gates_.end(),
                       [](const Kept& k) { return k.removed || k.misses == 0; });
}

void Front::remove(const std::string& frontend) {
    for (Kept& kept : gates_) kept.removed = kept.removed || kept.gate.frontend == frontend;
}

// With fewer than half of the zone's gateways in, all of them count; with none, those of other zones.
std::vector<int> Front::candidates(const std::string& zone) const {
    std::vector<int> in, here, anywhere;
    for (std::size_t i = 0; i < gates_.size(); ++i) {
        if (gates_[i].removed) continue;
        const bool ready = gates_[i].misses < kMisses;
        if (ready) anywhere.push_back(static_cast<int>(i));
        if (gates_[i].gate.zone != zone) continue;
        here.push_back(static_cast<int>(i));
        if (ready) in.push_back(static_cast<int>(i));
    }
    if (in.empty()) return anywhere;
    return in.size() * 2 < here.size() ? here : in;
}

int Front::choose(const std::string& zone, int not_this, double draw) const {
    std::vector<int> from = candidates(zone);
    if (from.size() > 1) std::erase(from, not_this);
    if (from.empty()) return -1;
    // By the hash of a client: uneven.
    return from[std::min(from.size() - 1,
                         static_cast<std::size_t>(std::pow(draw, 1.3) * static_cast<double>(from.size())))];
}

// ---- figures ----

ClientFigures::OfRoute ClientFigures::all() const {
    OfRoute sum;
    for (const OfRoute& r : routes) {
        sum.due += r.due;
        sum.served += r.served;
        sum.in_aim += r.in_aim;
        sum.refused += r.refused;
        sum.failed += r.failed;
        sum.tries += r.tries;
        sum.latency_ms.insert(sum.latency_ms.end(), r.latency_ms.begin(), r.latency_ms.end());
    }
    return sum;
}

double latency_quantile(std::vector<float> of, double q) {
    if (of.empty()) return 0.0;
    const auto at = of.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(of.size() - 1));
    std::nth_element(of.begin(), at, of.end());
    return static_cast<double>(*at);
}

// ---- clients ----

class Clients::Line : public StreamOwner {
public:
    Line(Clients& of, Reactor& reactor) : stream(reactor, *this), owner_(of) {}
    ~Line() override { owner_.reactor_.cancel(dial_timer); }
    void on_connected() override { owner_.reactor_.cancel(dial_timer); }
    void on_input() override {
        const http::Status status = parser.parse(stream.input());
        if (status == http::Status::Bad || ask == nullptr) return owner_.broken(*this);
        if (status == http::Status::Done) owner_.answered(*this);
    }
    void on_broken() override {
        if (ask != nullptr && stream.ended() && parser.head_done() && parser.end() == http::Status::Done)
            owner_.answered(*this);
        else owner_.broken(*this);
    }

    Stream stream;
    http::Parser parser{http::Parser::Kind::Response, {64 * 1024, 16 * 1024 * 1024, 200}};
    std::string zone;
    int gate = -1;
    Ask* ask = nullptr;    // none: idle
    TimePoint used{};
    Timers::Id dial_timer = 0;

private:
    Clients& owner_;
};

Clients::Clients(Reactor& reactor, Board& board, const Front& front, Settings settings)
    : reactor_(reactor), board_(board), front_(front), s_(std::move(settings)), random_(s_.seed) {
    forget_figures();
}

Clients::~Clients() {
    stop();
    for (const auto& ask : asks_) {
        reactor_.cancel(ask->timer);
        reactor_.cancel(ask->end);
    }
    lines_.clear();
    reactor_.reap();
}

void Clients::forget_figures() {
    figures_ = {};
    figures_.routes.resize(s_.routes.size());
    began_ = reactor_.clock().now();
}

void Clients::start(double times) {
    stop();
    times_ = times;
    arrivals_.resize(s_.routes.size());
    for (std::size_t r = 0; r < s_.routes.size(); ++r) due(r);
}

void Clients::stop() {
    for (Timers::Id& timer : arrivals_) reactor_.cancel(timer);
    arrivals_.clear();
}

std::string Clients::new_id() { return fmt::format("{:016x}", random_()); }

// Begins with a wait: the first one is not due at once either.
void Clients::due(std::size_t r) {
    const double wait = std::exponential_distribution<double>(s_.routes[r].rate * times_)(random_);
    arrivals_[r] = reactor_.after(from_secs(wait), [this, r] {
        const RoutePlan& route = s_.routes[r];
        asks_.push_back(std::make_unique<Ask>());
        Ask& ask = *asks_.back();
        std::vector<double> weights;
        for (const TenantPlan& tenant : s_.tenants) weights.push_back(tenant.weight);
        ask.route = r;
        ask.tenant = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
        ask.zone = s_.zones[random_() % s_.zones.size()];
        ask.target = fmt::format("{}{:x}?n={}", route.prefix, random_() % 100000, ++numbers_);
        ask.body.assign(route.body, static_cast<char>('A' + random_() % 26));
        ask.due = reactor_.clock().now();
        ask.deadline = ask.due + route.deadline;
        ask.second = static_cast<std::size_t>(secs(ask.due - began_));
        if (figures_.seconds.size() <= ask.second) figures_.seconds.resize(ask.second + 1);
        ++figures_.seconds[ask.second].due;
        ++figures_.routes[r].due;
        ask.end = reactor_.at(ask.deadline, [this, &ask] { done(ask, false); });
        const bool fresh = std::uniform_real_distribution<double>()(random_) < s_.new_connections;
        due(r);
        attempt(ask, fresh);
    });
}

Clients::Line* Clients::idle_line(const std::string& zone) {
    const TimePoint now = reactor_.clock().now();
    std::vector<Line*> old;
    Line* found = nullptr;
    for (const auto& line : lines_) {
        if (line->ask != nullptr) continue;
        if (now - line->used > kKept || !line->stream.quiet()) old.push_back(line.get());
        else if (line->zone == zone) found = line.get();
    }
    for (Line* line : old) drop(*line);
    return found;
}

Clients::Line* Clients::new_line(Ask& ask) {
    const double draw = std::uniform_real_distribution<double>()(random_);
    const int gate = front_.choose(ask.zone, ask.gate, draw);
    if (gate < 0) return nullptr;
    lines_.push_back(std::make_unique<Line>(*this, reactor_));
    Line& line = *lines_.back();
    line.zone = ask.zone;
    line.gate = gate;
    ++figures_.connections;
    if (!line.stream.dial(front_.gate(gate).frontend)) {
        drop(line);
        return nullptr;
    }
    line.dial_timer = reactor_.after(kDial, [this, &line] { broken(line); });
    return &line;
}

void Clients::attempt(Ask& ask, bool fresh) {
    ++ask.tries;
    ++figures_.routes[ask.route].tries;
    ask.refused = false;
    Line* line = fresh ? nullptr : idle_line(ask.zone);
    if (line == nullptr) line = new_line(ask);
    if (line == nullptr) return again(ask, kPause * 5, true);    // nothing was sent
    ask.gate = line->gate;
    line->ask = &ask;
    ask.line = line;
    write(ask, *line);
}

void Clients::write(Ask& ask, Line& line) {
    const RoutePlan& route = s_.routes[ask.route];
    const TenantPlan* tenant = route.open || s_.tenants.empty() ? nullptr : &s_.tenants[ask.tenant];
    const char* const method = ask.body.empty() ? "GET" : "POST";
    ask.id = new_id();
    board_.sent(ask.id,
                {route.service, tenant ? tenant->name : "", method, ask.target, ask.body, route.repeatable});
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(ask.deadline - reactor_.clock().now());
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n", method,
                    ask.target, route.host, ask.id, left.count());
    if (tenant) out += fmt::format("Authorization: Bearer {}\r\n", tenant->key);
    if (ask.body.empty()) {
        out += "\r\n";
    } else if (random_() % 4 != 0) {
        out += fmt::format("Content-Length: {}\r\n\r\n{}", ask.body.size(), ask.body);
    } else {
        const std::size_t half = (ask.body.size() + 1) / 2;
        out +=
            fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", half, ask.body.substr(0, half));
        if (half < ask.body.size())
            out += fmt::format("{:x}\r\n{}\r\n", ask.body.size() - half, ask.body.substr(half));
        out += "0\r\n\r\n";
    }
    if (!line.stream.send(std::move(out))) broken(line);
}

void Clients::answered(Line& line) {
    Ask& ask = *line.ask;
    const http::Buffer& in = line.stream.input();
    const int status = line.parser.status();
    const bool good =
        board_.heard(ask.id, status, line.parser.header(in, "X-Server-Seal"), line.parser.body(in));
    const double told = std::strtod(std::string(line.parser.header(in, "Retry-After")).c_str(), nullptr);
    const bool keep = line.parser.keep_alive() && line.parser.size() == in.size();
    line.stream.input().consume(line.parser.size());
    line.parser.reset();
    line.ask = nullptr;
    ask.line = nullptr;
    line.used = reactor_.clock().now();
    const auto it =
        std::find_if(lines_.begin(), lines_.end(), [&](const auto& l) { return l.get() == &line; });
    lines_.splice(lines_.end(), lines_, it);
    if (!keep) drop(line);
    ask.refused = is_promise(status);
    if (is_last(status)) return done(ask, good);
    const Duration third = (ask.deadline - reactor_.clock().now()) / 3;
    again(ask, std::max(kPause, std::min(from_secs(told), third)),
          is_promise(status) || s_.routes[ask.route].repeatable);
}

void Clients::broken(Line& line) {
    Ask* const ask = std::exchange(line.ask, nullptr);
    drop(line);
    if (ask == nullptr) return;
    ask->line = nullptr;
    again(*ask, kPause, s_.routes[ask->route].repeatable);
}

void Clients::again(Ask& ask, Duration wait, bool allowed) {
    if (!allowed || ask.tries >= kMostTries || reactor_.clock().now() + wait + kLeast > ask.deadline)
        return done(ask, false);
    reactor_.cancel(ask.timer);
    ask.timer = reactor_.after(wait, [this, &ask] {
        ask.timer = 0;
        attempt(ask, true);
    });
}

void Clients::done(Ask& ask, bool served) {
    reactor_.cancel(ask.timer);
    reactor_.cancel(ask.end);
    if (ask.line != nullptr) {
        ask.line->ask = nullptr;
        drop(*ask.line);
    }
    ClientFigures::OfRoute& r = figures_.routes[ask.route];
    if (ask.due >= began_) {
        ClientFigures::Second& second = figures_.seconds[ask.second];
        const Duration took = reactor_.clock().now() - ask.due;
        if (served) {
            ++r.served;
            ++second.served;
            r.in_aim += took <= s_.routes[ask.route].aim;
            r.latency_ms.push_back(static_cast<float>(secs(took) * 1e3));
        } else {
            ++(ask.refused ? r.refused : r.failed);
            ++(ask.refused ? second.refused : second.failed);
        }
    }
    std::erase_if(asks_, [&](const auto& a) { return a.get() == &ask; });
}

void Clients::drop(Line& line) {
    struct Gone : Retired {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Line> of) : line(std::move(of)) {}
        std::unique_ptr<Line> line;
    };
    line.stream.close();
    reactor_.cancel(line.dial_timer);
    const auto it =
        std::find_if(lines_.begin(), lines_.end(), [&](const auto& l) { return l.get() == &line; });
    if (it == lines_.end()) return;
    reactor_.retire(std::make_unique<Gone>(std::move(*it)));
    lines_.erase(it);
}

}    // namespace shaletray::testbed
