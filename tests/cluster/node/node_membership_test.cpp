// Tests of the membership functions that gateways and controllers share.
#include "cluster/node/node_membership.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace std::chrono_literals;

namespace {

class FixedClock : public Clock {
public:
    explicit FixedClock(TimePoint now) : now_(now) {}
    TimePoint now() const override { return now_; }

private:
    TimePoint now_;
};

}    // namespace

Test(node_membership, initial_incarnation_is_the_unix_time_and_never_zero) {
    cr_assert_eq(node::initial_incarnation(FixedClock(TimePoint(1'700'000'000s))), 1'700'000'000'000'000u);
    cr_assert_eq(node::initial_incarnation(FixedClock(TimePoint(0s))), 1u);
    cr_assert_eq(node::initial_incarnation(FixedClock(TimePoint(-5s))), 1u);
}

Test(node_membership, membership_settings_contain_the_identity_and_node_settings) {
    runtime::NodeSettings node_settings;
    node_settings.node_name = "north-1";
    node_settings.zone = "north";
    node_settings.region = "r";
    node_settings.first_port = 7100;
    node_settings.last_port = 7109;
    node_settings.seed_addresses = {"10.1.0.24:7000", "10.1.0.25:7000"};
    const node::Identity identity{"10.1.0.26:7100", membership::Role::Controller, 41};
    const membership::Settings settings = node::membership_settings(identity, node_settings, 7);
    cr_assert(settings.self.address == identity.address && settings.self.role == identity.role);
    cr_assert(settings.self.name == "north-1" && settings.self.zone == "north" &&
              settings.self.region == "r");
    cr_assert(settings.self.incarnation == 41 && settings.random_seed == 7);
    cr_assert(settings.seeds == runtime::controller_seeds(node_settings) && settings.seeds.size() == 2);
}

Test(node_membership, unknown_seeds_have_no_member) {
    std::map<std::string, membership::Member> members;
    members["10.1.0.24:7100"] = {};
    members["10.1.0.26:7100"] = {};
    const std::vector<std::string> seeds{"10.1.0.25:7100", "10.1.0.24:7100", "10.1.0.23:7100"};
    const std::vector<std::string> unknown = node::unknown_seeds(seeds, members);
    cr_assert(unknown == (std::vector<std::string>{"10.1.0.25:7100", "10.1.0.23:7100"}));
    cr_assert(node::unknown_seeds(seeds, {}) == seeds);
}
