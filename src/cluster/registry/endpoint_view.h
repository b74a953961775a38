// What a lighthouse or a pilot holds of the servers: words put together, whatever their order.
//
// A word is what a server said to its keeper, the lighthouse that had its latest call; the call's number
// orders the words of one server. A server's own farewell is final. Two more things can be concluded, and a
// later call refutes both: that it is Lost, since its keeper had no call of it for too long, and that it is
// Gone, since another server first called from its address after it had last called.
//
// A keeper may be silent because it is cut off, so its servers are not called Lost for that until nobody has
// heard it for twice that time, and they are believed again as soon as it is heard of.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

class EndpointView {
public:
    struct Settings {
        std::string self_address;    // empty: a pilot, which keeps none itself
        std::uint64_t incarnation = 0;
        Duration heartbeat_timeout =
            std::chrono::seconds(6);    // without calls, until a keeper calls a server Lost
        Duration ended_retention = std::chrono::seconds(60);     // entries that are Gone or Lost
        Duration orphan_retention = std::chrono::minutes(10);    // those whose keeper is unheard of
    };
    explicit EndpointView(Settings settings);
    ~EndpointView();
    // This process's life turned out to be a later one: what it keeps, the new life keeps.
    void set_incarnation(std::uint64_t new_incarnation);

    // A server's own call.
    bool record_call(const Server& server, TimePoint now);
    bool deregister(std::string_view id, TimePoint now);
    // Ids of servers whose entry changed. `from`: who is known to tell this; empty where that is not known.
    // Errors: std::string; nothing was taken then.
    boost::leaf::result<std::vector<std::string>> apply_changes(const std::string& from,
                                                                std::string_view bytes, TimePoint now);
    // Ids of servers whose entry changed or was forgotten.
    std::vector<std::string> tick(TimePoint now);
    std::string encode_changes(std::uint64_t since, bool own_only, TimePoint now) const;

    std::uint64_t sequence() const;
    std::uint64_t known_sequence(const std::string& owner_address, std::uint64_t incarnation) const;
    const std::map<std::string, Server>& servers() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}    // namespace shaletray::registry
