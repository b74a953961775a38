// shaletray_usage: the exporter, a program of its own beside the gateway, and the tools that look at its
// store. `shaletray usage ...` and `shaletray store ...` run it.
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

// One question to the billing endpoint; whatever is no good answer to it is trouble, and tried again later.
SinkReply post_batch(const std::string& url, Duration timeout, const std::string& exporter,
                     std::uint64_t batch, const std::string& body) {
    SinkReply answer;
    try {
        const Poco::URI uri(url);
        Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
        session.setTimeout(Poco::Timespan(timeout.count()));
        const bool asks = batch == 0;
        const std::string path = uri.getPath() + (asks ? "?exporter=" + exporter : std::string());
        Poco::Net::HTTPRequest request(
            asks ? Poco::Net::HTTPRequest::HTTP_GET : Poco::Net::HTTPRequest::HTTP_POST, path,
            Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("X-Exporter", exporter);
        if (!asks) {
            request.set("Idempotency-Key", fmt::format("{}:{}", exporter, batch));
            request.set("X-Batch", std::to_string(batch));
            request.setContentType("application/x-ndjson");
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        }
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        std::string text;
        Poco::StreamCopier::copyToString(in, text);
        const auto have = parse_acknowledged_batch(text);
        answer.received = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && have.has_value();
        answer.acknowledged_batch = have.value_or(0);
        if (!answer.received)
            answer.error_text = fmt::format("{} answered {} and not how far it is", url,
                                            static_cast<int>(response.getStatus()));
    } catch (const Poco::Exception& error) {
        answer.error_text = fmt::format("{}: {}", url, error.displayText());
    }
    return answer;
}

struct Options {
    std::string settings_path;
    settings::UsageSettings usage;
};

CollectorSettings make_collector_settings(const settings::UsageSettings& u) {
    CollectorSettings c;
    c.journal_directory = u.journal_directory;
    c.store_path = u.store_path;
    c.max_store_bytes = u.max_store_bytes;
    c.settling_time = u.settling_time;
    c.max_batch_lines = u.max_batch_lines;
    c.retained_batches = u.retained_batches;
    return c;
}

class Exporter {
public:
    explicit Exporter(const settings::UsageSettings& u)
        : settings_(u), collector_(make_collector_settings(u), usage_log::real_file_system()) {
        const ExportNames names{u.plans, u.classes};
        const ExportFormat form = u.export_format == "csv" ? ExportFormat::Csv : ExportFormat::JsonLines;
        if (!u.export_directory.empty()) {
            std::filesystem::create_directories(u.export_directory);
            file_export_ = std::make_unique<FileExport>(collector_, usage_log::real_file_system(),
                                                        u.export_directory, form, names);
            sink_names_.push_back(file_export_->sink_name());
        }
        if (!u.endpoint.empty()) {
            sink_export_ = std::make_unique<SinkExport>(
                collector_, u.endpoint,
                [this](const std::string& exporter, std::uint64_t batch, const std::string& body) {
                    return post_batch(settings_.endpoint, settings_.timeout, exporter, batch, body);
                },
                names);
            sink_names_.push_back(sink_export_->sink_name());
        }
    }

    // One round; false where something stood in the way.
    bool run_round(bool all) {
        bool good = true;
        const auto told = [&](const std::string& what) {
            good = false;
            if (log_limiter_.try_acquire())
                log(LogLevel::Warning, Event::ExportFailed, {log_field("why", what)});
        };
        try {
            collector_.ingest_records();
            for (const std::string& complaint : collector_.warnings()) told(complaint);
        } catch (const usage_store::StoreError& error) {
            // Full: segments wait in the journal, as far as its own bound lets them.
            if (error.kind() != usage_store::StoreError::Kind::Full) throw;
            told(error.what());
        }
        collector_.seal_batches(unix_now(), all);
        try {
            if (file_export_) file_export_->export_batches();
        } catch (const usage_log::FileError& error) {
            told(error.what());
        }
        if (sink_export_ && std::chrono::steady_clock::now() >= next_attempt_) run_exports(told);
        collector_.prune_batches(sink_names_);
        return good;
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
        const bool good = run_round(all);
        if (sink_export_) sink_export_->check_sink();
        const bool done =
            good && (!sink_export_ || collector_.acknowledged_batch(sink_export_->sink_name()) ==
                                          collector_.last_sealed_batch());
        fmt::print("batches={} exported_rows={} pending_rows={}\n", collector_.last_sealed_batch(),
                   collector_.exported_totals().record_count, collector_.pending_totals().record_count);
        return done ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    int reconcile_with_sink();

private:
    template <class Told>
    void run_exports(Told told) {
        const bool nothing =
            collector_.acknowledged_batch(sink_export_->sink_name()) >= collector_.last_sealed_batch();
        SinkExport::State state = SinkExport::State::Done;
        if (nothing && std::chrono::steady_clock::now() < next_check_) return;
        if (nothing) {
            state = sink_export_->check_sink();
            next_check_ = std::chrono::steady_clock::now() + settings_.check_interval;
        }
        if (state == SinkExport::State::Done) state = sink_export_->export_batches();
        if (state == SinkExport::State::Done) {
            backoff_ = Duration(0);
            return;
        }
        backoff_ = std::clamp<Duration>(backoff_ * 2, 100ms, 30s);
        // Exporters that lost the same endpoint do not all come back at once.
        next_attempt_ =
            std::chrono::steady_clock::now() + backoff_ / 2 +
            Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count() / 2)));
        told(sink_export_->last_error());
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

std::string format_totals(const UsageTotals& s) {
    return fmt::format("rows={} unrecorded_rows={} units={}.{:06}", s.record_count, s.unrecorded_count,
                       s.unit_millionths / 1'000'000, s.unit_millionths % 1'000'000);
}

// Each figure beside the one that it must equal; what differs is named.
int Exporter::reconcile_with_sink() {
    int differences = 0;
    const auto same = [&](const char* what, const UsageTotals& a, const UsageTotals& b) {
        if (a == b) return;
        ++differences;
        fmt::print("DIFFERS {}: {} against {}\n", what, format_totals(a), format_totals(b));
    };
    const auto add = [](const UsageTotals& a, const UsageTotals& b) {
        return UsageTotals{a.record_count + b.record_count, a.unrecorded_count + b.unrecorded_count,
                           a.unit_millionths + b.unit_millionths};
    };
    UsageTotals stored;
    for (const auto& [life, sums] : collector_.stored_totals()) {
        fmt::print("stored   gateway {} life {:016x}: {}\n", life.first, life.second, format_totals(sums));
        stored = add(stored, sums);
    }
    const UsageTotals waiting = collector_.unread_totals(), pending = collector_.pending_totals(),
                      exported = collector_.exported_totals();
    fmt::print("admitted {}\nstored   {}\nwaiting  {}\npending  {}\nexported {}\n",
               format_totals(add(stored, waiting)), format_totals(stored), format_totals(waiting),
               format_totals(pending), format_totals(exported));
    same("stored and what is pending or exported", stored, add(pending, exported));
    const UsageCollector::ReadErrors trouble = collector_.read_errors();
    if (trouble.damaged_slots > 0) {
        ++differences;
        fmt::print("DIFFERS records: {} were written and can no longer be read\n", trouble.damaged_slots);
    }
    if (exported.unrecorded_count + pending.unrecorded_count > 0) {
        ++differences;
        fmt::print("DIFFERS records: {} tries were admitted and only counted, for want of room\n",
                   exported.unrecorded_count + pending.unrecorded_count);
    }
    if (trouble.torn_segments > 0)
        fmt::print("note: {} records were being written at a kill; their tries were never sent\n",
                   trouble.torn_segments);
    for (const std::string& sink : sink_names_) {
        const std::uint64_t upto = collector_.acknowledged_batch(sink), all = collector_.last_sealed_batch();
        fmt::print("served   {} up to batch {} of {}\n", sink, upto, all);
        if (upto == all) continue;
        ++differences;
        fmt::print("DIFFERS {}: batches {} to {} are not there yet\n", sink, upto + 1, all);
    }
    if (sink_export_) {
        const std::uint64_t said = collector_.acknowledged_batch(sink_export_->sink_name());
        if (sink_export_->check_sink() != SinkExport::State::Done) {
            ++differences;
            fmt::print("DIFFERS {}: {}\n", sink_export_->sink_name(), sink_export_->last_error());
        } else if (const std::uint64_t has = collector_.acknowledged_batch(sink_export_->sink_name());
                   has != said) {
            ++differences;
            fmt::print("DIFFERS {}: it said it had batch {}, and now has {}; the rest is sent again\n",
                       sink_export_->sink_name(), said, has);
        }
    }
    for (const std::string& complaint : collector_.warnings()) fmt::print("note: {}\n", complaint);
    fmt::print("{}\n", differences == 0 ? "all agree" : fmt::format("{} differences", differences));
    return differences == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

// The newest lines of the store; the exporter may be at work on it.
int print_tail(const settings::UsageSettings& u, int most) {
    usage_store::Database database({u.store_path, false, 0, database_schema()});
    usage_store::Statement get(
        database,
        "SELECT batch, line, minute, customer, plan, version, class, gateway, reservation, gap, rows, "
        "units FROM lines ORDER BY batch DESC, line DESC LIMIT ?");
    get.for_each_row(
        [&] {
            fmt::print(
                "{}:{} {} customer {:016x} plan {} version {} class {} gateway {} reservation {}{} rows {} "
                "units {:.6f}\n",
                get.integer_column(0), get.integer_column(1), format_minute(get.integer_column(2)),
                static_cast<std::uint64_t>(get.integer_column(3)), get.integer_column(4),
                get.integer_column(5), get.integer_column(6), get.integer_column(7), get.integer_column(8),
                get.integer_column(9) != 0 ? " (not recorded one by one)" : "", get.integer_column(10),
                static_cast<double>(get.integer_column(11)) / 1e6);
        },
        most);
    return EXIT_SUCCESS;
}

settings::UsageSettings load_usage_settings(std::string path) {
    if (path.empty()) {
        const char* const named = std::getenv("SHALETRAY_SETTINGS");
        path = named == nullptr ? "" : named;
    }
    if (path.empty())
        throw std::runtime_error("name the operator's file by --settings or SHALETRAY_SETTINGS");
    const auto all = settings::load_operator_settings(path);
    if (!all.usage) throw std::runtime_error(path + " has no record `usage`: use is not recorded");
    return *all.usage;
}

int run_command(int argc, char** argv) {
    CLI::App app{"Exports what the gateways recorded of use, each unit once."};
    app.require_subcommand(1);
    std::string file, to;
    bool all = false;
    int most = 20;
    app.add_option("--settings", file, "The operator's file; SHALETRAY_SETTINGS else");
    app.fallthrough();    // --settings may stand behind the sub-commands, which take this over from here
    CLI::App* const usage = app.add_subcommand("usage", "Use records")->require_subcommand(1);
    CLI::App* const running = usage->add_subcommand("run", "Collect and export until stopped");
    running->add_flag("--all", all, "Also minutes that are not over: more lines, sooner");
    CLI::App* const exporting = usage->add_subcommand("export", "Collect and export once");
    exporting->add_flag("--all", all, "Also minutes that are not over");
    CLI::App* const tailing = usage->add_subcommand("tail", "The newest exported lines");
    tailing->add_option("-n", most, "How many")->check(CLI::Range(1, 100000));
    CLI::App* const reconciling =
        usage->add_subcommand("reconcile", "Compare admitted, stored, exported and received");
    CLI::App* const keeping =
        app.add_subcommand("store", "The store they are kept in")->require_subcommand(1);
    CLI::App* const backing = keeping->add_subcommand("backup", "A whole copy, made in service");
    backing->add_option("to", to, "The copy")->required();
    CLI::App* const verifying = keeping->add_subcommand("verify", "Look for damage");
    CLI::App* const compacting = keeping->add_subcommand("compact", "Give back room that is not used");
    if (command::run_completion(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    const settings::UsageSettings s = load_usage_settings(file);
    struct sigaction action {};
    action.sa_handler = [](int) { stop_requested = true; };
    for (const int signal : {SIGTERM, SIGINT}) sigaction(signal, &action, nullptr);
    if (running->parsed()) return Exporter(s).run_loop(all);
    if (exporting->parsed()) return Exporter(s).run_once(all);
    if (reconciling->parsed()) return Exporter(s).reconcile_with_sink();
    if (tailing->parsed()) return print_tail(s, most);
    // A backup and a check need not stop the exporter; to compact does.
    usage_store::Database database({s.store_path, compacting->parsed(), 0, database_schema()});
    if (backing->parsed()) database.backup_to(to);
    if (compacting->parsed()) database.compact();
    if (verifying->parsed()) {
        const auto problems = database.check_integrity();
        for (const std::string& problem : problems) fmt::print("{}\n", problem);
        if (!problems.empty()) return EXIT_FAILURE;
        fmt::print("{}: sound\n", s.store_path);
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
