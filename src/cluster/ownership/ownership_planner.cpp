#include "cluster/ownership/ownership_planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shaletray::ownership {
namespace {

using namespace std::chrono_literals;

// A range that is given away is cut into this many pieces at most.
constexpr std::uint32_t kMaxPieces = 8;
// A server that has less than this part of an even share gets more.
constexpr std::uint32_t kPoorDivisor = 2;
// Smaller parts of an even share are not worth a move.
constexpr std::uint32_t kMinMoveDivisor = 16;
// Rows of a server above which its adjacent ones are merged.
constexpr std::size_t kMergeAbove = 12;
// So many of the poorest servers are looked at for the one that learns of its keys first.
constexpr std::size_t kReceiverChoices = 4;
// A receiver whose heartbeat comes before the keys are released learns of them only by the one after.
constexpr Duration kReleaseTime = 250ms;

// The state of one service while a plan is made.
class ServicePlan {
public:
    ServicePlan(Assignments rows, const Servers& servers, std::uint64_t next_version)
        : rows_(std::move(rows)), next_version_(next_version) {
        for (const auto& [id, server] : servers) {
            if (server.state == ServerInfo::State::InService)
                receivers_[id] = {0, 0, server.next_heartbeat_in};
            else if (server.state == ServerInfo::State::Leaving) leaving_.insert(id);
            else unknown_.insert(id);
        }
        for (const Assignment& row : rows_) count_row(row.owner, row.keys.size(), 1);
    }

    bool has_receivers() const { return !receivers_.empty(); }
    bool is_in_service(const std::string& id) const { return receivers_.contains(id); }
    bool is_leaving(const std::string& id) const { return leaving_.contains(id); }
    bool is_gone(const std::string& id) const {
        return !is_in_service(id) && !is_leaving(id) && !unknown_.contains(id);
    }

    void move_from_gone() {
        move_rows([this](const Assignment& row) { return is_gone(row.owner) ? Move::Whole : Move::None; });
    }
    void move_from_leaving() {
        move_rows([this](const Assignment& row) {
            if (!is_leaving(row.owner)) return Move::None;
            if (!row.settled) return Move::Whole;
            if (row.keys.size() > 1) return Move::AllButOne;
            return is_proof_awaited(row) ? Move::None : Move::Whole;
        });
    }
    void give_to_poor() {
        if (is_moving()) return;
        for (auto& [id, receiver] : receivers_)
            if (receiver.keys < even_share() / kPoorDivisor) fill(id, receiver);
    }
    // Adjacent rows of one owner become one where a server has many. Its fence is new, as its bounds are.
    void merge_rows() {
        const bool is_fragmented = std::any_of(receivers_.begin(), receivers_.end(), [](const auto& entry) {
            return entry.second.rows > kMergeAbove;
        });
        if (!is_fragmented || is_moving()) return;
        Assignments merged;
        for (Assignment& row : rows_) {
            const bool joins = !merged.empty() && merged.back().owner == row.owner;
            if (joins) keep_as(merged.back(), row.keys.last);
            else merged.push_back(std::move(row));
        }
        rows_ = std::move(merged);
    }
    Assignments take_rows() {
        std::sort(rows_.begin(), rows_.end(),
                  [](const Assignment& a, const Assignment& b) { return a.keys.first < b.keys.first; });
        return std::move(rows_);
    }

private:
    enum class Move { None, Whole, AllButOne };
    struct Receiver {
        std::uint32_t keys = 0;
        std::size_t rows = 0;
        Duration next_heartbeat_in{0};
    };

    bool is_moving() const {
        return std::any_of(rows_.begin(), rows_.end(), [](const Assignment& row) { return !row.settled; });
    }

    std::uint32_t even_share() const { return kKeyCount / static_cast<std::uint32_t>(receivers_.size()); }

    void count_row(const std::string& owner, std::uint32_t keys, std::size_t rows) {
        const auto receiver = receivers_.find(owner);
        if (receiver == receivers_.end()) return;
        receiver->second.keys += keys;
        receiver->second.rows += rows;
    }

    // Whether other keys of the row that it was cut from are still to be proven released by its report.
    bool is_proof_awaited(const Assignment& kept) const {
        return std::any_of(rows_.begin(), rows_.end(), [&](const Assignment& row) {
            return !row.settled && row.previous_owner == kept.owner && row.fence == kept.fence;
        });
    }

    template <class Decide>
    void move_rows(const Decide& decide) {
        std::vector<Move> moves;
        for (const Assignment& row : rows_) moves.push_back(decide(row));
        Assignments former = std::exchange(rows_, {});
        for (std::size_t i = 0; i < former.size(); ++i) {
            if (moves[i] == Move::None) rows_.push_back(std::move(former[i]));
            else if (moves[i] == Move::Whole) move_whole(former, i);
            else keep_first_key(std::move(former[i]));
        }
    }

    // A few keys go to the owner of the keys beside them, so that rows can be merged later.
    void move_whole(const Assignments& former, std::size_t index) {
        const KeyRange& keys = former[index].keys;
        if (keys.size() < even_share() / kMinMoveDivisor) {
            for (const std::size_t neighbour : {index + 1, index - 1}) {
                if (neighbour >= former.size() || !is_in_service(former[neighbour].owner)) continue;
                return give(former[neighbour].owner, keys, "", 0);
            }
        }
        distribute(keys, "", 0);
    }

    void keep_first_key(Assignment row) {
        const KeyRange rest{static_cast<Key>(row.keys.first + 1), row.keys.last};
        const Assignment kept = keep(std::move(row), static_cast<Key>(rest.first - 1));
        distribute(rest, kept.owner, kept.previous_fence);
    }

    // Changes a row's end, which gives it a new fence.
    void keep_as(Assignment& row, Key last) const {
        row.previous_fence = row.fence == next_version_ ? row.previous_fence : row.fence;
        row.keys.last = last;
        row.fence = row.changed = next_version_;
        row.previous_owner.clear();
        row.handover.clear();
    }

    // Adds the part of a row that its owner keeps.
    Assignment keep(Assignment row, Key last) {
        keep_as(row, last);
        rows_.push_back(row);
        return row;
    }

    void distribute(KeyRange range, const std::string& previous_owner, std::uint64_t previous_fence) {
        const std::uint32_t min_piece = std::max(1U, (range.size() + kMaxPieces - 1) / kMaxPieces);
        for (std::uint32_t left = range.size(); left > 0; left = range.size()) {
            const std::string& id = choose_receiver();
            const std::uint32_t keys = receivers_.at(id).keys;
            const std::uint32_t missing = even_share() > keys ? even_share() - keys : 0;
            const std::uint32_t size = std::min(left, std::max(min_piece, missing));
            const KeyRange piece{range.first, static_cast<Key>(range.first + size - 1)};
            give(id, piece, previous_owner, previous_fence);
            if (size == left) return;
            range.first = static_cast<Key>(range.first + size);
        }
    }

    void give(const std::string& id, KeyRange keys, const std::string& previous_owner,
              std::uint64_t previous_fence) {
        Assignment row;
        row.keys = keys;
        row.owner = id;
        row.fence = row.changed = next_version_;
        row.previous_owner = previous_owner;
        row.previous_fence = previous_fence;
        rows_.push_back(std::move(row));
        count_row(id, keys.size(), 1);
    }

    // Of the poorest, the one that learns first of what it gets.
    const std::string& choose_receiver() const {
        using Entry = const std::pair<const std::string, Receiver>;
        std::vector<Entry*> order;
        for (Entry& entry : receivers_)
            if (entry.second.rows < kMaxRowsPerServer) order.push_back(&entry);
        if (order.empty())
            for (Entry& entry : receivers_) order.push_back(&entry);
        std::stable_sort(order.begin(), order.end(),
                         [](const Entry* a, const Entry* b) { return a->second.keys < b->second.keys; });
        const auto learns_in = [](const Entry* entry) {
            const Duration due = entry->second.next_heartbeat_in;
            return due < kReleaseTime ? due + 1h : due;
        };
        const std::size_t choices = std::min(order.size(), kReceiverChoices);
        return (*std::min_element(
                    order.begin(), order.begin() + static_cast<std::ptrdiff_t>(choices),
                    [&](const Entry* a, const Entry* b) { return learns_in(a) < learns_in(b); }))
            ->first;
    }

    // Takes keys from the servers that have the most.
    void fill(const std::string& id, const Receiver& receiver) {
        const std::uint32_t share = even_share();
        while (receiver.keys + share / kMinMoveDivisor < share && receiver.rows < kMaxRowsPerServer) {
            const std::size_t index = find_donor_row(share);
            if (index == rows_.size()) return;
            Assignment row = rows_[index];
            const std::uint32_t surplus = receivers_.at(row.owner).keys - share;
            const std::uint32_t size = std::min({surplus, share - receiver.keys, row.keys.size() - 1});
            const KeyRange moved{static_cast<Key>(row.keys.last - size + 1), row.keys.last};
            rows_.erase(rows_.begin() + static_cast<std::ptrdiff_t>(index));
            receivers_.at(row.owner).keys -= size;
            const Assignment kept = keep(std::move(row), static_cast<Key>(moved.first - 1));
            give(id, moved, kept.owner, kept.previous_fence);
        }
    }

    // The largest settled row of the server with the most keys, where that has enough above the share.
    std::size_t find_donor_row(std::uint32_t share) const {
        std::size_t best = rows_.size();
        const auto wealth_of = [&](const Assignment& row) { return receivers_.at(row.owner).keys; };
        for (std::size_t i = 0; i < rows_.size(); ++i) {
            const Assignment& row = rows_[i];
            if (!row.settled || row.keys.size() < 2 || !is_in_service(row.owner)) continue;
            if (wealth_of(row) < share + std::max(1U, share / kMinMoveDivisor)) continue;
            const bool is_better =
                best == rows_.size() || wealth_of(row) > wealth_of(rows_[best]) ||
                (wealth_of(row) == wealth_of(rows_[best]) && row.keys.size() > rows_[best].keys.size());
            if (is_better) best = i;
        }
        return best;
    }

    Assignments rows_;
    std::uint64_t next_version_;
    std::map<std::string, Receiver> receivers_;    // servers in service, by id
    std::set<std::string> leaving_, unknown_;
};

}    // namespace

std::optional<OwnershipTable> OwnershipPlanner::plan(const std::map<std::string, Servers>& servers) const {
    OwnershipTable next = table_;
    for (const auto& [service, its_servers] : servers) {
        const auto rows = table_.services.find(service);
        Assignments planned = rows == table_.services.end() ? first_assignment(its_servers)
                                                            : plan_service(rows->second, its_servers);
        if (!planned.empty()) next.services[service] = std::move(planned);
    }
    if (next == table_) return std::nullopt;
    next.version = next_version_;
    return next;
}

// Nobody ever held one of these keys, so the rows are settled at once.
Assignments OwnershipPlanner::first_assignment(const Servers& servers) const {
    std::vector<std::string> owners;
    for (const auto& [id, server] : servers)
        if (server.state == ServerInfo::State::InService) owners.push_back(id);
    Assignments rows;
    for (std::size_t i = 0; i < owners.size(); ++i) {
        Assignment row;
        row.keys = {static_cast<Key>(i * kKeyCount / owners.size()),
                    static_cast<Key>((i + 1) * kKeyCount / owners.size() - 1)};
        row.owner = owners[i];
        row.fence = row.changed = next_version_;
        row.settled = true;
        rows.push_back(std::move(row));
    }
    return rows;
}

Assignments OwnershipPlanner::plan_service(const Assignments& rows, const Servers& servers) const {
    ServicePlan service_plan(rows, servers, next_version_);
    if (!service_plan.has_receivers()) return rows;
    service_plan.move_from_gone();
    service_plan.move_from_leaving();
    service_plan.give_to_poor();
    service_plan.merge_rows();
    return service_plan.take_rows();
}

}    // namespace shaletray::ownership
