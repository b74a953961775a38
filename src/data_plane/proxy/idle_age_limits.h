// Learns for how long a connection to a service's servers may be idle and still be reused, from the results
// of earlier reuse. Some servers discard idle connections before the timeout that they state, without closing
// them: the next request is then answered by a reset, and fails if it must not be repeated. Does no input or
// output.
#pragma once

#include <optional>
#include <unordered_map>

#include "data_plane/proxy/host_table.h"

namespace shaletray {

// The evidence of one service. It counts for one to two times kEvidenceLifetime. Not thread-safe.
class IdleAgeLimits {
public:
    static constexpr Duration kEvidenceLifetime = std::chrono::seconds(10);
    // Whether a request may be sent again.
    enum class Repetition { Allowed, Forbidden };

    // A request got its response on a connection that had been idle for `idle_age`.
    void record_reuse(Duration idle_age, TimePoint now);
    // A connection to the host that had been idle for `idle_age` was reset when it was reused. The host may
    // have crashed instead, so this counts only once record_new_connection() confirms that it still runs.
    void record_reset(decision::HostId host, Duration idle_age, TimePoint now);
    // A request got its response on a connection that had never been idle.
    void record_new_connection(decision::HostId host, TimePoint now);
    // Whether a connection that has been idle for `idle_age` may carry a request. `idle_timeout_stated`: the
    // server has stated a timeout above this age. Without one, a request that must not be repeated needs an
    // idle age at which another connection was reused successfully.
    bool may_carry(Duration idle_age, Repetition repetition, bool idle_timeout_stated, TimePoint now);

private:
    struct Evidence {
        std::optional<Duration> shortest_reset, longest_reuse;
    };
    struct UnconfirmedReset {
        Duration idle_age{};
        TimePoint seen_at{};
    };
    void expire_evidence(TimePoint now);
    std::optional<Duration> shortest_reset() const;
    Duration longest_reuse() const;

    Evidence recent_, earlier_;
    TimePoint recent_since_{};
    std::unordered_map<decision::HostId, UnconfirmedReset> unconfirmed_;
};

}    // namespace shaletray
