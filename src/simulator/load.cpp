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

constexpr Duration kAfter = 3s;    // for the last answers
constexpr double kLateMs = 5.0;    // of the tool's own lag at p99: beyond it, it ran late
constexpr std::size_t kMostWaiting = 1'000'000;

double ms(Duration d) { return std::max(1e-3, 1e3 * secs(d)); }

class Constant : public Arrivals {
public:
    explicit Constant(double rate) : rate_(rate) {}
    std::optional<Duration> next() override { return from_secs(static_cast<double>(++n_) / rate_); }

private:
    double rate_;
    std::uint64_t n_ = 0;
};

class Poisson : public Arrivals {
public:
    Poisson(double rate, std::uint64_t seed) : gap_(rate), random_(seed) {}
    std::optional<Duration> next() override { return from_secs(at_ += gap_(random_)); }

private:
    std::exponential_distribution<> gap_;
    std::mt19937_64 random_;
    double at_ = 0.0;
};

class OnOff : public Arrivals {
public:
    OnOff(double rate, Duration period, std::uint64_t seed)
        : gap_(4.0 * rate), random_(seed), period_(std::max(1e-3, secs(period))) {}
    std::optional<Duration> next() override {
        on_ += gap_(random_);    // time while it is on, of which each period has a quarter
        const double quarter = period_ / 4.0;
        return from_secs(std::floor(on_ / quarter) * period_ + std::fmod(on_, quarter));
    }

private:
    std::exponential_distribution<> gap_;
    std::mt19937_64 random_;
    double period_, on_ = 0.0;
};

class Replay : public Arrivals {
public:
    explicit Replay(Recorded recorded) : recorded_(std::move(recorded)) {}
    std::optional<Duration> next() override {
        if (at_ == recorded_.times.size()) return std::nullopt;
        return recorded_.times[at_++];
    }

private:
    Recorded recorded_;
    std::size_t at_ = 0;
};

Milliseconds histogram() {
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(3000, 1e-3, 1e5));
}

}    // namespace

std::unique_ptr<Arrivals> constant_arrivals(double rate) { return std::make_unique<Constant>(rate); }
std::unique_ptr<Arrivals> poisson_arrivals(double rate, std::uint64_t seed) {
    return std::make_unique<Poisson>(rate, seed);
}
std::unique_ptr<Arrivals> on_off_arrivals(double rate, Duration period, std::uint64_t seed) {
    return std::make_unique<OnOff>(rate, period, seed);
}
std::unique_ptr<Arrivals> recorded_arrivals(Recorded recorded) {
    return std::make_unique<Replay>(std::move(recorded));
}

Recorded read_recorded(const std::string& text) {
    Recorded out;
    std::size_t at = 0, line = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        if (end == std::string::npos) {
            out.cut_short = true;
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
        if (!out.times.empty() && when < out.times.back()) {
            ++out.late;
            when = out.times.back();
        }
        out.times.push_back(when);
        at = end + 1;
    }
    return out;
}

double quantile_of(const Milliseconds& h, double q) { return quantile_in(h, q); }

LoadFigures::LoadFigures() : latency(histogram()), lag(histogram()) {}

bool LoadFigures::ran_late() const { return quantile_of(lag, 0.99) > kLateMs; }

// ---- one connection ----

class Load::Line : public StreamOwner {
public:
    explicit Line(Load& of) : load(of), stream(of.reactor_, *this), parser(http::Parser::Kind::Response) {}
    void ask(const std::string& bytes, Due when) {
        due = when;
        busy = true;
        stood = stream.is_open();
        if (!stream.is_open() && !stream.dial(load.s_.address)) return load.ended(*this, 0, false);
        if (!stream.send(bytes)) load.ended(*this, 0, false);
    }
    void on_input() override {
        if (!busy) return load.ended(*this, 0, false);    // nobody asked
        const http::Status status = parser.parse(stream.input());
        if (status == http::Status::More) return;
        if (status == http::Status::Bad) return load.ended(*this, 0, false);
        const int code = parser.status();
        const bool keep = parser.keep_alive();
        stream.input().consume(parser.size());
        parser.reset();
        load.ended(*this, code, keep);
    }
    void on_broken() override { load.ended(*this, 0, false); }

    Load& load;
    Stream stream;
    http::Parser parser;
    Due due;
    bool busy = false, stood = false;    // stood: it was open before
};

Load::Load(Reactor& reactor, LoadSettings settings, std::unique_ptr<Arrivals> arrivals,
           std::function<void()> done)
    : reactor_(reactor),
      s_(std::move(settings)),
      arrivals_(std::move(arrivals)),
      done_(std::move(done)),
      random_(s_.seed) {}

Load::~Load() {
    reactor_.cancel(timer_);
    lines_.clear();
}

void Load::start() {
    if (s_.ahead) open_more();
    else begin();
}

// A few at a time: a listener's backlog is short.
void Load::open_more() {
    constexpr std::size_t kAtOnce = 64;
    for (std::size_t i = 0; i < kAtOnce && lines_.size() < s_.connections; ++i) {
        lines_.push_back(std::make_unique<Line>(*this));
        Line* const line = lines_.back().get();
        if (!line->stream.dial(s_.address)) {
            lines_.pop_back();
            continue;
        }
        idle_.push_back(line);
        ++figures_.opened;
    }
    const bool all = lines_.size() >= s_.connections;
    timer_ = reactor_.after(all ? Duration(200'000) : Duration(5'000), [this, all] {
        if (all) begin();
        else open_more();
    });
}

void Load::begin() {
    began_ = reactor_.clock().now();
    reactor_.spin(true);    // a request that goes out a millisecond late counts as one
    next_ = arrivals_->next();
    step();
}

void Load::step() {
    reactor_.cancel(timer_);
    const Duration now = reactor_.clock().now() - began_;
    while (next_ && *next_ <= now && *next_ < s_.time) {
        ++figures_.due;
        hand_out({*next_});
        next_ = arrivals_->next();
    }
    if (next_ && *next_ < s_.time) {
        timer_ = reactor_.at(began_ + *next_, [this] { step(); });
        return;
    }
    // All are under way: a while for their answers, then what is left counts as unanswered.
    if (figures_.due == figures_.sent && idle_.size() == lines_.size()) return finish();
    const Duration end = std::max(s_.time, now) + kAfter;
    timer_ = reactor_.at(began_ + end, [this] { finish(); });
    next_.reset();
}

void Load::hand_out(Due due) {
    if (idle_.empty() && lines_.size() >= s_.connections) {
        if (waiting_.size() < kMostWaiting) waiting_.push_back(due);
        return;
    }
    if (idle_.empty()) {
        lines_.push_back(std::make_unique<Line>(*this));
        idle_.push_back(lines_.back().get());
        ++figures_.opened;
    }
    Line* const line = s_.ahead ? idle_.front() : idle_.back();
    if (s_.ahead) idle_.pop_front();
    else idle_.pop_back();
    ++figures_.sent;
    if (!due.again) figures_.lag(ms(reactor_.clock().now() - began_ - due.at));
    line->ask(request(++numbers_), due);
}

std::string Load::request(std::uint64_t number) {
    const std::uint64_t customer = random_() % std::max<std::uint64_t>(1, s_.customers) + 1;
    return fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {:x}-{:x}\r\nX-Tier: {}\r\nCookie: "
        "customer={:016x}\r\n"
        "X-Call-Terms: units={},spread={},first=0\r\nX-Time-Left: {}u\r\n{}\r\n",
        s_.method, s_.cls, number, s_.seed, number, s_.plan, customer, s_.units, s_.spread,
        s_.time_left.count(),
        s_.method == "GET"
            ? ""
            : fmt::format("Idempotency-Key: {:x}-{:x}\r\nContent-Length: 0\r\n", s_.seed, number));
}

void Load::ended(Line& line, int status, bool keep) {
    const bool was_busy = std::exchange(line.busy, false);
    if (was_busy) {
        if (status > 0) {
            ++figures_.by_status[status];
            figures_.latency(ms(reactor_.clock().now() - began_ - line.due.at));
        } else if (line.stood && !line.due.again) {
            ++figures_.resent;
            waiting_.push_front({line.due.at, true});
        } else {
            ++figures_.broken;
        }
    }
    if (keep) {
        idle_.push_back(&line);
    } else {
        std::erase(idle_, &line);
        const auto it =
            std::find_if(lines_.begin(), lines_.end(), [&](const auto& one) { return one.get() == &line; });
        struct Gone : Retired {    // it is on the call stack
            explicit Gone(std::unique_ptr<Line> of) : line(std::move(of)) {}
            std::unique_ptr<Line> line;
        };
        line.stream.close();
        reactor_.retire(std::make_unique<Gone>(std::move(*it)));
        lines_.erase(it);
    }
    if (over_) return;
    if (!waiting_.empty()) {
        const Due due = waiting_.front();
        waiting_.pop_front();
        hand_out(due);
    } else if (!next_ && timer_ != 0 && idle_.size() == lines_.size()) {    // all were due, and have ended
        finish();
    }
}

void Load::finish() {
    if (std::exchange(over_, true)) return;
    reactor_.cancel(timer_);
    figures_.seconds = secs(std::min(reactor_.clock().now() - began_, s_.time));
    for (const auto& line : lines_) figures_.unanswered += line->busy;
    figures_.unanswered += waiting_.size();
    done_();
}

}    // namespace shaletray::testbed
