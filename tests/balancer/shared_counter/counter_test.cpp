// The counter's client: RESP, sessions fed by hand, and ledgers that meet over real sockets and stand-in
// stores which fail in each of their ways.
#include "stand_ins/counter.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "balancer/shared_counter/shared_counter_client.h"
#include "balancer/shared_counter/store_exchange.h"

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;
using testbed::StandInCounter;

constexpr CustomerId kCustomer{7};

limits::QuotaTableSettings ledger_settings(int me) {
    limits::QuotaTableSettings s;
    s.own_index = me;
    s.gateway_count = 3;
    s.plans.resize(1);
    s.plans[0] = {"empresa", 4.0, 20.0, 0, 8.0, 40.0, 4.0, 1.0, 0.0, 0.0};
    s.max_request_units = 4.0;
    s.incarnation = 1;
    s.lease_duration = 1500ms;
    s.isolation_timeout = 400ms;
    s.demand_window = 500ms;
    return s;
}

TEST(Resp, WritesCommandsAndReadsAnswersInAnyPieces) {
    EXPECT_EQ(serialize_command({"HSET", "k", "a b"}), "*3\r\n$4\r\nHSET\r\n$1\r\nk\r\n$3\r\na b\r\n");
    const std::string all = "+OK\r\n:17\r\n$-1\r\n-ERR no\r\n*2\r\n$3\r\na\r\n\r\n*0\r\n";
    for (std::size_t piece = 1; piece <= all.size(); ++piece) {
        RespReader replies;
        std::vector<RespReply> got;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            replies.feed(std::string_view(all).substr(at, piece));
            while (const auto r = replies.next_reply()) got.push_back(*r);
        }
        ASSERT_EQ(got.size(), 5u);
        EXPECT_EQ(got[1].integer, 17);
        EXPECT_EQ(got[3].kind, RespReply::Kind::Error);
        EXPECT_EQ(got[4].items.at(0).text, "a\r\n");
    }
}

TEST(Resp, RefusesWhatIsNone) {
    for (const char* bad :
         {"HTTP/1.1 400 Bad Request\r\n\r\n", "\r\n", "*99999999999\r\n", ":x\r\n", "$-5\r\n"}) {
        RespReader replies;
        EXPECT_THROW(
            {
                replies.feed(bad);
                replies.next_reply();
            },
            RespProtocolError)
            << bad;
    }
}

// One session fed by hand.
struct SessionFixture {
    limits::QuotaStateTable quota_table{ledger_settings(0), TimePoint{} + 10s};
    SharedCounterStatistics statistics;
    StoreSession session;
    TimePoint now = TimePoint{} + 10s;
    explicit SessionFixture(const std::string& password = {})
        : session(settings(password), quota_table, statistics, 1) {
        session.on_dialling(now);
        session.on_connected(now);
    }
    static StoreSessionSettings settings(const std::string& password) {
        StoreSessionSettings s;
        s.password = password;
        s.key_prefix = "t";
        s.gateway_count = 3;
        return s;
    }
    void up() { session.on_received("$15\r\nrun_id:abc\r\nx\r\n\r\n", now); }
};

TEST(Session, GreetsThenWritesAndReadsInTwoCalls) {
    SessionFixture h("secret");
    EXPECT_EQ(h.session.take_output(),
              serialize_command({"AUTH", "secret"}) + serialize_command({"INFO", "server"}));
    h.session.on_received("+OK\r\n", h.now);
    EXPECT_FALSE(h.session.is_up());
    h.up();
    EXPECT_TRUE(h.session.is_up());
    h.quota_table.on_request(kCustomer, 0, 0, 3, 1.0, h.now);
    h.session.exchange_rows(h.quota_table.rows_due(h.now, 10), h.quota_table.rows_to_read(h.now, 10), h.now);
    const std::string out = h.session.take_output();
    EXPECT_EQ(out.find("*6\r\n$4\r\nHSET\r\n"), 0u);    // the news and the row in one call
    EXPECT_NE(out.find("$5\r\nHMGET\r\n"), std::string::npos);
    EXPECT_EQ(h.statistics.calls, 5u);    // AUTH, INFO, HSET, its expiry once, HMGET
}

TEST(Session, EndsTheConnectionAtErrorsAndNonsense) {
    for (const char* answer :
         {"-LOADING Redis is loading the dataset in memory\r\n", "-OOM command not allowed\r\n",
          "-MOVED 3999 127.0.0.1:1\r\n", "-READONLY You can't write\r\n", "+OK\r\n", "$2\r\n17\r\n"}) {
        SessionFixture h;
        h.up();
        h.session.exchange_rows({}, {}, h.now);
        h.session.on_received(answer, h.now);
        ASSERT_TRUE(h.session.close_reason()) << answer;
        h.session.on_disconnected(h.now);
        EXPECT_FALSE(h.session.wants_connection(h.now));
        EXPECT_TRUE(h.session.wants_connection(h.now + 1s));
    }
    SessionFixture h("wrong");
    h.session.on_received("-WRONGPASS invalid\r\n", h.now);
    ASSERT_TRUE(h.session.close_reason());
    h.session.on_disconnected(h.now);
    EXPECT_FALSE(h.session.wants_connection(h.now + 2s));    // an operator has to mend that
    SessionFixture unasked;
    unasked.up();
    unasked.session.on_received("+OK\r\n", unasked.now);
    EXPECT_TRUE(unasked.session.close_reason());
}

TEST(Session, IsPatientWithASlowStoreAndGivesUpASilentOne) {
    SessionFixture h;
    h.up();
    h.session.exchange_rows({}, {}, h.now);
    h.now += 2s;
    h.session.tick(h.now);
    EXPECT_FALSE(h.session.close_reason());
    EXPECT_FALSE(h.session.is_responsive(h.now));
    EXPECT_EQ(h.statistics.late_answers, 3u);    // the news, the expiry, the read
    h.session.on_received(":1\r\n:1\r\n*3\r\n$-1\r\n$-1\r\n$-1\r\n",
                          h.now);    // late answers are as good as any
    EXPECT_TRUE(h.session.is_responsive(h.now));
    for (int i = 0; i < 20 && h.session.has_call_capacity(); ++i) h.session.exchange_rows({}, {}, h.now);
    EXPECT_FALSE(h.session.has_call_capacity());
    h.now += 4s;
    h.session.tick(h.now);
    EXPECT_TRUE(h.session.close_reason());
}

// Three ledgers on one reactor, each with its own client, against stand-in stores.
class GatewaySet {
public:
    explicit GatewaySet(std::vector<std::vector<std::string>> reach, const std::string& password = {}) {
        Counters& counters = counters_;
        for (int i = 0; i < 3; ++i) {
            limits::QuotaTableSettings s = ledger_settings(i);
            s.incarnation = static_cast<std::uint64_t>(clock_.now().time_since_epoch().count());
            quota_tables_.push_back(std::make_unique<limits::QuotaStateTable>(s, clock_.now()));
            decision::Settings module;
            module.classes.resize(1);
            module.gateways = 3;
            module.plans = s.plans;
            engines_.push_back(std::make_unique<Engine>(module, 1, clock_, timers_, counters));
            engines_.back()->set_quota_state_table(*quota_tables_.back());
            StoreExchangeSettings e;
            for (const std::string& address : reach[static_cast<std::size_t>(i)]) {
                StoreSessionSettings one = SessionFixture::settings(password);
                one.address = address;
                one.own_index = i;
                one.timeout = 100ms;
                e.stores.push_back(one);
            }
            e.interval = 50ms;
            e.standby_interval = 250ms;
            e.random_seed = static_cast<std::uint64_t>(i);
            clients_.push_back(
                std::make_unique<SharedCounterClient>(e, *quota_tables_.back(), *engines_.back(), reactor_));
            clients_.back()->start();
        }
        send_requests(0);
        reactor_.set_pre_poll_task([this](bool) {
            if (clock_.now() - asked_ > 20ms) send_requests(1);
            worst_ = std::max(worst_, sum());
            const std::lock_guard lock(mutex_);
            if (!wanted_ || !wanted_()) return;
            wanted_ = nullptr;
            is_done_.notify_all();
        });
        thread_ = std::thread([this] { reactor_.run(); });
    }
    ~GatewaySet() {
        reactor_.stop();
        reactor_.wakeUp();
        thread_.join();
    }
    // Requests come through gateway 1 only. Waits until `wanted` holds, which is looked at on the reactor's
    // thread; false where it does not within ten seconds.
    bool until(std::function<bool()> wanted) {
        std::unique_lock lock(mutex_);
        wanted_ = std::move(wanted);
        const bool held = is_done_.wait_for(lock, 10s, [&] { return !wanted_; });
        wanted_ = nullptr;
        return held;
    }
    template <class F>
    auto read_share(F of) {
        decltype(of()) value{};
        until([&] { return value = of(), true; });
        return value;
    }
    double rate_limit_share(int i) {
        return quota_tables_[static_cast<std::size_t>(i)]->rate_limit_share(kCustomer, clock_.now());
    }
    double sum() {
        double all = 0.0;
        for (int i = 0; i < 3; ++i) {
            std::vector<limits::Allowance> changed;
            quota_tables_[static_cast<std::size_t>(i)]->tick(clock_.now(), changed);
            all += rate_limit_share(i);
        }
        return all;
    }
    bool moved() { return rate_limit_share(1) > 0.7; }
    bool fallen_back() { return rate_limit_share(1) < 0.34; }
    SharedCounterStatistics statistics(int i) const {
        return clients_[static_cast<std::size_t>(i)]->statistics();
    }
    double worst() {
        return read_share([this] { return worst_; });
    }

private:
    void send_requests(int i) {
        quota_tables_[static_cast<std::size_t>(i)]->on_request(kCustomer, 0, 0, 3, 1.0, clock_.now());
        asked_ = clock_.now();
    }

    SystemClock clock_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::vector<std::unique_ptr<limits::QuotaStateTable>> quota_tables_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<SharedCounterClient>> clients_;
    TimePoint asked_{};
    double worst_ = 0.0;
    std::mutex mutex_;
    std::condition_variable is_done_;
    std::function<bool()> wanted_;
    std::thread thread_;
};

std::vector<std::vector<std::string>> read_all_replies(const std::vector<std::string>& stores) {
    return {3, stores};
}

TEST(Client, LeasesTravelOverAStoreAndEndWhereItDies) {
    auto store = std::make_unique<StandInCounter>(0, "secret");
    const int port = store->port();
    GatewaySet fleet(read_all_replies({store->address()}), "secret");
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    store.reset();
    EXPECT_TRUE(fleet.until([&] { return fleet.fallen_back(); }));
    store = std::make_unique<StandInCounter>(port, "secret");    // replaced by an empty one
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

class FaultyStore
    : public testing::TestWithParam<std::pair<std::vector<std::string>, std::vector<std::string>>> {};

TEST_P(FaultyStore, IsALostCounterUntilItIsWellAgain) {
    StandInCounter store;
    GatewaySet fleet(read_all_replies({store.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    ASSERT_EQ(store.fault(GetParam().first), "+OK\r\n");
    EXPECT_TRUE(fleet.until([&] { return fleet.fallen_back(); }));
    ASSERT_EQ(store.fault(GetParam().second), "+OK\r\n");
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

using Words = std::vector<std::string>;
INSTANTIATE_TEST_SUITE_P(
    Ways, FaultyStore,
    testing::Values(std::pair{Words{"SILENT", "1"}, Words{"SILENT", "0"}},
                    std::pair{Words{"BABBLE", "1"}, Words{"BABBLE", "0"}},
                    std::pair{Words{"SPOIL", "1"}, Words{"SPOIL", "0"}},
                    std::pair{Words{"SLOW", "4000"}, Words{"SLOW", "0"}},
                    std::pair{Words{"PAUSE", "3000"}, Words{"KEEP"}},
                    std::pair{Words{"ERROR", "LOADING Redis is loading"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "READONLY replica"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "MOVED 1 127.0.0.1:1"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "OOM command"}, Words{"ERROR", "-"}}));

TEST(Client, GrantsNothingTwiceWhereTheStoreFallsBackOrIsReplaced) {
    StandInCounter store;
    GatewaySet fleet(read_all_replies({store.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    store.fault({"KEEP"});
    for (const Words& fault : {Words{"FALLBACK"}, Words{"WIPE"}, Words{"CLOCK", "100000"}, Words{"FALLBACK"},
                               Words{"CLOCK", "-200000"}, Words{"DROP"}}) {
        ASSERT_EQ(store.fault(fault), "+OK\r\n");
        const auto calls = fleet.read_share([&] { return fleet.statistics(1).calls; });
        EXPECT_TRUE(fleet.until([&] { return fleet.statistics(1).calls > calls + 10; }));
        EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    }
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, GoesOverToAReplicaThatWasPromotedAndBack) {
    StandInCounter primary, replica;
    ASSERT_EQ(primary.fault({"REPLICA", replica.address()}), "+OK\r\n");
    GatewaySet fleet(read_all_replies({primary.address(), replica.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    primary.fault({"SPLIT"});
    replica.fault({"PROMOTE"});    // both take writes now
    primary.fault({"SILENT", "1"});
    EXPECT_TRUE(fleet.until(
        [&] { return fleet.statistics(1).stores_up == 1 && fleet.statistics(0).stores_up == 1; }));
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    primary.fault({"SILENT", "0"});
    EXPECT_TRUE(fleet.until([&] { return fleet.statistics(1).stores_up == 2 && fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, TwoHalvesEachGoOnWithWhatTheyOwn) {
    StandInCounter left, right;
    GatewaySet fleet({{left.address()}, {right.address()}, {left.address()}});
    const auto calls = fleet.read_share([&] { return fleet.statistics(1).calls; });
    EXPECT_TRUE(fleet.until([&] { return fleet.statistics(1).calls > calls + 40; }));
    EXPECT_LT(fleet.read_share([&] { return fleet.rate_limit_share(1); }), 0.34);
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, SurvivesAWrongPasswordAndAStoreThatIsNotThere) {
    StandInCounter store(0, "right");
    GatewaySet fleet({{store.address(), "127.0.0.1:1"}, {"127.0.0.1:1"}, {store.address()}}, "wrong");
    EXPECT_TRUE(fleet.until(
        [&] { return fleet.statistics(0).error_answers > 0 && fleet.statistics(1).connections_lost > 2; }));
    EXPECT_EQ(fleet.read_share([&] { return fleet.statistics(0).stores_up; }), 0);
}

}    // namespace
}    // namespace shaletray::shared_counter
