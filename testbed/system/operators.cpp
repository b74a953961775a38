#include "system/operators.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Operation = history::Operation;
using Outcome = Operation::Outcome;
using Kind = Operation::Kind;

constexpr Duration kAttemptTimeout = 1s, kInitialRetryDelay = 50ms, kMaxRetryDelay = 1s;
constexpr Duration kCallTimeout = 5s;             // for an operator's call with all its attempts
constexpr std::size_t kMaxAbandonDelayMs = 40;    // until an abandoned attempt is closed, at most
constexpr std::size_t kMaxCallDelayMs = 250;      // between two calls of an operator, at most
constexpr std::size_t kMaxFaultDelayMs = 1500;    // between two faults, at most
constexpr Duration kPartitionDuration = 400ms;
constexpr std::size_t kMaxHistorySize = 4000;    // bounds the history

// The same for equal configurations, however their text is formatted.
std::uint64_t digest(const nlohmann::json& text) { return std::hash<std::string>()(text.dump()); }

}    // namespace

struct OperatorGroup::Call {
    Operation operation;
    std::string text;
    TimePoint deadline{};
    bool abandons_replies = false;    // some of its attempts do not wait for the response
    Duration retry_delay = kInitialRetryDelay;
    std::string last_address;
    OutcomeCallback on_ended;
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
    for (int index = 0; index < settings_.operator_count; ++index) start_next_call(index);
    inject_fault();
}

void OperatorGroup::stop_operators() {
    is_running_ = false;
    for (Timers::Id& timer : call_timers_) calls_.reactor().cancel_timer(timer);
    calls_.reactor().cancel_timer(fault_timer_);
    for (auto& [address, proxy] : proxies_) proxy->set_partitioned(false);
}

std::int64_t OperatorGroup::elapsed_time() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               calls_.reactor().clock().now().time_since_epoch())
        .count();
}

// Partitions one proxy for kPartitionDuration or for an instant. Its connections are closed at the end, so
// that delivered changes lose their response.
void OperatorGroup::inject_fault() {
    fault_timer_ = calls_.reactor().schedule_after(
        std::chrono::milliseconds(100 + draw_index(kMaxFaultDelayMs)), [this] {
            auto proxy =
                std::next(proxies_.begin(), static_cast<std::ptrdiff_t>(draw_index(proxies_.size())));
            proxy->second->set_partitioned(true);
            ++statistics_.resets;
            fault_timer_ =
                calls_.reactor().schedule_after(draw_index(2) == 0 ? Duration(0) : kPartitionDuration,
                                                [this, partitioned_proxy = proxy->second.get()] {
                                                    partitioned_proxy->set_partitioned(false);
                                                    inject_fault();
                                                });
        });
}

// Mostly a change with a new highest version; otherwise one that reuses the highest version, or a stale one.
Operation OperatorGroup::draw_change() {
    Operation change;
    const std::size_t kind = draw_index(10);
    if (kind >= 6 && last_version_ >= 5)
        change.version = kind < 9 ? last_version_ : last_version_ - 1 - draw_index(3);
    if (change.version == 0 || uncontested_versions_.contains(change.version))
        change.version = ++last_version_;
    return change;
}

void OperatorGroup::start_next_call(int operator_index) {
    if (!is_running_ || history_.size() >= kMaxHistorySize) return;
    const auto begin_call = [this, operator_index] {
        call_timers_[static_cast<std::size_t>(operator_index)] = 0;
        const auto call_again = [this, operator_index](Outcome) { start_next_call(operator_index); };
        if (draw_index(4) == 0) {
            Operation read;
            read.kind = Kind::Read;
            return start_call(read, "", kCallTimeout, false, call_again);
        }
        Operation change = draw_change();
        const std::uint64_t body = ++last_body_;
        const std::string text = settings_.make_configuration_text(change.version, body);
        change.body_digest = digest(nlohmann::json::parse(text));
        start_call(change, text, kCallTimeout, true, [this, operator_index, change, text](Outcome) {
            if (!is_running_ || draw_index(5) != 0) return start_next_call(operator_index);
            start_call(change, text, kCallTimeout, true, [this, operator_index](Outcome) {
                start_next_call(operator_index);
            });    // repeated unchanged
        });
    };
    call_timers_[static_cast<std::size_t>(operator_index)] = calls_.reactor().schedule_after(
        std::chrono::milliseconds(1 + draw_index(kMaxCallDelayMs)), begin_call);
}

void OperatorGroup::submit_change(Duration timeout, std::function<void(bool)> on_done) {
    Operation change;
    change.version = ++last_version_;
    uncontested_versions_.insert(change.version);
    const std::string text = settings_.make_configuration_text(change.version, ++last_body_);
    change.body_digest = digest(nlohmann::json::parse(text));
    start_call(change, text, timeout, false,
               [done = std::move(on_done)](Outcome outcome) { done(outcome == Outcome::Succeeded); });
}

void OperatorGroup::read_configuration(Duration timeout, std::function<void(bool)> on_done) {
    Operation read;
    read.kind = Kind::Read;
    start_call(read, "", timeout, false,
               [done = std::move(on_done)](Outcome outcome) { done(outcome == Outcome::Succeeded); });
}

void OperatorGroup::start_call(Operation operation, std::string text, Duration timeout, bool abandons_reply,
                               OutcomeCallback on_outcome) {
    auto call = std::make_shared<Call>();
    call->operation = operation;
    call->operation.invoked_at = elapsed_time();
    call->text = std::move(text);
    call->abandons_replies = abandons_reply;
    call->deadline = calls_.reactor().clock().now() + timeout;
    call->on_ended = std::move(on_outcome);
    ++(operation.kind == Kind::Read ? statistics_.reads : statistics_.changes);
    ++active_calls_;
    send_attempt(call);
}

void OperatorGroup::send_attempt(const std::shared_ptr<Call>& call) {
    std::vector<std::string> candidates = gateways_;
    if (candidates.size() > 1) std::erase(candidates, call->last_address);
    call->last_address = candidates[draw_index(candidates.size())];
    const bool abandons_replies = call->abandons_replies && draw_index(3) == 0;
    if (abandons_replies) ++statistics_.abandoned_replies;
    ++statistics_.attempts;
    const bool is_read = call->operation.kind == Kind::Read;
    calls_.send_request(proxies_.at(call->last_address)->address(), is_read ? "GET" : "POST",
                        is_read ? "/configuration/read" : "/configuration/replace", call->text,
                        abandons_replies
                            ? Duration(std::chrono::milliseconds(1 + draw_index(kMaxAbandonDelayMs)))
                            : kAttemptTimeout,
                        [this, call, alive = std::weak_ptr<int>(lifetime_token_)](const HttpReply& reply) {
                            if (!alive.expired()) on_reply(call, reply);
                        });
}

void OperatorGroup::on_reply(const std::shared_ptr<Call>& call, const HttpReply& reply) {
    const int status = reply.status_code;
    if (call->operation.kind == Kind::Read && (status == 200 || status == 404)) {
        call->operation.version = call->operation.body_digest =
            0;    // 404: no configuration was accepted yet
        if (status == 200) {
            const auto read = nlohmann::json::parse(reply.body, nullptr, false);
            const std::string revision = read.is_object() ? read.value("revision", "") : "";
            // An unreadable text counts as a body that no operator sent.
            call->operation.version =
                std::strtoull(revision.c_str() + (revision.empty() ? 0 : 1), nullptr, 10);
            call->operation.body_digest = digest(read);
        }
        return finish_call(*call, Outcome::Succeeded);
    }
    if (status >= 200 && status < 300) return finish_call(*call, Outcome::Succeeded);
    if (status == 409) return finish_call(*call, Outcome::Conflict);
    if (status >= 400 && status < 500 && status != 408 && status != 429)
        return finish_call(*call, Outcome::Rejected);
    Reactor& reactor = calls_.reactor();
    if (reactor.clock().now() + call->retry_delay >= call->deadline)
        return finish_call(*call, Outcome::Indeterminate);
    reactor.schedule_after(call->retry_delay, [this, call, alive = std::weak_ptr<int>(lifetime_token_)] {
        if (!alive.expired()) send_attempt(call);
    });
    call->retry_delay = std::min(call->retry_delay * 2, kMaxRetryDelay);
}

void OperatorGroup::finish_call(Call& call, Outcome outcome) {
    call.operation.outcome = outcome;
    call.operation.returned_at = elapsed_time();
    history_.push_back(call.operation);
    --active_calls_;
    if (call.operation.kind == Kind::Replace) {
        if (outcome == Outcome::Succeeded) ++statistics_.acknowledged;
        if (outcome == Outcome::Conflict) ++statistics_.conflicts;
        if (outcome == Outcome::Rejected) ++statistics_.rejected;
        if (outcome == Outcome::Indeterminate) ++statistics_.indeterminate;
    }
    const OutcomeCallback on_ended = std::move(call.on_ended);
    on_ended(outcome);
}

}    // namespace shaletray::testbed
