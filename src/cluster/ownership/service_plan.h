// The steps that a plan for one service is made of. Pure.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/ownership/load_profile.h"
#include "cluster/ownership/ownership_planner.h"
#include "cluster/ownership/ownership_table.h"

namespace shaletray::ownership {

// The rows of one service while a plan is made: the caller takes the steps that it wants, and then the rows.
// The weights of `load` decide what is an even part.
class ServicePlan {
public:
    ServicePlan(Assignments rows, const Servers& servers, const LoadProfile& load,
                std::uint64_t next_version);

    bool has_receivers() const { return !receivers_.empty(); }
    // Rows of owners that are gone go to others whole.
    void move_from_gone();
    // Owners that leave keep one key of each row until the others are released, then nothing.
    void move_from_leaving();
    // Servers that have no keys get an even part. Nothing, while moves are under way.
    void fill_new_servers();
    // Servers that get far more requests than the mean give some of their keys away. Nothing, while moves
    // are under way.
    void relieve_overloaded();
    // Adjacent rows of one owner become one where a server has many.
    void merge_rows();
    // Ascending.
    Assignments take_rows();

private:
    enum class Move { None, Whole, AllButOne };
    struct Receiver {
        double weight = 0;
        std::size_t rows = 0;
        Duration next_heartbeat_in{0};
    };
    // Where the keys of a row came from, so that their release can be proven.
    struct Origin {
        std::string owner{};    // empty: nobody who could prove it
        std::uint64_t fence = 0;
    };

    bool is_in_service(const std::string& id) const { return receivers_.contains(id); }
    bool is_leaving(const std::string& id) const { return leaving_.contains(id); }
    bool is_gone(const std::string& id) const;
    bool is_moving() const;
    bool is_proof_awaited(const Assignment& kept) const;
    double even_weight() const { return double{kKeyCount} / static_cast<double>(receivers_.size()); }
    double min_move_weight() const;
    void add_to_owner(const std::string& owner, const KeyRange& keys);
    void take_from_owner(const std::string& owner, const KeyRange& keys);
    void change_bounds(Assignment& row, const KeyRange& keys) const;
    Origin keep(Assignment row, const KeyRange& keys);
    void move_rows(const std::function<Move(const Assignment&)>& decide);
    void move_whole(const Assignments& former, std::size_t index);
    void keep_first_key(Assignment row);
    void distribute(KeyRange range, const Origin& origin);
    void give(const std::string& id, const KeyRange& keys, const Origin& origin);
    const std::string& choose_receiver() const;
    void fill(const std::string& id, const Receiver& receiver);
    std::size_t find_donor_row(const std::set<Key>& tried) const;
    std::vector<std::string> overloaded_servers() const;
    void relieve(const std::string& id);
    std::vector<KeyRange> cut_off(KeyRange& keys, double max_weight) const;
    std::vector<std::size_t> rows_to_cut(const std::string& owner) const;

    Assignments rows_;
    const LoadProfile& load_;
    std::uint64_t next_version_;
    std::map<std::string, Receiver> receivers_;    // servers in service, by id
    std::set<std::string> leaving_, unknown_;
    std::uint32_t relieved_keys_ = 0;    // that changed hands for the sake of balance
};

}    // namespace shaletray::ownership
