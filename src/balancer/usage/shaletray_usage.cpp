// shaletray_usage: the usage exporter, a separate process beside the gateway, and tools to inspect its store.
// It is run by `shaletray usage ...` and `shaletray store ...`.
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <thread>

#include "balancer/command/completion.h"
#include "balancer/settings/operator_settings.h"
#include "balancer/usage/export.h"
#include "base/common/log.h"

namespace shaletray::usage {
namespace {

using namespace std::chrono_literals;

std::atomic<bool> stop_requested{false};

TimePoint unix_now() {
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

// Sends one batch to the billing endpoint, or queries its position if `batch` is 0. Any failure is reported
// in the reply, to be retried later.
SinkReply post_batch(const std::string& url, Duration timeout, const std::string& exporter,
                     std::uint64_t batch, const std::string& body) {
    SinkReply reply;
    try {
        const Poco::URI uri(url);
        Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
        session.setTimeout(Poco::Timespan(timeout.count()));
        const bool is_query = batch == 0;
        const std::string path = uri.getPath() + (is_query ? "?exporter=" + exporter : std::string());
        Poco::Net::HTTPRequest request(
            is_query ? Poco::Net::HTTPRequest::HTTP_GET : Poco::Net::HTTPRequest::HTTP_POST, path,
            Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("X-Exporter", exporter);
        if (!is_query) {
            request.set("Idempotency-Key", fmt::format("{}:{}", exporter, batch));
            request.set("X-Batch", std::to_string(batch));
            request.setContentType("application/x-ndjson");
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        }
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        std::string reply_body;
        Poco::StreamCopier::copyToString(in, reply_body);
        const auto acknowledged = parse_acknowledged_batch(reply_body);
        reply.received = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && acknowledged.has_value();
        reply.acknowledged_batch = acknowledged.value_or(0);
        if (!reply.received)
            reply.error_text = fmt::format("{} replied {} without the last batch that it has", url,
                                           static_cast<int>(response.getStatus()));
    } catch (const Poco::Exception& error) {
        reply.error_text = fmt::format("{}: {}", url, error.displayText());
    }
    return reply;
}

struct Options {
    std::string settings_path;
    settings::UsageSettings usage;
};

CollectorSettings make_collector_settings(const settings::UsageSettings& usage_settings) {
    CollectorSettings collector_settings;
    collector_settings.journal_directory = usage_settings.journal_directory;
    collector_settings.store_path = usage_settings.store_path;
    collector_settings.max_store_bytes = usage_settings.max_store_bytes;
    collector_settings.settling_time = usage_settings.settling_time;
    collector_settings.max_batch_lines = usage_settings.max_batch_lines;
    collector_settings.retained_batches = usage_settings.retained_batches;
    return collector_settings;
}

class Exporter {
public:
    explicit Exporter(const settings::UsageSettings& usage_settings)
        : settings_(usage_settings),
          collector_(make_collector_settings(usage_settings), usage_log::real_file_system()) {
        const ExportNames names{usage_settings.plans, usage_settings.classes};
        const ExportFormat file_format =
            usage_settings.export_format == "csv" ? ExportFormat::Csv : ExportFormat::JsonLines;
        if (!usage_settings.export_directory.empty()) {
            std::filesystem::create_directories(usage_settings.export_directory);
            file_export_ = std::make_unique<FileExport>(collector_, usage_log::real_file_system(),
                                                        usage_settings.export_directory, file_format, names);
            sink_names_.push_back(file_export_->sink_name());
        }
        if (!usage_settings.endpoint.empty()) {
            sink_export_ = std::make_unique<SinkExport>(
                collector_, usage_settings.endpoint,
                [this](const std::string& exporter, std::uint64_t batch, const std::string& body) {
                    return post_batch(settings_.endpoint, settings_.timeout, exporter, batch, body);
                },
                names);
            sink_names_.push_back(sink_export_->sink_name());
        }
    }

    // Runs one round; false after any problem.
    bool run_round(bool all) {
        bool succeeded = true;
        const auto report_problem = [&](const std::string& message) {
            succeeded = false;
            if (log_limiter_.try_acquire())
                log(LogLevel::Warning, Event::ExportFailed, {log_field("why", message)});
        };
        try {
            collector_.ingest_records();
            for (const std::string& warning : collector_.warnings()) report_problem(warning);
        } catch (const usage_store::StoreError& error) {
            // The store is full: segments wait in their directory, up to the limit on their number.
            if (error.kind() != usage_store::StoreError::Kind::Full) throw;
            report_problem(error.what());
        }
        collector_.seal_batches(unix_now(), all);
        try {
            if (file_export_) file_export_->export_batches();
        } catch (const usage_log::FileError& error) {
            report_problem(error.what());
        }
        if (sink_export_ && std::chrono::steady_clock::now() >= next_attempt_) run_exports(report_problem);
        collector_.prune_batches(sink_names_);
        return succeeded;
    }
    int run_loop(bool all) {
        log(LogLevel::Info, Event::ExportStarted,
            {log_field("exporter", collector_.exporter_name()),
             log_field("journal", settings_.journal_directory)});
        while (!stop_requested) {
            run_round(all);
            const auto until = std::chrono::steady_clock::now() + settings_.interval;
            while (!stop_requested && std::chrono::steady_clock::now() < until)
                std::this_thread::sleep_for(20ms);
        }
        run_round(all);
        return EXIT_SUCCESS;
    }
    int run_once(bool all) {
        const bool succeeded = run_round(all);
        if (sink_export_) sink_export_->check_sink();
        const bool is_complete =
            succeeded && (!sink_export_ || collector_.acknowledged_batch(sink_export_->sink_name()) ==
                                               collector_.last_sealed_batch());
        fmt::print("batches={} exported_rows={} pending_rows={}\n", collector_.last_sealed_batch(),
                   collector_.exported_totals().record_count, collector_.pending_totals().record_count);
        return is_complete ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    int reconcile_with_sink();

private:
    template <class ReportProblem>
    void run_exports(ReportProblem report_problem) {
        const bool nothing_pending =
            collector_.acknowledged_batch(sink_export_->sink_name()) >= collector_.last_sealed_batch();
        SinkExport::State state = SinkExport::State::Done;
        if (nothing_pending && std::chrono::steady_clock::now() < next_check_) return;
        if (nothing_pending) {
            state = sink_export_->check_sink();
            next_check_ = std::chrono::steady_clock::now() + settings_.check_interval;
        }
        if (state == SinkExport::State::Done) state = sink_export_->export_batches();
        if (state == SinkExport::State::Done) {
            backoff_ = Duration(0);
            return;
        }
        backoff_ = std::clamp<Duration>(backoff_ * 2, 100ms, 30s);
        // Random, so that exporters that lost the same endpoint do not retry at the same time.
        next_attempt_ =
            std::chrono::steady_clock::now() + backoff_ / 2 +
            Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count() / 2)));
        report_problem(sink_export_->last_error());
    }

    settings::UsageSettings settings_;
    UsageCollector collector_;
    std::unique_ptr<FileExport> file_export_;
    std::unique_ptr<SinkExport> sink_export_;
    std::vector<std::string> sink_names_;
    LogRateLimiter log_limiter_{std::chrono::milliseconds(5000)};
    std::mt19937_64 random_{std::random_device{}()};
    Duration backoff_{0};
    std::chrono::steady_clock::time_point next_attempt_{}, next_check_{};
};

std::string format_totals(const UsageTotals& totals) {
    return fmt::format("rows={} unrecorded_rows={} units={}.{:06}", totals.record_count,
                       totals.unrecorded_count, totals.unit_millionths / 1'000'000,
                       totals.unit_millionths % 1'000'000);
}

// Prints the totals of each stage, and those that differ but must be equal. Returns the exit code.
int Exporter::reconcile_with_sink() {
    int differences = 0;
    const auto expect_equal = [&](const char* what, const UsageTotals& a, const UsageTotals& b) {
        if (a == b) return;
        ++differences;
        fmt::print("DIFFERS {}: {} against {}\n", what, format_totals(a), format_totals(b));
    };
    const auto add = [](const UsageTotals& a, const UsageTotals& b) {
        return UsageTotals{a.record_count + b.record_count, a.unrecorded_count + b.unrecorded_count,
                           a.unit_millionths + b.unit_millionths};
    };
    UsageTotals stored;
    for (const auto& [writer, sums] : collector_.stored_totals()) {
        fmt::print("stored   gateway {} life {:016x}: {}\n", writer.first, writer.second,
                   format_totals(sums));
        stored = add(stored, sums);
    }
    const UsageTotals waiting = collector_.unread_totals(), pending = collector_.pending_totals(),
                      exported = collector_.exported_totals();
    fmt::print("admitted {}\nstored   {}\nwaiting  {}\npending  {}\nexported {}\n",
               format_totals(add(stored, waiting)), format_totals(stored), format_totals(waiting),
               format_totals(pending), format_totals(exported));
    expect_equal("stored and pending or exported", stored, add(pending, exported));
    const UsageCollector::ReadErrors errors = collector_.read_errors();
    if (errors.damaged_slots > 0) {
        ++differences;
        fmt::print("DIFFERS records: {} were written and are unreadable now\n", errors.damaged_slots);
    }
    if (exported.unrecorded_count + pending.unrecorded_count > 0) {
        ++differences;
        fmt::print(
            "DIFFERS records: {} requests were admitted and counted, but had no free slot for a record\n",
            exported.unrecorded_count + pending.unrecorded_count);
    }
    if (errors.torn_segments > 0)
        fmt::print("note: {} records were incomplete after a kill; their requests were never sent\n",
                   errors.torn_segments);
    for (const std::string& sink : sink_names_) {
        const std::uint64_t last_acknowledged = collector_.acknowledged_batch(sink),
                            last_sealed = collector_.last_sealed_batch();
        fmt::print("served   {} up to batch {} of {}\n", sink, last_acknowledged, last_sealed);
        if (last_acknowledged == last_sealed) continue;
        ++differences;
        fmt::print("DIFFERS {}: batches {} to {} have not been exported yet\n", sink, last_acknowledged + 1,
                   last_sealed);
    }
    if (sink_export_) {
        const std::uint64_t previous = collector_.acknowledged_batch(sink_export_->sink_name());
        if (sink_export_->check_sink() != SinkExport::State::Done) {
            ++differences;
            fmt::print("DIFFERS {}: {}\n", sink_export_->sink_name(), sink_export_->last_error());
        } else if (const std::uint64_t current = collector_.acknowledged_batch(sink_export_->sink_name());
                   current != previous) {
            ++differences;
            fmt::print(
                "DIFFERS {}: it had acknowledged batch {} and now has {}; later batches are sent again\n",
                sink_export_->sink_name(), previous, current);
        }
    }
    for (const std::string& warning : collector_.warnings()) fmt::print("note: {}\n", warning);
    fmt::print("{}\n", differences == 0 ? "all agree" : fmt::format("{} differences", differences));
    return differences == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Prints the newest lines of the store, also while the exporter is running.
int print_tail(const settings::UsageSettings& usage_settings, int max_lines) {
    usage_store::Database database({usage_settings.store_path, false, 0, database_schema()});
    usage_store::Statement statement(
        database,
        "SELECT batch, line, minute, customer, plan, version, class, gateway, reservation, gap, rows, "
        "units FROM lines ORDER BY batch DESC, line DESC LIMIT ?");
    statement.for_each_row(
        [&] {
            fmt::print(
                "{}:{} {} customer {:016x} plan {} version {} class {} gateway {} reservation {}{} rows {} "
                "units {:.6f}\n",
                statement.integer_column(0), statement.integer_column(1),
                format_minute(statement.integer_column(2)),
                static_cast<std::uint64_t>(statement.integer_column(3)), statement.integer_column(4),
                statement.integer_column(5), statement.integer_column(6), statement.integer_column(7),
                statement.integer_column(8),
                statement.integer_column(9) != 0 ? " (not recorded one by one)" : "",
                statement.integer_column(10), static_cast<double>(statement.integer_column(11)) / 1e6);
        },
        max_lines);
    return EXIT_SUCCESS;
}

settings::UsageSettings load_usage_settings(std::string path) {
    if (path.empty()) {
        const char* const environment_path = std::getenv("SHALETRAY_SETTINGS");
        path = environment_path == nullptr ? "" : environment_path;
    }
    if (path.empty())
        throw std::runtime_error("the operator's file must be given by --settings or SHALETRAY_SETTINGS");
    const auto operator_settings = settings::load_operator_settings(path);
    if (!operator_settings.usage)
        throw std::runtime_error(path + " has no record `usage`: usage is not recorded");
    return *operator_settings.usage;
}

int run_command(int argc, char** argv) {
    CLI::App app{"Exports the usage that the gateways recorded, each unit once."};
    app.require_subcommand(1);
    std::string file, backup_path;
    bool all = false;
    int max_lines = 20;
    app.add_option("--settings", file, "The operator's file; default: SHALETRAY_SETTINGS");
    app.fallthrough();    // allows --settings after sub-commands, which inherit this
    CLI::App* const usage_subcommand = app.add_subcommand("usage", "Usage records")->require_subcommand(1);
    CLI::App* const run_subcommand =
        usage_subcommand->add_subcommand("run", "Collect and export until stopped");
    run_subcommand->add_flag("--all", all, "Also minutes that have not ended: more lines, earlier");
    CLI::App* const export_subcommand = usage_subcommand->add_subcommand("export", "Collect and export once");
    export_subcommand->add_flag("--all", all, "Also minutes that have not ended");
    CLI::App* const tail_subcommand = usage_subcommand->add_subcommand("tail", "The newest exported lines");
    tail_subcommand->add_option("-n", max_lines, "Number of lines")->check(CLI::Range(1, 100000));
    CLI::App* const reconcile_subcommand =
        usage_subcommand->add_subcommand("reconcile", "Compare admitted, stored, exported and received");
    CLI::App* const store_subcommand =
        app.add_subcommand("store", "The store of usage records")->require_subcommand(1);
    CLI::App* const backup_subcommand =
        store_subcommand->add_subcommand("backup", "Make a complete copy while in use");
    backup_subcommand->add_option("to", backup_path, "Path of the copy")->required();
    CLI::App* const verify_subcommand = store_subcommand->add_subcommand("verify", "Check the integrity");
    CLI::App* const compact_subcommand =
        store_subcommand->add_subcommand("compact", "Release unused disk space");
    if (command::run_completion(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    const settings::UsageSettings usage_settings = load_usage_settings(file);
    struct sigaction action {};
    action.sa_handler = [](int) { stop_requested = true; };
    for (const int signal : {SIGTERM, SIGINT}) sigaction(signal, &action, nullptr);
    if (run_subcommand->parsed()) return Exporter(usage_settings).run_loop(all);
    if (export_subcommand->parsed()) return Exporter(usage_settings).run_once(all);
    if (reconcile_subcommand->parsed()) return Exporter(usage_settings).reconcile_with_sink();
    if (tail_subcommand->parsed()) return print_tail(usage_settings, max_lines);
    // A backup and a check run beside the exporter; compacting needs the writer lock.
    usage_store::Database database(
        {usage_settings.store_path, compact_subcommand->parsed(), 0, database_schema()});
    if (backup_subcommand->parsed()) database.backup_to(backup_path);
    if (compact_subcommand->parsed()) database.compact();
    if (verify_subcommand->parsed()) {
        const auto problems = database.check_integrity();
        for (const std::string& problem : problems) fmt::print("{}\n", problem);
        if (!problems.empty()) return EXIT_FAILURE;
        fmt::print("{}: sound\n", usage_settings.store_path);
    }
    return EXIT_SUCCESS;
}

}    // namespace
}    // namespace shaletray::usage

int main(int argc, char** argv) {
    try {
        return shaletray::usage::run_command(argc, argv);
    } catch (const std::exception& error) {
        shaletray::log(shaletray::LogLevel::Error, shaletray::Event::Failed,
                       {shaletray::log_field("why", error.what())});
    }
    return EXIT_FAILURE;
}
