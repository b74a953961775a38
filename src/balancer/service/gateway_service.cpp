#include "balancer/service/gateway_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "balancer/operations/metrics.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kOwnDescriptors = 32;    // listener, discovery, peers, epoll, standard streams, spare
constexpr double kClientShare = 0.7;           // of the others
constexpr Duration kAcceptOn = 700ms;          // after the order to stop, for clients that do not know yet
// The process is ended by force the longest deadline, counted as 3 s where it is longer, plus 0.7 s after
// that.
constexpr Duration kLongestGrace = 3s, kEndBefore = 100ms;
constexpr int kEpochLeases = 16;    // leases for which the store keeps rows in one hash
constexpr Duration kLeastLook = 25ms, kLongestLook = 250ms;    // at what changes in the ledger and the book
constexpr Duration kBookWait = 1s;                             // for the board, at a start
// Of the second address. With the listener they fit into what is kept back.
constexpr std::size_t kAdminConnections = 16;
constexpr int kAdminBacklog = 64;
constexpr Duration kAdminPatience = 5s;    // for a whole call
constexpr double kIdleShare = 0.6;         // of the time after which servers close a connection

std::size_t share_of(const Config& config, double share) {
    return static_cast<std::size_t>(static_cast<double>(config.sockets - kOwnDescriptors) * share);
}

// Where a counter carries the shares, or plans change in service, the ring of datagrams does not.
Config without_ring(Config config, const settings::OperatorSettings& settings) {
    config.reservations = settings.plans.has_value();
    if (!settings.counter && !settings.plans) return config;
    config.settings.may_tell = false;
    config.peers.clear();
    config.peers_all.clear();
    config.peer_listen.clear();
    return config;
}

limits::LedgerSettings ledger_settings(const settings::OperatorSettings& settings,
                                       const decision::Settings& s, TimePoint now) {
    limits::LedgerSettings l;
    l.me = s.me;
    l.gateways = s.gateways;
    l.plans = s.plans;
    l.most_units = s.most_units;
    // Microseconds of Unix time: larger at each start, unless the machine's clock was set back.
    l.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count()));
    if (!settings.counter) {
        // Nobody is ever heard: each gateway has its even part, and stands in for none.
        l.alone_share = 0.0;
        l.reserve = 0.0;
        return l;
    }
    const settings::CounterSettings& c = *settings.counter;
    l.lease = c.lease;
    l.reserve = c.reserve;
    l.alone_share = c.alone_share;
    l.alone_after = c.alone_after;
    l.demand_window = c.demand_window;
    l.most_customers = c.most_customers;
    return l;
}

shared_counter::ExchangeSettings exchange_settings(const settings::CounterSettings& c,
                                                   const decision::Settings& s, std::uint64_t seed) {
    shared_counter::ExchangeSettings e;
    for (const settings::StoreSettings& store : c.stores) {
        shared_counter::SessionSettings one;
        one.address = store.address;
        one.username = store.username;
        one.password = store.password;
        one.database = store.database;
        one.prefix = c.prefix;
        one.me = s.me;
        one.gateways = s.gateways;
        one.timeout = c.timeout;
        one.epoch = kEpochLeases * c.lease;
        e.stores.push_back(one);
    }
    e.every = c.every;
    e.standby_every = c.standby_every;
    e.most_rows = c.most_rows;
    e.seed = seed ^ static_cast<std::uint64_t>(s.me);
    return e;
}

}    // namespace

Service::Service(Config config, settings::OperatorSettings settings)
    : config_(without_ring(std::move(config), settings)),
      hosts_(config_.settings.drain_grace),
      ledger_(settings.counter || settings.plans
                  ? std::make_unique<limits::Ledger>(
                        ledger_settings(settings, config_.settings, clock_.now()), clock_.now())
                  : nullptr),
      engine_(config_.settings, config_.seed, clock_, timers_, counters_) {
    const Duration idle(
        static_cast<std::int64_t>(static_cast<double>(config_.conn_idle.count()) * kIdleShare));
    // A process that serves here now lets go once this one listens, so that nobody is turned away in between.
    const Poco::Net::ServerSocket socket = Listener::listen(config_.listen);
    const std::string place = handover::place_for(config_.listen);
    const std::string inherited = handover::ask_predecessor(place);
    budget_ = std::make_unique<ConnectionBudget>(share_of(config_, 1.0 - kClientShare));
    pool_ = std::make_unique<ServerPool>(engine_, hosts_, dialect_, *budget_, counters_, reactor_,
                                         ServerPool::Limits{config_.dial_timeout, idle});
    peers_ = std::make_unique<PeerSocket>(engine_, config_, counters_, reactor_);
    watch_ = std::make_unique<DiscoveryWatch>(engine_, hosts_, config_, counters_, reactor_, [this] {
        listed_ = listed_ || hosts_.size() > 0;
        pool_->list_changed();
    });
    engine_.connect(*pool_, *peers_, *watch_);
    if (ledger_) engine_.share_by(*ledger_);
    if (settings.counter) {
        shared_counter_ = std::make_unique<shared_counter::Client>(
            exchange_settings(*settings.counter, config_.settings, config_.seed), *ledger_, engine_,
            reactor_);
    }
    if (settings.usage) {
        try {
            use_log_ = std::make_unique<UseLog>(*settings.usage, config_.settings.me, clock_.now());
            engine_.keep_use_in(*use_log_);
        } catch (const std::exception& error) {
            if (settings.usage->refuse_trouble)
                throw std::runtime_error(fmt::format("usage.journal: {}", error.what()));
            log(LogLevel::Error, Event::UsageOff, {kv("why", error.what())});
        }
    }
    if (settings.plans) begin_plans(*settings.plans);
    listener_ = std::make_unique<Listener>(intake_, door_, ClientRoom{config_.sockets, config_.memory_mb},
                                           counters_, reactor_, socket, share_of(config_, kClientShare),
                                           [this] { return listed(); });
    if (!config_.admin.empty()) {
        Poco::Net::ServerSocket admin;
        admin.bind(Poco::Net::SocketAddress(config_.admin), true, false);
        admin.listen(kAdminBacklog);
        operations::Operations& self = *this;
        admin_ = std::make_unique<TalkServer>(reactor_, admin,
                                              TalkServer::Limits{kAdminConnections, kAdminPatience, false},
                                              [&self] { return std::make_unique<operations::Call>(self); });
    }
    if (!inherited.empty()) take_over(inherited);
    if (place.empty()) return;
    try {
        heir_ = std::make_unique<handover::Heir>(
            reactor_, place, [this] { release(); }, [this] { return hand_over(); }, [this] { resume(); });
    } catch (const std::exception& error) {
        log(LogLevel::Info, Event::HandoverNone, {kv("why", error.what())});
    }
}

// ---- a new process of the same gateway ----

void Service::take_over(const std::string& text) {
    try {
        const handover::Handover h = handover::read(text);
        hosts_.restore(h.out);
        if (h.draining) listener_->drain(true);
        if (!engine_.take_over(h.module)) return;    // which was logged
        log(LogLevel::Info, Event::TakenOver, {kv("bytes", text.size()), kv("out", h.out.size())});
    } catch (const std::invalid_argument& error) {
        log(LogLevel::Warning, Event::HandoverUnread, {kv("why", error.what())});
    }
}

// The successor listens by now: what waits here is taken, and all that come later are its clients.
void Service::release() {
    listener_->end_accepting();
    begin_stop();
}

// The successor is gone, and nothing was handed over: this process is the gateway again.
void Service::resume() {
    if (told_to_stop_) return;
    try {
        listener_->begin_anew(Listener::listen(config_.listen));
        stopping_since_ = TimePoint{};
        log(LogLevel::Warning, Event::HandoverNone, {kv("why", "the successor ended before it took over")});
    } catch (const Poco::Exception& error) {
        // It ends in order then, as it would have.
        log(LogLevel::Error, Event::HandoverNone, {kv("why", error.displayText())});
    }
}

// Whatever two processes must not both hold is given up here: shares, the peers' address, the operators'
// path.
std::string Service::hand_over() {
    handover::Handover h;
    h.draining = listener_->draining();
    h.out = hosts_.out();
    reactor_.cancel(changes_timer_);
    shared_counter_.reset();
    control_.reset();
    peers_->close();
    h.module = engine_.hand_over();
    std::string text = handover::write(h);
    log(LogLevel::Info, Event::HandedOver, {kv("bytes", text.size())});
    return text;
}

Service::~Service() { reactor_.cancel(changes_timer_); }

// A gateway that was away may hold an old plan book: it waits a moment for the board, and then serves by what
// it has.
bool Service::listed() const {
    return listed_ && (!spread_ || spread_->current() || clock_.now() - started_ >= kBookWait);
}

// ---- what operators ask over the second address ----

bool Service::ready() const { return listed() && stopping_since_ == TimePoint{} && !listener_->draining(); }

std::string Service::figures() const {
    return operations::figures(counters_, {engine_.in_progress() + counters_.flows_open, hosts_.listed(),
                                           engine_.avoided() + hosts_.taken_out()});
}

bool Service::take_out(const std::string& server) {
    if (!tell(hosts_.take_out(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerTakenOut, {kv("server", server)});
    return true;
}

bool Service::bring_back(const std::string& server) {
    if (!tell(hosts_.bring_back(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerBroughtBack, {kv("server", server)});
    return true;
}

bool Service::tell(std::optional<decision::HostList>&& change) {
    if (!change) return false;
    if (!change->hosts.empty()) engine_.list_heard(std::move(*change));
    return true;
}

void Service::drain(bool wanted) {
    if (wanted == listener_->draining()) return;
    listener_->drain(wanted);
    log(LogLevel::Info, wanted ? Event::DrainBegun : Event::DrainEnded);
}

// ---- plans that change in service ----

void Service::begin_plans(const settings::PlansSettings& s) {
    plans::BookSettings b;
    b.platform = config_.settings.plans;
    b.book_wins = s.book_wins;
    b.lead = s.lead;
    b.most_carved = s.most_carved;
    plans::Book book(b);
    book_file_ = std::make_unique<BookFile>(s.book, book, !s.refuse_damage);
    const BookFile::Loaded& loaded = book_file_->loaded();
    if (loaded.torn) log(LogLevel::Warning, Event::BookTorn, {kv("book", s.book)});
    if (!loaded.damage.empty())
        log(LogLevel::Error, Event::BookDamaged,
            {kv("book", s.book), kv("version", loaded.changes), kv("why", loaded.damage)});
    log(LogLevel::Info, Event::BookRead, {kv("book", s.book), kv("version", loaded.changes)});
    tallies_ = std::make_unique<usage_log::Tallies>(fmt::format("{}.redeemed", s.book));
    std::map<std::uint64_t, double> redeemed;
    for (const auto& [version, units] : tallies_->read()) {
        const plans::Reservation* r = book.reservation(book.reservation_name(version));
        if (r == nullptr || r->end <= clock_.now()) tallies_->drop(version);
        else redeemed[version] = static_cast<double>(units) / usage_log::kMillionths;
    }
    desk_ = std::make_unique<plans::Desk>(std::move(book), *ledger_, clock_.now(), std::move(redeemed));
    engine_.rule_by(*desk_);
    desk_->on_redeemed([this](std::uint64_t version, double units) {
        if (!tallies_->put(version, usage_log::millionths(units)) && gate_.open())
            log(LogLevel::Warning, Event::PlansRedeemedFull);
    });
    if (shared_counter_) {
        spread_ = std::make_unique<plans::Spread>(config_.settings.me, config_.settings.gateways, s.keeper,
                                                  desk_->book(),
                                                  [this](const plans::Change& c) { make_change(c); });
        shared_counter_->carry(*spread_);
    }
    if (!s.control.empty()) {
        control_socket::Office office(*desk_, s.keeper, [this](const plans::Change& c) { make_change(c); });
        control_ =
            std::make_unique<control_socket::Server>(std::move(office), reactor_, s.control, s.control_mode);
    }
    keeper_ = s.keeper;
    make_wanted(s);
    changes_due();
}

// What the operator's file says, it says at each start and reload; what it leaves out is as the book has it.
std::size_t Service::make_wanted(const settings::PlansSettings& s) {
    if (!keeper_) return 0;
    std::vector<plans::Body> wanted;
    for (const settings::PlanFigures& p : s.plans)
        wanted.push_back(plans::Define{
            p.plan, p.like, {p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack}});
    for (const auto& [customer, plan] : s.customers)
        wanted.push_back(plans::Assign{plans::read_customer(customer).value(), plan});
    std::size_t made = 0;
    for (const plans::Body& body : wanted) {
        if (desk_->book().says(body)) continue;
        plans::Proposal p;
        p.body = body;
        p.against = desk_->book().version_of(plans::subject_of(body));
        p.author = "the operator's file";
        const auto outcome = desk_->book().propose(p, clock_.now());
        if (const auto* no = std::get_if<plans::Refusal>(&outcome)) {
            log(LogLevel::Error, Event::PlansRefused,
                {kv("subject", plans::subject_of(body)), kv("why", no->text)});
            continue;
        }
        make_change(std::get<plans::Change>(outcome));
        ++made;
    }
    return made;
}

std::size_t Service::reload(const settings::OperatorSettings& changed) {
    return desk_ && changed.plans ? make_wanted(*changed.plans) : 0;
}

// An entry of the book, made here or heard of: kept first, then it counts.
void Service::make_change(const plans::Change& change) {
    plans::Book::check_next(desk_->book(), change);
    book_file_->append(change);
    desk_->take(change, clock_.now());
    log(LogLevel::Info, Event::PlansChanged,
        {kv("version", change.version), kv("subject", plans::subject_of(change.body)),
         kv("author", change.author), kv("from", plans::time_text(change.at))});
    changes_due();
}

// Acts on what takes effect by now, and comes again when more does.
void Service::changes_due() {
    reactor_.cancel(changes_timer_);
    engine_.allowances_due();
    const TimePoint now = clock_.now();
    TimePoint due = now + kLongestLook;
    if (const auto next = desk_->next()) due = std::min(due, *next);
    if (const auto next = ledger_->next()) due = std::min(due, std::max(*next, now + kLeastLook));
    changes_timer_ = reactor_.at(std::max(due, now), [this] { changes_due(); });
}

UseLog::UseLog(const settings::UsageSettings& s, int gateway, TimePoint now)
    : recorder_({s.journal, static_cast<std::uint32_t>(gateway),
                 static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count())),
                 s.segment_rows, s.most_segments}) {}

void UseLog::admitted(const Admission& a) {
    usage_log::Use use;
    use.at = a.at;
    use.customer = a.customer;
    use.units = usage_log::millionths(a.units);
    use.plan_version = static_cast<std::uint32_t>(a.plan_version);
    use.plan = static_cast<std::uint16_t>(a.plan_index);
    use.class_index = static_cast<std::uint16_t>(a.class_index);
    use.reservation = a.reservation;
    if (!recorder_.append(use) && gate_.open())
        log(LogLevel::Error, Event::UsageNotRecorded, {kv("why", recorder_.trouble())});
}

void Service::run(std::function<void()> look) {
    reactor_.before_turn([this, look = std::move(look)](bool sockets) {
        // Discovery may be among them, and then comes before all others. A turn without sockets has nothing
        // of it.
        if (sockets) watch_->read_now();
        look();
        look_after_stop();
    });
    watch_->start();
    if (shared_counter_) shared_counter_->start();
    reactor_.reckon_timeout();
    reactor_.run();
}

void Service::stop() {
    told_to_stop_ = true;
    begin_stop();
}

void Service::begin_stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    listener_->begin_stop();
}

bool Service::reload(const Config& changed) {
    check_whole(changed, config_);
    const bool terms = take_terms(changed);
    config_.fields = changed.fields;
    if (changed.discovery == config_.discovery) return terms;
    log(LogLevel::Info, Event::DiscoveryMoved, {kv("from", config_.discovery), kv("to", changed.discovery)});
    config_.discovery = changed.discovery;
    watch_->move_to(changed.discovery);
    ++counters_.reloads;
    return true;
}

// Requests under way keep their class, whatever the file says of it now.
bool Service::take_terms(const Config& changed) {
    decision::Settings& now = config_.settings;
    const decision::Settings& next = changed.settings;
    decision::RequestLimits& limits = now;
    if (now.classes == next.classes && limits == next && config_.streams == changed.streams) return false;
    config_.class_index = engine_.adopt(next);
    config_.streams = changed.streams;
    now.classes = next.classes;
    limits = next;
    std::string names;
    for (const decision::ClassSettings& c : now.classes) names += (names.empty() ? "" : ",") + c.name;
    log(LogLevel::Info, Event::TermsChanged, {kv("classes", names), kv("attempts", now.send_cap)});
    return true;
}

std::string Service::counters_text() const {
    std::string out = counters_.text();
    if (use_log_) {
        const usage_log::WriterStats& u = use_log_->stats();
        out += fmt::format("use: recorded={} unrecorded={} segments={}\n", u.rows, u.unrecorded, u.segments);
    }
    if (desk_) {
        const plans::DeskStats d = desk_->stats(clock_.now());
        out += fmt::format(
            "plans: version={} changes={} late={} latest_us={} behind_us={} reservations_open={} redeemed={} "
            "not_redeemed={} asked={}\n",
            desk_->book().version(), d.changes, d.late, d.latest.count(), d.behind.count(), d.open,
            d.redeemed, d.not_redeemed, control_ ? control_->asked() : 0);
    }
    if (spread_) {
        const plans::SpreadStats p = spread_->stats();
        out += fmt::format("spread: put={} heard={} foreign={} bad_values={} behind={}\n", p.put, p.heard,
                           p.foreign, p.bad_values, p.behind);
    }
    if (!shared_counter_) return out;
    const shared_counter::CounterStats& c = shared_counter_->stats();
    const limits::LedgerStats l = ledger_->stats(clock_.now());
    out += fmt::format(
        "counter: up={} of={} calls={} rows_written={} rows_read={} late={} errors={} bad_values={} "
        "connects={} "
        "lost={} replaced={}\n",
        c.up, c.stores, c.calls, c.rows_written, c.rows_read, c.late, c.errors, c.bad_values, c.connects,
        c.lost, c.replaced);
    out += fmt::format(
        "ledger: customers={} live={} alone={} untracked={} rows_heard={} rows_ignored={} leases_ended={} "
        "reclaimed={} acknowledged={} lives_seen={} news={}\n",
        l.customers, l.live, l.alone, l.untracked, l.rows_heard, l.rows_ignored, l.leases_ended, l.reclaimed,
        l.acknowledged, l.lives_seen, l.news_heard);
    return out;
}

void Service::look_after_stop() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration stopping = clock_.now() - stopping_since_;
    if (stopping >= kAcceptOn) listener_->end_accepting();
    const Duration longest = std::min(config_.longest_deadline(), kLongestGrace) + kAcceptOn - kEndBefore;
    if (stopping >= longest) engine_.give_up_all();
    if ((stopping >= kAcceptOn && listener_->clients() == 0) || stopping >= longest) reactor_.stop();
}

}    // namespace shaletray
