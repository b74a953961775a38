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

constexpr std::size_t kLongestAnswer = 64 * 1024 * 1024;

struct Line {
    std::string socket, settings;
    bool json = false;
    std::string plan, like, successor, customer, id, subject, from, until, at, note, request, author;
    double rate = 0.0, burst = 0.0, ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0, units = 0.0;
    std::optional<std::uint64_t> against;
    std::uint64_t after = 0, most = 100;
};

std::string socket_of(const Line& line) {
    if (!line.socket.empty()) return line.socket;
    std::string file = line.settings;
    if (const char* named = std::getenv("SHALETRAY_SETTINGS"); file.empty() && named != nullptr) file = named;
    if (!file.empty()) {
        const auto s = settings::load_operator_settings(file);
        if (s.plans && !s.plans->control.empty()) return s.plans->control;
    }
    throw std::runtime_error(
        "name the gateway's control socket by --socket, or an operator's file with plans.control");
}

Json ask(const std::string& path, const Json& what) {
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
            if (answer.size() > kLongestAnswer) throw std::runtime_error(path + ": an answer without an end");
        }
        const Json json = Json::parse(answer, nullptr, false);
        if (!json.is_object()) throw std::runtime_error(path + ": what answers is no gateway");
        return json;
    } catch (const Poco::Exception& error) {
        throw std::runtime_error(fmt::format("{}: {}", path, error.displayText()));
    }
}

// What the subject's newest version is, for a change that names none: what stands there as this is asked.
std::uint64_t newest(const std::string& path, const Json& change) {
    const std::string kind = change["kind"];
    std::string subject;
    if (kind == "define" || kind == "withdraw") subject = "plan:" + change["plan"].get<std::string>();
    else if (kind == "assign") subject = "customer:" + change["customer"].get<std::string>();
    else subject = "reservation:" + change["id"].get<std::string>();
    std::uint64_t newest = 0, after = 0;
    for (;;) {
        const Json page =
            ask(path, {{"do", "history"}, {"subject", subject}, {"after", after}, {"most", 1000}});
        if (!page.value("ok", false)) return newest;
        for (const Json& c : page["changes"]) newest = after = c["version"];
        if (page["changes"].size() < 1000) return newest;
    }
}

int show(const Line& line, const Json& answer) {
    if (!answer.value("ok", false)) {
        fmt::print(stderr, "{}: {}\n", answer.value("why", "failed"), answer.value("text", ""));
        if (line.json) fmt::print("{}\n", answer.dump(2));
        return EXIT_FAILURE;
    }
    if (line.json || !(answer.contains("plans") || answer.contains("changes"))) {
        fmt::print("{}\n", answer.dump(line.json ? -1 : 2));
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

int propose(const Line& line, Json change) {
    const std::string path = socket_of(line);
    change["do"] = "propose";
    const char* const user = std::getenv("USER");
    change["author"] = !line.author.empty() ? line.author
                       : user != nullptr    ? user
                                            : fmt::format("uid {}", getuid());
    if (!line.note.empty()) change["note"] = line.note;
    if (!line.request.empty()) change["request"] = line.request;
    if (!line.at.empty()) change["at"] = line.at;
    change["against"] = line.against ? *line.against : newest(path, change);
    return show(line, ask(path, change));
}

}    // namespace

void add_plans_command(CLI::App& app, std::function<int()>& run) {
    const auto line = std::make_shared<Line>();
    Line& l = *line;
    CLI::App* const plans = app.add_subcommand("plans", "Plans, customers and reservations, in service");
    plans->require_subcommand(1);
    plans->add_option("--socket", l.socket, "The gateway's control socket");
    plans->add_option("--settings", l.settings, "The operator's file that names it; SHALETRAY_SETTINGS else");
    plans->add_flag("--json", l.json, "Print the answer as it came");
    const auto command = [&](const char* name, const char* what, auto what_runs) {
        CLI::App* const sub = plans->add_subcommand(name, what);
        sub->callback([&run, line, what_runs] { run = [line, what_runs] { return what_runs(*line); }; });
        return sub;
    };
    const auto changing = [&](CLI::App* sub) {
        sub->add_option("--at", l.at,
                        "When it takes effect, such as 2026-12-01T08:00:00Z; else as soon as it can");
        sub->add_option("--against", l.against,
                        "The version that was looked at; else the newest as this is run");
        sub->add_option("--author", l.author, "Who makes it; the user else");
        sub->add_option("--note", l.note, "Why");
        sub->add_option("--request", l.request,
                        "A name for this, so that it is made once however often it is run");
    };
    CLI::App* sub = command("list", "All plans", [](const Line& of) {
        Json what = {{"do", "list"}};
        if (!of.at.empty()) what["at"] = of.at;
        return show(of, ask(socket_of(of), what));
    });
    sub->add_option("--at", l.at, "As they are at that time");
    sub = command("show", "One plan, customer or reservation", [](const Line& of) {
        Json what = {{"do", "show"}};
        if (!of.plan.empty()) what["plan"] = of.plan;
        if (!of.customer.empty()) what["customer"] = of.customer;
        if (!of.id.empty()) what["reservation"] = of.id;
        if (!of.at.empty()) what["at"] = of.at;
        return show(of, ask(socket_of(of), what));
    });
    sub->add_option("--plan", l.plan);
    sub->add_option("--customer", l.customer, "Sixteen hexadecimal digits");
    sub->add_option("--reservation", l.id);
    sub->add_option("--at", l.at, "As it is at that time");
    sub = command("history", "All changes, or those of one subject", [](const Line& of) {
        return show(
            of, ask(socket_of(of),
                    {{"do", "history"}, {"subject", of.subject}, {"after", of.after}, {"most", of.most}}));
    });
    sub->add_option("--subject", l.subject, "plan:NAME, customer:DIGITS or reservation:ID");
    sub->add_option("--after", l.after, "Versions above this one");
    sub->add_option("--most", l.most)->check(CLI::Range(1, 1000));
    command("status", "How far the gateway is", [](const Line& of) {
        return show(of, ask(socket_of(of), {{"do", "status"}}));
    });
    sub = command("change", "A plan's figures, or a new plan", [](const Line& of) {
        return propose(of, {{"kind", "define"},
                            {"plan", of.plan},
                            {"like", of.like.empty() ? of.plan : of.like},
                            {"rate", of.rate},
                            {"burst", of.burst},
                            {"ceiling_rate", of.ceiling_rate},
                            {"ceiling_burst", of.ceiling_burst},
                            {"ceiling_slack", of.ceiling_slack}});
    });
    sub->add_option("plan", l.plan)->required();
    sub->add_option("--like", l.like, "The platform's plan that gives all else; the plan itself else");
    sub->add_option("--rate", l.rate, "Units a second")->required();
    sub->add_option("--burst", l.burst, "Units")->required();
    sub->add_option("--ceiling-rate", l.ceiling_rate);
    sub->add_option("--ceiling-burst", l.ceiling_burst);
    sub->add_option("--ceiling-slack", l.ceiling_slack);
    changing(sub);
    sub = command("withdraw", "A plan: no new customers", [](const Line& of) {
        return propose(of, {{"kind", "withdraw"}, {"plan", of.plan}, {"successor", of.successor}});
    });
    sub->add_option("plan", l.plan)->required();
    sub->add_option("--successor", l.successor,
                    "The plan whose terms its customers get; else they keep theirs");
    changing(sub);
    sub = command("assign", "A customer to a plan", [](const Line& of) {
        return propose(of, {{"kind", "assign"}, {"customer", of.customer}, {"plan", of.plan}});
    });
    sub->add_option("customer", l.customer, "Sixteen hexadecimal digits")->required();
    sub->add_option("plan", l.plan, "None: back to what its requests say");
    changing(sub);
    sub = command("reserve", "Units ahead for a known batch", [](const Line& of) {
        return propose(of, {{"kind", "reserve"},
                            {"id", of.id},
                            {"customer", of.customer},
                            {"units", of.units},
                            {"from", of.from},
                            {"until", of.until},
                            {"plan", of.plan}});
    });
    sub->add_option("id", l.id, "Carried by its requests")->required();
    sub->add_option("customer", l.customer, "Sixteen hexadecimal digits")->required();
    sub->add_option("--units", l.units)->required();
    sub->add_option("--from", l.from)->required();
    sub->add_option("--until", l.until)->required();
    sub->add_option("--plan", l.plan, "What it is carved from, where the book assigns the customer none");
    changing(sub);
    sub = command("release", "A reservation, before its end", [](const Line& of) {
        return propose(of, {{"kind", "release"}, {"id", of.id}});
    });
    sub->add_option("id", l.id)->required();
    changing(sub);
}

}    // namespace shaletray::control_socket
