// The engine between a scripted front and a scripted backend: who is told what, and how often.
#include "data_plane/engine/engine.h"

#include <gtest/gtest.h>

#include <random>

#include "balancer/platform/gateway_config.h"
#include "decision/gateway_settings.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

struct TestClock : Clock {
    TimePoint time{1000s};
    TimePoint now() const override { return time; }
};

struct TestFront : DownstreamConnection {
    int served_count = 0, refused_count = 0, failed_count = 0;
    Duration advice{0};
    bool late = false;
    std::string says;
    void on_answer(Payload&&) override { ++served_count; }
    void on_rejected(Duration retry_after, RejectionReason) override {
        ++refused_count;
        advice = retry_after;
    }
    void on_failed(FailureReason why, Payload&& answer) override {
        ++failed_count;
        late = why == FailureReason::DeadlineExceeded;
        says = is_error_response(answer) ? answer.body : "";
    }
    int answers() const { return served_count + refused_count + failed_count; }
};

class EngineTest : public ::testing::Test, public AttemptSender, public PeerMessenger, public HostListSource {
protected:
    EngineTest() {
        engine_.connect(*this, *this, *this);
        decision::HostList list;
        for (std::uint32_t i = 1; i <= 2; ++i) {
            list.hosts.emplace_back();
            list.hosts.back().host = HostId{i};
        }
        engine_.on_host_list(std::move(list));
    }

    void send_attempt(AttemptId attempt, HostId, const Payload&, Duration left) override {
        sent_.push_back(attempt);
        left_ = left;
        if (refuse_connections_) engine_.on_attempt_ended(attempt, Outcome::ConnectFailed);
    }
    void cancel_attempt(AttemptId) override { ++called_off_; }
    bool has_started(AttemptId) const override { return began_; }
    void check_health(HostId) override {}
    void send_to_peer(PeerId, const std::vector<std::uint8_t>&) override {}
    void subscribe() override {}

    RequestId ask(int cls = 0, bool streams = false) {
        IncomingRequest arrival;
        arrival.class_index = cls;
        arrival.time_budget = 500ms;
        arrival.is_streaming = streams;
        return engine_.submit(front_, std::move(arrival));
    }
    void pass(Duration span) {
        for (const TimePoint end = clock_.time + span; clock_.time < end; clock_.time += 1ms)
            timers_.run_due(clock_.time);
    }
    Counters::Counter outcomes(Outcome o) const { return counters_.outcomes[static_cast<std::size_t>(o)]; }
    Counters::Counter ended() const {
        Counters::Counter sum = 0;
        for (const auto n : counters_.outcomes) sum += n;
        return sum;
    }

    static constexpr int kPay = 1;
    TestClock clock_;
    Timers timers_;
    Counters counters_;
    Engine engine_{parse_config(test::config_text("127.0.0.1:1")).settings, 7, clock_, timers_, counters_};
    TestFront front_;
    std::vector<AttemptId> sent_;
    Duration left_{0};
    int called_off_ = 0;
    bool refuse_connections_ = false, began_ = true;
};

// Plans change in service, and use is kept.
class BilledTest : public EngineTest, public UsageRecorder {
protected:
    BilledTest() {
        clock_.time += 100s;    // the ledger began long ago: ceilings' stores are full
        engine_.set_quota_state_table(ledger_);
        engine_.set_plan_service(desk_);
        engine_.set_usage_recorder(*this);
    }
    static decision::Settings settings() { return parse_config(test::config_text("127.0.0.1:1")).settings; }
    static limits::QuotaTableSettings ledger_settings() {
        limits::QuotaTableSettings l;
        l.plans = settings().plans;
        l.max_request_units = settings().most_units;
        l.isolated_quota_share = 0.0;
        return l;
    }
    static plans::PlanTable book() {
        plans::PlanTableSettings b;
        b.platform_plans = settings().plans;
        b.table_overrides_request = true;
        b.lead_time = 20ms;
        return plans::PlanTable(b);
    }
    void assign(const std::string& plan) {
        plans::ChangeProposal p;
        p.body = plans::AssignPlan{decision::CustomerId{}, plan};
        p.expected_version = desk_.plan_table().version();
        p.author = "test";
        desk_.apply_change(std::get<plans::PlanChange>(desk_.plan_table().validate_proposal(p, clock_.time)),
                           clock_.time);
    }
    void record_admission(const AdmittedRequest& a) override {
        EXPECT_EQ(sent_.size(), sends_before_) << "kept before its first attempt is sent";
        kept_.push_back(a);
    }
    std::size_t sends_before_ = 0;
    limits::QuotaStateTable ledger_{ledger_settings(), clock_.time};
    plans::PlanService desk_{book(), ledger_, clock_.time};
    std::vector<AdmittedRequest> kept_;
};

TEST_F(BilledTest, ARequestStaysUnderThePlanItWasTakenUnderThroughAllItsAttempts) {
    const std::string other = settings().plans.back().name;
    const int last = static_cast<int>(settings().plans.size()) - 1;
    assign(other);
    ask();
    ASSERT_EQ(kept_.size(), 1U);
    EXPECT_EQ(kept_[0].plan_index, 0) << "the change is not in force yet";
    const std::size_t before = sent_.size();
    clock_.time += 20ms;
    engine_.refresh_allowances();
    clock_.time += 300ms;    // the ceiling that comes with the new plan begins with nothing, and owes nothing
    sends_before_ = sent_.size();
    ask();
    ASSERT_EQ(kept_.size(), 2U);
    EXPECT_EQ(kept_[1].plan_index, last);
    // A second attempt of the first, after the change: no second record, and no word of the other plan.
    engine_.on_attempt_ended(sent_[before - 1], Outcome::ConnectFailed);
    pass(100ms);
    EXPECT_EQ(kept_.size(), 2U);
    EXPECT_GE(sent_.size(), 3U);
}

TEST_F(EngineTest, AGoodAnswerIsTheOneFinalAnswer) {
    const RequestId id = ask();
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(left_, 500ms);
    engine_.on_attempt_ended(sent_[0], Outcome::Ok);
    engine_.on_attempt_ended(sent_[0], Outcome::Reset);    // an outcome counts once
    engine_.cancel(id);
    pass(1s);
    EXPECT_EQ(front_.served_count, 1);
    EXPECT_EQ(front_.answers(), 1);
    EXPECT_EQ(ended(), 1U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

TEST_F(EngineTest, AnAttemptThatIsNotAnsweredEndsWithTheDeadlineAndTheRequestIsAnsweredThen) {
    ask();
    pass(600ms);
    EXPECT_EQ(front_.answers(), 1);
    EXPECT_EQ(called_off_, 1);
    EXPECT_EQ(outcomes(Outcome::Timeout), 1U);
    EXPECT_EQ(counters_.requests_overdue, 0U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

TEST_F(EngineTest, AClientThatLeavesReleasesItsAttempts) {
    engine_.cancel(ask());
    EXPECT_EQ(called_off_, 1);
    EXPECT_EQ(outcomes(Outcome::Cancelled), 1U);
    engine_.on_attempt_ended(sent_[0], Outcome::Ok);
    pass(1s);
    EXPECT_EQ(front_.answers(), 0);
    EXPECT_EQ(ended(), 1U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

// Failures inside send() must reach the module after the actions that came with it, and never nest.
TEST_F(EngineTest, FailuresAtOnceAreFollowedByOneAnswer) {
    refuse_connections_ = true;
    ask(kPay);
    pass(1s);
    EXPECT_GE(sent_.size(), 1U);
    EXPECT_LE(sent_.size(), 5U);
    EXPECT_EQ(outcomes(Outcome::ConnectFailed), sent_.size());
    EXPECT_EQ(front_.answers(), 1);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

// Whatever becomes of attempts: who is told of a refusal may come again, and nothing ran.
TEST_F(EngineTest, ARefusalPromisesThatNothingRanWherePlatformsWantThat) {
    engine_.set_response_policy({true, true});
    std::mt19937 random(1);
    int refused = 0, late = 0, said = 0;
    for (int i = 0; i < 2000; ++i) {
        front_ = TestFront{};
        sent_.clear();
        const RequestId id = ask(static_cast<int>(random() % 2));
        bool ran = false;
        std::string last;
        for (std::size_t next = 0; front_.answers() == 0 && next < sent_.size(); ++next) {
            const auto kind = random() % 6;
            if (kind == 0) {
                began_ = random() % 2 == 0;
                pass(600ms);
                ran = ran || began_;
            } else if (kind == 1) {
                engine_.on_attempt_ended(sent_[next], Outcome::Full);
            } else if (kind == 2) {
                engine_.on_attempt_ended(sent_[next], Outcome::ConnectFailed);
            } else if (kind == 3) {
                Payload answer;
                answer.status_code = 500;
                answer.body = last = std::to_string(i + static_cast<int>(next));
                engine_.on_attempt_ended(sent_[next], Outcome::Error, {}, std::move(answer));
                ran = true;
            } else if (kind == 4) {
                engine_.on_attempt_ended(sent_[next], Outcome::Reset);
                ran = true;
            } else {
                began_ = random() % 2 == 0;
                ran = ran || began_;
                engine_.abandon_all_requests();
            }
            began_ = true;
            if (front_.answers() == 0 && next + 1 == sent_.size())
                pass(600ms);    // held until another may go
        }
        if (front_.answers() == 0) pass(600ms);
        ASSERT_EQ(front_.answers(), 1);
        EXPECT_EQ(front_.refused_count, ran ? 0 : 1);
        EXPECT_EQ(front_.says, last);
        refused += front_.refused_count;
        late += front_.late;
        said += !front_.says.empty();
        engine_.cancel(id);
        pass(20ms);
    }
    EXPECT_GT(refused, 100);
    EXPECT_GT(late, 100);
    EXPECT_GT(said, 100);
}

TEST_F(EngineTest, OneTooManyIsRefusedAtOnceAndToldWhenToComeBack) {
    for (int i = 0; i < 1000; ++i) ask();    // as many as may be open
    ASSERT_EQ(engine_.open_requests(), 1000U);
    ask();
    EXPECT_EQ(counters_.requests_rejected, 1U);
    EXPECT_EQ(front_.refused_count, 1);
    EXPECT_EQ(front_.advice, 1s);
}

TEST_F(EngineTest, OnlyAStreamsBeginningIsToldAndItsBreakFails) {
    ask();
    engine_.on_response_started(sent_[0]);
    pass(600ms);
    EXPECT_EQ(outcomes(Outcome::Timeout), 1U);    // no stream: its time-out still runs
    ask(0, true);
    engine_.on_response_started(sent_[1]);
    pass(5s);
    EXPECT_EQ(engine_.open_requests(), 1U);
    engine_.on_attempt_ended(sent_[1], Outcome::Reset);
    EXPECT_EQ(front_.failed_count, 1);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

struct TestUpload : RequestUpload {
    bool is_given = false, is_whole = false;
    TimePoint at{};
    std::string_view initial_body() const override { return "first"; }
    bool is_streaming() const override { return is_given; }
    bool is_complete() const override { return is_whole; }
    TimePoint last_received_at() const override { return at; }
    void start(BodySink&) override {}
    void set_reading(bool) override {}
    std::optional<std::uint64_t> total_length() const override { return {}; }
};

TEST_F(EngineTest, ALongRequestsTimeRunsFromItsLastByteAndItIsNotTriedAgainOncePassedOn) {
    const auto ask_long = [this] {
        IncomingRequest arrival;
        arrival.class_index = kPay;
        arrival.time_budget = 500ms;
        const auto upload = std::make_shared<TestUpload>();
        upload->at = clock_.time;
        arrival.payload.upload = upload;
        engine_.submit(front_, std::move(arrival));
        return upload;
    };
    const auto upload = ask_long();
    EXPECT_EQ(left_, 500ms);
    engine_.on_upload_started(sent_[0]);
    upload->is_given = true;
    for (int i = 0; i < 10; ++i) {
        pass(1s);
        upload->at = clock_.time;
    }
    upload->is_whole = true;
    engine_.on_request_written(sent_[0]);
    pass(480ms);
    EXPECT_EQ(front_.answers(), 0);
    pass(30ms);
    EXPECT_EQ(front_.answers(), 1);
    EXPECT_EQ(outcomes(Outcome::Timeout), 1U);
    EXPECT_EQ(counters_.requests_overdue, 0U);
    const auto stuck = ask_long();    // neither its client nor its server moves
    pass(3400ms);
    EXPECT_EQ(front_.answers(), 1);
    pass(200ms);
    EXPECT_EQ(front_.answers(), 2);
    const auto broken = ask_long();
    engine_.on_upload_started(sent_.back());
    broken->is_given = true;
    const std::size_t sent = sent_.size();
    engine_.on_attempt_ended(sent_.back(), Outcome::ConnectFailed);
    EXPECT_EQ(sent_.size(), sent);
    EXPECT_EQ(front_.refused_count, 1);    // it never ran
}

TEST_F(EngineTest, AClassThatChangesLeavesTheRequestsUnderWayTheirs) {
    decision::Settings next = parse_config(test::config_text("127.0.0.1:1")).settings;
    const decision::Settings first = next;
    const RequestId open = ask();
    next.classes[0].repeat = decision::Repeat::Unsafe;    // stricter
    next.send_cap = 1;
    const std::vector<int> places = engine_.apply_settings(next);
    EXPECT_EQ(places, (std::vector<int>{3, 1, 2}));
    ask(places[0]);
    engine_.on_attempt_ended(sent_[1], Outcome::Reset);    // may have run, and may not be repeated any more
    EXPECT_EQ(front_.failed_count, 1);
    EXPECT_EQ(counters_.classes.at("read").failed, 1U);
    next.classes[0].give_up = Duration(-1);
    next.classes[0].aim = Duration(-1);
    EXPECT_THROW(engine_.apply_settings(next), decision::BadSettings);
    engine_.cancel(open);
    EXPECT_EQ(engine_.apply_settings(first), (std::vector<int>{0, 1, 2}));
    next = first;
    next.classes.push_back(first.classes[0]);
    next.classes.back().name = "new";
    EXPECT_EQ(engine_.apply_settings(next), (std::vector<int>{0, 1, 2, 3}));    // the place is free again
}

TEST(Timers, RunInOrderAndNotBeforeTheyAreDue) {
    Timers timers;
    std::string order;
    timers.schedule_at(TimePoint(2ms), [&] { order += 'b'; });
    Timers::Id gone = timers.schedule_at(TimePoint(1ms), [&] { order += 'x'; });
    timers.schedule_at(TimePoint(1ms), [&] {
        order += 'a';
        timers.schedule_at(TimePoint(1ms), [&] { order += 'c'; });
    });
    timers.cancel(gone);
    EXPECT_EQ(timers.next_deadline(), TimePoint(1ms));
    timers.run_due(TimePoint(0ms));
    EXPECT_EQ(order, "");
    timers.run_due(TimePoint(2ms));
    EXPECT_EQ(order, "ab");    // what a task adds waits, so that it cannot hold up the turn
    timers.run_due(TimePoint(2ms));
    EXPECT_EQ(order, "abc");
    EXPECT_EQ(timers.next_deadline(), std::nullopt);
}

// Seen as a pilot that ended by itself (139) when a configuration took a service's last route away: the
// module's next tick reached an engine that was gone.
TEST_F(EngineTest, TimersThatOutliveAnEngineDoNothing) {
    Timers timers;
    Counters counters;
    TestFront front;
    {
        Engine engine(parse_config(test::config_text("127.0.0.1:1")).settings, 1, clock_, timers, counters);
        engine.connect(*this, *this, *this);
        decision::HostList list;
        list.hosts.emplace_back();
        list.hosts.back().host = HostId{1};
        engine.on_host_list(std::move(list));
        IncomingRequest arrival;
        arrival.time_budget = 500ms;
        engine.submit(front, std::move(arrival));
        ASSERT_GT(timers.size(), 0u);
    }
    clock_.time += 10s;
    timers.run_due(clock_.now());
    EXPECT_EQ(front.answers(), 0);
}

}    // namespace
}    // namespace shaletray
