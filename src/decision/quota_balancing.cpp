// Balancing of quota buckets between the gateways of a set by pairwise halving, as in DQMP.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kPeerInterval = 250ms;         // between two messages to the same peer (DQMP)
constexpr double kMinGap = 1.0;                   // units; smaller gaps are left alone (DQMP)
constexpr double kMinChange = 0.5;                // units that the peer's estimate of our level is off
constexpr double kMinGapShare = 0.75;             // the same two as parts of a full bucket, where
constexpr double kMinChangeShare = 0.5;           // buckets hold less than a unit
constexpr double kPeerLoad = 0.5;                 // of what a peer can receive, to leave room for bursts
constexpr Duration kMinMessageInterval = 50ms;    // between any two messages of a gateway
constexpr double kBytesPerRequest = 100.0;        // bytes that each request adds to the message budget
constexpr double kIdleBytesPerS = 60.0;           // lets idle gateways pass units on too
constexpr double kMinBudgetBytes = 150.0;         // bytes; headers would dominate smaller messages
constexpr double kMaxBudgetBytes = 1024.0;        // bytes
constexpr double kMaxTransferFactor = 4.0;        // largest requests, or shares, moved by one message
constexpr Duration kPeerFreshness = 1s;           // peers silent for longer get no units
constexpr Duration kIncarnationExpiry = 10s;      // then an older incarnation is accepted again
constexpr Duration kTransferLifetime = 1s;        // of hard limit units on their way

void Gateway::Impl::init_message_pacing() {
    send_interval_ = kMinMessageInterval;
    if (settings_.peer_messages_per_s > 0.0)
        send_interval_ =
            std::max(send_interval_, from_seconds(1.0 / (kPeerLoad * settings_.peer_messages_per_s)));
    send_budget_ = kMaxBudgetBytes;
    full_mesh_ = (settings_.gateways - 1) / seconds(kPeerInterval) <= settings_.peer_messages_per_s;
}

void Gateway::Impl::earn_send_budget() {
    send_budget_ = std::min(kMaxBudgetBytes, send_budget_ + kBytesPerRequest);
}

double Gateway::Impl::estimate(const Customer& customer, double level, TimePoint as_of, TimePoint now) const {
    return level >= customer.quota.burst
               ? level
               : std::min(customer.quota.burst, level + customer.quota.rate * seconds(now - as_of));
}

double Gateway::Impl::estimated_level(const Customer& customer, const Link& link, TimePoint now) const {
    return link.reported ? estimate(customer, *link.reported, link.reported_at, now) : customer.quota.burst;
}

void Gateway::Impl::send_peer_update(TimePoint now) {
    if (now < next_message_at_ || !settings_.may_tell) return;
    send_budget_ = std::min(kMaxBudgetBytes, send_budget_ + kIdleBytesPerS * seconds(now - send_budget_at_));
    send_budget_at_ = now;
    next_message_at_ = now + send_interval_;
    if (send_budget_ < kMinBudgetBytes) return;
    for (auto& [id, peer] : peers_) peer.priority = 0.0;
    for (auto it = customers_to_balance_.begin(); it != customers_to_balance_.end();) {
        const auto found = customers_.find(*it);
        double priority = 0.0;
        if (found != customers_.end()) {
            refill(found->second, now);
            for (Link& link : found->second.links) {
                const double link_priority = plan_update(found->second, link, now).priority;
                priority += link_priority;
                link.peer->priority += link_priority;
            }
        }
        it = priority > 0.0 ? std::next(it) : customers_to_balance_.erase(it);
    }
    auto best = peers_.end();
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        const Peer& peer = it->second;
        if (peer.priority <= 0.0 || (peer.ever_sent && now - peer.last_sent_at < kPeerInterval)) continue;
        if (best == peers_.end() || peer.priority > best->second.priority) best = it;
    }
    if (best != peers_.end()) send_to_peer(best->first, best->second, now);
}

Gateway::Impl::BalanceUpdate Gateway::Impl::plan_update(const Customer& customer, const Link& link,
                                                        TimePoint now) const {
    BalanceUpdate update;
    const PlanSettings& plan = plan_at(customer.plan);
    if (plan.rate <= 0.0) return update;
    const Peer& peer = *link.peer;
    const double share = std::max(1e-3, customer.quota.burst);
    update.free = customer.quota.level - (customer.pooled ? 0.0 : customer.backlog);
    if (customer.pooled ? now - (peer.known ? peer.last_received_at : last_peer_message_at_) <= kIsolatedAfter
                        : peer.known && link.reported && now - peer.last_received_at <= kPeerFreshness) {
        const double gap = update.free - estimated_level(customer, link, now);
        if (std::abs(gap) > std::min(kMinGap, kMinGapShare * share)) update.transfer = gap / 2.0;
        if (!customer.pooled) update.transfer = std::min(update.transfer, customer.quota.level);
        if (plan.ceiling_rate > 0.0) update.transfer = std::min(update.transfer, customer.hard_limit.level);
        update.transfer = peer_amount(customer.pooled ? update.transfer : std::max(0.0, update.transfer));
    }
    const double change = std::abs(update.free - estimate(customer, link.announced, link.announced_at, now));
    if (update.transfer == 0.0 && change < std::min(kMinChange, kMinChangeShare * share)) return update;
    const double age = 1.0 + seconds(now - link.announced_at);    // entries that did not fit gain priority
    const double weight = fleet::is_sparse(settings_) ? plan.price : 1.0 / share;
    update.priority =
        ((2.0 * std::abs(update.transfer) + change) * weight + (customer.backlog > 0.0 ? 1.0 : 0.0)) * age;
    return update;
}

void Gateway::Impl::send_to_peer(PeerId id, Peer& peer, TimePoint now) {
    std::vector<std::tuple<BalanceUpdate, CustomerId, Customer*, Link*>> entries;
    for (const CustomerId customer_id : customers_to_balance_) {
        Customer& customer = customers_.at(customer_id);
        for (Link& link : customer.links) {
            if (link.peer_id != id) continue;
            if (const BalanceUpdate update = plan_update(customer, link, now); update.priority > 0.0)
                entries.emplace_back(update, customer_id, &customer, &link);
        }
    }
    if (entries.empty()) return;
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return std::get<0>(left).priority > std::get<0>(right).priority;
    });
    PeerHeader header;
    header.incarnation = static_cast<std::uint64_t>(started_at_.time_since_epoch().count());
    header.sequence = ++peer.sent_sequence;
    header.stamp_ms = static_cast<std::uint64_t>((now - started_at_) / 1ms);
    if (peer.known) {
        header.echo_incarnation = peer.incarnation;
        header.echo_stamp_ms = peer.stamp_ms;
    }
    PeerMessageWriter writer(header);
    for (auto& [update, customer_id, customer_ptr, link_ptr] : entries) {
        Customer& customer = *customer_ptr;
        Link& link = *link_ptr;
        const double transfer = update.transfer;
        const bool has_hard_limit = plan_at(customer.plan).ceiling_rate > 0.0 && transfer > 0.0;
        PeerEntry entry{customer_id, update.free - transfer, link.units_sent + transfer,
                        has_hard_limit ? transfer : 0.0, std::nullopt};
        if (!link.reported) entry.introduction = {customer.plan, customer.first_gateway, customer.width};
        if (!writer.add(entry)) break;
        link.announced = update.free - transfer;
        link.announced_at = now;
        if (transfer == 0.0) continue;
        customer.quota.level -= transfer;    // if this message is lost, the next one includes the transfer
        link.units_sent += transfer;
        if (has_hard_limit) {
            customer.hard_limit.level -= transfer;
            customer.transfers.push_back({now + kTransferLifetime, transfer});
        }
        link.reported = estimated_level(customer, link, now) + transfer;
        link.reported_at = now;
    }
    peer.last_sent_at = now;
    peer.ever_sent = true;
    std::vector<std::uint8_t> bytes = writer.take();
    send_budget_ -= static_cast<double>(bytes.size());
    actions_->push_back(TellPeer{id, std::move(bytes)});
}

void Gateway::Impl::on_peer_message(const PeerBytes& event, TimePoint now) {
    const std::optional<PeerMessage> message = parse_peer_message(event.bytes);
    const auto peer_index = static_cast<int>(event.from);
    if (!message || peer_index < 0 || peer_index >= settings_.gateways || peer_index == settings_.me) return;
    Peer& peer = peers_[event.from];
    const PeerHeader& header = message->header;
    if (peer.known && header.incarnation != peer.incarnation) {
        // Late messages must not create units, but a peer whose clock was set back must be accepted again.
        if (header.incarnation < peer.incarnation && now - peer.last_received_at < kIncarnationExpiry) return;
        peer.received_sequence = 0;
        for (auto& [id, customer] : customers_) {
            for (Link& link : customer.links) {
                if (link.peer_id != event.from) continue;
                link.reported.reset();    // a restarted peer has lost its levels and ours
                link.units_sent = link.units_received = 0.0;
                link.announced = customer.quota.burst;
                link.announced_at = now;
                customers_to_balance_.insert(id);
            }
        }
    } else if (peer.known && header.sequence <= peer.received_sequence) {
        return;    // duplicate or out of order
    }
    peer.incarnation = header.incarnation;
    peer.received_sequence = header.sequence;
    peer.stamp_ms = header.stamp_ms;
    peer.last_received_at = last_peer_message_at_ = now;
    peer.known = true;
    // The peer sent its transfers after our echoed timestamp, which bounds their age.
    const bool echo_matches =
        header.echo_incarnation == static_cast<std::uint64_t>(started_at_.time_since_epoch().count());
    const TimePoint echoed_at =
        started_at_ +
        Duration(1000) * static_cast<std::int64_t>(std::min<std::uint64_t>(header.echo_stamp_ms, 1ULL << 40));
    const bool transfer_valid = echo_matches && echoed_at <= now && now - echoed_at < kTransferLifetime;
    for (const PeerEntry& entry : message->entries) {
        Customer* customer = customer_from(entry, event.from, now);
        if (customer == nullptr) continue;
        for (Link& link : customer->links) {
            if (link.peer_id != event.from) continue;
            refill(*customer, now);
            link.reported = entry.free;
            link.reported_at = customer->last_used = now;
            customers_to_balance_.insert(entry.customer);
            if (!echo_matches && header.echo_incarnation != 0) continue;    // sent to an earlier process
            const double limit =
                kMaxTransferFactor * std::max(customer->quota.burst, std::max(1.0, settings_.most_units));
            const double received = std::clamp(entry.passed - link.units_received, -limit, limit);
            link.units_received = entry.passed;
            const double max_level =
                std::max(customer->quota.burst, std::max(settings_.most_units, customer->backlog));
            customer->quota.level =
                received < 0.0
                    ? customer->quota.level + received
                    : std::max(customer->quota.level, std::min(max_level, customer->quota.level + received));
            if (transfer_valid)
                customer->hard_limit.level =
                    std::min(hard_limit_burst(*customer, now), customer->hard_limit.level + entry.rights);
        }
    }
}

}    // namespace shaletray::decision
