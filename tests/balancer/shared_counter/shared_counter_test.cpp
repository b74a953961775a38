// The shared counter's client: RESP, sessions without sockets, and quota state tables that exchange rows over
// sockets with stand-in stores, which inject faults.
#include <gtest/gtest.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "balancer/shared_counter/shared_counter_client.h"
#include "balancer/shared_counter/store_exchange.h"
#include "stand_ins/counter.h"

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;
using testbed::StandInCounter;

constexpr CustomerId kCustomer{7};

limits::QuotaTableSettings table_settings(int gateway_index) {
    limits::QuotaTableSettings s;
    s.own_index = gateway_index;
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

TEST(Resp, SerializesCommandsAndParsesRepliesInChunksOfAnySize) {
    EXPECT_EQ(serialize_command({"HSET", "k", "a b"}), "*3\r\n$4\r\nHSET\r\n$1\r\nk\r\n$3\r\na b\r\n");
    const std::string all = "+OK\r\n:17\r\n$-1\r\n-ERR no\r\n*2\r\n$3\r\na\r\n\r\n*0\r\n";
    for (std::size_t piece = 1; piece <= all.size(); ++piece) {
        RespReader replies;
        std::vector<RespReply> parsed;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            replies.feed(std::string_view(all).substr(at, piece));
            while (const auto r = replies.next_reply()) parsed.push_back(*r);
        }
        ASSERT_EQ(parsed.size(), 5u);
        EXPECT_EQ(parsed[1].integer, 17);
        EXPECT_EQ(parsed[3].kind, RespReply::Kind::Error);
        EXPECT_EQ(parsed[4].items.at(0).text, "a\r\n");
    }
}

TEST(Resp, RejectsBytesThatAreNotResp) {
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

// A session without a socket: tests pass the received bytes.
struct SessionFixture {
    limits::QuotaStateTable quota_table{table_settings(0), TimePoint{} + 10s};
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
    void finish_handshake() { session.on_received("$15\r\nrun_id:abc\r\nx\r\n\r\n", now); }
};

TEST(Session, WritesAndReadsRowsInTwoCallsAfterTheHandshake) {
    SessionFixture fixture("secret");
    EXPECT_EQ(fixture.session.take_output(),
              serialize_command({"AUTH", "secret"}) + serialize_command({"INFO", "server"}));
    fixture.session.on_received("+OK\r\n", fixture.now);
    EXPECT_FALSE(fixture.session.is_up());
    fixture.finish_handshake();
    EXPECT_TRUE(fixture.session.is_up());
    fixture.quota_table.on_request(kCustomer, 0, 0, 3, 1.0, fixture.now);
    fixture.session.exchange_rows(fixture.quota_table.rows_due(fixture.now, 10),
                                  fixture.quota_table.rows_to_read(fixture.now, 10), fixture.now);
    const std::string out = fixture.session.take_output();
    EXPECT_EQ(out.find("*6\r\n$4\r\nHSET\r\n"), 0u);    // the announcement and the row in one call
    EXPECT_NE(out.find("$5\r\nHMGET\r\n"), std::string::npos);
    EXPECT_EQ(fixture.statistics.calls, 5u);    // AUTH, INFO, HSET, PEXPIRE once per epoch, HMGET
}

TEST(Session, ClosesTheConnectionOnErrorsAndUnexpectedReplies) {
    for (const char* answer :
         {"-LOADING Redis is loading the dataset in memory\r\n", "-OOM command not allowed\r\n",
          "-MOVED 3999 127.0.0.1:1\r\n", "-READONLY You can't write\r\n", "+OK\r\n", "$2\r\n17\r\n"}) {
        SessionFixture fixture;
        fixture.finish_handshake();
        fixture.session.exchange_rows({}, {}, fixture.now);
        fixture.session.on_received(answer, fixture.now);
        ASSERT_TRUE(fixture.session.close_reason()) << answer;
        fixture.session.on_disconnected(fixture.now);
        EXPECT_FALSE(fixture.session.wants_connection(fixture.now));
        EXPECT_TRUE(fixture.session.wants_connection(fixture.now + 1s));
    }
    SessionFixture fixture("wrong");
    fixture.session.on_received("-WRONGPASS invalid\r\n", fixture.now);
    ASSERT_TRUE(fixture.session.close_reason());
    fixture.session.on_disconnected(fixture.now);
    EXPECT_FALSE(
        fixture.session.wants_connection(fixture.now + 2s));    // an operator has to correct the password
    SessionFixture unexpected;
    unexpected.finish_handshake();
    unexpected.session.on_received("+OK\r\n", unexpected.now);
    EXPECT_TRUE(unexpected.session.close_reason());
}

TEST(Session, ToleratesASlowStoreAndClosesASilentOne) {
    SessionFixture fixture;
    fixture.finish_handshake();
    fixture.session.exchange_rows({}, {}, fixture.now);
    fixture.now += 2s;
    fixture.session.tick(fixture.now);
    EXPECT_FALSE(fixture.session.close_reason());
    EXPECT_FALSE(fixture.session.is_responsive(fixture.now));
    EXPECT_EQ(fixture.statistics.late_answers, 3u);    // HSET, PEXPIRE, HMGET
    fixture.session.on_received(":1\r\n:1\r\n*3\r\n$-1\r\n$-1\r\n$-1\r\n",
                                fixture.now);    // late replies are processed like others
    EXPECT_TRUE(fixture.session.is_responsive(fixture.now));
    for (int i = 0; i < 20 && fixture.session.has_call_capacity(); ++i)
        fixture.session.exchange_rows({}, {}, fixture.now);
    EXPECT_FALSE(fixture.session.has_call_capacity());
    fixture.now += 4s;
    fixture.session.tick(fixture.now);
    EXPECT_TRUE(fixture.session.close_reason());
}

// Three quota state tables on one reactor, each with its own client, connected to stand-in stores.
class GatewayGroup {
public:
    explicit GatewayGroup(std::vector<std::vector<std::string>> reachable_stores,
                          const std::string& password = {}) {
        Counters& counters = counters_;
        for (int i = 0; i < 3; ++i) {
            limits::QuotaTableSettings s = table_settings(i);
            s.incarnation = static_cast<std::uint64_t>(clock_.now().time_since_epoch().count());
            quota_tables_.push_back(std::make_unique<limits::QuotaStateTable>(s, clock_.now()));
            decision::Settings module;
            module.classes.resize(1);
            module.gateways = 3;
            module.plans = s.plans;
            engines_.push_back(std::make_unique<Engine>(module, 1, clock_, timers_, counters));
            engines_.back()->set_quota_state_table(*quota_tables_.back());
            StoreExchangeSettings e;
            for (const std::string& address : reachable_stores[static_cast<std::size_t>(i)]) {
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
            if (clock_.now() - last_request_at_ > 20ms) send_requests(1);
            max_share_sum_ = std::max(max_share_sum_, sum());
            const std::lock_guard lock(mutex_);
            if (!condition_ || !condition_()) return;
            condition_ = nullptr;
            is_done_.notify_all();
        });
        thread_ = std::thread([this] { reactor_.run(); });
    }
    ~GatewayGroup() {
        reactor_.stop();
        reactor_.wakeUp();
        thread_.join();
    }
    // Waits until `condition`, which is evaluated on the reactor's thread, holds; false after ten seconds.
    // Gateway 1 keeps receiving requests meanwhile.
    bool wait_until(std::function<bool()> condition) {
        std::unique_lock lock(mutex_);
        condition_ = std::move(condition);
        const bool satisfied = is_done_.wait_for(lock, 10s, [&] { return !condition_; });
        condition_ = nullptr;
        return satisfied;
    }
    template <class F>
    auto read_on_reactor(F read_value) {
        decltype(read_value()) value{};
        wait_until([&] { return value = read_value(), true; });
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
    bool has_moved() { return rate_limit_share(1) > 0.7; }
    bool has_fallen_back() { return rate_limit_share(1) < 0.34; }
    SharedCounterStatistics statistics(int i) const {
        return clients_[static_cast<std::size_t>(i)]->statistics();
    }
    double max_share_sum() {
        return read_on_reactor([this] { return max_share_sum_; });
    }

private:
    void send_requests(int i) {
        quota_tables_[static_cast<std::size_t>(i)]->on_request(kCustomer, 0, 0, 3, 1.0, clock_.now());
        last_request_at_ = clock_.now();
    }

    SystemClock clock_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::vector<std::unique_ptr<limits::QuotaStateTable>> quota_tables_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<SharedCounterClient>> clients_;
    TimePoint last_request_at_{};
    double max_share_sum_ = 0.0;
    std::mutex mutex_;
    std::condition_variable is_done_;
    std::function<bool()> condition_;
    std::thread thread_;
};

std::vector<std::vector<std::string>> connect_all_to(const std::vector<std::string>& stores) {
    return {3, stores};
}

TEST(Client, ExchangesLeasesOverAStoreAndEndsThemWhenItFails) {
    auto store = std::make_unique<StandInCounter>(0, "secret");
    const int port = store->port();
    GatewayGroup group(connect_all_to({store->address()}), "secret");
    EXPECT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    store.reset();
    EXPECT_TRUE(group.wait_until([&] { return group.has_fallen_back(); }));
    store = std::make_unique<StandInCounter>(port, "secret");    // an empty store at the same address
    EXPECT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    EXPECT_LE(group.max_share_sum(), 1.0 + 1e-9);
}

class FaultyStore
    : public testing::TestWithParam<std::pair<std::vector<std::string>, std::vector<std::string>>> {};

TEST_P(FaultyStore, CountsAsUnavailableUntilItRecovers) {
    StandInCounter store;
    GatewayGroup group(connect_all_to({store.address()}));
    ASSERT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    ASSERT_EQ(store.fault(GetParam().first), "+OK\r\n");
    EXPECT_TRUE(group.wait_until([&] { return group.has_fallen_back(); }));
    ASSERT_EQ(store.fault(GetParam().second), "+OK\r\n");
    EXPECT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    EXPECT_LE(group.max_share_sum(), 1.0 + 1e-9);
}

using Words = std::vector<std::string>;
INSTANTIATE_TEST_SUITE_P(
    Faults, FaultyStore,
    testing::Values(std::pair{Words{"SILENT", "1"}, Words{"SILENT", "0"}},
                    std::pair{Words{"BABBLE", "1"}, Words{"BABBLE", "0"}},
                    std::pair{Words{"SPOIL", "1"}, Words{"SPOIL", "0"}},
                    std::pair{Words{"SLOW", "4000"}, Words{"SLOW", "0"}},
                    std::pair{Words{"PAUSE", "3000"}, Words{"KEEP"}},
                    std::pair{Words{"ERROR", "LOADING Redis is loading"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "READONLY replica"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "MOVED 1 127.0.0.1:1"}, Words{"ERROR", "-"}},
                    std::pair{Words{"ERROR", "OOM command"}, Words{"ERROR", "-"}}));

TEST(Client, GrantsNothingTwiceWhenTheStoreRollsBackOrIsReplaced) {
    StandInCounter store;
    GatewayGroup group(connect_all_to({store.address()}));
    ASSERT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    store.fault({"KEEP"});
    for (const Words& fault : {Words{"FALLBACK"}, Words{"WIPE"}, Words{"CLOCK", "100000"}, Words{"FALLBACK"},
                               Words{"CLOCK", "-200000"}, Words{"DROP"}}) {
        ASSERT_EQ(store.fault(fault), "+OK\r\n");
        const auto calls = group.read_on_reactor([&] { return group.statistics(1).calls; });
        EXPECT_TRUE(group.wait_until([&] { return group.statistics(1).calls > calls + 10; }));
        EXPECT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    }
    EXPECT_LE(group.max_share_sum(), 1.0 + 1e-9);
}

TEST(Client, FailsOverToAPromotedReplicaAndBack) {
    StandInCounter primary, replica;
    ASSERT_EQ(primary.fault({"REPLICA", replica.address()}), "+OK\r\n");
    GatewayGroup group(connect_all_to({primary.address(), replica.address()}));
    ASSERT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    primary.fault({"SPLIT"});
    replica.fault({"PROMOTE"});    // both accept writes now
    primary.fault({"SILENT", "1"});
    EXPECT_TRUE(group.wait_until(
        [&] { return group.statistics(1).stores_up == 1 && group.statistics(0).stores_up == 1; }));
    EXPECT_TRUE(group.wait_until([&] { return group.has_moved(); }));
    primary.fault({"SILENT", "0"});
    EXPECT_TRUE(group.wait_until([&] { return group.statistics(1).stores_up == 2 && group.has_moved(); }));
    EXPECT_LE(group.max_share_sum(), 1.0 + 1e-9);
}

TEST(Client, KeepsOwnSharesWhenGatewaysUseDifferentStores) {
    StandInCounter left, right;
    GatewayGroup group({{left.address()}, {right.address()}, {left.address()}});
    const auto calls = group.read_on_reactor([&] { return group.statistics(1).calls; });
    EXPECT_TRUE(group.wait_until([&] { return group.statistics(1).calls > calls + 40; }));
    EXPECT_LT(group.read_on_reactor([&] { return group.rate_limit_share(1); }), 0.34);
    EXPECT_LE(group.max_share_sum(), 1.0 + 1e-9);
}

TEST(Client, ToleratesAWrongPasswordAndAnUnreachableStore) {
    StandInCounter store(0, "right");
    GatewayGroup group({{store.address(), "127.0.0.1:1"}, {"127.0.0.1:1"}, {store.address()}}, "wrong");
    EXPECT_TRUE(group.wait_until(
        [&] { return group.statistics(0).error_answers > 0 && group.statistics(1).connections_lost > 2; }));
    EXPECT_EQ(group.read_on_reactor([&] { return group.statistics(0).stores_up; }), 0);
}

}    // namespace
}    // namespace shaletray::shared_counter
