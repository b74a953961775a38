// The shard keys for which an emulated server may execute requests: granted for a limited time by responses
// to its heartbeats, with fencing tokens; see "Keys that servers hold" in the users' protocol. Also a checker
// for whole services: no two servers may hold a key while a request on it begins. Everything runs on the
// reactor's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/common/clock.h"

namespace shaletray::testbed {

constexpr std::size_t kShardKeyCount = 65536;

// The shard key of a request; nullopt if the text is not a number from 0 to 65535.
std::optional<std::size_t> parse_shard_key(std::string_view text);

// The keys held by one server. A newly started server holds none.
class ShardHolds {
public:
    // `clock_rate`: seconds that the server's clock advances per second, at least 0.98.
    ShardHolds(double clock_rate, std::uint64_t seed);

    // Applies the response to a heartbeat that was sent at `sent_at`. Returns false if it omits keys on which
    // requests still run or whose release must still be reported: the next heartbeat is due within 100 ms.
    bool apply_heartbeat_response(const nlohmann::json& response, TimePoint sent_at, TimePoint now);
    // The fields of the next heartbeat: "held_duties" and "released".
    nlohmann::json held_duties(TimePoint now) const;
    nlohmann::json released() const;
    // Called when the last heartbeat was acknowledged: its released ranges need no further report.
    void on_acknowledged() { released_.clear(); }

    bool holds(std::size_t key, TimePoint now) const { return held_until_[key] > now; }
    // Whether the key was granted without a handover from its last holder, within the last `warmup`.
    bool is_cold(std::size_t key, TimePoint now) const { return cold_until_[key] > now; }
    void begin_work(std::size_t key) { ++running_[key]; }
    void end_work(std::size_t key) { --running_[key]; }
    std::size_t rejected_rows() const { return rejected_rows_; }

private:
    struct ReleasedRange {
        std::size_t first = 0, last = 0;
        std::string handover;
    };
    void apply_row(const nlohmann::json& row, TimePoint until, TimePoint now, std::vector<bool>& is_granted);
    void release_omitted(const std::vector<bool>& is_granted, TimePoint now);
    std::string next_handover();

    double clock_rate_;
    std::uint64_t next_handover_;
    std::vector<TimePoint> held_until_, cold_until_;
    std::vector<std::uint64_t> fence_;    // highest fencing token seen, by key
    std::vector<int> running_;
    std::vector<ReleasedRange> released_;
    std::size_t rejected_rows_ = 0;
};

// Checks the key ownership of all servers of all sharded services.
class ShardOwnershipChecker {
public:
    void add_server(const std::string& service, const std::string& id, const ShardHolds& holds);
    void remove_server(const std::string& service, const std::string& id);
    // Called when a server begins a request on a key that it holds.
    void record_begin(const std::string& service, const std::string& id, std::size_t key, TimePoint now);
    void record_refusal() { ++refusals_; }
    // Requests that began on a key while another live server held it. 0 in a correct system.
    std::uint64_t double_owners() const { return double_owners_; }
    std::uint64_t begun() const { return begun_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    std::map<std::string, std::map<std::string, const ShardHolds*>> servers_;    // by service and id
    std::uint64_t begun_ = 0, refusals_ = 0, double_owners_ = 0;
};

}    // namespace shaletray::testbed
