// A controller on a slow link and the gateways that subscribe to it, with the real publisher and clients in
// virtual time.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "cluster/configuration/configuration_parser.h"
#include "cluster/registry/registry_helpers.h"
#include "controller/configuration_publisher.h"
#include "gateway/control_plane_client.h"

namespace shaletray::controller::test {
namespace {

using namespace std::chrono_literals;
using gateway::ControlPlaneClient;

constexpr const char* kController = "10.0.0.1:7100";
constexpr Duration kReportDelay = 1ms;    // of the gateways' messages, whose direction of the link is free

configuration::Configuration make_configuration(std::uint64_t version, int tenants) {
    std::string rows;
    for (int i = 0; i < tenants; ++i)
        rows += fmt::format(R"({}["tenant-{}",["key-{:020}"],1,150,150])", i == 0 ? "" : ",", i, i);
    return configuration::parse_configuration(
               fmt::format(R"({{"revision":"r{}","routes":{{"columns":["name","hostname","path_prefix",)"
                           R"("route_type","timeout","service"],"rows":[["r","h.example","/p{}/",)"
                           R"("idempotent","500ms","s"]]}},"services":{{"columns":["name"],"rows":[["s"]]}},)"
                           R"("limits":{{}},"tenants":{{"columns":["name","api_keys","priority",)"
                           R"("rate_per_s","burst"],"rows":[{}]}}}})",
                           version, version, rows))
        .value();
}

std::uint64_t incarnation_of(const std::string& update) {
    return subscription::decode_control_update(update)->incarnation;
}

// The sending direction of the controller's link passes one message after the other.
struct SlowLinkModel {
    struct Arrival {
        TimePoint at;
        std::uint64_t order = 0;
        std::string gateway, bytes;
        bool operator<(const Arrival& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    std::mt19937_64 random{1};
    std::uint64_t incarnation = 7;    // of the controller
    TimePoint now = TimePoint{} + 1000s;
    double bytes_per_second = 250'000;    // 2 Mbit/s
    double loss_rate = 0;                 // of updates, as when a connection fails
    registry::ServiceRegistry servers{{kController, incarnation, 1500ms, 4}};
    ConfigurationPublisher publisher{{.incarnation = incarnation}, servers};
    std::map<std::string, std::unique_ptr<ControlPlaneClient>> gateways;
    std::priority_queue<Arrival> updates, reports;
    TimePoint link_busy_until{};
    std::size_t sent_bytes = 0;
    std::uint64_t last_order = 0;

    SlowLinkModel(int gateway_count, int server_count) {
        publisher.set_quorum_confirmed(true);
        publisher.publish(make_configuration(1, 190));
        for (int i = 0; i < server_count; ++i) add_server(i);
        for (int i = 0; i < gateway_count; ++i) add_gateway(fmt::format("10.0.1.{}:7101", i));
    }
    void add_server(int number) {
        const std::string id = fmt::format("i-{:010}", number);
        servers.record_heartbeat(registry::make_heartbeat(id, 1, registry::State::InService, number), now);
    }
    // In place of an earlier incarnation, if there is one.
    void add_gateway(const std::string& address) {
        ControlPlaneClient::Settings settings;
        settings.self = address;
        settings.incarnation = ++last_order;
        // The model has no other controller to go to.
        settings.response_timeout = 60s;
        gateways[address] = std::make_unique<ControlPlaneClient>(settings);
        gateways[address]->set_controllers({{.address = kController}});
    }
    void subscribe_anew(const std::string& address) {
        gateways.at(address)->set_controllers({});
        gateways.at(address)->set_controllers({{.address = kController}});
    }
    void raise_incarnation() {
        servers.incarnation(++incarnation);
        publisher.set_incarnation(incarnation);
    }
    void send_updates(std::vector<ConfigurationPublisher::OutgoingMessage>& messages) {
        for (auto& message : messages) {
            const auto transfer_time =
                std::chrono::duration<double>(static_cast<double>(message.bytes.size()) / bytes_per_second);
            link_busy_until =
                std::max(link_busy_until, now) + std::chrono::duration_cast<Duration>(transfer_time);
            sent_bytes += message.bytes.size();
            if (std::uniform_real_distribution<>()(random) < loss_rate) continue;
            updates.push({link_busy_until, ++last_order, message.to, std::move(message.bytes)});
        }
        messages.clear();
    }
    void send_reports(const std::string& address, const ControlPlaneClient::Actions& actions) {
        for (const auto& send : actions.sends)
            reports.push({now + kReportDelay, ++last_order, address, send.bytes});
    }
    void step() {
        now += 1ms;
        std::vector<ConfigurationPublisher::OutgoingMessage> messages;
        for (; !reports.empty() && reports.top().at <= now; reports.pop()) {
            const auto state = subscription::decode_client_state(reports.top().bytes);
            publisher.on_client_state(reports.top().gateway, *state, now, messages);
        }
        send_updates(messages);
        for (; !updates.empty() && updates.top().at <= now; updates.pop()) {
            ControlPlaneClient::Actions actions;
            const Arrival& update = updates.top();
            gateways.at(update.gateway)
                ->on_message(kController, incarnation_of(update.bytes), update.bytes, now, actions);
            send_reports(update.gateway, actions);
        }
        for (auto& [address, client] : gateways) {
            ControlPlaneClient::Actions actions;
            if (client->next_deadline() <= now) client->tick(now, 1, actions);
            send_reports(address, actions);
        }
    }
    void notify() {
        std::vector<ConfigurationPublisher::OutgoingMessage> messages;
        publisher.notify_clients(now, messages);
        send_updates(messages);
    }
    void run(Duration duration) {
        for (const TimePoint deadline = now + duration; now < deadline;) step();
    }
    bool all_current() const {
        return std::all_of(gateways.begin(), gateways.end(), [this](const auto& item) {
            const ControlPlaneClient& client = *item.second;
            return client.caught_up() && client.servers().size() == servers.servers().size() &&
                   client.configuration_index()->config().version == publisher.version();
        });
    }
    // Bytes by which one gateway gets the complete state.
    std::size_t complete_state_bytes() {
        std::vector<ConfigurationPublisher::OutgoingMessage> messages;
        publisher.on_client_state("measured", {}, now, messages);
        return messages.at(0).bytes.size();
    }
};

// Makes ten changes while updates are lost, with random pauses of up to `max_pause`. Once none are lost any
// more, all gateways must have everything within `catch_up_time`.
void check_all_catch_up(double loss_rate, Duration max_pause, Duration catch_up_time,
                        const std::function<void(SlowLinkModel&, int change)>& make_change) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SlowLinkModel model(4, 100);
        model.random.seed(seed);
        model.loss_rate = loss_rate;
        for (int change = 0; change < 10; ++change) {
            make_change(model, change);
            model.run(max_pause * static_cast<int>(model.random() % 1000) / 1000);
        }
        model.loss_rate = 0;
        model.run(catch_up_time);
        cr_assert(model.all_current(), "seed %lu", seed);
    }
}

}    // namespace

// Guards against an acknowledgement that waits for seconds behind copies of what gateways are being sent
// anyway: a report that crosses an update on its way is not a loss.
Test(slow_link, carries_each_state_once_however_often_gateways_report) {
    SlowLinkModel model(6, 600);
    const std::size_t needed = 6 * model.complete_state_bytes();
    const auto transfer_time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(needed) / model.bytes_per_second));
    cr_assert(transfer_time > 1s, "the gateways report meanwhile");
    model.run(transfer_time + 100ms);
    cr_assert(model.all_current(), "after %zu bytes", model.sent_bytes);
    model.run(10s);
    cr_assert(model.sent_bytes < needed + needed / 4, "%zu bytes for %zu", model.sent_bytes, needed);
    cr_assert(model.link_busy_until < model.now + 10ms);
}

Test(slow_link, repeats_what_was_lost) {
    const auto make_change = [](SlowLinkModel& model, int change) {
        if (change % 3 == 0) model.publisher.publish(make_configuration(2 + change, 190));
        model.add_server(1000 + change);
        model.notify();
    };
    // A report and its reply show what is missing, a second reply brings it.
    check_all_catch_up(0.4, 700ms, 1500ms, make_change);
}

Test(slow_link, brings_all_gateways_up_to_date_after_restarts_and_new_subscriptions) {
    const auto make_change = [](SlowLinkModel& model, int change) {
        const std::string gateway = fmt::format("10.0.1.{}:7101", model.random() % 4);
        model.add_server(1000 + change);
        model.notify();
        switch (model.random() % 4) {
            case 0: model.add_gateway(gateway); break;
            case 1: model.subscribe_anew(gateway); break;
            case 2: model.raise_incarnation(); break;
            default: model.publisher.publish(make_configuration(2 + change, 190)); break;
        }
    };
    check_all_catch_up(0.1, 500ms, 2500ms, make_change);
}

Test(slow_link, update_numbers_wrap_around) {
    cr_assert(subscription::update_number_after(0xffffffff) == subscription::kFirstUpdate);
    cr_assert(subscription::is_later_update(subscription::kFirstUpdate, 0xffffffff));
    cr_assert(!subscription::is_later_update(0xffffffff, subscription::kFirstUpdate));
    cr_assert(!subscription::is_later_update(7, 7));
}

}    // namespace shaletray::controller::test
