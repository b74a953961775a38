#include "balancer/shared_counter/store_session.h"

#include <fmt/format.h>

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBackoff = 50ms, kLongestBackoff = 800ms;
constexpr Duration kRefusedBackoff = 5s;    // wrong password, wrong database: that takes an operator
constexpr int kPatience = 8;    // time-outs without an answer, after which a connection is given up
constexpr Duration kLeastPatience = 3s;    // a store that is two seconds slow is slow and not gone

std::string field_of(CustomerId id, int gateway) {
    return fmt::format("{:x}:{}", static_cast<std::uint64_t>(id), gateway);
}

}    // namespace

Session::Session(SessionSettings settings, Ledger& ledger, CounterStats& stats, std::uint64_t seed)
    : s_(std::move(settings)), ledger_(ledger), stats_(stats), random_(seed) {}

// ---- its connection ----

void Session::dialling(TimePoint now) {
    state_ = State::Dialling;
    since_ = now;
    wrong_.reset();
    calls_.clear();
    output_.clear();
    replies_ = Replies();
}

void Session::connected(TimePoint now) {
    state_ = State::Greeting;
    since_ = now;
    ++stats_.connects;
    if (!s_.password.empty()) {
        std::vector<std::string> words{"AUTH"};
        if (!s_.username.empty()) words.push_back(s_.username);
        words.push_back(s_.password);
        call(Ask::Greeting, words, now);
    }
    if (s_.database != 0) call(Ask::Greeting, {"SELECT", std::to_string(s_.database)}, now);
    call(Ask::RunId, {"INFO", "server"}, now);
}

void Session::broke(TimePoint now) {
    if (state_ == State::Down) return;
    ++stats_.lost;
    stats_.late += static_cast<std::uint64_t>(
        std::count_if(calls_.begin(), calls_.end(), [](const Call& c) { return !c.late; }));
    calls_.clear();
    state_ = State::Down;
    backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, std::max(kLongestBackoff, backoff_));
    // Between half and all of it: gateways that lost the same store do not all come back at once.
    retry_at_ =
        now + backoff_ / 2 +
        Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count() / 2)));
    wrong_.reset();
}

void Session::received(std::string_view bytes, TimePoint now) {
    if (state_ != State::Greeting && state_ != State::Up) return;
    try {
        replies_.feed(bytes);
        while (!wrong_) {
            const std::optional<Reply> reply = replies_.next();
            if (!reply) break;
            if (calls_.empty()) throw NotResp("an answer that nobody asked for");
            const Call call = std::move(calls_.front());
            calls_.pop_front();
            answered(call, *reply, now);
        }
    } catch (const NotResp& error) {
        wrong_ = fmt::format("it does not speak the Redis protocol: {}", error.what());
        backoff_ = kRefusedBackoff;
    }
}

void Session::answered(const Call& call, const Reply& reply, TimePoint now) {
    if (reply.kind == Reply::Kind::Error) {
        ++stats_.errors;
        const bool refused = call.ask == Ask::Greeting || reply.text.starts_with("NOAUTH") ||
                             reply.text.starts_with("WRONGPASS") || reply.text.starts_with("NOPERM");
        if (refused) backoff_ = kRefusedBackoff;
        // LOADING, READONLY, MOVED, OOM and whatever else: it cannot keep rows now.
        wrong_ = fmt::format("it answered {}", reply.text.substr(0, 80));
        return;
    }
    switch (call.ask) {
        case Ask::Greeting: break;
        case Ask::RunId: greeted(reply, now); break;
        case Ask::Write:
            if (reply.kind != Reply::Kind::Integer) wrong_ = "it answered a write with no number";
            break;
        case Ask::Read: read(call, reply, now); break;
    }
}

void Session::greeted(const Reply& reply, TimePoint) {
    if (reply.kind != Reply::Kind::Text) {
        wrong_ = "it told nothing of itself";
        return;
    }
    std::string id;
    if (const std::size_t at = reply.text.find("run_id:"); at != std::string::npos) {
        id = reply.text.substr(at + 7);
        id.resize(std::min(id.size(), id.find_first_of("\r\n")));
    }
    // For the operator's eyes only: nothing that is granted rests on which process answers.
    if (!run_id_.empty() && id != run_id_) ++stats_.replaced;
    run_id_ = id;
    state_ = State::Up;
    backoff_ = Duration(0);
    epoch_ = -1;
    news_written_ = ~std::uint64_t{0};
    ledger_.refresh();    // it may have lost what it held
}

void Session::bad_value(const std::string& field) {
    ++stats_.bad_values;
    if (!spoilt_) spoilt_ = field;
}

void Session::read(const Call& call, const Reply& reply, TimePoint now) {
    const std::size_t gateways = static_cast<std::size_t>(s_.gateways);
    if (reply.kind != Reply::Kind::List ||
        reply.items.size() != gateways + call.wanted.size() + call.notices.size()) {
        wrong_ = "it answered a read with no list of that length";
        return;
    }
    // Nothing where no value is. What is no text is no row either.
    const auto text = [&](const Reply& item) -> const std::string* {
        return item.kind == Reply::Kind::Nil ? nullptr : &item.text;
    };
    for (std::size_t i = 0; i < gateways; ++i) {
        const std::string* const value = text(reply.items[i]);
        if (value == nullptr || static_cast<int>(i) == s_.me) continue;
        if (const auto news = limits::read_news(*value)) ledger_.news_heard(static_cast<int>(i), *news, now);
        else bad_value(fmt::format("news:{}", i));
    }
    for (std::size_t i = 0; i < call.wanted.size(); ++i) {
        const std::string* const value = text(reply.items[gateways + i]);
        if (value == nullptr) continue;
        if (const auto row = limits::read_row(*value)) {
            ++stats_.rows_read;
            const auto& [customer, gateway] = call.wanted[i];
            const bool missed = ledger_.overdue(customer, gateway, now);
            if (ledger_.row_heard(customer, gateway, *row, now) && missed) brought_news_ = true;
        } else {
            bad_value(field_of(call.wanted[i].first, call.wanted[i].second));
        }
    }
    for (std::size_t i = 0; i < call.notices.size(); ++i) {
        const std::string* const value = text(reply.items[gateways + call.wanted.size() + i]);
        if (value != nullptr) notices_->heard(call.notices[i], *value, now);
        else notices_->absent(call.notices[i]);
    }
}

// ---- calls ----

void Session::call(Ask ask, const std::vector<std::string>& words, TimePoint now,
                   std::vector<std::pair<CustomerId, int>> wanted) {
    ++stats_.calls;
    calls_.push_back({ask, now, false, std::move(wanted), {}});
    output_ += write_command(words);
}

bool Session::prompt(TimePoint now) const {
    return up() && (calls_.empty() || now - calls_.front().at <= s_.timeout);
}

Duration Session::patience() const { return std::max(kLeastPatience, kPatience * s_.timeout); }

// All rows of a while in one hash, which the store drops by itself: what dead gateways and customers that are
// gone leave behind does not stay. Gateways whose clocks differ miss each other's rows for that much at its
// end.
std::string Session::rows_key(TimePoint now) {
    const std::int64_t epoch = now.time_since_epoch() / s_.epoch;
    const std::string key = fmt::format("{}:rows:{}", s_.prefix, epoch);
    if (epoch != epoch_) {
        epoch_ = epoch;
        news_written_ = ~std::uint64_t{0};
        ledger_.refresh();
    }
    return key;
}

void Session::exchange(const std::vector<std::pair<CustomerId, limits::Row>>& rows,
                       const std::vector<std::pair<CustomerId, int>>& wanted, TimePoint now) {
    const bool first = now.time_since_epoch() / s_.epoch != epoch_;
    const std::string key = rows_key(now);
    std::vector<std::string> write{"HSET", key};
    const limits::News news = ledger_.news();
    if (news.last != news_written_) {
        write.push_back(fmt::format("news:{}", s_.me));
        write.push_back(limits::write_news(news));
        news_written_ = news.last;
    }
    for (const auto& [id, row] : rows) {
        write.push_back(field_of(id, s_.me));
        write.push_back(limits::write_row(row));
    }
    if (notices_ != nullptr) {
        for (auto& [field, value] : notices_->to_write()) {
            write.push_back(std::move(field));
            write.push_back(std::move(value));
        }
    }
    stats_.rows_written += rows.size();
    if (write.size() > 2) {
        call(Ask::Write, write, now);
        if (first) call(Ask::Write, {"PEXPIRE", key, std::to_string(3 * s_.epoch / 1ms)}, now);
    }
    std::vector<std::string> read{"HMGET", key};
    for (int i = 0; i < s_.gateways; ++i) read.push_back(fmt::format("news:{}", i));
    for (const auto& [id, gateway] : wanted) read.push_back(field_of(id, gateway));
    std::vector<std::string> notices;
    if (notices_ != nullptr) notices = notices_->wanted();
    read.insert(read.end(), notices.begin(), notices.end());
    call(Ask::Read, read, now, wanted);
    calls_.back().notices = std::move(notices);
}

void Session::tick(TimePoint now) {
    if (state_ == State::Down || wrong_) return;
    for (Call& c : calls_) {
        if (c.late || now - c.at <= s_.timeout) continue;
        c.late = true;
        ++stats_.late;
    }
    if (state_ != State::Up && now - since_ >= patience()) wrong_ = "nothing was heard after the greeting";
    if (state_ == State::Dialling && now - since_ >= 4 * s_.timeout) wrong_ = "no connection came up";
    if (state_ == State::Up && !calls_.empty() && now - calls_.front().at >= patience())
        wrong_ = "it has not answered for long";
}

std::optional<TimePoint> Session::next() const {
    switch (state_) {
        case State::Down: return retry_at_;
        case State::Dialling: return since_ + 4 * s_.timeout;
        case State::Greeting: return since_ + patience();
        case State::Up: break;
    }
    if (calls_.empty()) return std::nullopt;
    return calls_.front().late ? calls_.front().at + patience() : calls_.front().at + s_.timeout;
}

}    // namespace shaletray::shared_counter
