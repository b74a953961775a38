#include "balancer/shared_counter/shared_counter_client.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// What is due soon after each other is done together; and where nothing is due, it is looked at this often.
constexpr Duration kLeastWait = 5ms, kLongestWait = 250ms;
// Leases that end are settled before each request anyway; this is for those that are held. Within the margin
// by which a holder ends before its giver.
constexpr Duration kLedgerWait = 25ms;

}    // namespace

Client::Client(ExchangeSettings settings, Ledger& ledger, Engine& engine, Reactor& reactor)
    : engine_(engine), ledger_(ledger), reactor_(reactor), exchange_(std::move(settings), ledger, stats_) {
    for (std::size_t i = 0; i < exchange_.size(); ++i)
        connections_.push_back(std::make_unique<Connection>(*this, exchange_.at(i)));
}

Client::~Client() { reactor_.cancel(timer_); }

void Client::start() { step(); }

void Client::step() {
    const TimePoint now = reactor_.clock().now();
    engine_.allowances_due();
    exchange_.tick(now);
    for (const auto& connection : connections_) serve(*connection);
    arm();
}

// Carries out what its session wants.
void Client::serve(Connection& c) {
    const TimePoint now = reactor_.clock().now();
    if (const auto why = c.session.wants_close()) return lose(c, *why);
    if (c.session.wants_connection(now)) {
        c.session.dialling(now);
        c.stream = std::make_unique<Stream>(reactor_, c);
        if (!c.stream->dial(c.session.address())) return lose(c, "it cannot be reached");
    }
    if (std::string bytes = c.session.take_output(); !bytes.empty() && c.stream) {
        if (!c.stream->send(std::move(bytes))) return lose(c, "the connection broke");
    }
    if (const auto field = c.session.take_spoilt(); field && c.spoilt_gate.open())
        log(LogLevel::Warning, Event::CounterSpoiltRow,
            {kv("address", c.session.address()), kv("field", *field)});
    if (c.session.up() && !c.told_up) {
        c.told_up = true;
        log(LogLevel::Info, Event::CounterUp, {kv("address", c.session.address())});
    }
}

void Client::lose(Connection& c, const std::string& why) {
    c.session.broke(reactor_.clock().now());
    if (c.stream) retire(reactor_, std::move(c.stream));
    if (c.gate.open())
        log(LogLevel::Warning, Event::CounterLost, {kv("address", c.session.address()), kv("why", why)});
    c.told_up = false;
}

void Client::arm() {
    const TimePoint now = reactor_.clock().now();
    TimePoint due = now + kLongestWait;
    if (const auto next = exchange_.next()) due = std::min(due, *next);
    if (const auto next = ledger_.next()) due = std::min(due, std::max(*next, now + kLedgerWait));
    reactor_.cancel(timer_);
    timer_ = reactor_.at(std::max(due, now + kLeastWait), [this] { step(); });
}

void Client::Connection::on_connected() {
    session.connected(client.reactor_.clock().now());
    client.serve(*this);
    client.arm();
}

void Client::Connection::on_input() {
    http::Buffer& in = stream->input();
    session.received(in.unread(), client.reactor_.clock().now());
    in.consume(in.size());
    client.serve(*this);
    client.arm();
}

void Client::Connection::on_broken() {
    client.lose(*this, "the connection ended");
    client.arm();
}

}    // namespace shaletray::shared_counter
