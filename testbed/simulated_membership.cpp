#include "simulated_membership.h"

#include <algorithm>

#include "cluster/membership/member_table.h"
#include "cost_series.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using membership::Kind;
using membership::Packet;
using membership::Roll;

constexpr double kPings = 4.0;    // a second, of one process in a large convoy
constexpr std::size_t kPageEntries = 8;
constexpr int kPages = 4;    // for one question

}    // namespace

Crowd::Crowd(int members, int real, int lighthouses, std::uint64_t seed)
    : random_(seed), members_(members), first_real_(members - real), lighthouses_(lighthouses) {
    for (int i = 0; i < members; ++i) {
        addresses_.push_back("10." + std::to_string(1 + i / 50000) + "." + std::to_string(i / 200 % 250) +
                             "." + std::to_string(i % 200 + 1) + ":7100");
        by_address_[addresses_.back()] = i;
        lives_.push_back(1'700'000'000'000'000 + random_() % 1'000'000'000);
        if (!is_real(i)) crowd_sum_ ^= Roll::sum(Roll::place(addresses_.back()), lives_.back(), 0);
    }
    real_.resize(static_cast<std::size_t>(real));
    armed_.assign(real_.size(), TimePoint::max());
    for (int i = first_real_; i < members; ++i)
        events_.push(
            {now_ + Duration(static_cast<std::int64_t>(random_() % 2'000'000)), ++order_, i, "", "start"});
}

membership::Facts Crowd::facts(int member) const {
    membership::Facts f;
    f.address = addresses_[static_cast<std::size_t>(member)];
    f.role = member < lighthouses_ ? membership::Role::Lighthouse : membership::Role::Pilot;
    f.name = "edge-santander-a-" + std::to_string(member);
    f.zone = member % 2 == 0 ? "santander-a" : "santander-b";
    f.region = "cantabria";
    if (member < lighthouses_) f.control = f.address;
    f.life = lives_[static_cast<std::size_t>(member)];
    return f;
}

// Of all members, as those know them that know all.
std::uint64_t Crowd::digest() const {
    std::uint64_t sum = crowd_sum_;
    for (int i = first_real_; i < members_; ++i) {
        const auto at = static_cast<std::size_t>(i);
        sum ^= Roll::sum(Roll::place(addresses_[at]), lives_[at], 0);
    }
    return sum;
}

void Crowd::start(int member) {
    membership::Settings s;
    s.me = facts(member);
    for (int i = 0; i < std::min(3, lighthouses_); ++i)
        s.seeds.push_back(addresses_[static_cast<std::size_t>(i)]);
    s.seed = random_();
    const auto at = static_cast<std::size_t>(member - first_real_);
    real_[at] = std::make_unique<membership::Convoy>(s, now_);
    armed_[at] = TimePoint::max();
}

void Crowd::replace(int real) {
    const int member = first_real_ + real;
    lives_[static_cast<std::size_t>(member)] += 1'000'000;
    start(member);
    carry(member, {});
}

void Crowd::post(int from, const std::string& to, std::string bytes) {
    const auto it = by_address_.find(to);
    if (it == by_address_.end()) return;
    const Duration way = 900us + Duration(static_cast<std::int64_t>(random_() % 600));
    events_.push(
        {now_ + way, ++order_, it->second, addresses_[static_cast<std::size_t>(from)], std::move(bytes)});
}

void Crowd::carry(int member, const membership::Actions& out) {
    for (const auto& send : out.sends) post(member, send.to, send.bytes);
    const auto at = static_cast<std::size_t>(member - first_real_);
    const TimePoint next = real_[at]->next();
    if (next >= armed_[at]) return;
    armed_[at] = next;
    events_.push({std::max(now_, next), ++order_, member, "", ""});
}

void Crowd::run(Duration span) {
    const TimePoint until = now_ + span;
    if (next_ping_ == TimePoint{}) next_ping_ = now_;
    while (true) {
        const TimePoint next = events_.empty() ? until : events_.top().at;
        if (first_real_ > 0 && next_ping_ <= std::min(next, until)) {
            now_ = std::max(now_, next_ping_);
            crowd_pings();
            continue;
        }
        if (next > until || events_.empty()) break;
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        if (!is_real(event.to)) {
            stand_in(event.to, event.from, event.bytes);
            continue;
        }
        const auto at = static_cast<std::size_t>(event.to - first_real_);
        membership::Actions out;
        if (event.from.empty() && event.bytes == "start") {
            start(event.to);
        } else if (real_[at] == nullptr) {
            continue;
        } else if (event.from.empty()) {
            if (event.at < armed_[at]) continue;    // overtaken
            armed_[at] = TimePoint::max();
            cpu_ += cpu_of([&] { real_[at]->tick(now_, out); });
        } else {
            cpu_ += cpu_of([&] { real_[at]->heard(event.from, event.bytes, now_, out); });
        }
        carry(event.to, out);
    }
    now_ = until;
}

// The members of the crowd ping all others alike; only those that reach a real one matter.
void Crowd::crowd_pings() {
    const double rate = kPings * static_cast<double>(real_.size()) * first_real_ / members_;
    next_ping_ =
        now_ +
        Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_) * 1e6));
    const int from = static_cast<int>(random_() % static_cast<std::uint64_t>(first_real_));
    const int to = first_real_ + static_cast<int>(random_() % real_.size());
    if (real_[static_cast<std::size_t>(to - first_real_)] == nullptr) return;
    post(from, addresses_[static_cast<std::size_t>(to)],
         membership::encode(head(from, Kind::Ping, static_cast<std::uint32_t>(random_()))));
}

Packet Crowd::head(int member, Kind kind, std::uint32_t number) const {
    Packet p;
    p.kind = kind;
    p.number = number;
    p.joined = true;
    p.lighthouse = member < lighthouses_;
    p.members = static_cast<std::uint16_t>(members_ - 1);
    p.life = lives_[static_cast<std::size_t>(member)];
    p.beat = 1;
    p.digest = digest();
    return p;
}

void Crowd::stand_in(int member, const std::string& from, const std::string& bytes) {
    const boost::leaf::result<Packet> heard = membership::decode(bytes);
    if (!heard) return;
    if (heard->kind == Kind::Ping)
        return post(member, from, membership::encode(head(member, Kind::Answer, heard->number)));
    if (heard->kind != Kind::Ask) return;
    std::string after = heard->after;
    // By their order; the addresses are kept as they were made, so the order is looked for.
    static thread_local std::vector<int> order;
    if (order.size() != addresses_.size()) {
        order.resize(addresses_.size());
        for (std::size_t i = 0; i < order.size(); ++i) order[i] = static_cast<int>(i);
        std::sort(order.begin(), order.end(), [this](int a, int b) {
            return addresses_[static_cast<std::size_t>(a)] < addresses_[static_cast<std::size_t>(b)];
        });
    }
    auto it = std::partition_point(order.begin(), order.end(),
                                   [&](int i) { return addresses_[static_cast<std::size_t>(i)] <= after; });
    for (int page = 0; page < kPages; ++page) {
        Packet p = head(member, Kind::Page, heard->number);
        p.after = after;
        for (; it != order.end() && p.entries.size() < kPageEntries; ++it) {
            membership::Entry e;
            e.facts = facts(*it);
            p.entries.push_back(std::move(e));
        }
        p.last = it == order.end();
        p.more = page == kPages - 1;
        if (!p.last) p.next = after = p.entries.back().facts.address;
        post(member, from, membership::encode(p));
        if (p.last) return;
    }
}

bool Crowd::complete() const {
    return std::all_of(real_.begin(), real_.end(), [this](const auto& c) {
        return c != nullptr && c->joined() && c->members().size() + 1 == static_cast<std::size_t>(members_);
    });
}

Crowd::Figures Crowd::measure(Duration span) {
    const auto sum = [this] {
        membership::Tallies all;
        for (const auto& c : real_) {
            all.sent += c->tallies().sent;
            all.sent_bytes += c->tallies().sent_bytes;
            all.heard_bytes += c->tallies().heard_bytes;
        }
        return all;
    };
    const membership::Tallies before = sum();
    const double cpu = cpu_;
    run(span);
    const membership::Tallies after = sum();
    const double by = std::chrono::duration<double>(span).count() * static_cast<double>(real_.size());
    return {static_cast<double>(after.sent - before.sent) / by,
            static_cast<double>(after.sent_bytes - before.sent_bytes) / by,
            static_cast<double>(after.heard_bytes - before.heard_bytes) / by, (cpu_ - cpu) / by};
}

}    // namespace shaletray::testbed
