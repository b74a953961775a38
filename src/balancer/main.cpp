// shaletray: the command line, the configuration, and signals.
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

std::atomic<bool> stop_wanted{false}, counters_wanted{false}, reload_wanted{false};

void on_signal(int signal) {
    if (signal == SIGUSR1) counters_wanted = true;
    else if (signal == SIGHUP) reload_wanted = true;
    else stop_wanted = true;
}

void handle_signals() {
    struct sigaction action {};
    action.sa_handler = on_signal;
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaction(signal, &action, nullptr);
    action.sa_handler = SIG_IGN;    // a write to a connection that has ended is answered by an error
    sigaction(SIGPIPE, &action, nullptr);
}

// The budget in the configuration is worth nothing above what the system lets us open.
void fit_descriptors(shaletray::GatewayConfig& config) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        config.max_sockets = std::min<std::size_t>(config.max_sockets, limit.rlim_cur);
    // Fewer than this leave nothing to share out between clients and servers.
    if (config.max_sockets < shaletray::kMinSockets)
        throw shaletray::ConfigError("too few descriptors may be opened");
}

// The operator's own file, where one is named. Without it nothing of what it sets is on.
shaletray::settings::OperatorSettings operator_settings() {
    const char* const path = std::getenv("SHALETRAY_SETTINGS");
    if (path == nullptr || *path == '\0') return {};
    return shaletray::settings::load_operator_settings(path);
}

// The environment's level holds where the file names none.
void log_as(const shaletray::settings::OperatorSettings& settings) {
    if (!settings.log) return;
    if (!settings.log->level.empty()) shaletray::set_log_level(std::string_view(settings.log->level));
    shaletray::set_log_format(settings.log->use_json ? shaletray::LogFormat::Json
                                                     : shaletray::LogFormat::KeyValue);
}

// A file that cannot be used changes nothing, nor does the other one then: the gateway goes on as it is.
void reload(shaletray::GatewayService& service) {
    try {
        const shaletray::GatewayConfig config = shaletray::config_from_file();
        const shaletray::settings::OperatorSettings settings = operator_settings();
        const bool changed = service.apply_reload(config);
        const std::size_t made = service.apply_reload(settings);
        log_as(settings);
        service.record_reload_accepted();
        if (!changed && made == 0)
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
    fit_descriptors(config);
    const std::string name = config.name;
    handle_signals();
    const shaletray::settings::OperatorSettings settings = operator_settings();
    log_as(settings);
    shaletray::GatewayService service(std::move(config), settings);
    const auto print = [&] { fmt::print(stderr, "{}", service.counters_text()); };
    shaletray::log(
        shaletray::LogLevel::Info, shaletray::Event::Listening,
        {shaletray::log_field("name", name), shaletray::log_field("address", service.client_address())});
    service.run([&] {
        if (counters_wanted.exchange(false)) print();
        if (reload_wanted.exchange(false)) reload(service);
        if (stop_wanted) service.request_stop();
    });
    print();
    return EXIT_SUCCESS;
}

int check(const std::vector<std::string>& files, bool show) {
    int status = EXIT_SUCCESS;
    for (const std::string& file : files) {
        try {
            shaletray::settings::load_operator_settings(file);
            if (show) {
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

// Heavy tools are programs of their own beside this one, which loads nothing that it does not use.
bool hand_over(int argc, char** argv) {
    // What may follow one of these words is known to its program.
    const bool completes = argc > 2 && std::string_view(argv[1]) == "__complete";
    const std::string_view what = completes ? argv[2] : argc > 1 ? argv[1] : "";
    const bool lab = what == "lab";
    if (!lab && what != "usage" && what != "store") return false;
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    std::string name = (folder / (lab ? "shaletray_lab" : "shaletray_usage")).string();
    std::vector<char*> words(argv, argv + argc);
    if (lab) words.erase(words.begin() + (completes ? 2 : 1));    // the sub-command is the program
    words[0] = name.data();
    words.push_back(nullptr);
    execv(name.c_str(), words.data());
    throw std::runtime_error(fmt::format("{}: {}", name, std::strerror(errno)));
}

int run(int argc, char** argv) {
    if (hand_over(argc, argv)) return EXIT_FAILURE;
    CLI::App app{"A quota gateway. Without a sub-command it serves."};
    app.require_subcommand(0, 1);
    app.add_subcommand("serve", "Run the gateway with the configuration that EDGE_CONFIG names");
    CLI::App* const checking =
        app.add_subcommand("check", "Check an operator's settings file and tell all that is wrong");
    std::vector<std::string> files;
    bool show = false;
    checking->add_option("file", files, "The files to check")->required();
    checking->add_flag("--show", show, "Print each file as it holds, defaults included");
    // For the list of sub-commands; they were handed over before this.
    app.add_subcommand("usage", "Use records: run, export, tail, reconcile");
    app.add_subcommand("lab", "The laboratory: run, sweep, compare, replay, against, list, load, demo");
    app.add_subcommand("store", "The store of use records: backup, verify, compact");
    std::function<int()> chosen;
    shaletray::control_socket::add_plans_command(app, chosen);
    if (shaletray::command::run_completion(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    if (chosen) return chosen();
    return checking->parsed() ? check(files, show) : serve();
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
