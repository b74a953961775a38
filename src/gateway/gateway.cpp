#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/runtime/log_sink.h"

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;
using runtime::event;

constexpr Duration kPeersEvery = 250ms, kFleetEvery = 500ms;
constexpr Duration kConfirmedWithin = 3s;    // a lighthouse's word, for the lease on quotas
// After the order to stop: new clients come for as long as the platform has not noticed (it asks each second,
// and believes the second silence); what is open may end until shortly before the process is killed.
constexpr Duration kAcceptOn = 2200ms, kEndBefore = 500ms;
constexpr std::size_t kOwnDescriptors = 260;    // files outside the disk folder, and the loop's own
constexpr double kClientShare = 0.65;           // of the others

std::vector<std::string> zone_names(const runtime::NodeSettings& s) {
    std::vector<std::string> names;
    for (const auto& [zone, region] : s.zones) names.push_back(zone);
    return names;
}

std::size_t sockets_of(const runtime::NodeSettings& s) {
    return s.max_open_files > kOwnDescriptors + 64 ? s.max_open_files - kOwnDescriptors : 64;
}

}    // namespace

Pilot::Pilot(runtime::NodeSettings settings)
    : settings_(std::move(settings)),
      address_(runtime::pilot_address(settings_.ip, settings_)),
      life_(static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock_.now().time_since_epoch().count()))),
      fleet_({zone_names(settings_), 300ms}),
      lease_(address_) {
    const TimePoint now = clock_.now();
    const std::uint64_t seed = std::hash<std::string>{}(address_) ^ life_;

    membership::Settings c;
    c.me.address = address_;
    c.me.role = membership::Role::Pilot;
    c.me.name = settings_.node_name;
    c.me.zone = settings_.zone;
    c.me.region = settings_.region;
    c.me.life = life_;
    c.seeds = runtime::lighthouse_seeds(settings_);
    c.seed = seed;
    convoy_ = std::make_unique<membership::Convoy>(c, now);

    begin_tide();

    Lookout::Settings l;
    l.me = address_;
    l.life = life_;
    lookout_ = std::make_unique<Lookout>(l);
    lighthouses_changed();

    mailer_ =
        std::make_unique<transport::Mailer>(reactor_, address_, life_, transport::Mailer::Limits{},
                                            [this](transport::Letter&& letter) { heard(std::move(letter)); });

    DeskSettings d;
    d.seed = seed + 2;
    d.server_sockets =
        static_cast<std::size_t>(static_cast<double>(sockets_of(settings_)) * (1.0 - kClientShare));
    d.zone = fleet_.zone_number(settings_.zone);
    d.retry_ratio = settings_.bounds.retry_budget_ratio;
    d.retry_slack = settings_.bounds.retry_slack;
    d.retry_window = settings_.bounds.retry_window;
    desk_ = std::make_unique<Desk>(d, reactor_, timers_, counters_, fleet_, *tide_, [this] { tick_soon(); });

    listener_ = std::make_unique<Listener>(
        *desk_, passage_, ClientRoom{sockets_of(settings_), settings_.memory_mb}, counters_, reactor_,
        Listener::listen(settings_.frontend),
        static_cast<std::size_t>(static_cast<double>(sockets_of(settings_)) * kClientShare),
        [this] { return ready(); });
    readiness_ = serve_readiness(reactor_, settings_.readiness, [this] { return ready(); });
    event(LogLevel::Info, "pilot_started",
          {kv("address", address_), kv("life", life_), kv("zone", settings_.zone)});
}

Pilot::~Pilot() { reactor_.cancel(tick_timer_); }

bool Pilot::ready() const { return stopping_since_ == TimePoint{} && lookout_->caught_up(); }

void Pilot::run(std::function<void()> look) {
    reactor_.before_turn([this, look = std::move(look)](bool) {
        look();
        look_after_stop();
    });
    tick();
    reactor_.reckon_timeout();
    reactor_.run();
}

void Pilot::stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    event(LogLevel::Info, "pilot_stopping", {kv("clients", listener_->clients()), kv("open", desk_->open())});
    listener_->begin_stop();
}

void Pilot::settings_changed(const runtime::NodeSettings& settings) {
    settings_.seeds = settings.seeds;
    convoy_->seeds(runtime::lighthouse_seeds(settings_));
    lighthouses_changed();
}

// A life's stores begin empty.
void Pilot::begin_tide() {
    quota::Settings t;
    t.me = address_;
    t.life = life_;
    t.seed = std::hash<std::string>{}(address_) + life_;
    t.window = settings_.bounds.quota_window;
    t.overshoot = settings_.bounds.quota_overshoot;
    t.slack = settings_.bounds.quota_slack;
    tide_ = std::make_unique<quota::Tide>(t, clock_.now());
    if (desk_) desk_->quotas_from(*tide_);
}

void Pilot::set_quotas() {
    const std::shared_ptr<const configuration::Table>& table = lookout_->table();
    if (!table) return;
    std::map<std::string, quota::Quota> quotas;
    if (table->asks_for_keys()) {
        for (const configuration::Tenant& tenant : *table->chart().tenants)
            quotas[tenant.name] = {tenant.rate_per_s, tenant.burst};
    }
    tide_->quotas(quotas, clock_.now());
}

// An earlier life of this address had a higher number, since the machine's clock was set back.
void Pilot::look_after_life() {
    if (convoy_->me().life == life_) return;
    event(LogLevel::Info, "life_raised", {kv("from", life_), kv("to", convoy_->me().life)});
    life_ = convoy_->me().life;
    mailer_->life(life_);
    lookout_->life(life_);
    begin_tide();
    lease_.end();
    set_quotas();
}

// ---- other processes ----

void Pilot::heard(transport::Letter&& letter) {
    const TimePoint now = clock_.now();
    switch (letter.kind) {
        case transport::Kind::Convoy: {
            membership::Actions out;
            convoy_->heard(letter.from, letter.bytes, now, out);
            carry(out);
            break;
        }
        case transport::Kind::Tide: {
            quota::Actions out;
            tide_->heard(letter.from, letter.bytes, now, out);
            carry(out);
            break;
        }
        case transport::Kind::Watch: {
            convoy_->seen(letter.from, letter.life, now);
            Lookout::Actions out;
            lookout_->heard(letter.from, letter.life, letter.bytes, now, out);
            carry(out);
            break;
        }
        default: break;    // lighthouses' own
    }
}

void Pilot::carry(const membership::Actions& actions) {
    for (const auto& send : actions.sends) mailer_->datagram(send.to, transport::Kind::Convoy, send.bytes);
    bool lighthouses = false;
    for (const std::string& address : actions.changed) {
        const auto it = convoy_->members().find(address);
        if (it == convoy_->members().end()) continue;
        const membership::Member& m = it->second;
        const std::string_view state = m.state == membership::State::Alive       ? "alive"
                                       : m.state == membership::State::Suspected ? "suspected"
                                                                                 : "gone";
        event(LogLevel::Debug, "member_changed",
              {kv("member", address), kv("state", state), kv("life", m.facts.life),
               kv("counts", m.facts.counts)});
        lighthouses = lighthouses || m.facts.role == membership::Role::Lighthouse;
        if (m.facts.role == membership::Role::Pilot) next_peers_ = TimePoint{};
    }
    if (lighthouses) lighthouses_changed();
}

void Pilot::carry(const quota::Actions& actions) {
    for (const auto& send : actions.sends) mailer_->datagram(send.to, transport::Kind::Tide, send.bytes);
    if (!actions.woken.empty()) desk_->units_came(actions.woken);
}

void Pilot::carry(const Lookout::Actions& actions) {
    for (const auto& send : actions.sends) mailer_->session(send.to, transport::Kind::Watch, send.bytes);
    const TimePoint now = clock_.now();
    if (actions.chart_changed) {
        const std::shared_ptr<const configuration::Table>& table = lookout_->table();
        set_quotas();
        passage_.chart(table);
        desk_->chart(table);
        event(LogLevel::Info, "chart_in_force",
              {kv("version", table->chart().version), kv("routes", table->chart().routes.size()),
               kv("services", table->chart().services.size()),
               kv("tenants", table->asks_for_keys() ? table->chart().tenants->size() : 0)});
    }
    if (actions.servers_changed) desk_->servers_changed(fleet_.take(lookout_->servers(), now));
    if (ready() != was_ready_) {
        was_ready_ = ready();
        event(LogLevel::Info, was_ready_ ? "pilot_ready" : "pilot_not_ready");
        next_peers_ = TimePoint{};    // its quotas begin with it
        tick_soon();
    }
}

void Pilot::lighthouses_changed() {
    std::vector<std::string> known, suspected;
    for (const auto& [address, member] : convoy_->members()) {
        if (member.facts.role != membership::Role::Lighthouse || member.state == membership::State::Gone)
            continue;
        (member.state == membership::State::Alive ? known : suspected).push_back(address);
    }
    for (const std::string& seed : runtime::lighthouse_seeds(settings_)) {
        if (!convoy_->members().contains(seed)) known.push_back(seed);
    }
    lookout_->lighthouses(std::move(known), std::move(suspected));
}

// ---- time ----

void Pilot::tick() {
    const TimePoint now = clock_.now();
    if (convoy_->next() <= now) {
        membership::Actions out;
        convoy_->tick(now, out);
        carry(out);
        look_after_life();
    }
    if (now >= next_peers_) look_after_peers();
    if (tide_->next() <= now) {
        quota::Actions out;
        tide_->tick(now, out);
        carry(out);
    }
    if (lookout_->next() <= now) {
        Lookout::Actions out;
        lookout_->tick(now, convoy_->me().counts, out);
        carry(out);
    }
    if (now >= next_fleet_) {    // servers that have just started come to their full size
        next_fleet_ = now + kFleetEvery;
        desk_->servers_changed(fleet_.take(lookout_->servers(), now));
    }
    const TimePoint due =
        std::min({convoy_->next(), next_peers_, tide_->next(), lookout_->next(), next_fleet_});
    reactor_.cancel(tick_timer_);
    tick_timer_ = reactor_.at(std::max(due, now + 5ms), [this] { tick(); });
}

void Pilot::tick_soon() {
    reactor_.cancel(tick_timer_);
    tick_timer_ = reactor_.after(Duration(0), [this] { tick(); });
}

// Which pilots share the quotas, and whether this one may go on refilling its part.
void Pilot::look_after_peers() {
    const TimePoint now = clock_.now();
    next_peers_ = now + kPeersEvery;
    quota::Peers peers = lease_.look(*convoy_, lookout_->confirmed(now, kConfirmedWithin), now);
    convoy_->counts(lease_.counts());
    desk_->pilots(std::max(lease_.electorate(), static_cast<std::uint32_t>(peers.ring.size())));
    const bool leased = peers.divisor > 0 && peers.refill_until > now;
    if (leased != was_leased_) {
        was_leased_ = leased;
        event(LogLevel::Info, leased ? "quota_lease_begins" : "quota_lease_ended",
              {kv("electorate", lease_.electorate()), kv("divisor", peers.divisor),
               kv("pilots", peers.ring.size())});
    }
    tide_->peers(std::move(peers), now);
}

// ---- the end ----

void Pilot::look_after_stop() {
    if (stopping_since_ == TimePoint{}) return;
    const TimePoint now = clock_.now();
    const Duration stopping = now - stopping_since_;
    if (stopping >= kAcceptOn) listener_->end_accepting();
    const bool late = stopping >= settings_.bounds.grace - kEndBefore;
    if (late) desk_->give_up_all();
    if (!late && (stopping < kAcceptOn || listener_->clients() > 0)) return;
    membership::Actions out;
    convoy_->leave(now, out);
    for (const auto& send : out.sends) mailer_->datagram(send.to, transport::Kind::Convoy, send.bytes);
    event(LogLevel::Info, "pilot_stopped", {kv("after_ms", stopping / 1ms), kv("open", desk_->open())});
    reactor_.stop();
}

std::string Pilot::counters_text() const {
    const Desk::Counts& d = desk_->counts();
    const Lookout::Counts& l = lookout_->counts();
    const transport::Mailer::Counts& m = mailer_->counts();
    return fmt::format(
        "taken={} granted={} waited={} refused_quota={} refused_room={} served={} failed={} sent={} "
        "dialled={} reused={} "
        "clients={} news={} wholes={} patches={} spoilt={} mail_sent={} mail_bytes={} mail_dropped={} "
        "mail_spoilt={}",
        counters_.taken, d.granted, d.waited, d.refused_quota, d.refused_room, d.served, d.failed,
        counters_.sent, counters_.servers_dialled, counters_.servers_reused, counters_.clients_accepted,
        l.news, l.wholes, l.patches, l.spoilt, m.sent, m.sent_bytes, m.dropped, m.spoilt);
}

}    // namespace shaletray::gateway
