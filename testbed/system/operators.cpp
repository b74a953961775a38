#include "system/operators.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Operation = history::Operation;
using Answer = Operation::Outcome;
using Kind = Operation::Kind;

constexpr Duration kPatience = 1s, kFirstPause = 50ms, kLongestPause = 1s;
constexpr Duration kMost = 5s;                   // for a call of an operator, with all its attempts
constexpr std::size_t kLeavesAfterMs = 40;       // before an abandoned attempt is closed, at most
constexpr std::size_t kLongestTurnMs = 250;      // between an operator's calls
constexpr std::size_t kTroubleEveryMs = 1500;    // between two faults, at most
constexpr Duration kCutFor = 400ms;
constexpr std::size_t kMostCalls = 4000;    // bounds the history

// The same for equal configurations, however their text is formatted.
std::uint64_t digest(const nlohmann::json& text) { return std::hash<std::string>()(text.dump()); }

}    // namespace

struct OperatorGroup::Call {
    Operation operation;
    std::string text;
    TimePoint end{};
    bool leaves = false;    // some of its attempts do not wait for the response
    Duration pause = kFirstPause;
    std::string last;
    OutcomeCallback ended;
};

OperatorGroup::OperatorGroup(HttpCalls& calls, Settings settings)
    : calls_(calls), settings_(std::move(settings)), random_(settings_.seed) {
    call_timers_.resize(static_cast<std::size_t>(settings_.operator_count));
}

OperatorGroup::~OperatorGroup() { stop_operators(); }

void OperatorGroup::set_gateways(const std::vector<std::string>& addresses) {
    gateways_ = addresses;
    for (const std::string& address : addresses)
        if (!proxies_.contains(address))
            proxies_.emplace(address, std::make_unique<FaultProxy>(calls_.reactor(), address));
}

void OperatorGroup::start_operators() {
    is_running_ = true;
    for (int who = 0; who < settings_.operator_count; ++who) start_next_call(who);
    inject_fault();
}

void OperatorGroup::stop_operators() {
    is_running_ = false;
    for (Timers::Id& turn : call_timers_) calls_.reactor().cancel_timer(turn);
    calls_.reactor().cancel_timer(fault_timer_);
    for (auto& [address, relay] : proxies_) relay->set_partitioned(false);
}

std::int64_t OperatorGroup::elapsed_time() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               calls_.reactor().clock().now().time_since_epoch())
        .count();
}

// Partitions one proxy for a while or for an instant; its connections are closed at the end, so that changes
// that were delivered lose their response.
void OperatorGroup::inject_fault() {
    fault_timer_ =
        calls_.reactor().schedule_after(std::chrono::milliseconds(100 + draw_index(kTroubleEveryMs)), [this] {
            auto relay =
                std::next(proxies_.begin(), static_cast<std::ptrdiff_t>(draw_index(proxies_.size())));
            relay->second->set_partitioned(true);
            ++statistics_.resets;
            fault_timer_ = calls_.reactor().schedule_after(draw_index(2) == 0 ? Duration(0) : kCutFor,
                                                           [this, which = relay->second.get()] {
                                                               which->set_partitioned(false);
                                                               inject_fault();
                                                           });
        });
}

// Mostly a change with a new highest version; else one that races under the highest one, or a stale one.
Operation OperatorGroup::draw_change() {
    Operation order;
    const std::size_t kind = draw_index(10);
    if (kind >= 6 && last_version_ >= 5)
        order.version = kind < 9 ? last_version_ : last_version_ - 1 - draw_index(3);
    if (order.version == 0 || uncontested_versions_.contains(order.version)) order.version = ++last_version_;
    return order;
}

void OperatorGroup::start_next_call(int operator_index) {
    if (!is_running_ || history_.size() >= kMostCalls) return;
    const auto turn = [this, operator_index] {
        call_timers_[static_cast<std::size_t>(operator_index)] = 0;
        const auto again = [this, operator_index](Answer) { start_next_call(operator_index); };
        if (draw_index(4) == 0) {
            Operation read;
            read.kind = Kind::Read;
            return start_call(read, "", kMost, false, again);
        }
        Operation order = draw_change();
        const std::uint64_t body = ++last_body_;
        const std::string text = settings_.make_configuration_text(order.version, body);
        order.body_digest = digest(nlohmann::json::parse(text));
        start_call(order, text, kMost, true, [this, operator_index, order, text](Answer) {
            if (!is_running_ || draw_index(5) != 0) return start_next_call(operator_index);
            start_call(order, text, kMost, true, [this, operator_index](Answer) {
                start_next_call(operator_index);
            });    // repeated unchanged
        });
    };
    call_timers_[static_cast<std::size_t>(operator_index)] =
        calls_.reactor().schedule_after(std::chrono::milliseconds(1 + draw_index(kLongestTurnMs)), turn);
}

void OperatorGroup::submit_change(Duration timeout, std::function<void(bool)> on_done) {
    Operation order;
    order.version = ++last_version_;
    uncontested_versions_.insert(order.version);
    const std::string text = settings_.make_configuration_text(order.version, ++last_body_);
    order.body_digest = digest(nlohmann::json::parse(text));
    start_call(order, text, timeout, false,
               [done = std::move(on_done)](Answer a) { done(a == Answer::Succeeded); });
}

void OperatorGroup::read_configuration(Duration timeout, std::function<void(bool)> on_done) {
    Operation read;
    read.kind = Kind::Read;
    start_call(read, "", timeout, false,
               [done = std::move(on_done)](Answer a) { done(a == Answer::Succeeded); });
}

void OperatorGroup::start_call(Operation operation, std::string text, Duration timeout, bool abandons_reply,
                               OutcomeCallback on_outcome) {
    auto call = std::make_shared<Call>();
    call->operation = operation;
    call->operation.invoked_at = elapsed_time();
    call->text = std::move(text);
    call->leaves = abandons_reply;
    call->end = calls_.reactor().clock().now() + timeout;
    call->ended = std::move(on_outcome);
    ++(operation.kind == Kind::Read ? statistics_.reads : statistics_.changes);
    ++active_calls_;
    send_attempt(call);
}

void OperatorGroup::send_attempt(const std::shared_ptr<Call>& call) {
    std::vector<std::string> others = gateways_;
    if (others.size() > 1) std::erase(others, call->last);
    call->last = others[draw_index(others.size())];
    const bool leaves = call->leaves && draw_index(3) == 0;
    if (leaves) ++statistics_.abandoned_replies;
    ++statistics_.attempts;
    const bool is_read = call->operation.kind == Kind::Read;
    calls_.send_request(
        proxies_.at(call->last)->address(), is_read ? "GET" : "POST",
        is_read ? "/configuration/read" : "/configuration/replace", call->text,
        leaves ? Duration(std::chrono::milliseconds(1 + draw_index(kLeavesAfterMs))) : kPatience,
        [this, call, alive = std::weak_ptr<int>(lifetime_token_)](const HttpReply& answer) {
            if (!alive.expired()) on_reply(call, answer);
        });
}

void OperatorGroup::on_reply(const std::shared_ptr<Call>& call, const HttpReply& reply) {
    const int s = reply.status_code;
    if (call->operation.kind == Kind::Read && (s == 200 || s == 404)) {
        call->operation.version = call->operation.body_digest =
            0;    // 404: no configuration was accepted yet
        if (s == 200) {
            const auto read = nlohmann::json::parse(reply.body, nullptr, false);
            const std::string revision = read.is_object() ? read.value("revision", "") : "";
            // An unreadable text counts as a body that nobody sent.
            call->operation.version =
                std::strtoull(revision.c_str() + (revision.empty() ? 0 : 1), nullptr, 10);
            call->operation.body_digest = digest(read);
        }
        return finish_call(*call, Answer::Succeeded);
    }
    if (s >= 200 && s < 300) return finish_call(*call, Answer::Succeeded);
    if (s == 409) return finish_call(*call, Answer::Conflict);
    if (s >= 400 && s < 500 && s != 408 && s != 429) return finish_call(*call, Answer::Rejected);
    Reactor& reactor = calls_.reactor();
    if (reactor.clock().now() + call->pause >= call->end) return finish_call(*call, Answer::Indeterminate);
    reactor.schedule_after(call->pause, [this, call, alive = std::weak_ptr<int>(lifetime_token_)] {
        if (!alive.expired()) send_attempt(call);
    });
    call->pause = std::min(call->pause * 2, kLongestPause);
}

void OperatorGroup::finish_call(Call& call, Answer outcome) {
    call.operation.outcome = outcome;
    call.operation.returned_at = elapsed_time();
    history_.push_back(call.operation);
    --active_calls_;
    if (call.operation.kind == Kind::Replace) {
        if (outcome == Answer::Succeeded) ++statistics_.acknowledged;
        if (outcome == Answer::Conflict) ++statistics_.conflicts;
        if (outcome == Answer::Rejected) ++statistics_.rejected;
        if (outcome == Answer::Indeterminate) ++statistics_.indeterminate;
    }
    const OutcomeCallback ended = std::move(call.ended);
    ended(outcome);
}

}    // namespace shaletray::testbed
