#include "balancer/platform/discovery_watch.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBackoff = 50ms, kLongestBackoff = 1s;
// An empty line comes every two seconds. Without one the connection may be gone without a word, and what
// would have come on it counts as told six seconds later all the same.
constexpr Duration kSilence = 3s;
constexpr std::size_t kLongestLine = 8 * 1024 * 1024;

}    // namespace

DiscoveryWatch::DiscoveryWatch(Engine& engine, HostDirectory& hosts, const Config& config, Counters& counters,
                               Reactor& reactor, std::function<void()> heard)
    : engine_(engine),
      hosts_(hosts),
      config_(config),
      address_(config.discovery),
      counters_(counters),
      reactor_(reactor),
      heard_(std::move(heard)),
      parser_(http::Parser::Kind::Response, {16 * 1024, kLongestLine, 100}),
      revision_(config.known.revision) {}

DiscoveryWatch::~DiscoveryWatch() {
    reactor_.cancel(retry_timer_);
    reactor_.cancel(silence_timer_);
}

// From the list that the gateway had before its start, which may be old.
void DiscoveryWatch::start() {
    engine_.list_heard(hosts_.apply(config_.known, decision::ListKind::Cached, reactor_.clock().now()));
    heard_();
    if (!config_.settings.ask_for_list) connect();
}

void DiscoveryWatch::connect() {
    reactor_.cancel(retry_timer_);
    if (stream_) retire(reactor_, std::move(stream_));
    ++counters_.watches;
    parser_.reset();
    scanned_ = 0;
    stream_ = std::make_unique<Stream>(reactor_, static_cast<StreamOwner&>(*this));
    last_heard_ = reactor_.clock().now();
    reactor_.cancel(silence_timer_);
    check_silence();
    if (!stream_->dial(address_)) return broken("cannot connect");
    stream_->send(write_watch(address_, revision_));
}

void DiscoveryWatch::move_to(const std::string& address) {
    if (address == address_) return;
    read_now();    // what the old one has told counts as told
    address_ = address;
    // Another discovery need not count its revisions as the last one did: from 0 on it tells all it has.
    revision_ = 0;
    backoff_ = Duration(0);
    connect();
}

void DiscoveryWatch::read_now() {
    if (stream_) stream_->read_now();
}

void DiscoveryWatch::on_input() {
    last_heard_ = reactor_.clock().now();
    const http::Status status = parser_.parse(stream_->input());
    if (status == http::Status::Bad) return broken("malformed answer");
    if (!parser_.head_done()) return;
    if (parser_.status() != 200) return broken("refused");
    take_lines();
    if (status == http::Status::Done && stream_ && stream_->is_open()) broken("it ended");
}

void DiscoveryWatch::take_lines() {
    while (true) {
        const std::string_view body = parser_.body(stream_->input());
        const std::size_t end = body.find('\n', scanned_);
        if (end == std::string_view::npos) {
            scanned_ = body.size();
            return;
        }
        take(http::trimmed(body.substr(0, end > 0 && body[end - 1] == '\r' ? end - 1 : end)));
        parser_.drop_body(stream_->input(), end + 1);
        scanned_ = 0;
    }
}

void DiscoveryWatch::take(std::string_view line) {
    backoff_ = Duration(0);
    if (line.empty()) return;
    MemberList list;
    std::string error;
    if (!parse_member_list(line, config_.places, list, error)) {
        ++counters_.bad_lines;
        if (gate_.open()) log(LogLevel::Warning, Event::DiscoveryBadLine, {kv("why", error)});
        return;
    }
    if (list.skipped > 0) {
        counters_.bad_lines += list.skipped;
        if (gate_.open()) log(LogLevel::Warning, Event::DiscoveryBadEntries, {kv("entries", list.skipped)});
    }
    revision_ = list.revision;
    const bool full = list.complete;
    ++(full ? counters_.lists_full : counters_.lists_changed);
    const auto kind = full ? decision::ListKind::Full : decision::ListKind::Delta;
    engine_.list_heard(hosts_.apply(list, kind, reactor_.clock().now()));
    heard_();
}

void DiscoveryWatch::broken(std::string_view why) {
    if (gate_.open()) log(LogLevel::Info, Event::DiscoveryBroken, {kv("why", why)});
    stream_->close();
    reactor_.cancel(silence_timer_);
    if (config_.settings.ask_for_list) {
        engine_.list_heard({decision::ListKind::Failed, {}});    // the module says when to ask again
        return;
    }
    backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
    reactor_.cancel(retry_timer_);
    retry_timer_ = reactor_.after(backoff_, [this] { connect(); });
}

void DiscoveryWatch::check_silence() {
    const TimePoint due = last_heard_ + kSilence;
    if (reactor_.clock().now() >= due) return broken("silence");
    silence_timer_ = reactor_.at(due, [this] { check_silence(); });
}

}    // namespace shaletray
