// Test fixture for a gateway's complete data plane over loopback: client sockets, request mapper, dispatcher,
// engines, connection pools, and scripted servers. Runs in one thread on a clock that the test advances,
// without sleeping.
#pragma once

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/net/loop.h"
#include "data_plane/proxy/client_listener.h"
#include "gateway/loopback_client.h"
#include "gateway/request_dispatcher.h"
#include "gateway/scripted_server.h"

namespace shaletray::test {

// A gateway's data plane with its servers. The clock advances by a millisecond in each turn.
class DataPlaneFixture {
public:
    // Chooses the behaviour for a request; `complete` is false where only its head was received so far.
    std::function<ServerBehaviour(const ServerRequest&, bool complete)> choose_behaviour =
        [](const ServerRequest&, bool) { return ServerBehaviour::Respond; };
    // Chooses the response to a request of which kEarlyResponseSize bytes and not the whole body have
    // arrived. After one the server reads nothing more for delay_turns, then reads on; it runs no request
    // that it answered so.
    std::function<EarlyResponse(const ServerRequest&)> choose_early_response = [](const ServerRequest&) {
        return EarlyResponse::None;
    };
    std::map<std::string, std::string> executed_bodies;    // as the server got them, by request id
    std::map<EarlyResponse, int> early_response_counts;
    std::string idle_timeout_header;    // in success responses: the server's stated idle timeout
    // Of the tenant whose key is "key-limited"; requests without a key belong to no tenant.
    static constexpr quota::Quota kLimitedQuota{.rate = 20.0, .burst = 4.0};
    std::function<int()> delay_turns = [] { return 5; };    // delay of late responses, in turns
    std::map<std::string, int> arrivals, executions;        // by request id
    std::map<std::string, std::string> response_bodies;     // of success responses, by request id
    std::map<ServerBehaviour, int> behaviour_counts;

    Loop loop;
    Counters counters;
    http_mapping::UpstreamHosts hosts{{{"a"}, 300ms}};
    ownership::OwnerMap owners;
    quota::QuotaBalancer balancer;
    http_mapping::RequestMapper request_mapper;
    std::optional<gateway::RequestDispatcher> dispatcher;
    std::optional<ClientListener> listener;
    std::vector<std::unique_ptr<ScriptedServer>> servers;

    explicit DataPlaneFixture(int count, std::uint64_t seed = 1, bool is_sharded = false,
                              double max_memory_mb = 128.0)
        : balancer(balancer_settings(), loop.clock.now()) {
        gateway::DispatcherSettings dispatcher_settings;
        dispatcher_settings.seed = seed;
        dispatcher_settings.pipelines.retry_slack = 5000.0;
        dispatcher.emplace(dispatcher_settings, loop.reactor, loop.timers, counters, hosts, owners, balancer,
                           [] {});
        for (int index = 0; index < count; ++index)
            servers.push_back(std::make_unique<ScriptedServer>(fmt::format("i-{}", ++last_server_number_)));
        auto configuration_index =
            std::make_shared<const configuration::ConfigurationIndex>(make_configuration(is_sharded));
        request_mapper.set_configuration(configuration_index);
        publish_servers();
        dispatcher->set_configuration(configuration_index);
        balancer.set_quotas({{"limited", kLimitedQuota}}, loop.clock.now());
        balancer.set_peers({{"127.0.0.1:1"}, 1, loop.clock.now() + std::chrono::hours(1)}, loop.clock.now());
        listener.emplace(*dispatcher, request_mapper, ClientCapacity{1024, max_memory_mb}, counters,
                         loop.reactor, ClientListener::listen("127.0.0.1:0"), 200, [] { return true; });
        loop.reactor.set_busy_polling(true);
    }
    // Announces the current endpoints to the gateway.
    void publish_servers() {
        std::map<std::string, registry::Server> servers_by_id;
        for (const auto& server : servers) {
            registry::Server entry;
            entry.id = server->id;
            entry.service = "pay";
            entry.address = server->address;
            entry.zone = "a";
            entry.capacity = 4;
            entry.last_called_at = loop.clock.now();
            servers_by_id[entry.id] = entry;
        }
        hosts.update(servers_by_id, loop.clock.now());
        dispatcher->on_servers_changed({"pay"});
    }
    // Announces that this server owns all shard keys, and whether the assignment is settled.
    void publish_owner(const std::string& id, std::uint64_t version, bool settled = true,
                       const std::string& previous_owner = "") {
        ownership::OwnershipTable table{version, 4s, {}};
        table.services["pay"] = {{{0, 65535}, id, version, version, settled, previous_owner}};
        cr_assert(owners.apply(ownership::encode(table)));
    }
    // Runs turns of a millisecond each. Returns false if the condition is not met within max_turns.
    bool run_until(const std::function<bool()>& condition, int max_turns = 15000) {
        int turns_left = max_turns;
        bool condition_met = false;
        loop.until([&] {
            ++current_turn_;
            loop.clock.ahead += 1ms;
            for (auto& server : servers)
                server->poll_connections(
                    [this](ScriptedServer& scripted_server, ScriptedServer::Connection& connection) {
                        process_input(scripted_server, connection);
                    });
            for (auto due = scheduled_tasks_.begin();
                 due != scheduled_tasks_.end() && due->first <= current_turn_;) {
                const auto task = std::move(due->second);
                due = scheduled_tasks_.erase(due);
                task();
            }
            condition_met = condition();
            return condition_met || --turns_left <= 0;
        });
        return condition_met;
    }
    void schedule_after(int turn_count, std::function<void()> task) {
        scheduled_tasks_.emplace(current_turn_ + turn_count, std::move(task));
    }
    int current_turn() const { return current_turn_; }

    static std::string success_response(const ServerRequest& request, const std::string& body,
                                        const std::string& extra_headers = "") {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal-{}\r\n{}Content-Length: {}\r\n\r\n{}",
            request.id, request.id, extra_headers, body.size(), body);
    }

private:
    static quota::Settings balancer_settings() {
        quota::Settings result;
        result.self = "127.0.0.1:1";
        result.incarnation = 1;
        return result;
    }
    static configuration::Configuration make_configuration(bool is_sharded) {
        configuration::Configuration result;
        result.version = 1;
        configuration::Route pay_route;
        pay_route.name = "pay";
        pay_route.hostname = "a.example";
        pay_route.path_prefix = "/pay/";
        pay_route.kind = configuration::RouteKind::NonIdempotent;
        pay_route.timeout = 400ms;
        pay_route.target_latency = 300ms;
        pay_route.targets = {{"pay", 1}};
        pay_route.max_attempts = 3;
        pay_route.is_public = true;
        configuration::Route read_route = pay_route;
        read_route.name = "read";
        read_route.path_prefix = "/read/";
        read_route.kind = configuration::RouteKind::Idempotent;
        result.routes = {pay_route, read_route};
        result.services = {{"pay", "/health", 0, is_sharded}};
        result.tenants = {
            {"limited", {"key-limited"}, std::nullopt, kLimitedQuota.rate, kLimitedQuota.burst}};
        return result;
    }

    void process_input(ScriptedServer& server, ScriptedServer::Connection& connection) {
        if (connection.stops_reading) return;
        char bytes[16384];
        bool ended = false;
        try {
            for (;;) {
                if (connection.resets_on_input &&
                    connection.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                    return ScriptedServer::reset(connection);
                const int received =
                    connection.resets_on_input ? -1 : connection.socket.receiveBytes(bytes, sizeof bytes);
                if (received == 0) ended = true;
                if (received <= 0) break;
                connection.input.append({bytes, static_cast<std::size_t>(received)});
            }
        } catch (const Poco::Exception&) {
            ended = true;
        }
        if (ended) {
            connection.is_open = false;
            return connection.socket.close();
        }
        if (connection.is_paused || connection.input.empty()) return;
        const http::ParseStatus status = connection.parser.parse(connection.input);
        cr_assert(status != http::ParseStatus::Malformed);
        if (!connection.parser.head_complete()) return;
        ServerRequest request{std::string(connection.parser.header(connection.input, "X-Attempt-Id")),
                              std::string(connection.parser.method(connection.input)),
                              std::string(connection.parser.target(connection.input)),
                              std::string(connection.parser.body(connection.input)),
                              std::string(connection.parser.header(connection.input, "X-Target-Instance"))};
        if (request.target == "/health") {
            if (status != http::ParseStatus::Complete) return;
            finish_request(connection);
            return ScriptedServer::send(
                connection,
                fmt::format("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", server.id));
        }
        if (status != http::ParseStatus::Complete && respond_early(server, connection, request)) return;
        if (status != http::ParseStatus::Complete) {
            if (connection.input.size() < 65536 ||
                choose_behaviour(request, false) != ServerBehaviour::ResetDuringRead)
                return;
            ++arrivals[request.id];
            ++behaviour_counts[ServerBehaviour::ResetDuringRead];
            return ScriptedServer::reset(connection);
        }
        ++arrivals[request.id];
        finish_request(connection);
        if (std::exchange(connection.has_responded_early, false)) return;
        if (request.target_instance != server.id)
            return ScriptedServer::send(
                connection,
                fmt::format("HTTP/1.1 421 No\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n", request.id));
        const ServerBehaviour behaviour = choose_behaviour(request, true);
        ++behaviour_counts[behaviour];
        if (executes_request(behaviour)) {
            ++executions[request.id];
            executed_bodies[request.id] = request.body;
        }
        apply_behaviour(server, connection, request, behaviour);
    }
    // Returns false where the server waits for the rest of the body.
    bool respond_early(ScriptedServer& server, ScriptedServer::Connection& connection,
                       const ServerRequest& request) {
        if (connection.has_responded_early || connection.input.size() < kEarlyResponseSize) return false;
        const EarlyResponse kind = choose_early_response(request);
        if (kind == EarlyResponse::None) return false;
        ++early_response_counts[kind];
        connection.has_responded_early = connection.stops_reading = true;
        if (kind != EarlyResponse::Silence)
            ScriptedServer::send(connection,
                                 fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                                             early_status_line(kind), request.id));
        schedule_on_connection(server, connection, [](ScriptedServer::Connection& live_connection) {
            live_connection.stops_reading = false;
        });
        return true;
    }
    static void finish_request(ScriptedServer::Connection& connection) {
        connection.input.consume(connection.parser.message_size());
        connection.parser.reset();
    }
    void apply_behaviour(ScriptedServer& server, ScriptedServer::Connection& connection,
                         const ServerRequest& request, ServerBehaviour behaviour) {
        using Server = ScriptedServer;
        const std::string body = fmt::format("of {} by {}", request.id, server.id);
        response_bodies[request.id] = body;
        const std::string response = success_response(request, body, idle_timeout_header);
        const auto send_plain = [&](const std::string& head, const std::string& text) {
            Server::send(connection,
                         fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", head, text.size(), text));
        };
        const std::string id_header = "X-Attempt-Id: " + request.id;
        request_ids_.insert(request.id);
        switch (behaviour) {
            case ServerBehaviour::Respond: Server::send(connection, response); break;
            case ServerBehaviour::SlowResponse:
                connection.is_paused = true;
                schedule_on_connection(server, connection, [response](Server::Connection& live_connection) {
                    live_connection.is_paused = false;
                    Server::send(live_connection, response);
                });
                break;
            case ServerBehaviour::DuplicateResponse: Server::send(connection, response + response); break;
            case ServerBehaviour::LateDuplicate:
                Server::send(connection, response);
                schedule_on_connection(server, connection, [response](Server::Connection& live_connection) {
                    Server::send(live_connection, response);
                });
                break;
            case ServerBehaviour::PreviousResponseFirst:
                Server::send(connection, connection.last_response + response);
                break;
            case ServerBehaviour::CloseAfterResponse:
                Server::send(connection, success_response(request, body, "Connection: close\r\n"));
                connection.is_open = false;
                connection.socket.close();
                break;
            case ServerBehaviour::ResetOnNextInput:
                Server::send(connection, response);
                connection.resets_on_input = true;
                break;
            case ServerBehaviour::TruncatedResponse:
                Server::send(connection, response.substr(0, response.size() / 2));
                connection.is_open = false;
                connection.socket.close();
                break;
            case ServerBehaviour::ResetDuringResponse:
                Server::send(connection, response.substr(0, response.size() - 1));
                Server::reset(connection);
                break;
            case ServerBehaviour::ResetAfterExecution:
            case ServerBehaviour::ResetBeforeRead:
            case ServerBehaviour::ResetDuringRead: Server::reset(connection); break;
            case ServerBehaviour::NoResponse: connection.is_paused = true; break;
            case ServerBehaviour::ServerError:
                send_plain("500 No\r\n" + id_header, "why-" + request.id);
                break;
            case ServerBehaviour::Unmarked503:
                send_plain("503 No\r\n" + id_header + "\r\nRetry-After: 1", "busy");
                break;
            case ServerBehaviour::Unmarked429:
                send_plain("429 No\r\n" + id_header + "\r\nRetry-After: 1", "busy");
                break;
            case ServerBehaviour::MalformedResponse:
                Server::send(connection, "\x16\x03nothing of yours\r\n\r\n");
                break;
            case ServerBehaviour::SuccessWithoutId: send_plain("200 OK\r\nX-Server-Seal: s", "stray"); break;
            case ServerBehaviour::FailureWithoutId: send_plain("500 No", "stray"); break;
            case ServerBehaviour::WrongId: {
                const auto other_id = std::find_if(request_ids_.begin(), request_ids_.end(),
                                                   [&](const std::string& id) { return id != request.id; });
                ServerRequest other_request = request;
                other_request.id = other_id == request_ids_.end() ? "nobody" : *other_id;
                Server::send(connection, success_response(other_request, "stray"));
                connection.is_paused = true;
                break;
            }
            case ServerBehaviour::Restart: {
                for (Server::Connection& open_connection : server.connections) Server::reset(open_connection);
                server.id = fmt::format("i-{}", ++last_server_number_);
                schedule_after(delay_turns() * 3, [this] { publish_servers(); });
                break;
            }
            case ServerBehaviour::Overloaded:
                send_plain("503 Full\r\n" + id_header + "\r\nX-Not-Executed: 1", "full");
                break;
            case ServerBehaviour::kCount: break;
        }
        if (behaviour == ServerBehaviour::Respond || behaviour == ServerBehaviour::DuplicateResponse)
            connection.last_response = response;
    }
    // Runs the task on the connection later, if it is still open then.
    void schedule_on_connection(ScriptedServer& server, const ScriptedServer::Connection& connection,
                                std::function<void(ScriptedServer::Connection&)> task) {
        schedule_after(delay_turns(), [&server, number = connection.number, task = std::move(task)] {
            for (ScriptedServer::Connection& live_connection : server.connections) {
                if (live_connection.number == number && live_connection.is_open) task(live_connection);
            }
        });
    }

    int current_turn_ = 0, last_server_number_ = 0;
    std::multimap<int, std::function<void()>> scheduled_tasks_;
    std::set<std::string> request_ids_;
};

}    // namespace shaletray::test
