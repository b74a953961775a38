// The servers of all services, as the decision module sees them.
#include "gateway/http_mapping/upstream_hosts.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::http_mapping;

const TimePoint kStart = TimePoint{} + 100s;

registry::Server server(const std::string& id, registry::State state = registry::State::InService) {
    registry::Server s;
    s.id = id;
    s.service = "pay";
    s.address = "10.0.0." + id.substr(2) + ":80";
    s.zone = "b";
    s.capacity = 6;
    s.state = state;
    s.at = kStart;
    return s;
}

using Servers = std::map<std::string, registry::Server>;
Servers servers(int count, int lost = 0) {
    Servers all;
    for (int i = 1; i <= count; ++i) {
        const std::string id = "i-" + std::to_string(i);
        all[id] = server(id, i <= lost ? registry::State::Lost : registry::State::InService);
    }
    return all;
}

}    // namespace

Test(fleet, a_server_keeps_its_number_and_grows_to_its_size) {
    Fleet fleet({{"a", "b"}, 300ms});
    Servers all = servers(1);
    all["i-1"].ramp_left = 2s;
    cr_assert(fleet.take(all, kStart) == std::set<std::string>{"pay"});
    const decision::HostEntry young = fleet.list("pay").hosts.at(0);
    cr_assert(young.rating == 3.0 && young.zone == 1);
    cr_assert(fleet.take(all, kStart + 1s).empty(), "nothing differs");
    cr_assert(fleet.take(all, kStart + 3s).size() == 1);
    const decision::HostEntry grown = fleet.list("pay").hosts.at(0);
    cr_assert(grown.rating == 6.0 && grown.host == young.host);
    cr_assert(*fleet.id_of(grown.host) == "i-1");
}

Test(fleet, nothing_begins_at_a_server_that_drains_or_is_gone) {
    Fleet fleet({{"a", "b"}, 300ms});
    Servers all = servers(2);
    fleet.take(all, kStart);
    const HostId host = fleet.list("pay").hosts.at(0).host;
    const std::string id = *fleet.id_of(host);
    all[id].state = registry::State::Draining;
    fleet.take(all, kStart + 1s);
    cr_assert(fleet.may_begin(host, kStart + 1200ms), "a connection that was coming up");
    cr_assert(!fleet.may_begin(host, kStart + 1400ms));
    cr_assert(fleet.find(host) != nullptr, "what runs there ends there");
    all[id].state = registry::State::Gone;
    fleet.take(all, kStart + 2s);
    cr_assert(fleet.find(host) == nullptr && !fleet.may_begin(host, kStart + 2s));
    cr_assert(fleet.in_service("pay") == 1);
    all.erase(id);
    cr_assert(fleet.take(all, kStart + 3s).empty());
}

// Where beats of most servers stop coming, it is the beats' way that broke.
Test(fleet, silence_of_a_few_is_believed_and_silence_of_most_is_not) {
    Fleet few({{"a", "b"}, 300ms}), most({{"a", "b"}, 300ms});
    few.take(servers(8, 3), kStart);
    cr_assert(few.in_service("pay") == 5);
    most.take(servers(8, 6), kStart);
    cr_assert(most.in_service("pay") == 8);
}
