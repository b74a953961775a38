// The planning steps for the rows of one service. Pure.
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

// The rows of one service while a plan is made: the caller invokes the steps that it wants, and then
// take_rows(). Even shares are measured by the weights of `load`, which has to outlive this object.
class ServicePlan {
public:
    ServicePlan(Assignments rows, const Servers& servers, const LoadProfile& load,
                std::uint64_t next_version);

    bool has_receivers() const { return !receivers_.empty(); }
    // Moves the rows of owners that are gone to other servers, whole.
    void move_from_gone();
    // Moves the keys of leaving owners, which keep one key of each row until the other keys are released.
    void move_from_leaving();
    // Gives servers without keys an even share. Does nothing while moves are in progress.
    void fill_new_servers();
    // Moves keys away from servers with far more requests than the mean. Does nothing while moves are in
    // progress.
    void rebalance_overloaded();
    // Merges adjacent rows of one owner, where a server has many rows and no moves are in progress.
    void merge_rows();
    // Returns the planned rows, ascending by key.
    Assignments take_rows();

private:
    enum class Move { None, Whole, AllButOne };
    struct Receiver {
        double weight = 0;
        std::size_t rows = 0;
        Duration next_heartbeat_in{0};
    };
    // The row from which moved keys were cut, by which their release can be proven.
    struct Origin {
        std::string owner{};    // empty: no owner that could prove the release
        std::uint64_t fence = 0;
    };

    bool is_in_service(const std::string& id) const { return receivers_.contains(id); }
    bool is_leaving(const std::string& id) const { return leaving_.contains(id); }
    bool is_gone(const std::string& id) const;
    bool is_moving() const;
    bool awaits_release_proof(const Assignment& kept) const;
    double even_weight() const { return double{kKeyCount} / static_cast<double>(receivers_.size()); }
    double min_move_weight() const;
    void add_to_owner(const std::string& owner, const KeyRange& keys);
    void take_from_owner(const std::string& owner, const KeyRange& keys);
    void change_bounds(Assignment& row, const KeyRange& keys) const;
    Origin keep(Assignment row, const KeyRange& keys);
    void move_rows(const std::function<Move(const Assignment&)>& decide);
    void move_whole(const Assignments& old_rows, std::size_t index);
    void keep_first_key(Assignment row);
    void distribute(KeyRange range, const Origin& origin);
    void assign(const std::string& id, const KeyRange& keys, const Origin& origin);
    const std::string& choose_receiver() const;
    void fill(const std::string& id, const Receiver& receiver);
    std::size_t find_donor_row(const std::set<Key>& tried) const;
    std::vector<std::string> overloaded_servers() const;
    void shed_load(const std::string& id);
    std::vector<KeyRange> cut_off(KeyRange& keys, double max_weight) const;
    std::vector<std::size_t> rows_to_cut(const std::string& owner) const;

    Assignments rows_;
    const LoadProfile& load_;
    std::uint64_t next_version_;
    std::map<std::string, Receiver> receivers_;    // servers in service, by id
    std::set<std::string> leaving_, unknown_;
    std::uint32_t rebalanced_keys_ = 0;    // keys that were moved for balancing
};

}    // namespace shaletray::ownership
