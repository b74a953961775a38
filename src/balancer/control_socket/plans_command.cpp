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

std::string socket_path(const CommandOptions& line) {
    if (!line.socket_path.empty()) return line.socket_path;
    std::string file = line.settings_path;
    if (const char* named = std::getenv("SHALETRAY_SETTINGS"); file.empty() && named != nullptr) file = named;
    if (!file.empty()) {
        const auto s = settings::load_operator_settings(file);
        if (s.plans && !s.plans->control_socket_path.empty()) return s.plans->control_socket_path;
    }
    throw std::runtime_error(
        "name the gateway's control socket by --socket, or an operator's file with plans.control");
}

Json send_command(const std::string& path, const Json& what) {
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, path),
                       Poco::Timespan(3, 0));
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        const std::string line = what.dump() + "\n";
        for (std::size_t sent = 0; sent < line.size();)
            sent += static_cast<std::size_t>(
                socket.sendBytes(line.data() + sent, static_cast<int>(line.size() - sent)));
        std::string answer;
        char chunk[65536];
        while (answer.find('\n') == std::string::npos) {
            const int n = socket.receiveBytes(chunk, sizeof chunk);
            if (n <= 0) throw std::runtime_error(path + ": the gateway ended the connection");
            answer.append(chunk, static_cast<std::size_t>(n));
            if (answer.size() > kMaxReplySize) throw std::runtime_error(path + ": an answer without an end");
        }
        const Json json = Json::parse(answer, nullptr, false);
        if (!json.is_object()) throw std::runtime_error(path + ": what answers is no gateway");
        return json;
    } catch (const Poco::Exception& error) {
        throw std::runtime_error(fmt::format("{}: {}", path, error.displayText()));
    }
}

// What the subject's newest version is, for a change that names none: what stands there as this is asked.
std::uint64_t latest_version(const std::string& path, const Json& change) {
    const std::string kind = change["kind"];
    std::string subject;
    if (kind == "define" || kind == "withdraw") subject = "plan:" + change["plan"].get<std::string>();
    else if (kind == "assign") subject = "customer:" + change["customer"].get<std::string>();
    else subject = "reservation:" + change["id"].get<std::string>();
    std::uint64_t newest = 0, after = 0;
    for (;;) {
        const Json page =
            send_command(path, {{"do", "history"}, {"subject", subject}, {"after", after}, {"most", 1000}});
        if (!page.value("ok", false)) return newest;
        for (const Json& c : page["changes"]) newest = after = c["version"];
        if (page["changes"].size() < 1000) return newest;
    }
}

int print_reply(const CommandOptions& line, const Json& answer) {
    if (!answer.value("ok", false)) {
        fmt::print(stderr, "{}: {}\n", answer.value("why", "failed"), answer.value("text", ""));
        if (line.print_json) fmt::print("{}\n", answer.dump(2));
        return EXIT_FAILURE;
    }
    if (line.print_json || !(answer.contains("plans") || answer.contains("changes"))) {
        fmt::print("{}\n", answer.dump(line.print_json ? -1 : 2));
        return EXIT_SUCCESS;
    }
    if (answer.contains("plans")) {
        fmt::print("book version {}, at {}\n", answer["version"].dump(), answer["at"].get<std::string>());
        fmt::print("{:<20} {:>8} {:>10} {:>10} {:>10} {:>10} {:>9}\n", "plan", "version", "rate", "burst",
                   "ceiling", "its burst", "customers");
        for (const Json& p : answer["plans"]) {
            fmt::print("{:<20} {:>8} {:>10} {:>10} {:>10} {:>10} {:>9}\n", p.value("plan", "?"),
                       p.value("version", 0), p.value("rate", 0.0), p.value("burst", 0.0),
                       p.value("ceiling_rate", 0.0), p.value("ceiling_burst", 0.0), p.value("customers", 0));
        }
    } else {
        for (const Json& c : answer["changes"]) fmt::print("{}\n", c.dump());
    }
    return EXIT_SUCCESS;
}

int send_proposal(const CommandOptions& line, Json change) {
    const std::string path = socket_path(line);
    change["do"] = "propose";
    const char* const user = std::getenv("USER");
    change["author"] = !line.author.empty() ? line.author
                       : user != nullptr    ? user
                                            : fmt::format("uid {}", getuid());
    if (!line.note.empty()) change["note"] = line.note;
    if (!line.request_key.empty()) change["request"] = line.request_key;
    if (!line.effective_at.empty()) change["at"] = line.effective_at;
    change["against"] = line.expected_version ? *line.expected_version : latest_version(path, change);
    return print_reply(line, send_command(path, change));
}

}    // namespace

void add_plans_command(CLI::App& app, std::function<int()>& run) {
    const auto line = std::make_shared<CommandOptions>();
    CommandOptions& l = *line;
    CLI::App* const plans = app.add_subcommand("plans", "Plans, customers and reservations, in service");
    plans->require_subcommand(1);
    plans->add_option("--socket", l.socket_path, "The gateway's control socket");
    plans->add_option("--settings", l.settings_path,
                      "The operator's file that names it; SHALETRAY_SETTINGS else");
    plans->add_flag("--json", l.print_json, "Print the answer as it came");
    const auto command = [&](const char* name, const char* what, auto what_runs) {
        CLI::App* const sub = plans->add_subcommand(name, what);
        sub->callback([&run, line, what_runs] { run = [line, what_runs] { return what_runs(*line); }; });
        return sub;
    };
    const auto changing = [&](CLI::App* sub) {
        sub->add_option("--at", l.effective_at,
                        "When it takes effect, such as 2026-12-01T08:00:00Z; else as soon as it can");
        sub->add_option("--against", l.expected_version,
                        "The version that was looked at; else the newest as this is run");
        sub->add_option("--author", l.author, "Who makes it; the user else");
        sub->add_option("--note", l.note, "Why");
        sub->add_option("--request", l.request_key,
                        "A name for this, so that it is made once however often it is run");
    };
    CLI::App* sub = command("list", "All plans", [](const CommandOptions& of) {
        Json what = {{"do", "list"}};
        if (!of.effective_at.empty()) what["at"] = of.effective_at;
        return print_reply(of, send_command(socket_path(of), what));
    });
    sub->add_option("--at", l.effective_at, "As they are at that time");
    sub = command("show", "One plan, customer or reservation", [](const CommandOptions& of) {
        Json what = {{"do", "show"}};
        if (!of.plan_name.empty()) what["plan"] = of.plan_name;
        if (!of.customer.empty()) what["customer"] = of.customer;
        if (!of.reservation_id.empty()) what["reservation"] = of.reservation_id;
        if (!of.effective_at.empty()) what["at"] = of.effective_at;
        return print_reply(of, send_command(socket_path(of), what));
    });
    sub->add_option("--plan", l.plan_name);
    sub->add_option("--customer", l.customer, "Sixteen hexadecimal digits");
    sub->add_option("--reservation", l.reservation_id);
    sub->add_option("--at", l.effective_at, "As it is at that time");
    sub = command("history", "All changes, or those of one subject", [](const CommandOptions& of) {
        return print_reply(of, send_command(socket_path(of), {{"do", "history"},
                                                              {"subject", of.subject},
                                                              {"after", of.after_version},
                                                              {"most", of.max_entries}}));
    });
    sub->add_option("--subject", l.subject, "plan:NAME, customer:DIGITS or reservation:ID");
    sub->add_option("--after", l.after_version, "Versions above this one");
    sub->add_option("--most", l.max_entries)->check(CLI::Range(1, 1000));
    command("status", "How far the gateway is", [](const CommandOptions& of) {
        return print_reply(of, send_command(socket_path(of), {{"do", "status"}}));
    });
    sub = command("change", "A plan's figures, or a new plan", [](const CommandOptions& of) {
        return send_proposal(of, {{"kind", "define"},
                                  {"plan", of.plan_name},
                                  {"like", of.base_plan.empty() ? of.plan_name : of.base_plan},
                                  {"rate", of.rate},
                                  {"burst", of.burst},
                                  {"ceiling_rate", of.rate_limit},
                                  {"ceiling_burst", of.rate_limit_burst},
                                  {"ceiling_slack", of.rate_limit_slack}});
    });
    sub->add_option("plan", l.plan_name)->required();
    sub->add_option("--like", l.base_plan, "The platform's plan that gives all else; the plan itself else");
    sub->add_option("--rate", l.rate, "Units a second")->required();
    sub->add_option("--burst", l.burst, "Units")->required();
    sub->add_option("--ceiling-rate", l.rate_limit);
    sub->add_option("--ceiling-burst", l.rate_limit_burst);
    sub->add_option("--ceiling-slack", l.rate_limit_slack);
    changing(sub);
    sub = command("withdraw", "A plan: no new customers", [](const CommandOptions& of) {
        return send_proposal(of, {{"kind", "withdraw"}, {"plan", of.plan_name}, {"successor", of.successor}});
    });
    sub->add_option("plan", l.plan_name)->required();
    sub->add_option("--successor", l.successor,
                    "The plan whose terms its customers get; else they keep theirs");
    changing(sub);
    sub = command("assign", "A customer to a plan", [](const CommandOptions& of) {
        return send_proposal(of, {{"kind", "assign"}, {"customer", of.customer}, {"plan", of.plan_name}});
    });
    sub->add_option("customer", l.customer, "Sixteen hexadecimal digits")->required();
    sub->add_option("plan", l.plan_name, "None: back to what its requests say");
    changing(sub);
    sub = command("reserve", "Units ahead for a known batch", [](const CommandOptions& of) {
        return send_proposal(of, {{"kind", "reserve"},
                                  {"id", of.reservation_id},
                                  {"customer", of.customer},
                                  {"units", of.units},
                                  {"from", of.starts_at},
                                  {"until", of.ends_at},
                                  {"plan", of.plan_name}});
    });
    sub->add_option("id", l.reservation_id, "Carried by its requests")->required();
    sub->add_option("customer", l.customer, "Sixteen hexadecimal digits")->required();
    sub->add_option("--units", l.units)->required();
    sub->add_option("--from", l.starts_at)->required();
    sub->add_option("--until", l.ends_at)->required();
    sub->add_option("--plan", l.plan_name,
                    "What it is carved from, where the book assigns the customer none");
    changing(sub);
    sub = command("release", "A reservation, before its end", [](const CommandOptions& of) {
        return send_proposal(of, {{"kind", "release"}, {"id", of.reservation_id}});
    });
    sub->add_option("id", l.reservation_id)->required();
    changing(sub);
}

}    // namespace shaletray::control_socket
