#include "cluster/ownership/service_plan.h"

#include <algorithm>

namespace shaletray::ownership {
namespace {

using namespace std::chrono_literals;

// Maximum number of pieces into which a moved range is cut.
constexpr double kMaxPieces = 8;
// Fractions of an even share below 1/16 are not moved.
constexpr double kMinMoveDivisor = 16;
// Adjacent rows of a server are merged where it has more rows than this.
constexpr std::size_t kMaxUnmergedRows = 12;
// Rows are not cut for balancing while servers have more rows than this on average.
constexpr std::size_t kMaxMeanRows = 8;
// Number of servers with the least weight among which the one with the next suitable heartbeat is chosen.
constexpr std::size_t kReceiverCandidates = 4;
// Estimated time until moved keys are released. A receiver whose heartbeat comes earlier is granted them only
// with its following heartbeat.
constexpr Duration kReleaseTime = 250ms;
// Servers whose weight exceeds an even share by more than this factor give keys away.
constexpr double kOverloadRatio = 1.25;
// Maximum number of keys that one plan moves for balancing: keys are not served while they move.
constexpr std::uint32_t kMaxRebalancedKeys = kKeyCount / 8;

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

// Deducts the weight of keys that move to others, out of a row whose rest stays with its owner.
void ServicePlan::take_from_owner(const std::string& owner, const KeyRange& keys) {
    receivers_.at(owner).weight -= load_.weight(keys);
}

// ---- owners that are gone or leaving ----

void ServicePlan::move_from_gone() {
    move_rows([this](const Assignment& row) { return is_gone(row.owner) ? Move::Whole : Move::None; });
}

void ServicePlan::move_from_leaving() {
    move_rows([this](const Assignment& row) {
        if (!is_leaving(row.owner)) return Move::None;
        if (!row.settled) return Move::Whole;
        if (row.keys.size() > 1) return Move::AllButOne;
        return awaits_release_proof(row) ? Move::None : Move::Whole;
    });
}

// Whether the row `kept` is still needed to prove the release of other keys that were cut from the same row.
bool ServicePlan::awaits_release_proof(const Assignment& kept) const {
    return std::any_of(rows_.begin(), rows_.end(), [&](const Assignment& row) {
        return !row.settled && row.previous_owner == kept.owner && row.fence == kept.fence;
    });
}

void ServicePlan::move_rows(const std::function<Move(const Assignment&)>& decide) {
    std::vector<Move> moves;
    for (const Assignment& row : rows_) moves.push_back(decide(row));
    Assignments old_rows = std::exchange(rows_, {});
    for (std::size_t i = 0; i < old_rows.size(); ++i) {
        if (moves[i] == Move::None) rows_.push_back(std::move(old_rows[i]));
        else if (moves[i] == Move::Whole) move_whole(old_rows, i);
        else keep_first_key(std::move(old_rows[i]));
    }
}

// A row of little weight goes to the owner of an adjacent row, so that the two can be merged later.
void ServicePlan::move_whole(const Assignments& old_rows, std::size_t index) {
    const KeyRange& keys = old_rows[index].keys;
    if (load_.weight(keys) < min_move_weight()) {
        for (const std::size_t neighbour : {index + 1, index - 1}) {
            if (neighbour >= old_rows.size() || !is_in_service(old_rows[neighbour].owner)) continue;
            return assign(old_rows[neighbour].owner, keys, {});
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

// ---- cutting rows ----

// Changes the bounds of a row, which requires a new fence.
void ServicePlan::change_bounds(Assignment& row, const KeyRange& keys) const {
    row.previous_fence = row.fence == next_version_ ? row.previous_fence : row.fence;
    row.keys = keys;
    row.fence = row.changed = next_version_;
    row.previous_owner.clear();
    row.handover.clear();
}

// Adds the part of a row that its owner keeps. Returns the origin of the other parts.
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
        const double missing_weight = even_weight() - receivers_.at(id).weight;
        const std::uint32_t size =
            std::max(1U, load_.longest_prefix(range, std::max(min_piece, missing_weight)));
        assign(id, {range.first, static_cast<Key>(range.first + size - 1)}, origin);
        if (size == range.size()) return;
        range.first = static_cast<Key>(range.first + size);
    }
}

void ServicePlan::assign(const std::string& id, const KeyRange& keys, const Origin& origin) {
    Assignment row;
    row.keys = keys;
    row.owner = id;
    row.fence = row.changed = next_version_;
    row.previous_owner = origin.owner;
    row.previous_fence = origin.fence;
    rows_.push_back(std::move(row));
    add_to_owner(id, keys);
}

// Of the servers with the least weight, chooses the one that is granted moved keys first.
const std::string& ServicePlan::choose_receiver() const {
    using Entry = const std::pair<const std::string, Receiver>;
    std::vector<Entry*> candidates;
    for (Entry& entry : receivers_)
        if (entry.second.rows < kMaxRowsPerServer) candidates.push_back(&entry);
    if (candidates.empty())
        for (Entry& entry : receivers_) candidates.push_back(&entry);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Entry* a, const Entry* b) { return a->second.weight < b->second.weight; });
    const auto grant_expected_in = [](const Entry* entry) {
        const Duration heartbeat_in = entry->second.next_heartbeat_in;
        return heartbeat_in < kReleaseTime ? heartbeat_in + 1h : heartbeat_in;
    };
    const std::size_t candidate_count = std::min(candidates.size(), kReceiverCandidates);
    return (*std::min_element(
                candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(candidate_count),
                [&](const Entry* a, const Entry* b) { return grant_expected_in(a) < grant_expected_in(b); }))
        ->first;
}

// Cuts pieces off the end and the beginning of `keys` that together weigh at most `max_weight`. At least one
// key of the range stays.
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

// Gives the server an even share, taken from the servers with the most weight.
void ServicePlan::fill(const std::string& id, const Receiver& receiver) {
    std::set<Key> tried;    // first keys of the rows that were tried
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
            assign(id, piece, origin);
        }
    }
}

// Returns the index of the heaviest settled row of the server with the most weight, or rows_.size() where no
// server has enough above an even share.
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

// ---- balancing ----

void ServicePlan::rebalance_overloaded() {
    if (is_moving() || receivers_.size() < 2 || rows_.size() > kMaxMeanRows * receivers_.size()) return;
    for (const std::string& id : overloaded_servers()) shed_load(id);
}

// Returns the overloaded servers, the one with the most weight first.
std::vector<std::string> ServicePlan::overloaded_servers() const {
    std::vector<std::string> ids;
    for (const auto& [id, receiver] : receivers_)
        if (load_.exceeds(receiver.weight, kOverloadRatio * even_weight())) ids.push_back(id);
    std::stable_sort(ids.begin(), ids.end(), [this](const std::string& a, const std::string& b) {
        return receivers_.at(a).weight > receivers_.at(b).weight;
    });
    return ids;
}

// Moves the weight above an even share to the servers with the least weight. A key that alone weighs more
// than an even share stays, and the keys beside it move.
void ServicePlan::shed_load(const std::string& id) {
    for (const std::size_t index : rows_to_cut(id)) {
        const double surplus = receivers_.at(id).weight - even_weight();
        if (surplus < min_move_weight() || rebalanced_keys_ >= kMaxRebalancedKeys) return;
        KeyRange kept = rows_[index].keys;
        const std::vector<KeyRange> pieces = cut_off(kept, surplus);
        double weight = 0;
        for (const KeyRange& piece : pieces) weight += load_.weight(piece);
        if (weight < min_move_weight()) continue;
        change_bounds(rows_[index], kept);
        const Origin origin{id, rows_[index].previous_fence};
        for (const KeyRange& piece : pieces) {
            take_from_owner(id, piece);
            rebalanced_keys_ += piece.size();
            distribute(piece, origin);
        }
    }
}

// Returns the indexes of the server's settled rows with several keys, the heaviest first. Rows that are added
// later are appended to rows_, so the indexes stay valid.
std::vector<std::size_t> ServicePlan::rows_to_cut(const std::string& owner) const {
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < rows_.size(); ++i)
        if (rows_[i].owner == owner && rows_[i].settled && rows_[i].keys.size() > 1) indexes.push_back(i);
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
        return load_.weight(rows_[a].keys) > load_.weight(rows_[b].keys);
    });
    return indexes;
}

// ---- limiting the table's size ----

void ServicePlan::merge_rows() {
    const bool is_fragmented = std::any_of(receivers_.begin(), receivers_.end(), [](const auto& entry) {
        return entry.second.rows > kMaxUnmergedRows;
    });
    if (!is_fragmented || is_moving()) return;
    Assignments merged;
    for (Assignment& row : rows_) {
        const bool is_mergeable = !merged.empty() && merged.back().owner == row.owner;
        if (is_mergeable) change_bounds(merged.back(), {merged.back().keys.first, row.keys.last});
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
