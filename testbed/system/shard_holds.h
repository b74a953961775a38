// The shard keys that an emulated server may run requests on: granted by answers to its heartbeats, for a
// limited time, fenced; see "Keys that servers hold" in the users' protocol. And the judge of a whole
// service: no two of its servers may hold a key while requests begin on it. Everything runs on the reactor's
// thread.
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

// The shard key of a request; none where the text is not a number from 0 to 65535.
std::optional<std::size_t> parse_shard_key(std::string_view text);

// The holds of one server. A server that has just started holds nothing.
class ShardHolds {
public:
    // `clock_rate`: the time that its clock shows for a second, at least 0.98.
    ShardHolds(double clock_rate, std::uint64_t seed);

    // Takes over the answer to a heartbeat that was sent at `sent_at`. False where keys were left out of it
    // that are still worked on or still have to be reported: the next heartbeat is due within 100 ms.
    bool on_answer(const nlohmann::json& answer, TimePoint sent_at, TimePoint now);
    // The fields of the next heartbeat: "held_duties" and "released".
    nlohmann::json held_duties(TimePoint now) const;
    nlohmann::json released() const;
    // The last heartbeat was acknowledged: what it reported as released needs no further report.
    void on_acknowledged() { released_.clear(); }

    bool holds(std::size_t key, TimePoint now) const { return held_until_[key] > now; }
    // Whether the key came without the handover of its last holder, `warmup` ago at most.
    bool is_cold(std::size_t key, TimePoint now) const { return cold_until_[key] > now; }
    void begin_work(std::size_t key) { ++running_[key]; }
    void end_work(std::size_t key) { --running_[key]; }
    std::size_t refused_rows() const { return refused_rows_; }

private:
    struct ReleasedRange {
        std::size_t first = 0, last = 0;
        std::string handover;
    };
    void take_row(const nlohmann::json& row, TimePoint until, TimePoint now, std::vector<bool>& wanted);
    void release_rest(const std::vector<bool>& wanted, TimePoint now);
    std::string next_handover();

    double clock_rate_;
    std::uint64_t next_handover_;
    std::vector<TimePoint> held_until_, cold_until_;
    std::vector<std::uint64_t> fence_;    // the highest that was seen
    std::vector<int> running_;
    std::vector<ReleasedRange> released_;
    std::size_t refused_rows_ = 0;
};

// Looks at all servers of all services whose keys are divided.
class ShardJudge {
public:
    void add_server(const std::string& service, const std::string& id, const ShardHolds& holds);
    void remove_server(const std::string& service, const std::string& id);
    // A server begins a request on a key that it holds.
    void record_begin(const std::string& service, const std::string& id, std::size_t key, TimePoint now);
    void record_refusal() { ++refusals_; }
    // Requests that began on a key while another server that is up held it. 0 in a correct system.
    std::uint64_t double_owners() const { return double_owners_; }
    std::uint64_t begun() const { return begun_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    std::map<std::string, std::map<std::string, const ShardHolds*>> servers_;    // by service and id
    std::uint64_t begun_ = 0, refusals_ = 0, double_owners_ = 0;
};

}    // namespace shaletray::testbed
