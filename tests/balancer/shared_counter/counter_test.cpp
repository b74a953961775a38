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

constexpr CustomerId kAnna{7};

limits::LedgerSettings ledger_settings(int me) {
    limits::LedgerSettings s;
    s.me = me;
    s.gateways = 3;
    s.plans.resize(1);
    s.plans[0] = {"empresa", 4.0, 20.0, 0, 8.0, 40.0, 4.0, 1.0, 0.0, 0.0};
    s.most_units = 4.0;
    s.incarnation = 1;
    s.lease = 1500ms;
    s.alone_after = 400ms;
    s.demand_window = 500ms;
    return s;
}

TEST(Resp, WritesCommandsAndReadsAnswersInAnyPieces) {
    EXPECT_EQ(write_command({"HSET", "k", "a b"}), "*3\r\n$4\r\nHSET\r\n$1\r\nk\r\n$3\r\na b\r\n");
    const std::string all = "+OK\r\n:17\r\n$-1\r\n-ERR no\r\n*2\r\n$3\r\na\r\n\r\n*0\r\n";
    for (std::size_t piece = 1; piece <= all.size(); ++piece) {
        Replies replies;
        std::vector<Reply> got;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            replies.feed(std::string_view(all).substr(at, piece));
            while (const auto r = replies.next()) got.push_back(*r);
        }
        ASSERT_EQ(got.size(), 5u);
        EXPECT_EQ(got[1].integer, 17);
        EXPECT_EQ(got[3].kind, Reply::Kind::Error);
        EXPECT_EQ(got[4].items.at(0).text, "a\r\n");
    }
}

TEST(Resp, RefusesWhatIsNone) {
    for (const char* bad :
         {"HTTP/1.1 400 Bad Request\r\n\r\n", "\r\n", "*99999999999\r\n", ":x\r\n", "$-5\r\n"}) {
        Replies replies;
        EXPECT_THROW(
            {
                replies.feed(bad);
                replies.next();
            },
            NotResp)
            << bad;
    }
}

// One session fed by hand.
struct Hand {
    limits::Ledger ledger{ledger_settings(0), TimePoint{} + 10s};
    CounterStats stats;
    Session session;
    TimePoint now = TimePoint{} + 10s;
    explicit Hand(const std::string& password = {}) : session(settings(password), ledger, stats, 1) {
        session.dialling(now);
        session.connected(now);
    }
    static SessionSettings settings(const std::string& password) {
        SessionSettings s;
        s.password = password;
        s.prefix = "t";
        s.gateways = 3;
        return s;
    }
    void up() { session.received("$15\r\nrun_id:abc\r\nx\r\n\r\n", now); }
};

TEST(Session, GreetsThenWritesAndReadsInTwoCalls) {
    Hand h("secret");
    EXPECT_EQ(h.session.take_output(), write_command({"AUTH", "secret"}) + write_command({"INFO", "server"}));
    h.session.received("+OK\r\n", h.now);
    EXPECT_FALSE(h.session.up());
    h.up();
    EXPECT_TRUE(h.session.up());
    h.ledger.asked(kAnna, 0, 0, 3, 1.0, h.now);
    h.session.exchange(h.ledger.rows_due(h.now, 10), h.ledger.rows_wanted(h.now, 10), h.now);
    const std::string out = h.session.take_output();
    EXPECT_EQ(out.find("*6\r\n$4\r\nHSET\r\n"), 0u);    // the news and the row in one call
    EXPECT_NE(out.find("$5\r\nHMGET\r\n"), std::string::npos);
    EXPECT_EQ(h.stats.calls, 5u);    // AUTH, INFO, HSET, its expiry once, HMGET
}

TEST(Session, EndsTheConnectionAtErrorsAndNonsense) {
    for (const char* answer :
         {"-LOADING Redis is loading the dataset in memory\r\n", "-OOM command not allowed\r\n",
          "-MOVED 3999 127.0.0.1:1\r\n", "-READONLY You can't write\r\n", "+OK\r\n", "$2\r\n17\r\n"}) {
        Hand h;
        h.up();
        h.session.exchange({}, {}, h.now);
        h.session.received(answer, h.now);
        ASSERT_TRUE(h.session.wants_close()) << answer;
        h.session.broke(h.now);
        EXPECT_FALSE(h.session.wants_connection(h.now));
        EXPECT_TRUE(h.session.wants_connection(h.now + 1s));
    }
    Hand h("wrong");
    h.session.received("-WRONGPASS invalid\r\n", h.now);
    ASSERT_TRUE(h.session.wants_close());
    h.session.broke(h.now);
    EXPECT_FALSE(h.session.wants_connection(h.now + 2s));    // an operator has to mend that
    Hand unasked;
    unasked.up();
    unasked.session.received("+OK\r\n", unasked.now);
    EXPECT_TRUE(unasked.session.wants_close());
}

TEST(Session, IsPatientWithASlowStoreAndGivesUpASilentOne) {
    Hand h;
    h.up();
    h.session.exchange({}, {}, h.now);
    h.now += 2s;
    h.session.tick(h.now);
    EXPECT_FALSE(h.session.wants_close());
    EXPECT_FALSE(h.session.prompt(h.now));
    EXPECT_EQ(h.stats.late, 3u);    // the news, the expiry, the read
    h.session.received(":1\r\n:1\r\n*3\r\n$-1\r\n$-1\r\n$-1\r\n",
                       h.now);    // late answers are as good as any
    EXPECT_TRUE(h.session.prompt(h.now));
    for (int i = 0; i < 20 && h.session.room(); ++i) h.session.exchange({}, {}, h.now);
    EXPECT_FALSE(h.session.room());
    h.now += 4s;
    h.session.tick(h.now);
    EXPECT_TRUE(h.session.wants_close());
}

// Three ledgers on one reactor, each with its own client, against stand-in stores.
class Fleet {
public:
    explicit Fleet(std::vector<std::vector<std::string>> reach, const std::string& password = {}) {
        Counters& counters = counters_;
        for (int i = 0; i < 3; ++i) {
            limits::LedgerSettings s = ledger_settings(i);
            s.incarnation = static_cast<std::uint64_t>(clock_.now().time_since_epoch().count());
            ledgers_.push_back(std::make_unique<limits::Ledger>(s, clock_.now()));
            decision::Settings module;
            module.classes.resize(1);
            module.gateways = 3;
            module.plans = s.plans;
            engines_.push_back(std::make_unique<Engine>(module, 1, clock_, timers_, counters));
            engines_.back()->share_by(*ledgers_.back());
            ExchangeSettings e;
            for (const std::string& address : reach[static_cast<std::size_t>(i)]) {
                SessionSettings one = Hand::settings(password);
                one.address = address;
                one.me = i;
                one.timeout = 100ms;
                e.stores.push_back(one);
            }
            e.every = 50ms;
            e.standby_every = 250ms;
            e.seed = static_cast<std::uint64_t>(i);
            clients_.push_back(std::make_unique<Client>(e, *ledgers_.back(), *engines_.back(), reactor_));
            clients_.back()->start();
        }
        ask(0);
        reactor_.before_turn([this](bool) {
            if (clock_.now() - asked_ > 20ms) ask(1);
            worst_ = std::max(worst_, sum());
            const std::lock_guard lock(mutex_);
            if (!wanted_ || !wanted_()) return;
            wanted_ = nullptr;
            done_.notify_all();
        });
        thread_ = std::thread([this] { reactor_.run(); });
    }
    ~Fleet() {
        reactor_.stop();
        reactor_.wakeUp();
        thread_.join();
    }
    // Requests come through gateway 1 only. Waits until `wanted` holds, which is looked at on the reactor's
    // thread; false where it does not within ten seconds.
    bool until(std::function<bool()> wanted) {
        std::unique_lock lock(mutex_);
        wanted_ = std::move(wanted);
        const bool held = done_.wait_for(lock, 10s, [&] { return !wanted_; });
        wanted_ = nullptr;
        return held;
    }
    template <class F>
    auto read(F of) {
        decltype(of()) value{};
        until([&] { return value = of(), true; });
        return value;
    }
    double share(int i) { return ledgers_[static_cast<std::size_t>(i)]->ceiling_share(kAnna, clock_.now()); }
    double sum() {
        double all = 0.0;
        for (int i = 0; i < 3; ++i) {
            std::vector<limits::Allowance> changed;
            ledgers_[static_cast<std::size_t>(i)]->tick(clock_.now(), changed);
            all += share(i);
        }
        return all;
    }
    bool moved() { return share(1) > 0.7; }
    bool fallen_back() { return share(1) < 0.34; }
    CounterStats stats(int i) const { return clients_[static_cast<std::size_t>(i)]->stats(); }
    double worst() {
        return read([this] { return worst_; });
    }

private:
    void ask(int i) {
        ledgers_[static_cast<std::size_t>(i)]->asked(kAnna, 0, 0, 3, 1.0, clock_.now());
        asked_ = clock_.now();
    }

    SystemClock clock_;
    Timers timers_;
    Counters counters_;
    Reactor reactor_{clock_, timers_};
    std::vector<std::unique_ptr<limits::Ledger>> ledgers_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<Client>> clients_;
    TimePoint asked_{};
    double worst_ = 0.0;
    std::mutex mutex_;
    std::condition_variable done_;
    std::function<bool()> wanted_;
    std::thread thread_;
};

std::vector<std::vector<std::string>> all(const std::vector<std::string>& stores) { return {3, stores}; }

TEST(Client, LeasesTravelOverAStoreAndEndWhereItDies) {
    auto store = std::make_unique<StandInCounter>(0, "secret");
    const int port = store->port();
    Fleet fleet(all({store->address()}), "secret");
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    store.reset();
    EXPECT_TRUE(fleet.until([&] { return fleet.fallen_back(); }));
    store = std::make_unique<StandInCounter>(port, "secret");    // replaced by an empty one
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

class Faulty : public testing::TestWithParam<std::pair<std::vector<std::string>, std::vector<std::string>>> {
};

TEST_P(Faulty, IsALostCounterUntilItIsWellAgain) {
    StandInCounter store;
    Fleet fleet(all({store.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    ASSERT_EQ(store.fault(GetParam().first), "+OK\r\n");
    EXPECT_TRUE(fleet.until([&] { return fleet.fallen_back(); }));
    ASSERT_EQ(store.fault(GetParam().second), "+OK\r\n");
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

using Words = std::vector<std::string>;
INSTANTIATE_TEST_SUITE_P(
    Ways, Faulty,
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
    Fleet fleet(all({store.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    store.fault({"KEEP"});
    for (const Words& fault : {Words{"FALLBACK"}, Words{"WIPE"}, Words{"CLOCK", "100000"}, Words{"FALLBACK"},
                               Words{"CLOCK", "-200000"}, Words{"DROP"}}) {
        ASSERT_EQ(store.fault(fault), "+OK\r\n");
        const auto calls = fleet.read([&] { return fleet.stats(1).calls; });
        EXPECT_TRUE(fleet.until([&] { return fleet.stats(1).calls > calls + 10; }));
        EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    }
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, GoesOverToAReplicaThatWasPromotedAndBack) {
    StandInCounter primary, replica;
    ASSERT_EQ(primary.fault({"REPLICA", replica.address()}), "+OK\r\n");
    Fleet fleet(all({primary.address(), replica.address()}));
    ASSERT_TRUE(fleet.until([&] { return fleet.moved(); }));
    primary.fault({"SPLIT"});
    replica.fault({"PROMOTE"});    // both take writes now
    primary.fault({"SILENT", "1"});
    EXPECT_TRUE(fleet.until([&] { return fleet.stats(1).up == 1 && fleet.stats(0).up == 1; }));
    EXPECT_TRUE(fleet.until([&] { return fleet.moved(); }));
    primary.fault({"SILENT", "0"});
    EXPECT_TRUE(fleet.until([&] { return fleet.stats(1).up == 2 && fleet.moved(); }));
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, TwoHalvesEachGoOnWithWhatTheyOwn) {
    StandInCounter left, right;
    Fleet fleet({{left.address()}, {right.address()}, {left.address()}});
    const auto calls = fleet.read([&] { return fleet.stats(1).calls; });
    EXPECT_TRUE(fleet.until([&] { return fleet.stats(1).calls > calls + 40; }));
    EXPECT_LT(fleet.read([&] { return fleet.share(1); }), 0.34);
    EXPECT_LE(fleet.worst(), 1.0 + 1e-9);
}

TEST(Client, SurvivesAWrongPasswordAndAStoreThatIsNotThere) {
    StandInCounter store(0, "right");
    Fleet fleet({{store.address(), "127.0.0.1:1"}, {"127.0.0.1:1"}, {store.address()}}, "wrong");
    EXPECT_TRUE(fleet.until([&] { return fleet.stats(0).errors > 0 && fleet.stats(1).lost > 2; }));
    EXPECT_EQ(fleet.read([&] { return fleet.stats(0).up; }), 0);
}

}    // namespace
}    // namespace shaletray::shared_counter
