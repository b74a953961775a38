#include "cluster/ownership/service_plan.h"

#include <algorithm>

namespace shaletray::ownership {
namespace {

using namespace std::chrono_literals;

// A range that is given away is cut into this many pieces at most.
constexpr double kMaxPieces = 8;
// Smaller parts of an even share are not worth a move.
constexpr double kMinMoveDivisor = 16;
// Rows of a server above which its adjacent ones are merged.
constexpr std::size_t kMergeAbove = 12;
// Mean number of a server's rows above which none are cut for the sake of balance.
constexpr std::size_t kMaxMeanRows = 8;
// So many of the servers with the least weight are looked at for the one that learns of its keys first.
constexpr std::size_t kReceiverChoices = 4;
// A receiver whose heartbeat comes before the keys are released learns of them only by the one after.
constexpr Duration kReleaseTime = 250ms;
// Servers with more than so many even shares of the weight give keys away.
constexpr double kOverloadRatio = 1.25;
// Keys that one plan moves for the sake of balance: they are not served while they move.
constexpr std::uint32_t kMaxRelievedKeys = kKeyCount / 8;

}    // namespace

ServicePlan::ServicePlan(Assignments rows, const Servers& servers, const LoadProfile& load,
                         std::uint64_t next_version)
    : rows_(std::move(rows)), load_(load), next_version_(next_version) {
    for (const auto& [id, server] : servers) {
        if (server.state == ServerInfo::State::InService)
            receivers_[id].next_heartbeat_in = server.next_heartbeat_in;
        else if (server.state == ServerInfo::State::Leaving) leaving_.insert(id);
        else unknown_.insert(id);
    }
    for (const Assignment& row : rows_) add_to_owner(row.owner, row.keys);
}

bool ServicePlan::is_gone(const std::string& id) const {
    return !is_in_service(id) && !is_leaving(id) && !unknown_.contains(id);
}

bool ServicePlan::is_moving() const {
    return std::any_of(rows_.begin(), rows_.end(), [](const Assignment& row) { return !row.settled; });
}

double ServicePlan::min_move_weight() const { return std::max(1.0, even_weight() / kMinMoveDivisor); }

void ServicePlan::add_to_owner(const std::string& owner, const KeyRange& keys) {
    const auto receiver = receivers_.find(owner);
    if (receiver == receivers_.end()) return;
    receiver->second.weight += load_.weight(keys);
    ++receiver->second.rows;
}

// Of a row that stays the owner's.
void ServicePlan::take_from_owner(const std::string& owner, const KeyRange& keys) {
    receivers_.at(owner).weight -= load_.weight(keys);
}

// ---- owners that are gone or leave ----

void ServicePlan::move_from_gone() {
    move_rows([this](const Assignment& row) { return is_gone(row.owner) ? Move::Whole : Move::None; });
}

void ServicePlan::move_from_leaving() {
    move_rows([this](const Assignment& row) {
        if (!is_leaving(row.owner)) return Move::None;
        if (!row.settled) return Move::Whole;
        if (row.keys.size() > 1) return Move::AllButOne;
        return is_proof_awaited(row) ? Move::None : Move::Whole;
    });
}

// Whether other keys of the row that it was cut from are still to be proven released by its report.
bool ServicePlan::is_proof_awaited(const Assignment& kept) const {
    return std::any_of(rows_.begin(), rows_.end(), [&](const Assignment& row) {
        return !row.settled && row.previous_owner == kept.owner && row.fence == kept.fence;
    });
}

void ServicePlan::move_rows(const std::function<Move(const Assignment&)>& decide) {
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
void ServicePlan::move_whole(const Assignments& former, std::size_t index) {
    const KeyRange& keys = former[index].keys;
    if (load_.weight(keys) < min_move_weight()) {
        for (const std::size_t neighbour : {index + 1, index - 1}) {
            if (neighbour >= former.size() || !is_in_service(former[neighbour].owner)) continue;
            return give(former[neighbour].owner, keys, {});
        }
    }
    distribute(keys, {});
}

void ServicePlan::keep_first_key(Assignment row) {
    const KeyRange rest{static_cast<Key>(row.keys.first + 1), row.keys.last};
    const Origin origin =
        keep(std::move(row), {static_cast<Key>(rest.first - 1), static_cast<Key>(rest.first - 1)});
    distribute(rest, origin);
}

// ---- parts of rows ----

// A row with other bounds has a new fence.
void ServicePlan::change_bounds(Assignment& row, const KeyRange& keys) const {
    row.previous_fence = row.fence == next_version_ ? row.previous_fence : row.fence;
    row.keys = keys;
    row.fence = row.changed = next_version_;
    row.previous_owner.clear();
    row.handover.clear();
}

// Adds the part of a row that its owner keeps. Returns what the other parts come from.
ServicePlan::Origin ServicePlan::keep(Assignment row, const KeyRange& keys) {
    change_bounds(row, keys);
    const Origin origin{row.owner, row.previous_fence};
    rows_.push_back(std::move(row));
    return origin;
}

void ServicePlan::distribute(KeyRange range, const Origin& origin) {
    const double min_piece = std::max(min_move_weight(), load_.weight(range) / kMaxPieces);
    while (true) {
        const std::string& id = choose_receiver();
        const double missing = even_weight() - receivers_.at(id).weight;
        const std::uint32_t size = std::max(1U, load_.longest_prefix(range, std::max(min_piece, missing)));
        give(id, {range.first, static_cast<Key>(range.first + size - 1)}, origin);
        if (size == range.size()) return;
        range.first = static_cast<Key>(range.first + size);
    }
}

void ServicePlan::give(const std::string& id, const KeyRange& keys, const Origin& origin) {
    Assignment row;
    row.keys = keys;
    row.owner = id;
    row.fence = row.changed = next_version_;
    row.previous_owner = origin.owner;
    row.previous_fence = origin.fence;
    rows_.push_back(std::move(row));
    add_to_owner(id, keys);
}

// Of those with the least weight, the one that learns first of what it gets.
const std::string& ServicePlan::choose_receiver() const {
    using Entry = const std::pair<const std::string, Receiver>;
    std::vector<Entry*> order;
    for (Entry& entry : receivers_)
        if (entry.second.rows < kMaxRowsPerServer) order.push_back(&entry);
    if (order.empty())
        for (Entry& entry : receivers_) order.push_back(&entry);
    std::stable_sort(order.begin(), order.end(),
                     [](const Entry* a, const Entry* b) { return a->second.weight < b->second.weight; });
    const auto learns_in = [](const Entry* entry) {
        const Duration due = entry->second.next_heartbeat_in;
        return due < kReleaseTime ? due + 1h : due;
    };
    const std::size_t choices = std::min(order.size(), kReceiverChoices);
    return (*std::min_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(choices),
                              [&](const Entry* a, const Entry* b) { return learns_in(a) < learns_in(b); }))
        ->first;
}

// Cuts pieces that weigh at most so much together off the end and the beginning of the range, of which at
// least a key stays.
std::vector<KeyRange> ServicePlan::cut_off(KeyRange& keys, double max_weight) const {
    std::vector<KeyRange> pieces;
    const std::uint32_t suffix = std::min(load_.longest_suffix(keys, max_weight), keys.size() - 1);
    if (suffix > 0) {
        pieces.push_back({static_cast<Key>(keys.last - suffix + 1), keys.last});
        keys.last = static_cast<Key>(keys.last - suffix);
        max_weight -= load_.weight(pieces.back());
    }
    const std::uint32_t prefix = std::min(load_.longest_prefix(keys, max_weight), keys.size() - 1);
    if (prefix > 0) {
        pieces.push_back({keys.first, static_cast<Key>(keys.first + prefix - 1)});
        keys.first = static_cast<Key>(keys.first + prefix);
    }
    return pieces;
}

// ---- new servers ----

void ServicePlan::fill_new_servers() {
    if (is_moving()) return;
    for (auto& [id, receiver] : receivers_)
        if (receiver.rows == 0) fill(id, receiver);
}

// Takes keys from the servers that have the most weight.
void ServicePlan::fill(const std::string& id, const Receiver& receiver) {
    std::set<Key> tried;    // rows that had nothing to give, by their first key
    while (receiver.weight + min_move_weight() < even_weight() && receiver.rows < kMaxRowsPerServer) {
        const std::size_t index = find_donor_row(tried);
        if (index == rows_.size()) return;
        Assignment row = rows_[index];
        const double surplus = receivers_.at(row.owner).weight - even_weight();
        KeyRange kept = row.keys;
        const std::vector<KeyRange> pieces =
            cut_off(kept, std::min(surplus, even_weight() - receiver.weight));
        tried.insert(row.keys.first);
        if (pieces.empty()) continue;
        rows_.erase(rows_.begin() + static_cast<std::ptrdiff_t>(index));
        const Origin origin = keep(std::move(row), kept);
        for (const KeyRange& piece : pieces) {
            take_from_owner(origin.owner, piece);
            give(id, piece, origin);
        }
    }
}

// The heaviest settled row of the server with the most weight, where that has enough above an even share.
std::size_t ServicePlan::find_donor_row(const std::set<Key>& tried) const {
    std::size_t best = rows_.size();
    const auto rank = [&](const Assignment& row) {
        return std::pair(receivers_.at(row.owner).weight, load_.weight(row.keys));
    };
    for (std::size_t i = 0; i < rows_.size(); ++i) {
        const Assignment& row = rows_[i];
        if (!row.settled || row.keys.size() < 2 || !is_in_service(row.owner)) continue;
        if (tried.contains(row.keys.first)) continue;
        if (receivers_.at(row.owner).weight < even_weight() + min_move_weight()) continue;
        if (best == rows_.size() || rank(row) > rank(rows_[best])) best = i;
    }
    return best;
}

// ---- balance ----

void ServicePlan::relieve_overloaded() {
    if (is_moving() || receivers_.size() < 2 || rows_.size() > kMaxMeanRows * receivers_.size()) return;
    for (const std::string& id : overloaded_servers()) relieve(id);
}

// The one with the most weight first.
std::vector<std::string> ServicePlan::overloaded_servers() const {
    std::vector<std::string> ids;
    for (const auto& [id, receiver] : receivers_)
        if (load_.exceeds(receiver.weight, kOverloadRatio * even_weight())) ids.push_back(id);
    std::stable_sort(ids.begin(), ids.end(), [this](const std::string& a, const std::string& b) {
        return receivers_.at(a).weight > receivers_.at(b).weight;
    });
    return ids;
}

// Gives what is above an even share to those with the least weight. A key that alone weighs more than a
// share stays, and what lies beside it goes.
void ServicePlan::relieve(const std::string& id) {
    for (const std::size_t index : rows_to_cut(id)) {
        const double surplus = receivers_.at(id).weight - even_weight();
        if (surplus < min_move_weight() || relieved_keys_ >= kMaxRelievedKeys) return;
        KeyRange kept = rows_[index].keys;
        const std::vector<KeyRange> pieces = cut_off(kept, surplus);
        double weight = 0;
        for (const KeyRange& piece : pieces) weight += load_.weight(piece);
        if (weight < min_move_weight()) continue;
        change_bounds(rows_[index], kept);
        const Origin origin{id, rows_[index].previous_fence};
        for (const KeyRange& piece : pieces) {
            take_from_owner(id, piece);
            relieved_keys_ += piece.size();
            distribute(piece, origin);
        }
    }
}

// Indexes of the server's rows of several keys, the heaviest first. Rows that are added meanwhile come
// behind.
std::vector<std::size_t> ServicePlan::rows_to_cut(const std::string& owner) const {
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < rows_.size(); ++i)
        if (rows_[i].owner == owner && rows_[i].settled && rows_[i].keys.size() > 1) indexes.push_back(i);
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
        return load_.weight(rows_[a].keys) > load_.weight(rows_[b].keys);
    });
    return indexes;
}

// ---- the table's size ----

void ServicePlan::merge_rows() {
    const bool is_fragmented = std::any_of(receivers_.begin(), receivers_.end(),
                                           [](const auto& entry) { return entry.second.rows > kMergeAbove; });
    if (!is_fragmented || is_moving()) return;
    Assignments merged;
    for (Assignment& row : rows_) {
        const bool joins = !merged.empty() && merged.back().owner == row.owner;
        if (joins) change_bounds(merged.back(), {merged.back().keys.first, row.keys.last});
        else merged.push_back(std::move(row));
    }
    rows_ = std::move(merged);
}

Assignments ServicePlan::take_rows() {
    std::sort(rows_.begin(), rows_.end(),
              [](const Assignment& a, const Assignment& b) { return a.keys.first < b.keys.first; });
    return std::move(rows_);
}

}    // namespace shaletray::ownership
