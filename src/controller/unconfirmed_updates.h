// Tracks which updates are still on their way to a gateway. A report that a gateway sent before an update
// reached it tells of an earlier state; were that state taken for a loss, everything would be sent again with
// each report, and a slow link would fill with copies. Pure.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace shaletray::controller {

// What a gateway has of the state that a controller publishes.
struct GatewayPosition {
    std::uint64_t version = 0, digest = 0;    // of its configuration
    std::uint64_t sequence = 0;               // of the registry
    std::uint64_t ownership_version = 0;
    auto operator<=>(const GatewayPosition&) const = default;
    // Whether it lacks anything that `other` has.
    bool is_behind(const GatewayPosition& other) const;
};

// The updates to one gateway since the last that it is known to have received. They are sent in the order of
// their numbers; a session delivers them in that order or loses them. Not thread-safe.
class UnconfirmedUpdates {
public:
    // The gateway has this position once it has received the update and all before.
    void record_sent(std::uint32_t number, const GatewayPosition& position_after);
    // Handles a report of the gateway: its position, and the number of the last update that it received (see
    // subscription::ClientState::last_update). Returns the position from which the next update has to go on:
    // the reported one if an update was lost or none is on its way.
    GatewayPosition on_report(std::uint32_t last_update, const GatewayPosition& reported);
    // Forgets all updates, as when the gateway has restarted.
    void clear();

private:
    // Further updates count as one with the last.
    static constexpr std::size_t kMaxTracked = 64;
    struct SentUpdate {
        std::uint32_t number = 0;
        GatewayPosition position_after;
    };
    void confirm_up_to(std::uint32_t number);

    std::deque<SentUpdate> in_flight_;
    std::uint32_t last_reported_ = 0;
    // The gateway has at least this position unless an update was lost.
    std::optional<GatewayPosition> confirmed_;
};

}    // namespace shaletray::controller
