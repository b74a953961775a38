#include "balancer/control_socket/plans_command.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "balancer/settings/operator_settings.h"

namespace shaletray::control_socket {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxReplySize = 64 * 1024 * 1024;

struct CommandOptions {
    std::string socket_path, settings_path;
    bool print_json = false;
    std::string plan_name, base_plan, successor, customer, reservation_id, subject, starts_at, ends_at,
        effective_at, note, request_key, author;
    double rate = 0.0, burst = 0.0, rate_limit = 0.0, rate_limit_burst = 0.0, rate_limit_slack = 0.0,
           units = 0.0;
    std::optional<std::uint64_t> expected_version;
    std::uint64_t after_version = 0, max_entries = 100;
};

std::string socket_path(const CommandOptions& options) {
    if (!options.socket_path.empty()) return options.socket_path;
    std::string file = options.settings_path;
    if (const char* named = std::getenv("SHALETRAY_SETTINGS"); file.empty() && named != nullptr) file = named;
    if (!file.empty()) {
        const auto settings = settings::load_operator_settings(file);
        if (settings.plans && !settings.plans->control_socket_path.empty())
            return settings.plans->control_socket_path;
    }
    throw std::runtime_error(
        "no control socket: name it with --socket, or a settings file that sets plans.control");
}

Json send_command(const std::string& path, const Json& command) {
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, path),
                       Poco::Timespan(3, 0));
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        const std::string line = command.dump() + "\n";
        for (std::size_t sent = 0; sent < line.size();)
            sent += static_cast<std::size_t>(
                socket.sendBytes(line.data() + sent, static_cast<int>(line.size() - sent)));
        std::string reply;
        char chunk[65536];
        while (reply.find('\n') == std::string::npos) {
            const int received = socket.receiveBytes(chunk, sizeof chunk);
            if (received <= 0) throw std::runtime_error(path + ": the gateway closed the connection");
            reply.append(chunk, static_cast<std::size_t>(received));
            if (reply.size() > kMaxReplySize)
                throw std::runtime_error(path + ": the reply is longer than 64 MiB");
        }
        const Json json = Json::parse(reply, nullptr, false);
        if (!json.is_object()) throw std::runtime_error(path + ": the reply is not a JSON object");
        return json;
    } catch (const Poco::Exception& error) {
        throw std::runtime_error(fmt::format("{}: {}", path, error.displayText()));
    }
}

// The latest version of the change's subject, for a change without --against; 0 if there is none.
std::uint64_t latest_version(const std::string& path, const Json& change) {
    const std::string kind = change["kind"];
    std::string subject;
    if (kind == "define" || kind == "withdraw") subject = "plan:" + change["plan"].get<std::string>();
    else if (kind == "assign") subject = "customer:" + change["customer"].get<std::string>();
    else subject = "reservation:" + change["id"].get<std::string>();
    std::uint64_t latest = 0, after = 0;
    for (;;) {
        const Json page =
            send_command(path, {{"do", "history"}, {"subject", subject}, {"after", after}, {"most", 1000}});
        if (!page.value("ok", false)) return latest;
        for (const Json& entry : page["changes"]) latest = after = entry["version"];
        if (page["changes"].size() < 1000) return latest;
    }
}

int print_reply(const CommandOptions& options, const Json& reply) {
    if (!reply.value("ok", false)) {
        fmt::print(stderr, "{}: {}\n", reply.value("why", "failed"), reply.value("text", ""));
        if (options.print_json) fmt::print("{}\n", reply.dump(2));
        return EXIT_FAILURE;
    }
    if (options.print_json || !(reply.contains("plans") || reply.contains("changes"))) {
        fmt::print("{}\n", reply.dump(options.print_json ? -1 : 2));
        return EXIT_SUCCESS;
    }
    if (reply.contains("plans")) {
        fmt::print("plan table version {}, at {}\n", reply["version"].dump(), reply["at"].get<std::string>());
        fmt::print("{:<20} {:>8} {:>10} {:>10} {:>10} {:>10} {:>9}\n", "plan", "version", "rate", "burst",
                   "ceiling", "max burst", "customers");
        for (const Json& plan : reply["plans"]) {
            fmt::print("{:<20} {:>8} {:>10} {:>10} {:>10} {:>10} {:>9}\n", plan.value("plan", "?"),
                       plan.value("version", 0), plan.value("rate", 0.0), plan.value("burst", 0.0),
                       plan.value("ceiling_rate", 0.0), plan.value("ceiling_burst", 0.0),
                       plan.value("customers", 0));
        }
    } else {
        for (const Json& change : reply["changes"]) fmt::print("{}\n", change.dump());
    }
    return EXIT_SUCCESS;
}

int send_proposal(const CommandOptions& options, Json change) {
    const std::string path = socket_path(options);
    change["do"] = "propose";
    const char* const user = std::getenv("USER");
    change["author"] = !options.author.empty() ? options.author
                       : user != nullptr       ? user
                                               : fmt::format("uid {}", getuid());
    if (!options.note.empty()) change["note"] = options.note;
    if (!options.request_key.empty()) change["request"] = options.request_key;
    if (!options.effective_at.empty()) change["at"] = options.effective_at;
    change["against"] = options.expected_version ? *options.expected_version : latest_version(path, change);
    return print_reply(options, send_command(path, change));
}

}    // namespace

void add_plans_command(CLI::App& app, std::function<int()>& run) {
    const auto shared_options = std::make_shared<CommandOptions>();
    CommandOptions& options = *shared_options;
    CLI::App* const plans =
        app.add_subcommand("plans", "Plans, customers and reservations of a running gateway");
    plans->require_subcommand(1);
    plans->add_option("--socket", options.socket_path, "The gateway's control socket");
    plans->add_option("--settings", options.settings_path,
                      "The settings file that names the socket; default: SHALETRAY_SETTINGS");
    plans->add_flag("--json", options.print_json, "Print the reply as JSON");
    const auto command = [&](const char* name, const char* description, auto run_command) {
        CLI::App* const subcommand = plans->add_subcommand(name, description);
        subcommand->callback([&run, shared_options, run_command] {
            run = [shared_options, run_command] { return run_command(*shared_options); };
        });
        return subcommand;
    };
    const auto add_change_options = [&](CLI::App* subcommand) {
        subcommand->add_option(
            "--at", options.effective_at,
            "When it takes effect, such as 2026-12-01T08:00:00Z; default: as soon as possible");
        subcommand->add_option("--against", options.expected_version,
                               "The version that the change is based on; default: the latest");
        subcommand->add_option("--author", options.author, "The author; default: the current user");
        subcommand->add_option("--note", options.note, "The reason");
        subcommand->add_option("--request", options.request_key,
                               "An idempotency key: repeated proposals with this key are applied once");
    };
    CLI::App* subcommand = command("list", "All plans", [](const CommandOptions& parsed) {
        Json command_json = {{"do", "list"}};
        if (!parsed.effective_at.empty()) command_json["at"] = parsed.effective_at;
        return print_reply(parsed, send_command(socket_path(parsed), command_json));
    });
    subcommand->add_option("--at", options.effective_at, "The plans at that time");
    subcommand = command("show", "One plan, customer or reservation", [](const CommandOptions& parsed) {
        Json command_json = {{"do", "show"}};
        if (!parsed.plan_name.empty()) command_json["plan"] = parsed.plan_name;
        if (!parsed.customer.empty()) command_json["customer"] = parsed.customer;
        if (!parsed.reservation_id.empty()) command_json["reservation"] = parsed.reservation_id;
        if (!parsed.effective_at.empty()) command_json["at"] = parsed.effective_at;
        return print_reply(parsed, send_command(socket_path(parsed), command_json));
    });
    subcommand->add_option("--plan", options.plan_name);
    subcommand->add_option("--customer", options.customer, "Sixteen hexadecimal digits");
    subcommand->add_option("--reservation", options.reservation_id);
    subcommand->add_option("--at", options.effective_at, "The state at that time");
    subcommand = command("history", "All changes, or those of one subject", [](const CommandOptions& parsed) {
        return print_reply(parsed, send_command(socket_path(parsed), {{"do", "history"},
                                                                      {"subject", parsed.subject},
                                                                      {"after", parsed.after_version},
                                                                      {"most", parsed.max_entries}}));
    });
    subcommand->add_option("--subject", options.subject, "plan:NAME, customer:DIGITS or reservation:ID");
    subcommand->add_option("--after", options.after_version, "Versions above this one");
    subcommand->add_option("--most", options.max_entries)->check(CLI::Range(1, 1000));
    command("status", "The gateway's table version and statistics", [](const CommandOptions& parsed) {
        return print_reply(parsed, send_command(socket_path(parsed), {{"do", "status"}}));
    });
    subcommand =
        command("change", "Change a plan's terms, or define a new plan", [](const CommandOptions& parsed) {
            return send_proposal(parsed,
                                 {{"kind", "define"},
                                  {"plan", parsed.plan_name},
                                  {"like", parsed.base_plan.empty() ? parsed.plan_name : parsed.base_plan},
                                  {"rate", parsed.rate},
                                  {"burst", parsed.burst},
                                  {"ceiling_rate", parsed.rate_limit},
                                  {"ceiling_burst", parsed.rate_limit_burst},
                                  {"ceiling_slack", parsed.rate_limit_slack}});
        });
    subcommand->add_option("plan", options.plan_name)->required();
    subcommand->add_option("--like", options.base_plan,
                           "The platform plan that supplies all other terms; default: the plan itself");
    subcommand->add_option("--rate", options.rate, "Units per second")->required();
    subcommand->add_option("--burst", options.burst, "Units")->required();
    subcommand->add_option("--ceiling-rate", options.rate_limit);
    subcommand->add_option("--ceiling-burst", options.rate_limit_burst);
    subcommand->add_option("--ceiling-slack", options.rate_limit_slack);
    add_change_options(subcommand);
    subcommand =
        command("withdraw", "Withdraw a plan: it gets no new customers", [](const CommandOptions& parsed) {
            return send_proposal(
                parsed, {{"kind", "withdraw"}, {"plan", parsed.plan_name}, {"successor", parsed.successor}});
        });
    subcommand->add_option("plan", options.plan_name)->required();
    subcommand->add_option("--successor", options.successor,
                           "The plan whose terms its customers get; default: they keep their terms");
    add_change_options(subcommand);
    subcommand = command("assign", "Assign a customer to a plan", [](const CommandOptions& parsed) {
        return send_proposal(parsed,
                             {{"kind", "assign"}, {"customer", parsed.customer}, {"plan", parsed.plan_name}});
    });
    subcommand->add_option("customer", options.customer, "Sixteen hexadecimal digits")->required();
    subcommand->add_option("plan", options.plan_name,
                           "Without a plan: back to the plan that its requests name");
    add_change_options(subcommand);
    subcommand = command("reserve", "Reserve units for a planned batch", [](const CommandOptions& parsed) {
        return send_proposal(parsed, {{"kind", "reserve"},
                                      {"id", parsed.reservation_id},
                                      {"customer", parsed.customer},
                                      {"units", parsed.units},
                                      {"from", parsed.starts_at},
                                      {"until", parsed.ends_at},
                                      {"plan", parsed.plan_name}});
    });
    subcommand->add_option("id", options.reservation_id, "The id that its requests carry")->required();
    subcommand->add_option("customer", options.customer, "Sixteen hexadecimal digits")->required();
    subcommand->add_option("--units", options.units)->required();
    subcommand->add_option("--from", options.starts_at)->required();
    subcommand->add_option("--until", options.ends_at)->required();
    subcommand->add_option("--plan", options.plan_name,
                           "The plan that it is taken from, if the plan table assigns the customer none");
    add_change_options(subcommand);
    subcommand = command("release", "Release a reservation before its end", [](const CommandOptions& parsed) {
        return send_proposal(parsed, {{"kind", "release"}, {"id", parsed.reservation_id}});
    });
    subcommand->add_option("id", options.reservation_id)->required();
    add_change_options(subcommand);
}

}    // namespace shaletray::control_socket
