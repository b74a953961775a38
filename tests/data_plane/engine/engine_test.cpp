// The engine between scripted client connections and a scripted sender: which responses requests get, and
// which attempts are sent, cancelled and counted.
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

struct TestDownstream : DownstreamConnection {
    int success_count = 0, rejected_count = 0, failed_count = 0;
    Duration last_retry_after{0};
    bool deadline_exceeded = false;
    std::string error_body;
    void on_answer(Payload&&) override { ++success_count; }
    void on_rejected(Duration retry_after, RejectionReason) override {
        ++rejected_count;
        last_retry_after = retry_after;
    }
    void on_failed(FailureReason reason, Payload&& server_response) override {
        ++failed_count;
        deadline_exceeded = reason == FailureReason::DeadlineExceeded;
        error_body = is_error_response(server_response) ? server_response.body : "";
    }
    int response_count() const { return success_count + rejected_count + failed_count; }
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

    void send_attempt(AttemptId attempt, HostId, const Payload&, Duration time_left) override {
        sent_.push_back(attempt);
        time_left_ = time_left;
        if (fails_connections_) engine_.on_attempt_ended(attempt, Outcome::ConnectFailed);
    }
    void cancel_attempt(AttemptId) override { ++cancelled_attempts_; }
    bool has_started(AttemptId) const override { return attempt_started_; }
    void check_health(HostId) override {}
    void send_to_peer(PeerId, const std::vector<std::uint8_t>&) override {}
    void subscribe() override {}

    RequestId submit_request(int class_index = 0, bool is_streaming = false) {
        IncomingRequest incoming;
        incoming.class_index = class_index;
        incoming.time_budget = 500ms;
        incoming.is_streaming = is_streaming;
        return engine_.submit(downstream_, std::move(incoming));
    }
    void advance_time(Duration duration) {
        for (const TimePoint end = clock_.time + duration; clock_.time < end; clock_.time += 1ms)
            timers_.run_due(clock_.time);
    }
    Counters::Counter outcome_count(Outcome outcome) const {
        return counters_.outcomes[static_cast<std::size_t>(outcome)];
    }
    Counters::Counter ended_attempts() const {
        Counters::Counter sum = 0;
        for (const auto count : counters_.outcomes) sum += count;
        return sum;
    }

    static constexpr int kPayClass = 1;
    TestClock clock_;
    Timers timers_;
    Counters counters_;
    Engine engine_{parse_config(test::config_text("127.0.0.1:1")).settings, 7, clock_, timers_, counters_};
    TestDownstream downstream_;
    std::vector<AttemptId> sent_;
    Duration time_left_{0};
    int cancelled_attempts_ = 0;
    bool fails_connections_ = false, attempt_started_ = true;
};

// An engine with a plan service, whose plans change at runtime, and a usage recorder.
class BillingTest : public EngineTest, public UsageRecorder {
protected:
    BillingTest() {
        // Long after the quota table's start, so that the token buckets of the rate limits are full.
        clock_.time += 100s;
        engine_.set_quota_state_table(quota_table_);
        engine_.set_plan_service(plan_service_);
        engine_.set_usage_recorder(*this);
    }
    static decision::Settings settings() { return parse_config(test::config_text("127.0.0.1:1")).settings; }
    static limits::QuotaTableSettings quota_table_settings() {
        limits::QuotaTableSettings table_settings;
        table_settings.plans = settings().plans;
        table_settings.max_request_units = settings().most_units;
        table_settings.isolated_quota_share = 0.0;
        return table_settings;
    }
    static plans::PlanTable make_plan_table() {
        plans::PlanTableSettings plan_table_settings;
        plan_table_settings.platform_plans = settings().plans;
        plan_table_settings.table_overrides_request = true;
        plan_table_settings.lead_time = 20ms;
        return plans::PlanTable(plan_table_settings);
    }
    void assign_plan(const std::string& plan) {
        plans::ChangeProposal proposal;
        proposal.body = plans::AssignPlan{decision::CustomerId{}, plan};
        proposal.expected_version = plan_service_.plan_table().version();
        proposal.author = "test";
        plan_service_.apply_change(
            std::get<plans::PlanChange>(plan_service_.plan_table().validate_proposal(proposal, clock_.time)),
            clock_.time);
    }
    void record_admission(const AdmittedRequest& admission) override {
        EXPECT_EQ(sent_.size(), sends_before_record_) << "recorded after the first attempt was sent";
        admissions_.push_back(admission);
    }
    std::size_t sends_before_record_ = 0;
    limits::QuotaStateTable quota_table_{quota_table_settings(), clock_.time};
    plans::PlanService plan_service_{make_plan_table(), quota_table_, clock_.time};
    std::vector<AdmittedRequest> admissions_;
};

TEST_F(BillingTest, RequestKeepsItsPlanThroughAllAttempts) {
    const std::string other_plan = settings().plans.back().name;
    const int last_plan_index = static_cast<int>(settings().plans.size()) - 1;
    assign_plan(other_plan);
    submit_request();
    ASSERT_EQ(admissions_.size(), 1U);
    EXPECT_EQ(admissions_[0].plan_index, 0) << "the change has not taken effect yet";
    const std::size_t sent_before_change = sent_.size();
    clock_.time += 20ms;
    engine_.refresh_allowances();
    clock_.time += 300ms;    // the rate limit of the new plan begins with no units and no debt
    sends_before_record_ = sent_.size();
    submit_request();
    ASSERT_EQ(admissions_.size(), 2U);
    EXPECT_EQ(admissions_[1].plan_index, last_plan_index);
    // A second attempt of the first request after the change adds no second usage record.
    engine_.on_attempt_ended(sent_[sent_before_change - 1], Outcome::ConnectFailed);
    advance_time(100ms);
    EXPECT_EQ(admissions_.size(), 2U);
    EXPECT_GE(sent_.size(), 3U);
}

TEST_F(EngineTest, SuccessfulResponseIsDeliveredOnce) {
    const RequestId id = submit_request();
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(time_left_, 500ms);
    engine_.on_attempt_ended(sent_[0], Outcome::Ok);
    engine_.on_attempt_ended(sent_[0], Outcome::Reset);    // only the first outcome counts
    engine_.cancel(id);
    advance_time(1s);
    EXPECT_EQ(downstream_.success_count, 1);
    EXPECT_EQ(downstream_.response_count(), 1);
    EXPECT_EQ(ended_attempts(), 1U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

TEST_F(EngineTest, UnansweredAttemptTimesOutAtTheDeadlineAndEndsTheRequest) {
    submit_request();
    advance_time(600ms);
    EXPECT_EQ(downstream_.response_count(), 1);
    EXPECT_EQ(cancelled_attempts_, 1);
    EXPECT_EQ(outcome_count(Outcome::Timeout), 1U);
    EXPECT_EQ(counters_.requests_overdue, 0U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

TEST_F(EngineTest, ClientDisconnectCancelsItsAttempts) {
    engine_.cancel(submit_request());
    EXPECT_EQ(cancelled_attempts_, 1);
    EXPECT_EQ(outcome_count(Outcome::Cancelled), 1U);
    engine_.on_attempt_ended(sent_[0], Outcome::Ok);
    advance_time(1s);
    EXPECT_EQ(downstream_.response_count(), 0);
    EXPECT_EQ(ended_attempts(), 1U);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

// A failure reported inside send_attempt() must reach the decision module only after the actions that were
// issued together with the send, and event handling must not nest.
TEST_F(EngineTest, SynchronousFailuresLeadToOneResponse) {
    fails_connections_ = true;
    submit_request(kPayClass);
    advance_time(1s);
    EXPECT_GE(sent_.size(), 1U);
    EXPECT_LE(sent_.size(), 5U);
    EXPECT_EQ(outcome_count(Outcome::ConnectFailed), sent_.size());
    EXPECT_EQ(downstream_.response_count(), 1);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

// With ResponsePolicy::rejects_only_unexecuted, whatever happens to the attempts: a client may retry a
// rejected request, so nothing of it may have run.
TEST_F(EngineTest, RejectionImpliesThatNothingRanIfThePolicyDemandsIt) {
    engine_.set_response_policy({true, true});
    std::mt19937 random(1);
    int rejected_total = 0, deadline_total = 0, error_body_total = 0;
    for (int i = 0; i < 2000; ++i) {
        downstream_ = TestDownstream{};
        sent_.clear();
        const RequestId id = submit_request(static_cast<int>(random() % 2));
        bool may_have_run = false;
        std::string last_error_body;
        for (std::size_t attempt_index = 0; downstream_.response_count() == 0 && attempt_index < sent_.size();
             ++attempt_index) {
            const auto event_kind = random() % 6;
            if (event_kind == 0) {
                attempt_started_ = random() % 2 == 0;
                advance_time(600ms);
                may_have_run = may_have_run || attempt_started_;
            } else if (event_kind == 1) {
                engine_.on_attempt_ended(sent_[attempt_index], Outcome::Full);
            } else if (event_kind == 2) {
                engine_.on_attempt_ended(sent_[attempt_index], Outcome::ConnectFailed);
            } else if (event_kind == 3) {
                Payload server_response;
                server_response.status_code = 500;
                server_response.body = last_error_body = std::to_string(i + static_cast<int>(attempt_index));
                engine_.on_attempt_ended(sent_[attempt_index], Outcome::Error, {},
                                         std::move(server_response));
                may_have_run = true;
            } else if (event_kind == 4) {
                engine_.on_attempt_ended(sent_[attempt_index], Outcome::Reset);
                may_have_run = true;
            } else {
                attempt_started_ = random() % 2 == 0;
                may_have_run = may_have_run || attempt_started_;
                engine_.abandon_all_requests();
            }
            attempt_started_ = true;
            if (downstream_.response_count() == 0 && attempt_index + 1 == sent_.size())
                advance_time(600ms);    // until another attempt may be sent
        }
        if (downstream_.response_count() == 0) advance_time(600ms);
        ASSERT_EQ(downstream_.response_count(), 1);
        EXPECT_EQ(downstream_.rejected_count, may_have_run ? 0 : 1);
        EXPECT_EQ(downstream_.error_body, last_error_body);
        rejected_total += downstream_.rejected_count;
        deadline_total += downstream_.deadline_exceeded;
        error_body_total += !downstream_.error_body.empty();
        engine_.cancel(id);
        advance_time(20ms);
    }
    EXPECT_GT(rejected_total, 100);
    EXPECT_GT(deadline_total, 100);
    EXPECT_GT(error_body_total, 100);
}

TEST_F(EngineTest, RejectsRequestsBeyondTheLimitAtOnceWithRetryAfter) {
    for (int i = 0; i < 1000; ++i) submit_request();    // the maximum of open requests
    ASSERT_EQ(engine_.open_requests(), 1000U);
    submit_request();
    EXPECT_EQ(counters_.requests_rejected, 1U);
    EXPECT_EQ(downstream_.rejected_count, 1);
    EXPECT_EQ(downstream_.last_retry_after, 1s);
}

TEST_F(EngineTest, ReportsResponseStartOnlyForStreamsAndFailsBrokenStreams) {
    submit_request();
    engine_.on_response_started(sent_[0]);
    advance_time(600ms);
    EXPECT_EQ(outcome_count(Outcome::Timeout), 1U);    // not a streaming response: its timeout still applies
    submit_request(0, true);
    engine_.on_response_started(sent_[1]);
    advance_time(5s);
    EXPECT_EQ(engine_.open_requests(), 1U);
    engine_.on_attempt_ended(sent_[1], Outcome::Reset);
    EXPECT_EQ(downstream_.failed_count, 1);
    EXPECT_EQ(engine_.open_requests(), 0U);
}

struct TestUpload : RequestUpload {
    bool streaming = false, complete = false;
    TimePoint received_at{};
    std::string_view initial_body() const override { return "first"; }
    bool is_streaming() const override { return streaming; }
    bool is_complete() const override { return complete; }
    TimePoint last_received_at() const override { return received_at; }
    void start(BodySink&) override {}
    void set_reading(bool) override {}
    std::optional<std::uint64_t> total_length() const override { return {}; }
};

TEST_F(EngineTest, UploadDeadlineRunsFromLastByteAndForwardedUploadIsNotRetried) {
    const auto submit_upload = [this] {
        IncomingRequest incoming;
        incoming.class_index = kPayClass;
        incoming.time_budget = 500ms;
        const auto upload = std::make_shared<TestUpload>();
        upload->received_at = clock_.time;
        incoming.payload.upload = upload;
        engine_.submit(downstream_, std::move(incoming));
        return upload;
    };
    const auto upload = submit_upload();
    EXPECT_EQ(time_left_, 500ms);
    engine_.on_upload_started(sent_[0]);
    upload->streaming = true;
    for (int i = 0; i < 10; ++i) {
        advance_time(1s);
        upload->received_at = clock_.time;
    }
    upload->complete = true;
    engine_.on_request_written(sent_[0]);
    advance_time(480ms);
    EXPECT_EQ(downstream_.response_count(), 0);
    advance_time(30ms);
    EXPECT_EQ(downstream_.response_count(), 1);
    EXPECT_EQ(outcome_count(Outcome::Timeout), 1U);
    EXPECT_EQ(counters_.requests_overdue, 0U);
    const auto stalled_upload = submit_upload();    // neither its client nor its server makes progress
    advance_time(3400ms);
    EXPECT_EQ(downstream_.response_count(), 1);
    advance_time(200ms);
    EXPECT_EQ(downstream_.response_count(), 2);
    const auto failed_upload = submit_upload();
    engine_.on_upload_started(sent_.back());
    failed_upload->streaming = true;
    const std::size_t sent_before_failure = sent_.size();
    engine_.on_attempt_ended(sent_.back(), Outcome::ConnectFailed);
    EXPECT_EQ(sent_.size(), sent_before_failure);
    EXPECT_EQ(downstream_.rejected_count, 1);    // no part of it ran
}

TEST_F(EngineTest, ChangedClassDoesNotAffectOpenRequests) {
    decision::Settings new_settings = parse_config(test::config_text("127.0.0.1:1")).settings;
    const decision::Settings original_settings = new_settings;
    const RequestId open_request = submit_request();
    new_settings.classes[0].repeat = decision::Repeat::Unsafe;    // stricter
    new_settings.send_cap = 1;
    const std::vector<int> class_indices = engine_.apply_settings(new_settings);
    EXPECT_EQ(class_indices, (std::vector<int>{3, 1, 2}));
    submit_request(class_indices[0]);
    // The request may have run, and must not be retried under the new settings.
    engine_.on_attempt_ended(sent_[1], Outcome::Reset);
    EXPECT_EQ(downstream_.failed_count, 1);
    EXPECT_EQ(counters_.classes.at("read").failed, 1U);
    new_settings.classes[0].give_up = Duration(-1);
    new_settings.classes[0].aim = Duration(-1);
    EXPECT_THROW(engine_.apply_settings(new_settings), decision::BadSettings);
    engine_.cancel(open_request);
    EXPECT_EQ(engine_.apply_settings(original_settings), (std::vector<int>{0, 1, 2}));
    new_settings = original_settings;
    new_settings.classes.push_back(original_settings.classes[0]);
    new_settings.classes.back().name = "new";
    // The index is free again.
    EXPECT_EQ(engine_.apply_settings(new_settings), (std::vector<int>{0, 1, 2, 3}));
}

TEST(Timers, RunInOrderAndNotBeforeTheyAreDue) {
    Timers timers;
    std::string order;
    timers.schedule_at(TimePoint(2ms), [&] { order += 'b'; });
    Timers::Id cancelled_timer = timers.schedule_at(TimePoint(1ms), [&] { order += 'x'; });
    timers.schedule_at(TimePoint(1ms), [&] {
        order += 'a';
        timers.schedule_at(TimePoint(1ms), [&] { order += 'c'; });
    });
    timers.cancel(cancelled_timer);
    EXPECT_EQ(timers.next_deadline(), TimePoint(1ms));
    timers.run_due(TimePoint(0ms));
    EXPECT_EQ(order, "");
    timers.run_due(TimePoint(2ms));
    EXPECT_EQ(order, "ab");    // a timer added by a callback waits, so that it cannot delay the loop
    timers.run_due(TimePoint(2ms));
    EXPECT_EQ(order, "abc");
    EXPECT_EQ(timers.next_deadline(), std::nullopt);
}

// A gateway crashed (exit code 139) after a configuration removed a service's last route: the decision
// module's timer fired after its engine was destroyed.
TEST_F(EngineTest, TimersDoNothingAfterTheEngineIsDestroyed) {
    Timers timers;
    Counters counters;
    TestDownstream downstream;
    {
        Engine engine(parse_config(test::config_text("127.0.0.1:1")).settings, 1, clock_, timers, counters);
        engine.connect(*this, *this, *this);
        decision::HostList list;
        list.hosts.emplace_back();
        list.hosts.back().host = HostId{1};
        engine.on_host_list(std::move(list));
        IncomingRequest incoming;
        incoming.time_budget = 500ms;
        engine.submit(downstream, std::move(incoming));
        ASSERT_GT(timers.size(), 0u);
    }
    clock_.time += 10s;
    timers.run_due(clock_.now());
    EXPECT_EQ(downstream.response_count(), 0);
}

}    // namespace
}    // namespace shaletray
