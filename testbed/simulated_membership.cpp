#include "simulated_membership.h"

#include <algorithm>

#include "cluster/membership/member_table.h"
#include "cost_series.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using membership::MemberTable;
using membership::Packet;
using membership::PacketKind;

constexpr double kPings = 4.0;    // a second, of one process in a large convoy
constexpr std::size_t kPageEntries = 8;
constexpr int kPages = 4;    // for one question

}    // namespace

SimulatedMembership::SimulatedMembership(int member_count, int real, int controller_count, std::uint64_t seed)
    : random_(seed),
      member_count_(member_count),
      first_real_(member_count - real),
      controller_count_(controller_count) {
    for (int i = 0; i < member_count; ++i) {
        addresses_.push_back("10." + std::to_string(1 + i / 50000) + "." + std::to_string(i / 200 % 250) +
                             "." + std::to_string(i % 200 + 1) + ":7100");
        member_by_address_[addresses_.back()] = i;
        incarnations_.push_back(1'700'000'000'000'000 + random_() % 1'000'000'000);
        if (!is_real_member(i))
            simulated_digest_sum_ ^= MemberTable::compute_digest(MemberTable::hash_address(addresses_.back()),
                                                                 incarnations_.back(), 0);
    }
    real_members_.resize(static_cast<std::size_t>(real));
    armed_deadlines_.assign(real_members_.size(), TimePoint::max());
    for (int i = first_real_; i < member_count; ++i)
        events_.push({current_time_ + Duration(static_cast<std::int64_t>(random_() % 2'000'000)),
                      ++last_event_order_, i, "", "start"});
}

membership::MemberInfo SimulatedMembership::member_info(int member) const {
    membership::MemberInfo f;
    f.address = addresses_[static_cast<std::size_t>(member)];
    f.role = member < controller_count_ ? membership::Role::Controller : membership::Role::Gateway;
    f.name = "edge-santander-a-" + std::to_string(member);
    f.zone = member % 2 == 0 ? "santander-a" : "santander-b";
    f.region = "cantabria";
    if (member < controller_count_) f.control_address = f.address;
    f.incarnation = incarnations_[static_cast<std::size_t>(member)];
    return f;
}

// Of all members, as those know them that know all.
std::uint64_t SimulatedMembership::table_digest() const {
    std::uint64_t sum = simulated_digest_sum_;
    for (int i = first_real_; i < member_count_; ++i) {
        const auto at = static_cast<std::size_t>(i);
        sum ^= MemberTable::compute_digest(MemberTable::hash_address(addresses_[at]), incarnations_[at], 0);
    }
    return sum;
}

void SimulatedMembership::start_member(int member) {
    membership::Settings s;
    s.self = member_info(member);
    for (int i = 0; i < std::min(3, controller_count_); ++i)
        s.seeds.push_back(addresses_[static_cast<std::size_t>(i)]);
    s.random_seed = random_();
    const auto at = static_cast<std::size_t>(member - first_real_);
    real_members_[at] = std::make_unique<membership::Membership>(s, current_time_);
    armed_deadlines_[at] = TimePoint::max();
}

void SimulatedMembership::replace_member(int real_index) {
    const int member = first_real_ + real_index;
    incarnations_[static_cast<std::size_t>(member)] += 1'000'000;
    start_member(member);
    execute_actions(member, {});
}

void SimulatedMembership::enqueue_packet(int from, const std::string& to, std::string bytes) {
    const auto it = member_by_address_.find(to);
    if (it == member_by_address_.end()) return;
    const Duration way = 900us + Duration(static_cast<std::int64_t>(random_() % 600));
    events_.push({current_time_ + way, ++last_event_order_, it->second,
                  addresses_[static_cast<std::size_t>(from)], std::move(bytes)});
}

void SimulatedMembership::execute_actions(int member, const membership::Actions& actions) {
    for (const auto& send : actions.sends) enqueue_packet(member, send.to, send.bytes);
    const auto at = static_cast<std::size_t>(member - first_real_);
    const TimePoint next = real_members_[at]->next_deadline();
    if (next >= armed_deadlines_[at]) return;
    armed_deadlines_[at] = next;
    events_.push({std::max(current_time_, next), ++last_event_order_, member, "", ""});
}

void SimulatedMembership::run_for(Duration span) {
    const TimePoint until = current_time_ + span;
    if (next_ping_ == TimePoint{}) next_ping_ = current_time_;
    while (true) {
        const TimePoint next = events_.empty() ? until : events_.top().due_at;
        if (first_real_ > 0 && next_ping_ <= std::min(next, until)) {
            current_time_ = std::max(current_time_, next_ping_);
            send_simulated_pings();
            continue;
        }
        if (next > until || events_.empty()) break;
        const Event event = events_.top();
        events_.pop();
        current_time_ = std::max(current_time_, event.due_at);
        if (!is_real_member(event.recipient)) {
            answer_as_simulated(event.recipient, event.sender, event.bytes);
            continue;
        }
        const auto at = static_cast<std::size_t>(event.recipient - first_real_);
        membership::Actions out;
        if (event.sender.empty() && event.bytes == "start") {
            start_member(event.recipient);
        } else if (real_members_[at] == nullptr) {
            continue;
        } else if (event.sender.empty()) {
            if (event.due_at < armed_deadlines_[at]) continue;    // overtaken
            armed_deadlines_[at] = TimePoint::max();
            cpu_seconds_ += cpu_seconds_of([&] { real_members_[at]->tick(current_time_, out); });
        } else {
            cpu_seconds_ += cpu_seconds_of(
                [&] { real_members_[at]->on_message(event.sender, event.bytes, current_time_, out); });
        }
        execute_actions(event.recipient, out);
    }
    current_time_ = until;
}

// The members of the crowd ping all others alike; only those that reach a real one matter.
void SimulatedMembership::send_simulated_pings() {
    const double rate = kPings * static_cast<double>(real_members_.size()) * first_real_ / member_count_;
    next_ping_ =
        current_time_ +
        Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_) * 1e6));
    const int from = static_cast<int>(random_() % static_cast<std::uint64_t>(first_real_));
    const int to = first_real_ + static_cast<int>(random_() % real_members_.size());
    if (real_members_[static_cast<std::size_t>(to - first_real_)] == nullptr) return;
    enqueue_packet(
        from, addresses_[static_cast<std::size_t>(to)],
        membership::encode(packet_header(from, PacketKind::Ping, static_cast<std::uint32_t>(random_()))));
}

Packet SimulatedMembership::packet_header(int member, PacketKind kind, std::uint32_t number) const {
    Packet p;
    p.kind = kind;
    p.sequence_number = number;
    p.joined = true;
    p.from_controller = member < controller_count_;
    p.member_count = static_cast<std::uint16_t>(member_count_ - 1);
    p.incarnation = incarnations_[static_cast<std::size_t>(member)];
    p.heartbeat = 1;
    p.digest = table_digest();
    return p;
}

void SimulatedMembership::answer_as_simulated(int member, const std::string& from, const std::string& bytes) {
    const boost::leaf::result<Packet> heard = membership::decode(bytes);
    if (!heard) return;
    if (heard->kind == PacketKind::Ping)
        return enqueue_packet(
            member, from, membership::encode(packet_header(member, PacketKind::Ack, heard->sequence_number)));
    if (heard->kind != PacketKind::SyncRequest) return;
    std::string after = heard->after_address;
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
        Packet p = packet_header(member, PacketKind::SyncPage, heard->sequence_number);
        p.after_address = after;
        for (; it != order.end() && p.entries.size() < kPageEntries; ++it) {
            membership::Entry e;
            e.info = member_info(*it);
            p.entries.push_back(std::move(e));
        }
        p.last_page = it == order.end();
        p.request_more = page == kPages - 1;
        if (!p.last_page) p.up_to_address = after = p.entries.back().info.address;
        enqueue_packet(member, from, membership::encode(p));
        if (p.last_page) return;
    }
}

bool SimulatedMembership::is_complete() const {
    return std::all_of(real_members_.begin(), real_members_.end(), [this](const auto& c) {
        return c != nullptr && c->joined() &&
               c->members().size() + 1 == static_cast<std::size_t>(member_count_);
    });
}

SimulatedMembership::TrafficFigures SimulatedMembership::measure_traffic(Duration span) {
    const auto sum = [this] {
        membership::Statistics all;
        for (const auto& c : real_members_) {
            all.sent += c->statistics().sent;
            all.sent_bytes += c->statistics().sent_bytes;
            all.received_bytes += c->statistics().received_bytes;
        }
        return all;
    };
    const membership::Statistics before = sum();
    const double cpu = cpu_seconds_;
    run_for(span);
    const membership::Statistics after = sum();
    const double by = std::chrono::duration<double>(span).count() * static_cast<double>(real_members_.size());
    return {static_cast<double>(after.sent - before.sent) / by,
            static_cast<double>(after.sent_bytes - before.sent_bytes) / by,
            static_cast<double>(after.received_bytes - before.received_bytes) / by,
            (cpu_seconds_ - cpu) / by};
}

}    // namespace shaletray::testbed
