// An emulated application server: the server's side of the protocol, with heartbeats to the control API.
// Everything runs on the reactor's thread.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/stream.h"
#include "system/http_calls.h"
#include "system/scoreboard.h"
#include "system/shard_holds.h"
#include "test_processes.h"

namespace shaletray::testbed {

// How a server behaves.
struct ServerPlan {
    std::string service, address, zone, revision = "v1";
    int concurrency_limit = 6;            // concurrent requests; the same number is queued
    std::size_t max_connections = 130;    // from all callers; further ones are reset
    Duration mean_service_time{0};
    double speed = 1.0;        // service times are divided by this
    Duration slow_start{0};    // slow phase after the start
    Duration heartbeat_interval{1'500'000};
    Duration drain_time{2'000'000};                // time of serving after the drain was acknowledged
    std::vector<std::string> control_addresses;    // where heartbeats go
    std::uint64_t seed = 1;
    double early_answer_share = 0.0;                   // of long requests; see early_answers.h
    ShardOwnershipChecker* shard_checker = nullptr;    // for sharded services; null: executes any request
};

// One server instance with an id of its own; a restart is a new object.
class ApplicationServer {
public:
    ApplicationServer(Reactor& reactor, HttpCalls& calls, Scoreboard& scoreboard, ServerPlan plan);
    ~ApplicationServer();
    ApplicationServer(const ApplicationServer&) = delete;
    ApplicationServer& operator=(const ApplicationServer&) = delete;

    const std::string& id() const { return id_; }
    const ServerPlan& plan() const { return plan_; }
    // Graceful shutdown: announces the drain, keeps serving for `drain_time`, deregisters and ends.
    void start_drain();
    // Ends at once without an announcement.
    void crash_now() { stop_server(); }
    // While frozen it accepts connections but sends no responses, like a suspended machine.
    void set_frozen(bool frozen);
    void set_speed(double speed) { plan_.speed = speed; }
    void set_control_addresses(std::vector<std::string> addresses);
    bool is_registered() const { return is_registered_; }    // its first heartbeat was acknowledged
    bool is_ended() const { return is_ended_; }
    int running_requests() const { return running_requests_; }

private:
    class Connection;
    void accept_connection(const Poco::Net::StreamSocket& socket);
    void read_request(Connection& connection);
    void answer_early(Connection& connection);
    void prepare_next_request(Connection& connection);
    void process_input(Connection& connection);
    void start_request(Connection& connection);
    void finish_request(Connection& connection);
    void start_next_queued();
    void reject_request(Connection& connection, int status);
    void send_response(Connection& connection, int status, const std::string& headers,
                       const std::string& body);
    void remove_connection(Connection& connection);
    void close_idle_connections();
    std::string heartbeat_body();
    void send_heartbeat();
    void on_heartbeat_reply(const HttpReply& reply);
    bool may_execute(const Connection& connection) const;
    void send_deregistration();
    void stop_server();
    Duration draw_service_time();

    Reactor& reactor_;
    Scoreboard& scoreboard_;
    ServerPlan plan_;
    std::mt19937_64 random_;
    std::string id_;
    TimePoint started_at_{};
    std::unique_ptr<TestListener> listener_;
    std::list<std::unique_ptr<Connection>> connections_;
    std::deque<Connection*> queue_;
    int running_requests_ = 0;
    std::uint64_t heartbeats_sent_ = 0, responses_sent_ = 0;
    bool is_registered_ = false, is_draining_ = false, is_deregistered_ = false, is_ended_ = false,
         is_frozen_ = false;
    std::optional<ShardHolds> shard_holds_;
    TimePoint heartbeat_sent_at_{};    // the latest attempt
    ControlClient control_client_;
    Timers::Id heartbeat_timer_ = 0, end_timer_ = 0, sweep_timer_ = 0;
};

}    // namespace shaletray::testbed
