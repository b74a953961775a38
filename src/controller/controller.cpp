#include "controller/controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;
using runtime::event;

constexpr Duration kMusterEvery = 250ms, kVotersEvery = 250ms, kFollowsFor = 2s;
// Callers move on to another lighthouse after a second of silence.
constexpr Duration kAnswerWithin = 900ms;
constexpr Duration kEndAfter = 300ms, kEndAtLast = 1500ms;
constexpr std::size_t kCallers = 1024;
constexpr int kCommandsAtOnce = 64;    // in one turn of the loop
constexpr std::size_t kCheckedKept = 4;

control_api::Queue::Answer trouble(int status, const std::string& why) {
    std::string text;
    for (const char c : why) {
        if (c == '"' || c == '\\') text += '\\';
        text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return {status, fmt::format("{{\"error\":\"{}\"}}", text), {}};
}

control_api::Queue::Answer come_back() {
    return {503, "{\"error\":\"no majority in time\"}", "Retry-After: 0.1\r\n"};
}

// "10.1.0.24:7100/0,10.2.0.9:7100/77": addresses and disks
std::string named(const std::vector<consensus::Member>& voters) {
    std::string text;
    for (const consensus::Member& m : voters)
        text += fmt::format("{}{}/{}", text.empty() ? "" : ",", m.address, m.disk);
    return text;
}

registry::Muster::Settings muster_settings(const std::string& me, std::uint64_t life,
                                           const runtime::NodeSettings& s) {
    registry::Muster::Settings m;
    m.me = me;
    m.life = life;
    m.heartbeat = s.heartbeat;
    return m;
}

}    // namespace

Lighthouse::Lighthouse(runtime::NodeSettings settings, std::unique_ptr<consensus::Store> store)
    : settings_(std::move(settings)),
      address_(runtime::lighthouse_address(settings_.ip, settings_)),
      life_(static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock_.now().time_since_epoch().count()))),
      store_(std::move(store)),
      muster_(muster_settings(address_, life_, settings_)),
      relay_(muster_),
      gallery_(Gallery::Settings{.life = life_}, muster_),
      steward_({{address_, store_->loaded().disk},
                static_cast<std::size_t>(std::max(0, settings_.lost_machines)),
                settings_.bounds.catch_up},
               clock_.now()),
      quorum_(settings_.bounds.contact, clock_.now()),
      checker_(reactor_) {
    const TimePoint now = clock_.now();
    const std::uint64_t seed = std::hash<std::string>{}(address_) ^ life_;
    const std::vector<std::string> seeds = runtime::lighthouse_seeds(settings_);

    consensus::Settings l;
    l.me = {address_, store_->loaded().disk};
    l.votes = settings_.quorum_member;
    if (settings_.bootstrap) l.founders = seeds;
    l.seed = seed;
    l.longest_wait = quorum_.longest_wait();
    lamp_ = std::make_unique<consensus::Lamp>(l, store_->loaded(), now);

    membership::Settings c;
    c.me.address = address_;
    c.me.role = membership::Role::Lighthouse;
    c.me.name = settings_.node_name;
    c.me.zone = settings_.zone;
    c.me.region = settings_.region;
    c.me.control = settings_.control;
    c.me.quorum = settings_.quorum_member;
    c.me.disk = store_->loaded().disk;
    c.me.life = life_;
    c.seeds = seeds;
    c.seed = seed + 1;
    convoy_ = std::make_unique<membership::Convoy>(c, now);

    mailer_ =
        std::make_unique<transport::Mailer>(reactor_, address_, life_, transport::Mailer::Limits{},
                                            [this](transport::Letter&& letter) { heard(std::move(letter)); });
    stored_ = std::make_unique<Waker>(reactor_, [this] {
        for (const std::uint64_t token : store_->done()) {
            consensus::Actions out;
            lamp_->stored(token, clock_.now(), out);
            carry(std::move(out));
        }
    });
    store_->on_done([this] { stored_->wake(); });
    CallServer::Limits limits;
    limits.most = std::min(kCallers, settings_.max_open_files / 4);
    calls_ = std::make_unique<CallServer>(
        reactor_, CallServer::listen(settings_.control), limits,
        [this](const Call& call, std::shared_ptr<Caller> caller) { take(call, std::move(caller)); },
        control_api::longest_body);
    if (!settings_.readiness.empty())
        readiness_ =
            serve_readiness(reactor_, settings_.readiness, [this] { return quorum_.held(clock_.now()); });
    members_changed();
    decree_changed();
    event(LogLevel::Info, "lighthouse_started",
          {kv("address", address_), kv("life", life_), kv("disk", store_->loaded().disk),
           kv("decree", lamp_->decree().number), kv("version", lamp_->decree().version),
           kv("given_up", store_->given_up())});
}

Lighthouse::~Lighthouse() {
    store_->on_done({});
    reactor_.cancel(tick_timer_);
    reactor_.cancel(commands_timer_);
}

void Lighthouse::run(std::function<void()> look) {
    reactor_.before_turn([this, look = std::move(look)](bool) {
        look();
        look_after_stop();
    });
    tick();
    reactor_.reckon_timeout();
    reactor_.run();
}

void Lighthouse::settings_changed(const runtime::NodeSettings& settings) {
    settings_.seeds = settings.seeds;
    convoy_->seeds(runtime::lighthouse_seeds(settings_));
    members_changed();
}

// ---- calls ----

void Lighthouse::take(const Call& call, std::shared_ptr<Caller> caller) {
    control_api::Queue::Order order;
    order.since = clock_.now();
    order.answer = [caller](control_api::Queue::Answer answer) {
        Reply reply;
        reply.status = answer.status;
        reply.body = std::move(answer.body);
        reply.headers = std::move(answer.headers);
        caller->answer(std::move(reply));
    };
    order.gone = [caller] { return caller->gone(); };
    const bool understood = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_ASSIGN(order.command, control_api::decode(call.method, call.target, call.body));
            return true;
        },
        [&](const control_api::Refused& refused) {
            ++counts_.refused;
            control_api::Queue::Answer answer = trouble(refused.status, refused.why);
            if (!refused.allow.empty()) answer.headers = fmt::format("Allow: {}\r\n", refused.allow);
            order.answer(std::move(answer));
            return false;
        },
        [&] {
            order.answer(trouble(400, "not understood"));
            return false;
        });
    if (!understood) return;
    if (!commands_.push(std::move(order))) {
        ++counts_.refused;
        // NOLINTNEXTLINE(bugprone-use-after-move): a queue that refuses it has not moved from it
        return order.answer(come_back());
    }
    if (commands_timer_ == 0) commands_timer_ = reactor_.after(Duration(0), [this] { run_commands(); });
}

void Lighthouse::run_commands() {
    commands_timer_ = 0;
    for (int i = 0; i < kCommandsAtOnce; ++i) {
        std::optional<control_api::Queue::Order> order = commands_.pop();
        if (!order) break;
        std::visit([&](auto& command) { run(command, *order); }, order->command);
    }
    muster_changed();    // all are told before the calls are acknowledged
    // Servers stay with the lighthouse that keeps them, or each beat would be news to all.
    const std::string body = stopping_since_ == TimePoint{}
                                 ? fmt::format("{{\"heartbeat_target\":\"{}\"}}", settings_.control)
                                 : std::string("{}");
    for (const auto& answer : std::exchange(acknowledged_, {})) answer({200, body, {}});
    if (commands_.size() > 0) commands_timer_ = reactor_.after(Duration(0), [this] { run_commands(); });
}

// What a server says holds also where it does not wait for the answer any more.
void Lighthouse::run(control_api::Beat& beat, control_api::Queue::Order& order) {
    ++counts_.beats;
    muster_.beat(beat.beat, clock_.now());
    acknowledged_.push_back(std::move(order.answer));
}

void Lighthouse::run(control_api::Deregister& end, control_api::Queue::Order& order) {
    ++counts_.ends;
    muster_.deregister(end.id, clock_.now());
    acknowledged_.push_back(std::move(order.answer));
}

void Lighthouse::run(control_api::Replace& replace, control_api::Queue::Order& order) {
    ++counts_.replaces;
    if (order.gone()) return;
    const bool taken = checker_.check(
        std::move(replace.text), [this, answer = order.answer](std::string text, Checker::Outcome outcome) {
            if (const auto* refusal = std::get_if<configuration::Refusal>(&outcome)) {
                event(LogLevel::Info, "configuration_refused",
                      {kv("field", refusal->field), kv("why", refusal->why)});
                return answer(trouble(400, refusal->field + ": " + refusal->why));
            }
            configuration::Chart& chart = std::get<configuration::Chart>(outcome);
            const std::uint64_t version = chart.version;
            checked_.push_back({text.size(), std::hash<std::string>{}(text), std::move(chart)});
            if (checked_.size() > kCheckedKept) checked_.pop_front();
            propose(std::move(text), version, answer);
        });
    if (!taken) order.answer(come_back());
}

void Lighthouse::propose(std::string text, std::uint64_t version,
                         std::function<void(control_api::Queue::Answer)> answer) {
    const consensus::Ticket ticket = ++last_ticket_;
    const TimePoint now = clock_.now();
    tickets_[ticket] = [this, version, now, answer = std::move(answer)](consensus::Answer outcome) {
        const bool conflict = outcome == consensus::Answer::Conflict,
                   unsettled = outcome == consensus::Answer::Unsettled;
        counts_.conflicts += conflict;
        counts_.unsettled += unsettled;
        event(LogLevel::Info,
              conflict    ? "configuration_conflict"
              : unsettled ? "configuration_unsettled"
                          : "configuration_settled",
              {kv("version", version), kv("held", lamp_->decree().version),
               kv("took_ms", (clock_.now() - now) / 1ms)});
        if (unsettled) return answer(come_back());
        if (conflict) return answer(trouble(409, "revision: this number was taken by another body"));
        answer({200, "{}", {}});
    };
    consensus::Actions out;
    lamp_->propose(ticket, version, std::move(text), now + kAnswerWithin, now, out);
    carry(std::move(out));
}

void Lighthouse::run(control_api::Read&, control_api::Queue::Order& order) {
    ++counts_.reads;
    if (order.gone()) return;
    const consensus::Ticket ticket = ++last_ticket_;
    tickets_[ticket] = [this, answer = order.answer](consensus::Answer outcome) {
        if (outcome == consensus::Answer::Unsettled) return answer(come_back());
        const consensus::Decree& decree = lamp_->decree();
        if (decree.version == 0) return answer(trouble(404, "no configuration was taken yet"));
        answer({200, decree.text, {}});
    };
    const TimePoint now = clock_.now();
    consensus::Actions out;
    lamp_->quorum_read(ticket, now + kAnswerWithin, now, out);
    carry(std::move(out));
}

// ---- other processes ----

void Lighthouse::heard(transport::Letter&& letter) {
    const TimePoint now = clock_.now();
    switch (letter.kind) {
        case transport::Kind::Convoy: {
            membership::Actions out;
            convoy_->heard(letter.from, letter.bytes, now, out);
            carry(out);
            break;
        }
        case transport::Kind::Lamp: {
            convoy_->seen(letter.from, letter.life, now);
            consensus::Actions out;
            lamp_->heard(letter.from, letter.bytes, now, out);
            carry(std::move(out));
            break;
        }
        case transport::Kind::Muster:
            convoy_->seen(letter.from, letter.life, now);
            relay_.heard(letter.from, letter.life, letter.bytes, now);
            tell_pilots();
            break;
        case transport::Kind::Watch: {
            convoy_->seen(letter.from, letter.life, now);
            auto have = subscription::decode_have(letter.bytes);
            if (!have) break;
            std::vector<Gallery::Send> out;
            gallery_.confirmed(quorum_.held(clock_.now()));
            gallery_.heard(letter.from, *have, now, out);
            send(out);
            break;
        }
        case transport::Kind::Tide: break;    // pilots' own
    }
}

void Lighthouse::carry(const membership::Actions& actions) {
    for (const auto& send : actions.sends) mailer_->datagram(send.to, transport::Kind::Convoy, send.bytes);
    bool lighthouses = false;
    for (const std::string& address : actions.changed) {
        const auto it = convoy_->members().find(address);
        lighthouses = lighthouses || it == convoy_->members().end() ||
                      it->second.facts.role == membership::Role::Lighthouse;
    }
    if (lighthouses) members_changed();
}

void Lighthouse::carry(consensus::Actions&& actions) {
    look_after_quorum();
    for (auto& store : actions.stores) store_->put(std::move(store));
    for (const auto& send : actions.sends) mailer_->session(send.to, transport::Kind::Lamp, send.bytes);
    // Pilots are told before anybody hears that it is settled.
    if (actions.changed) decree_changed();
    for (const auto& done : actions.done) {
        const auto it = tickets_.find(done.ticket);
        if (it == tickets_.end()) continue;
        const auto answer = std::move(it->second);
        tickets_.erase(it);
        answer(done.answer);
    }
    if (const auto next = lamp_->next()) tick_at(*next);
}

void Lighthouse::decree_changed() {
    const consensus::Decree& decree = lamp_->decree();
    event(LogLevel::Info, "decree",
          {kv("number", decree.number), kv("version", decree.version), kv("voters", decree.voters.size())});
    read_decree();
}

void Lighthouse::read_decree() {
    const consensus::Decree& decree = lamp_->decree();
    if (decree.version <= decree_read_) return;
    decree_read_ = decree.version;
    const std::size_t hash = std::hash<std::string>{}(decree.text);
    const auto known = std::find_if(checked_.begin(), checked_.end(), [&](const Checked& c) {
        return c.chart.version == decree.version && c.length == decree.text.size() && c.hash == hash;
    });
    if (known != checked_.end()) {
        take_chart(std::move(known->chart));
        checked_.clear();
        return;
    }
    // It was checked before it was proposed.
    const bool taken = checker_.check(
        std::string(decree.text), [this, version = decree.version](std::string, Checker::Outcome outcome) {
            if (auto* chart = std::get_if<configuration::Chart>(&outcome))
                return take_chart(std::move(*chart));
            event(LogLevel::Error, "decree_unread", {kv("version", version)});
        });
    if (!taken) decree_read_ = 0;    // a little later then
}

void Lighthouse::take_chart(configuration::Chart chart) {
    if (chart.version <= gallery_.version()) return;    // a later one was shorter, and read before
    gallery_.chart(std::move(chart));
    std::vector<Gallery::Send> out;
    gallery_.confirmed(quorum_.held(clock_.now()));
    gallery_.tell(clock_.now(), out);
    send(out);
}

// What servers said here, to the pilots and the other lighthouses.
void Lighthouse::muster_changed() {
    tell_pilots();
    std::vector<Relay::Send> out;
    relay_.tell(clock_.now(), out);
    send(out);
}

void Lighthouse::tell_pilots() {
    if (told_pilots_ == muster_.sequence()) return;
    told_pilots_ = muster_.sequence();
    std::vector<Gallery::Send> out;
    gallery_.confirmed(quorum_.held(clock_.now()));
    gallery_.tell(clock_.now(), out);
    send(out);
}

void Lighthouse::send(const std::vector<Gallery::Send>& sends) {
    for (const auto& s : sends) mailer_->session(s.to, transport::Kind::Watch, s.bytes);
}

void Lighthouse::send(const std::vector<Relay::Send>& sends) {
    for (const auto& s : sends) mailer_->session(s.to, transport::Kind::Muster, s.bytes);
}

void Lighthouse::members_changed() {
    std::vector<std::string> others;
    for (const auto& [address, member] : convoy_->members()) {
        if (member.facts.role == membership::Role::Lighthouse && member.state != membership::State::Gone)
            others.push_back(address);
    }
    for (const std::string& seed : runtime::lighthouse_seeds(settings_)) {
        const auto it = convoy_->members().find(seed);
        if (seed != address_ && it == convoy_->members().end()) others.push_back(seed);
    }
    relay_.others(others);
    lamp_->others(std::move(others));
}

void Lighthouse::look_after_quorum() {
    const auto change = quorum_.look(lamp_->confirmed(), clock_.now());
    if (!change) return;
    const consensus::Decree& decree = lamp_->decree();
    event(change->held ? LogLevel::Info : LogLevel::Warning, change->held ? "quorum_regained" : "quorum_lost",
          {kv(change->held ? "without_ms" : "held_ms", change->after / 1ms), kv("version", decree.version),
           kv("voters", decree.voters.size()), kv("voter", lamp_->is_voter())});
}

// ---- time ----

void Lighthouse::tick() {
    const TimePoint now = clock_.now();
    ticks_at_ = TimePoint::max();
    if (convoy_->next() <= now) {
        membership::Actions out;
        convoy_->tick(now, out);
        carry(out);
        if (convoy_->me().life != life_) {
            life_ = convoy_->me().life;
            mailer_->life(life_);
            muster_.life(life_);
            gallery_.life(life_);
            relay_.life();
        }
    }
    if (const auto due = lamp_->next(); due && *due <= now) {
        consensus::Actions out;
        lamp_->tick(now, out);
        carry(std::move(out));
    }
    if (now >= next_confirm_) {
        next_confirm_ = now + quorum_.ask_every();
        consensus::Actions out;
        lamp_->quorum_read(++last_ticket_, now + kAnswerWithin, now, out);    // nobody waits for it
        carry(std::move(out));
    }
    if (now >= next_muster_) {
        next_muster_ = now + kMusterEvery;
        muster_.tick(now);
        muster_changed();
        std::vector<Relay::Send> out;
        relay_.tick(now, out);
        send(out);
    }
    if (now >= next_voters_) {
        next_voters_ = now + kVotersEvery;
        look_after_voters();
        read_decree();
    }
    TimePoint due = std::min({convoy_->next(), next_confirm_, next_muster_, next_voters_});
    if (const auto next = lamp_->next()) due = std::min(due, *next);
    tick_at(due);
}

void Lighthouse::tick_at(TimePoint when) {
    if (when >= ticks_at_) return;
    ticks_at_ = when;
    reactor_.cancel(tick_timer_);
    tick_timer_ = reactor_.at(when, [this] { tick(); });
}

void Lighthouse::look_after_voters() {
    const TimePoint now = clock_.now();
    const auto follows = [this](const consensus::Member& m) { return lamp_->follows(m, kFollowsFor); };
    const auto step = steward_.next(lamp_->decree(), convoy_->members(), follows, now);
    hands_on_ = stopping_since_ != TimePoint{} && step.has_value();
    if (!step) return;
    if (voters_gate_.open())
        event(LogLevel::Info, "voters_change", {kv("from", named(step->from)), kv("to", named(step->to))});
    consensus::Actions out;
    lamp_->change_voters(step->from, step->to, now, out);
    carry(std::move(out));
}

// ---- the end ----

// Who votes hands its vote on before it says goodbye, where somebody can take it.
void Lighthouse::stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    event(LogLevel::Info, "lighthouse_stopping",
          {kv("calls", calls_->under_way()), kv("votes", lamp_->is_voter())});
    calls_->stop();
    steward_.leave();
    convoy_->quorum(false);
    look_after_voters();
}

void Lighthouse::look_after_stop() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration stopping = clock_.now() - stopping_since_;
    if (stopping < kEndAfter) return;
    if (stopping < kEndAtLast && (calls_->under_way() > 0 || (lamp_->is_voter() && hands_on_))) return;
    membership::Actions out;
    convoy_->leave(clock_.now(), out);
    carry(out);
    reactor_.stop();
}

std::string Lighthouse::counters_text() const {
    const transport::Mailer::Counts& m = mailer_->counts();
    return fmt::format(
        "beats={} ends={} replaces={} reads={} refused={} conflicts={} unsettled={} quorum={} "
        "quorum_losses={} pilots={} servers={} failed_writes={} "
        "mail_sent={} mail_bytes={} mail_dropped={} mail_spoilt={}",
        counts_.beats, counts_.ends, counts_.replaces, counts_.reads, counts_.refused, counts_.conflicts,
        counts_.unsettled, quorum_.held(clock_.now()) ? 1 : 0, quorum_.losses(), gallery_.pilots(),
        muster_.servers().size(), store_->failed_writes(), m.sent, m.sent_bytes, m.dropped, m.spoilt);
}

}    // namespace shaletray::controller
