// The shaletray program: parses the command line, loads the configuration and handles signals.
#include <Poco/Exception.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>

#include "balancer/command/completion.h"
#include "balancer/control_socket/plans_command.h"
#include "balancer/service/gateway_service.h"
#include "base/common/log.h"

namespace {

std::atomic<bool> stop_requested{false}, counters_requested{false}, reload_requested{false};

void on_signal(int signal) {
    if (signal == SIGUSR1) counters_requested = true;
    else if (signal == SIGHUP) reload_requested = true;
    else stop_requested = true;
}

void handle_signals() {
    struct sigaction action {};
    action.sa_handler = on_signal;
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaction(signal, &action, nullptr);
    action.sa_handler = SIG_IGN;    // writing to a closed connection then fails with EPIPE
    sigaction(SIGPIPE, &action, nullptr);
}

// Raises the soft limit on open descriptors to the hard limit, and lowers the configured number of sockets to
// it.
void apply_descriptor_limit(shaletray::GatewayConfig& config) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        config.max_sockets = std::min<std::size_t>(config.max_sockets, limit.rlim_cur);
    // Below this, no descriptors would be left to divide between clients and servers.
    if (config.max_sockets < shaletray::kMinSockets)
        throw shaletray::ConfigError("the limit on open file descriptors is too low");
}

// Loads the operator's settings file that SHALETRAY_SETTINGS names; without one, all its features are
// disabled.
shaletray::settings::OperatorSettings load_settings_from_environment() {
    const char* const path = std::getenv("SHALETRAY_SETTINGS");
    if (path == nullptr || *path == '\0') return {};
    return shaletray::settings::load_operator_settings(path);
}

// The level from the environment (SHALETRAY_LOG) stays if the file sets none.
void apply_log_settings(const shaletray::settings::OperatorSettings& settings) {
    if (!settings.log) return;
    if (!settings.log->level.empty()) shaletray::set_log_level(std::string_view(settings.log->level));
    shaletray::set_log_format(settings.log->use_json ? shaletray::LogFormat::Json
                                                     : shaletray::LogFormat::KeyValue);
}

// Reloads both files. If either cannot be read or is invalid, neither is applied and the gateway continues as
// before.
void reload(shaletray::GatewayService& service) {
    try {
        const shaletray::GatewayConfig config = shaletray::config_from_file();
        const shaletray::settings::OperatorSettings settings = load_settings_from_environment();
        const bool changed = service.apply_reload(config);
        const std::size_t change_count = service.apply_reload(settings);
        apply_log_settings(settings);
        service.record_reload_accepted();
        if (!changed && change_count == 0)
            shaletray::log(shaletray::LogLevel::Info, shaletray::Event::ReloadUnchanged);
    } catch (const std::exception& error) {
        service.record_reload_failed();
        shaletray::log(shaletray::LogLevel::Error, shaletray::Event::ReloadFailed,
                       {shaletray::log_field("why", error.what())});
    }
}

int serve() {
    if (const char* level = std::getenv("SHALETRAY_LOG");
        level != nullptr && !shaletray::set_log_level(std::string_view(level))) {
        throw shaletray::ConfigError("SHALETRAY_LOG must be error, warning, info or debug");
    }
    shaletray::GatewayConfig config = shaletray::config_from_environment();
    apply_descriptor_limit(config);
    const std::string name = config.name;
    handle_signals();
    const shaletray::settings::OperatorSettings settings = load_settings_from_environment();
    apply_log_settings(settings);
    shaletray::GatewayService service(std::move(config), settings);
    const auto print_counters = [&] { fmt::print(stderr, "{}", service.counters_text()); };
    shaletray::log(
        shaletray::LogLevel::Info, shaletray::Event::Listening,
        {shaletray::log_field("name", name), shaletray::log_field("address", service.client_address())});
    service.run([&] {
        if (counters_requested.exchange(false)) print_counters();
        if (reload_requested.exchange(false)) reload(service);
        if (stop_requested) service.request_stop();
    });
    print_counters();
    return EXIT_SUCCESS;
}

int check_files(const std::vector<std::string>& files, bool show_effective) {
    int status = EXIT_SUCCESS;
    for (const std::string& file : files) {
        try {
            shaletray::settings::load_operator_settings(file);
            if (show_effective) {
                std::ifstream in(file, std::ios::binary);
                fmt::print("{}", shaletray::settings::explain_settings(
                                     std::string(std::istreambuf_iterator<char>(in), {}), file));
            } else {
                fmt::print("{}: good\n", file);
            }
        } catch (const std::exception& error) {
            fmt::print(stderr, "{}\n", error.what());
            status = EXIT_FAILURE;
        }
    }
    return status;
}

// Replaces this process with the program of a tool sub-command. Tools are separate programs in the same
// folder, so that the gateway does not load their libraries. Returns false if the sub-command is not a tool.
bool exec_tool_program(int argc, char** argv) {
    // A tool's program completes its own command line.
    const bool is_completion = argc > 2 && std::string_view(argv[1]) == "__complete";
    const std::string_view subcommand = is_completion ? argv[2] : argc > 1 ? argv[1] : "";
    const bool is_lab = subcommand == "lab";
    if (!is_lab && subcommand != "usage" && subcommand != "store") return false;
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    std::string name = (folder / (is_lab ? "shaletray_lab" : "shaletray_usage")).string();
    std::vector<char*> arguments(argv, argv + argc);
    if (is_lab)
        arguments.erase(arguments.begin() +
                        (is_completion ? 2 : 1));    // the sub-command selects the program
    arguments[0] = name.data();
    arguments.push_back(nullptr);
    execv(name.c_str(), arguments.data());
    throw std::runtime_error(fmt::format("{}: {}", name, std::strerror(errno)));
}

int run(int argc, char** argv) {
    if (exec_tool_program(argc, argv)) return EXIT_FAILURE;
    CLI::App app{"A quota gateway. Without a sub-command it runs the gateway."};
    app.require_subcommand(0, 1);
    app.add_subcommand("serve", "Run the gateway with the configuration file named by EDGE_CONFIG");
    CLI::App* const check_command =
        app.add_subcommand("check", "Check operator settings files and report all errors");
    std::vector<std::string> files;
    bool show_effective = false;
    check_command->add_option("file", files, "The files to check")->required();
    check_command->add_flag("--show", show_effective,
                            "Print the effective settings of each file, defaults included");
    // Only listed here: exec_tool_program runs these before the command line is parsed.
    app.add_subcommand("usage", "Usage records: run, export, tail, reconcile");
    app.add_subcommand("lab", "The simulator: run, sweep, compare, replay, against, list, load, demo");
    app.add_subcommand("store", "The store of usage records: backup, verify, compact");
    std::function<int()> chosen_action;
    shaletray::control_socket::add_plans_command(app, chosen_action);
    if (shaletray::command::run_completion(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    if (chosen_action) return chosen_action();
    return check_command->parsed() ? check_files(files, show_effective) : serve();
}

}    // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const Poco::Exception& error) {
        shaletray::log(shaletray::LogLevel::Error, shaletray::Event::Failed,
                       {shaletray::log_field("why", error.displayText())});
    } catch (const std::exception& error) {
        shaletray::log(shaletray::LogLevel::Error, shaletray::Event::Failed,
                       {shaletray::log_field("why", error.what())});
    }
    return EXIT_FAILURE;
}
