#include "simulator/load.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
namespace bh = boost::histogram;

constexpr Duration kResponseGracePeriod = 3s;    // for the last responses
constexpr double kMaxLagMs = 5.0;    // p99 of the scheduling lag; above it the results are unreliable
constexpr std::size_t kMaxWaitingRequests = 1'000'000;

double to_milliseconds(Duration d) { return std::max(1e-3, 1e3 * secs(d)); }

class ConstantArrivals : public Arrivals {
public:
    explicit ConstantArrivals(double rate) : rate_(rate) {}
    std::optional<Duration> next_arrival() override {
        return from_secs(static_cast<double>(++arrival_count_) / rate_);
    }

private:
    double rate_;
    std::uint64_t arrival_count_ = 0;
};

class PoissonArrivals : public Arrivals {
public:
    PoissonArrivals(double rate, std::uint64_t seed) : gap_distribution_(rate), random_(seed) {}
    std::optional<Duration> next_arrival() override {
        return from_secs(last_arrival_ += gap_distribution_(random_));
    }

private:
    std::exponential_distribution<> gap_distribution_;
    std::mt19937_64 random_;
    double last_arrival_ = 0.0;
};

class OnOffArrivals : public Arrivals {
public:
    OnOffArrivals(double rate, Duration period, std::uint64_t seed)
        : gap_distribution_(4.0 * rate), random_(seed), period_(std::max(1e-3, secs(period))) {}
    std::optional<Duration> next_arrival() override {
        elapsed_on_time_ += gap_distribution_(random_);    // time in on-phases, a quarter of each period
        const double quarter = period_ / 4.0;
        return from_secs(std::floor(elapsed_on_time_ / quarter) * period_ +
                         std::fmod(elapsed_on_time_, quarter));
    }

private:
    std::exponential_distribution<> gap_distribution_;
    std::mt19937_64 random_;
    double period_, elapsed_on_time_ = 0.0;
};

class RecordedReplay : public Arrivals {
public:
    explicit RecordedReplay(RecordedArrivals recorded) : recorded_(std::move(recorded)) {}
    std::optional<Duration> next_arrival() override {
        if (next_index_ == recorded_.arrival_times.size()) return std::nullopt;
        return recorded_.arrival_times[next_index_++];
    }

private:
    RecordedArrivals recorded_;
    std::size_t next_index_ = 0;
};

LatencyHistogram make_histogram() {
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(3000, 1e-3, 1e5));
}

}    // namespace

std::unique_ptr<Arrivals> constant_arrivals(double rate) { return std::make_unique<ConstantArrivals>(rate); }
std::unique_ptr<Arrivals> poisson_arrivals(double rate, std::uint64_t seed) {
    return std::make_unique<PoissonArrivals>(rate, seed);
}
std::unique_ptr<Arrivals> on_off_arrivals(double rate, Duration period, std::uint64_t seed) {
    return std::make_unique<OnOffArrivals>(rate, period, seed);
}
std::unique_ptr<Arrivals> recorded_arrivals(RecordedArrivals recorded) {
    return std::make_unique<RecordedReplay>(std::move(recorded));
}

RecordedArrivals parse_recorded_arrivals(const std::string& text) {
    RecordedArrivals out;
    std::size_t at = 0, line = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string::npos) {
            out.is_truncated = true;
            break;
        }
        ++line;
        std::int64_t us = 0;
        const auto [stop, error] = std::from_chars(text.data() + at, text.data() + end, us);
        if (error != std::errc{} || stop != text.data() + end || us < 0)
            throw std::runtime_error(
                fmt::format("line {}: expected a whole number of microseconds, found \"{}\"", line,
                            text.substr(at, std::min<std::size_t>(40, end - at))));
        Duration when(us);
        if (!out.arrival_times.empty() && when < out.arrival_times.back()) {
            ++out.out_of_order_count;
            when = out.arrival_times.back();
        }
        out.arrival_times.push_back(when);
        at = end + 1;
    }
    return out;
}

double histogram_quantile(const LatencyHistogram& h, double q) { return quantile_in(h, q); }

LoadStatistics::LoadStatistics() : latency(make_histogram()), scheduling_lag(make_histogram()) {}

bool LoadStatistics::ran_late() const { return histogram_quantile(scheduling_lag, 0.99) > kMaxLagMs; }

// ---- one connection ----

class LoadGenerator::Connection : public StreamOwner {
public:
    explicit Connection(LoadGenerator& of)
        : generator(of), stream(of.reactor_, *this), parser(http::Parser::Kind::Response) {}
    void send_request(const std::string& bytes, DueRequest when) {
        due_request = when;
        is_busy = true;
        was_reused = stream.is_open();
        if (!stream.is_open() && !stream.connect(generator.settings_.address))
            return generator.on_request_ended(*this, 0, false);
        if (!stream.write_bytes(bytes)) generator.on_request_ended(*this, 0, false);
    }
    void on_input() override {
        if (!is_busy) return generator.on_request_ended(*this, 0, false);    // unsolicited bytes
        const http::ParseStatus status = parser.parse(stream.input_buffer());
        if (status == http::ParseStatus::Incomplete) return;
        if (status == http::ParseStatus::Malformed) return generator.on_request_ended(*this, 0, false);
        const int code = parser.status_code();
        const bool keep = parser.keep_alive();
        stream.input_buffer().consume(parser.message_size());
        parser.reset();
        generator.on_request_ended(*this, code, keep);
    }
    void on_disconnected() override { generator.on_request_ended(*this, 0, false); }

    LoadGenerator& generator;
    Stream stream;
    http::Parser parser;
    DueRequest due_request;
    bool is_busy = false, was_reused = false;    // was_reused: the connection was open before the request
};

LoadGenerator::LoadGenerator(Reactor& reactor, LoadSettings settings, std::unique_ptr<Arrivals> arrivals,
                             std::function<void()> done)
    : reactor_(reactor),
      settings_(std::move(settings)),
      arrivals_(std::move(arrivals)),
      on_done_(std::move(done)),
      random_(settings_.seed) {}

LoadGenerator::~LoadGenerator() {
    reactor_.cancel_timer(timer_);
    connections_.clear();
}

void LoadGenerator::start_load() {
    if (settings_.open_in_advance) open_connections();
    else start_arrivals();
}

// Opens connections in small groups, as the backlog of a listening socket is short.
void LoadGenerator::open_connections() {
    constexpr std::size_t kConnectionsPerGroup = 64;
    for (std::size_t i = 0; i < kConnectionsPerGroup && connections_.size() < settings_.max_connections;
         ++i) {
        connections_.push_back(std::make_unique<Connection>(*this));
        Connection* const connection = connections_.back().get();
        if (!connection->stream.connect(settings_.address)) {
            connections_.pop_back();
            continue;
        }
        idle_connections_.push_back(connection);
        ++statistics_.connections_opened;
    }
    const bool all = connections_.size() >= settings_.max_connections;
    timer_ = reactor_.schedule_after(all ? Duration(200'000) : Duration(5'000), [this, all] {
        if (all) start_arrivals();
        else open_connections();
    });
}

void LoadGenerator::start_arrivals() {
    started_at_ = reactor_.clock().now();
    reactor_.set_busy_polling(true);    // a timer's delay of a millisecond would count as latency
    next_arrival_ = arrivals_->next_arrival();
    process_due();
}

void LoadGenerator::process_due() {
    reactor_.cancel_timer(timer_);
    const Duration now = reactor_.clock().now() - started_at_;
    while (next_arrival_ && *next_arrival_ <= now && *next_arrival_ < settings_.duration) {
        ++statistics_.due_count;
        assign_request({*next_arrival_});
        next_arrival_ = arrivals_->next_arrival();
    }
    if (next_arrival_ && *next_arrival_ < settings_.duration) {
        timer_ = reactor_.schedule_at(started_at_ + *next_arrival_, [this] { process_due(); });
        return;
    }
    // All requests are sent or waiting. Those still open after the grace period count as unanswered.
    if (statistics_.due_count == statistics_.sent_count && idle_connections_.size() == connections_.size())
        return finish_run();
    const Duration end = std::max(settings_.duration, now) + kResponseGracePeriod;
    timer_ = reactor_.schedule_at(started_at_ + end, [this] { finish_run(); });
    next_arrival_.reset();
}

void LoadGenerator::assign_request(DueRequest due) {
    if (idle_connections_.empty() && connections_.size() >= settings_.max_connections) {
        if (waiting_requests_.size() < kMaxWaitingRequests) waiting_requests_.push_back(due);
        return;
    }
    if (idle_connections_.empty()) {
        connections_.push_back(std::make_unique<Connection>(*this));
        idle_connections_.push_back(connections_.back().get());
        ++statistics_.connections_opened;
    }
    Connection* const connection =
        settings_.open_in_advance ? idle_connections_.front() : idle_connections_.back();
    if (settings_.open_in_advance) idle_connections_.pop_front();
    else idle_connections_.pop_back();
    ++statistics_.sent_count;
    if (!due.is_resend)
        statistics_.scheduling_lag(to_milliseconds(reactor_.clock().now() - started_at_ - due.due_at));
    connection->send_request(make_request(++last_request_number_), due);
}

std::string LoadGenerator::make_request(std::uint64_t number) {
    const std::uint64_t customer = random_() % std::max<std::uint64_t>(1, settings_.customer_count) + 1;
    return fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {:x}-{:x}\r\nX-Tier: {}\r\nCookie: "
        "customer={:016x}\r\n"
        "X-Call-Terms: units={},spread={},first=0\r\nX-Time-Left: {}u\r\n{}\r\n",
        settings_.method, settings_.class_name, number, settings_.seed, number, settings_.plan_name, customer,
        settings_.units, settings_.unit_spread, settings_.time_budget.count(),
        settings_.method == "GET"
            ? ""
            : fmt::format("Idempotency-Key: {:x}-{:x}\r\nContent-Length: 0\r\n", settings_.seed, number));
}

void LoadGenerator::on_request_ended(Connection& connection, int status, bool keep) {
    const bool was_busy = std::exchange(connection.is_busy, false);
    if (was_busy) {
        if (status > 0) {
            ++statistics_.by_status[status];
            statistics_.latency(
                to_milliseconds(reactor_.clock().now() - started_at_ - connection.due_request.due_at));
        } else if (connection.was_reused && !connection.due_request.is_resend) {
            ++statistics_.resent_count;
            waiting_requests_.push_front({connection.due_request.due_at, true});
        } else {
            ++statistics_.broken_count;
        }
    }
    if (keep) {
        idle_connections_.push_back(&connection);
    } else {
        std::erase(idle_connections_, &connection);
        const auto it = std::find_if(connections_.begin(), connections_.end(),
                                     [&](const auto& one) { return one.get() == &connection; });
        struct RetiredConnection : RetiredObject {    // the connection is on the call stack
            explicit RetiredConnection(std::unique_ptr<Connection> of) : connection(std::move(of)) {}
            std::unique_ptr<Connection> connection;
        };
        connection.stream.close();
        reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*it)));
        connections_.erase(it);
    }
    if (is_finished_) return;
    if (!waiting_requests_.empty()) {
        const DueRequest due = waiting_requests_.front();
        waiting_requests_.pop_front();
        assign_request(due);
    } else if (!next_arrival_ && timer_ != 0 &&
               idle_connections_.size() == connections_.size()) {    // all requests were sent and have ended
        finish_run();
    }
}

void LoadGenerator::finish_run() {
    if (std::exchange(is_finished_, true)) return;
    reactor_.cancel_timer(timer_);
    statistics_.seconds = secs(std::min(reactor_.clock().now() - started_at_, settings_.duration));
    for (const auto& connection : connections_) statistics_.unanswered_count += connection->is_busy;
    statistics_.unanswered_count += waiting_requests_.size();
    on_done_();
}

}    // namespace shaletray::testbed
