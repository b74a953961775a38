#include "system/operators.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Operation = history::Operation;
using Answer = Operation::Answer;
using Kind = Operation::Kind;

constexpr Duration kPatience = 1s, kFirstPause = 50ms, kLongestPause = 1s;
constexpr Duration kMost = 5s;                   // for a call of an operator, all tries together
constexpr std::size_t kLeavesAfterMs = 40;       // at most, where the answer is not waited for
constexpr std::size_t kLongestTurnMs = 250;      // between an operator's calls
constexpr std::size_t kTroubleEveryMs = 1500;    // at most, for one relay
constexpr Duration kCutFor = 400ms;
constexpr std::size_t kMostCalls = 4000;    // bounds the history

// As the same text would be written by anyone.
std::uint64_t digest(const nlohmann::json& configuration) {
    return std::hash<std::string>()(configuration.dump());
}

}    // namespace

struct Operators::Call {
    Operation operation;
    std::string text;
    TimePoint end{};
    bool leaves = false;    // some of its tries do not wait for their answer
    Duration pause = kFirstPause;
    std::string last;
    Ended ended;
};

Operators::Operators(Calls& calls, Settings settings)
    : calls_(calls), s_(std::move(settings)), random_(s_.seed) {
    turns_.resize(static_cast<std::size_t>(s_.count));
}

Operators::~Operators() { stop(); }

void Operators::gateways(const std::vector<std::string>& control) {
    gateways_ = control;
    for (const std::string& address : control)
        if (!relays_.contains(address))
            relays_.emplace(address, std::make_unique<Relay>(calls_.reactor(), address));
}

void Operators::start() {
    on_ = true;
    for (int who = 0; who < s_.count; ++who) next(who);
    trouble();
}

void Operators::stop() {
    on_ = false;
    for (Timers::Id& turn : turns_) calls_.reactor().cancel(turn);
    calls_.reactor().cancel(trouble_);
    for (auto& [address, relay] : relays_) relay->cut(false);
}

std::int64_t Operators::now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               calls_.reactor().clock().now().time_since_epoch())
        .count();
}

// A relay is cut for a while, or has its connections ended at once: an order that has passed loses its
// answer.
void Operators::trouble() {
    trouble_ = calls_.reactor().after(std::chrono::milliseconds(100 + draw(kTroubleEveryMs)), [this] {
        auto relay = std::next(relays_.begin(), static_cast<std::ptrdiff_t>(draw(relays_.size())));
        relay->second->cut(true);
        ++figures_.resets;
        trouble_ =
            calls_.reactor().after(draw(2) == 0 ? Duration(0) : kCutFor, [this, which = relay->second.get()] {
                which->cut(false);
                trouble();
            });
    });
}

// Mostly over all that were sent; else one that races under a number in use, or one that comes too late.
Operation Operators::draw_order() {
    Operation order;
    const std::size_t kind = draw(10);
    if (kind >= 6 && last_version_ >= 5)
        order.version = kind < 9 ? last_version_ : last_version_ - 1 - draw(3);
    if (order.version == 0 || alone_.contains(order.version)) order.version = ++last_version_;
    return order;
}

void Operators::next(int who) {
    if (!on_ || history_.size() >= kMostCalls) return;
    const auto turn = [this, who] {
        turns_[static_cast<std::size_t>(who)] = 0;
        const auto again = [this, who](Answer) { next(who); };
        if (draw(4) == 0) {
            Operation read;
            read.kind = Kind::Read;
            return begin(read, "", kMost, false, again);
        }
        Operation order = draw_order();
        const std::uint64_t body = ++last_body_;
        const std::string text = s_.text(order.version, body);
        order.body = digest(nlohmann::json::parse(text));
        begin(order, text, kMost, true, [this, who, order, text](Answer) {
            if (!on_ || draw(5) != 0) return next(who);
            begin(order, text, kMost, true, [this, who](Answer) { next(who); });    // once more, unchanged
        });
    };
    turns_[static_cast<std::size_t>(who)] =
        calls_.reactor().after(std::chrono::milliseconds(1 + draw(kLongestTurnMs)), turn);
}

void Operators::order(Duration most, std::function<void(bool)> done) {
    Operation order;
    order.version = ++last_version_;
    alone_.insert(order.version);
    const std::string text = s_.text(order.version, ++last_body_);
    order.body = digest(nlohmann::json::parse(text));
    begin(order, text, most, false, [done = std::move(done)](Answer a) { done(a == Answer::Ok); });
}

void Operators::read(Duration most, std::function<void(bool)> done) {
    Operation read;
    read.kind = Kind::Read;
    begin(read, "", most, false, [done = std::move(done)](Answer a) { done(a == Answer::Ok); });
}

void Operators::begin(Operation what, std::string text, Duration most, bool leaves, Ended ended) {
    auto call = std::make_shared<Call>();
    call->operation = what;
    call->operation.invoked = now();
    call->text = std::move(text);
    call->leaves = leaves;
    call->end = calls_.reactor().clock().now() + most;
    call->ended = std::move(ended);
    ++(what.kind == Kind::Read ? figures_.reads : figures_.orders);
    ++under_way_;
    attempt(call);
}

void Operators::attempt(const std::shared_ptr<Call>& call) {
    std::vector<std::string> others = gateways_;
    if (others.size() > 1) std::erase(others, call->last);
    call->last = others[draw(others.size())];
    const bool leaves = call->leaves && draw(3) == 0;
    if (leaves) ++figures_.answers_left;
    ++figures_.tries;
    const bool is_read = call->operation.kind == Kind::Read;
    calls_.ask(relays_.at(call->last)->address(), is_read ? "GET" : "POST",
               is_read ? "/configuration/read" : "/configuration/replace", call->text,
               leaves ? Duration(std::chrono::milliseconds(1 + draw(kLeavesAfterMs))) : kPatience,
               [this, call, alive = std::weak_ptr<int>(alive_)](const CallAnswer& answer) {
                   if (!alive.expired()) answered(call, answer);
               });
}

void Operators::answered(const std::shared_ptr<Call>& call, const CallAnswer& answer) {
    const int s = answer.status;
    if (call->operation.kind == Kind::Read && (s == 200 || s == 404)) {
        call->operation.version = call->operation.body = 0;    // 404: none was taken yet
        if (s == 200) {
            const auto read = nlohmann::json::parse(answer.body, nullptr, false);
            const std::string revision = read.is_object() ? read.value("revision", "") : "";
            // What cannot be read has a body that nobody sent.
            call->operation.version =
                std::strtoull(revision.c_str() + (revision.empty() ? 0 : 1), nullptr, 10);
            call->operation.body = digest(read);
        }
        return finish(*call, Answer::Ok);
    }
    if (s >= 200 && s < 300) return finish(*call, Answer::Ok);
    if (s == 409) return finish(*call, Answer::Conflict);
    if (s >= 400 && s < 500 && s != 408 && s != 429) return finish(*call, Answer::Refused);
    Reactor& reactor = calls_.reactor();
    if (reactor.clock().now() + call->pause >= call->end) return finish(*call, Answer::Unclear);
    reactor.after(call->pause, [this, call, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) attempt(call);
    });
    call->pause = std::min(call->pause * 2, kLongestPause);
}

void Operators::finish(Call& call, Answer answer) {
    call.operation.answer = answer;
    call.operation.returned = now();
    history_.push_back(call.operation);
    --under_way_;
    if (call.operation.kind == Kind::Replace) {
        if (answer == Answer::Ok) ++figures_.acknowledged;
        if (answer == Answer::Conflict) ++figures_.conflicts;
        if (answer == Answer::Refused) ++figures_.refused;
        if (answer == Answer::Unclear) ++figures_.unclear;
    }
    const Ended ended = std::move(call.ended);
    ended(answer);
}

}    // namespace shaletray::testbed
