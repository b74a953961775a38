// Tests the subscription with lost, late and duplicated updates, and updates from several controllers.
#include "gateway/control_plane_client.h"

#include <criterion/criterion.h>

#include <random>

#include "cluster/configuration/configuration_update.h"

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::gateway;

const TimePoint kStart = TimePoint{} + 100s;

configuration::Configuration configuration_of(std::uint64_t version) {
    configuration::Configuration result;
    result.version = version;
    configuration::Route route;
    route.name = "r" + std::to_string(version % 5);
    route.hostname = "a.example";
    route.path_prefix = "/p" + std::to_string(version) + "/";
    route.timeout = 1s;
    route.targets = {{"s", 1}};
    result.routes = {route};
    result.services = {{"s", "/health", 10}};
    return result;
}

struct FakeController {
    std::uint64_t incarnation = 7, version = 0, sequence = 0;
    bool confirmed = true;

    // Returns the update for a client in this state: a delta if the client has `base_version`, else a full
    // update.
    std::string make_update(const subscription::ClientState& client_state, std::uint64_t base_version) const {
        subscription::ControlUpdate update;
        update.incarnation = incarnation;
        update.quorum_confirmed = confirmed;
        update.version = version;
        update.since_sequence =
            client_state.known_incarnation == incarnation ? client_state.known_sequence : 0;
        update.sequence = sequence;
        if (client_state.version < version && version > 0)
            update.configuration_delta =
                client_state.version == base_version && client_state.version > 0
                    ? configuration::write_delta(configuration_of(client_state.version),
                                                 configuration_of(version))
                    : configuration::write_full(configuration_of(version));
        return subscription::encode(update);
    }
};

ControlPlaneClient make_client() {
    ControlPlaneClient::Settings settings;
    settings.self = "10.0.0.1:7101";
    settings.incarnation = 3;
    return ControlPlaneClient(settings);
}

std::vector<ControlPlaneClient::Controller> controllers_named(const std::vector<std::string>& addresses) {
    std::vector<ControlPlaneClient::Controller> controllers;
    for (const std::string& address : addresses) controllers.push_back({.address = address});
    return controllers;
}

subscription::ClientState sent_state(const ControlPlaneClient::Actions& actions, const std::string& to) {
    for (const auto& send : actions.sends) {
        if (send.to != to) continue;
        auto client_state = subscription::decode_client_state(send.bytes);
        cr_assert(client_state.has_value());
        return *client_state;
    }
    cr_assert(false, "nothing was sent to %s", to.c_str());
    return {};
}

}    // namespace

Test(control_plane_client, is_caught_up_after_a_quorum_confirmed_update) {
    ControlPlaneClient client = make_client();
    client.set_controllers(controllers_named({"a"}));
    ControlPlaneClient::Actions actions;
    client.tick(kStart, 1, actions);
    FakeController fake_controller{.version = 4, .confirmed = false};
    client.on_message("a", 7, fake_controller.make_update(sent_state(actions, "a"), 0), kStart, actions);
    cr_assert(actions.configuration_changed && !client.caught_up(), "the configuration may be outdated");
    ControlPlaneClient::Actions next_actions;
    client.tick(kStart + 500ms, 1, next_actions);
    cr_assert(sent_state(next_actions, "a").version == 4);
    fake_controller.confirmed = true;
    client.on_message("a", 7, fake_controller.make_update(sent_state(next_actions, "a"), 4), kStart + 510ms,
                      next_actions);
    cr_assert(client.caught_up() && !next_actions.configuration_changed);
}

Test(control_plane_client, sends_key_samples_to_each_controller_once) {
    ControlPlaneClient client = make_client();
    client.set_controllers(controllers_named({"a", "b"}));
    const std::vector<ownership::KeySamples> samples{{"saves", {5, 6}, 9}};
    client.set_key_samples(samples);
    ControlPlaneClient::Actions actions, next_actions;
    client.tick(kStart, 1, actions);
    for (const std::string to : {"a", "b"}) cr_assert(sent_state(actions, to).key_samples == samples);
    client.tick(kStart + 500ms, 1, next_actions);
    for (const std::string to : {"a", "b"}) cr_assert(sent_state(next_actions, to).key_samples.empty());
}

Test(control_plane_client, configuration_version_never_decreases) {
    ControlPlaneClient client = make_client();
    client.set_controllers(controllers_named({"a", "b"}));
    ControlPlaneClient::Actions actions;
    client.tick(kStart, 1, actions);
    client.on_message("a", 7, FakeController{.version = 9}.make_update({}, 0), kStart, actions);
    cr_assert(client.configuration_index()->config().version == 9);
    ControlPlaneClient::Actions later;
    client.on_message("b", 7, FakeController{.version = 8}.make_update({}, 0), kStart + 1ms, later);
    cr_assert(client.configuration_index()->config().version == 9 && !later.configuration_changed);
}

Test(control_plane_client, inapplicable_delta_is_rejected_and_full_update_requested) {
    ControlPlaneClient client = make_client();
    client.set_controllers(controllers_named({"a"}));
    ControlPlaneClient::Actions actions;
    client.tick(kStart, 1, actions);
    client.on_message("a", 7, FakeController{.version = 2}.make_update({}, 0), kStart, actions);
    subscription::ControlUpdate update;
    update.incarnation = 7;
    update.version = 6;
    update.configuration_delta = configuration::write_delta(configuration_of(5), configuration_of(6));
    ControlPlaneClient::Actions rejected;
    client.on_message("a", 7, subscription::encode(update), kStart + 1s, rejected);
    cr_assert(client.configuration_index()->config().version == 2 && !rejected.configuration_changed);
    cr_assert(sent_state(rejected, "a").version == 0,
              "requested at once, as by a client without a configuration");
    ControlPlaneClient::Actions recovered;
    client.on_message("a", 7, FakeController{.version = 6}.make_update(sent_state(rejected, "a"), 0),
                      kStart + 2s, recovered);
    cr_assert(recovered.configuration_changed && client.configuration_index()->config().version == 6);
}

// An update with a gap to the gateway's table makes it request the missing changes; an older table is
// ignored.
Test(control_plane_client, applies_ownership_changes_and_never_decreases_their_version) {
    ControlPlaneClient client = make_client();
    client.set_controllers({{.address = "a"}});
    ControlPlaneClient::Actions actions;
    client.tick(kStart, 1, actions);
    const auto deliver = [&](std::uint64_t version, std::uint64_t since, const std::string& owner) {
        ownership::OwnershipTable table{version, 4s, {}};
        table.services["s"] = {{{0, 65535}, owner, version, version, true}};
        subscription::ControlUpdate update;
        update.incarnation = 7;
        update.ownership_version = version;
        update.ownership_since = since;
        update.ownership_changes = ownership::encode(table);
        ControlPlaneClient::Actions resulting_actions;
        client.on_message("a", 7, subscription::encode(update), kStart + 1s, resulting_actions);
        return resulting_actions.sends.size();
    };
    cr_assert(deliver(5, 0, "i-1") == 0);
    cr_assert(client.owners().find("s", 7)->owner == "i-1");
    cr_assert(deliver(4, 0, "i-0") == 0 && client.owners().find("s", 7)->owner == "i-1");
    cr_assert(deliver(9, 8, "i-3") == 1, "the changes in between are missing");
    cr_assert(client.owners().find("s", 7)->owner == "i-1" && client.owners().version() == 5);
    cr_assert(deliver(9, 5, "i-2") == 0 && client.owners().find("s", 7)->owner == "i-2");
}

Test(control_plane_client, unresponsive_controller_is_replaced) {
    ControlPlaneClient client = make_client();
    client.set_controllers(controllers_named({"a", "b", "c", "d", "e"}));
    ControlPlaneClient::Actions actions;
    client.tick(kStart, 1, actions);
    cr_assert(actions.sends.size() == 3);
    std::set<std::string> ever_contacted;
    for (TimePoint now = kStart; now < kStart + 10s; now += 500ms) {
        ControlPlaneClient::Actions step;
        client.tick(now, 1, step);
        for (const auto& send : step.sends) {
            ever_contacted.insert(send.to);
            if (send.to != "a" && send.to != "b") continue;    // the other controllers are dead
            ControlPlaneClient::Actions reply_actions;
            client.on_message(send.to, 7, FakeController{.version = 1}.make_update({}, 0), now + 1ms,
                              reply_actions);
        }
        if (now < kStart + 8s) continue;
        std::set<std::string> contacted;
        for (const auto& send : step.sends) contacted.insert(send.to);
        cr_assert(contacted.contains("a") && contacted.contains("b"));
    }
    cr_assert(ever_contacted.size() == 5);
}

// Four of nine controllers are partitioned from the majority and still respond. Whichever controllers the
// client subscribes to first, it must reach the majority's configuration, and must not return to an older one
// when it subscribes to a partitioned controller again.
Test(control_plane_client, controllers_without_a_quorum_are_replaced) {
    for (int self = 0; self < 40; ++self) {
        ControlPlaneClient::Settings settings;
        settings.self = "10.0.0." + std::to_string(self) + ":7101";
        settings.incarnation = 3;
        ControlPlaneClient client(settings);
        std::map<std::string, FakeController> controllers;
        std::vector<std::string> names;
        for (char c = 'a'; c <= 'i'; ++c) {
            names.emplace_back(1, c);
            controllers[names.back()] = FakeController{.version = 4};
        }
        client.set_controllers(controllers_named(names));
        const auto run = [&](TimePoint from, Duration length) {
            for (TimePoint now = from; now < from + length; now += 100ms) {
                ControlPlaneClient::Actions step;
                client.tick(now, 1, step);
                for (const auto& send : step.sends) {
                    ControlPlaneClient::Actions reply_actions;
                    const auto client_state = subscription::decode_client_state(send.bytes);
                    client.on_message(send.to, 7, controllers[send.to].make_update(*client_state, 0), now,
                                      reply_actions);
                }
            }
        };
        run(kStart, 3s);
        cr_assert(client.caught_up() && client.confirmed_controllers(kStart + 3s, 1s).size() == 3);
        for (const std::string& name : names) {
            if (name <= "d") controllers[name].confirmed = false;
            else controllers[name].version = 5;
        }
        run(kStart + 3s, 5s);
        cr_assert(client.configuration_index()->config().version == 5,
                  "gateway %d stays with the partitioned controllers", self);
        run(kStart + 8s, 5s);
        cr_assert(!client.confirmed_controllers(kStart + 13s, 3s).empty() &&
                  client.configuration_index()->config().version == 5);
        for (const std::string& name : client.confirmed_controllers(kStart + 13s, 3s)) cr_assert(name > "d");
        for (const std::string& name : names) controllers[name].confirmed = false;
        run(kStart + 13s, 4s);
        cr_assert(client.confirmed_controllers(kStart + 17s, 3s).empty() &&
                  client.configuration_index()->config().version == 5);
    }
}

// Sixty gateways start with the three seeds, then discover fifteen controllers in five zones.
Test(control_plane_client, moves_from_seeds_to_controllers_of_its_zone_and_balances_load) {
    std::map<std::string, int> gateways_by_controller;
    for (int self = 0; self < 60; ++self) {
        ControlPlaneClient::Settings settings;
        settings.self = "10.0.1." + std::to_string(self) + ":7101";
        ControlPlaneClient client(settings);
        const auto run = [&](TimePoint from, Duration length) {
            for (TimePoint now = from; now < from + length; now += 500ms) {
                ControlPlaneClient::Actions step;
                client.tick(now, 1, step);
                for (const auto& send : step.sends) {
                    ControlPlaneClient::Actions reply_actions;
                    client.on_message(send.to, 7, FakeController{.version = 1}.make_update({}, 0), now,
                                      reply_actions);
                }
                cr_assert(client.confirmed_controllers(now, 1s).size() >= 3, "never fewer while moving");
            }
        };
        client.set_controllers(controllers_named({"a0", "b0", "c0"}));
        run(kStart, 2s);
        std::vector<ControlPlaneClient::Controller> controllers;
        for (const char zone : {'a', 'b', 'c', 'd', 'e'})
            for (const char number : {'0', '1', '2'})
                controllers.push_back({.address = {zone, number}, .same_zone = zone == 'a' + self % 5});
        client.set_controllers(controllers);
        run(kStart + 2s, 8s);
        const std::vector<std::string> final_controllers = client.confirmed_controllers(kStart + 10s, 1s);
        cr_assert(final_controllers.size() == 3);
        int in_zone = 0;
        for (const std::string& address : final_controllers) {
            ++gateways_by_controller[address];
            in_zone += address[0] == 'a' + self % 5 ? 1 : 0;
        }
        cr_assert(in_zone == 2, "gateway %d has %d in its zone", self, in_zone);
    }
    cr_assert(gateways_by_controller.size() == 15);
    for (const auto& [address, gateways] : gateways_by_controller)
        cr_assert(gateways <= 24, "%s has %d of 180 subscriptions", address.c_str(), gateways);
}

Test(control_plane_client, prefers_voters_and_falls_back_to_other_controllers) {
    ControlPlaneClient client = make_client();
    std::vector<ControlPlaneClient::Controller> controllers;
    for (const char* address : {"v1", "v2", "v3"}) controllers.push_back({.address = address});
    for (const char* address : {"w1", "w2", "w3"})
        controllers.push_back({.address = address, .same_zone = true, .may_vote = false});
    client.set_controllers(controllers);
    std::set<std::string> unresponsive;
    const auto run = [&](TimePoint from, Duration length) {
        for (TimePoint now = from; now < from + length; now += 500ms) {
            ControlPlaneClient::Actions step;
            client.tick(now, 1, step);
            for (const auto& send : step.sends) {
                ControlPlaneClient::Actions reply_actions;
                if (!unresponsive.contains(send.to))
                    client.on_message(send.to, 7, FakeController{.version = 1}.make_update({}, 0), now,
                                      reply_actions);
            }
        }
        const std::vector<std::string> confirmed = client.confirmed_controllers(from + length, 1s);
        return std::set<std::string>(confirmed.begin(), confirmed.end());
    };
    const std::set<std::string> voters{"v1", "v2", "v3"};
    cr_assert(run(kStart, 2s) == voters);
    unresponsive = {"v1", "v2"};
    const std::set<std::string> substitutes = run(kStart + 2s, 5s);
    cr_assert(substitutes.size() == 3 && substitutes.contains("v3"));
    unresponsive.clear();
    cr_assert(run(kStart + 7s, 20s) == voters, "it returns to the voters");
}

// With updates lost, repeated and reordered, the client still reaches the newest configuration, and the
// version never decreases.
Test(control_plane_client, reaches_the_newest_configuration_despite_message_loss) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        ControlPlaneClient client = make_client();
        client.set_controllers(controllers_named({"a", "b", "c"}));
        std::map<std::string, FakeController> controllers{{"a", {}}, {"b", {}}, {"c", {}}};
        std::vector<std::pair<std::string, std::string>> in_flight;
        std::uint64_t version = 0, previous_version = 0;
        TimePoint now = kStart;
        for (int step = 0; step < 300; ++step) {
            now += 20ms;
            if (step < 250 && random() % 10 == 0) ++version;
            for (auto& [name, fake_controller] : controllers) {
                if (random() % 3 == 0) fake_controller.version = version;
                if (step < 250 && random() % 60 == 0)
                    ++fake_controller.incarnation, fake_controller.sequence = 0;
            }
            ControlPlaneClient::Actions actions;
            client.tick(now, 1, actions);
            if (!in_flight.empty() && random() % 2 == 0) {
                const std::size_t at = random() % in_flight.size();
                const auto [from, bytes] = in_flight[at];
                const auto update = subscription::decode_control_update(bytes);
                client.on_message(from, update->incarnation, bytes, now, actions);
                if (random() % 3 != 0) in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(at));
            }
            for (const auto& send : actions.sends) {
                const auto client_state = subscription::decode_client_state(send.bytes);
                if (step > 250 || random() % 2 == 0)
                    in_flight.emplace_back(
                        send.to, controllers[send.to].make_update(*client_state,
                                                                  random() % 2 ? client_state->version : 0));
            }
            const std::uint64_t current_version =
                client.configuration_index() ? client.configuration_index()->config().version : 0;
            cr_assert(current_version >= previous_version, "seed %u: the version decreased", seed);
            previous_version = current_version;
        }
        for (int step = 0; step < 10; ++step) {
            now += 500ms;
            ControlPlaneClient::Actions actions, more;
            client.tick(now, 1, actions);
            for (const auto& send : actions.sends) {
                controllers[send.to].version = version;
                client.on_message(
                    send.to, controllers[send.to].incarnation,
                    controllers[send.to].make_update(*subscription::decode_client_state(send.bytes), 0), now,
                    more);
            }
        }
        cr_assert(version == 0 || (client.caught_up() &&
                                   client.configuration_index()->config() == configuration_of(version)),
                  "seed %u", seed);
    }
}
