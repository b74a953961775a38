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

std::atomic<bool> stop_wanted{false};

TimePoint unix_now() {
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

// One question to the billing endpoint; whatever is no good answer to it is trouble, and tried again later.
SinkAnswer post(const std::string& url, Duration timeout, const std::string& exporter, std::uint64_t batch,
                const std::string& body) {
    SinkAnswer answer;
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
        const auto have = read_have(text);
        answer.heard = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && have.has_value();
        answer.have = have.value_or(0);
        if (!answer.heard)
            answer.trouble = fmt::format("{} answered {} and not how far it is", url,
                                         static_cast<int>(response.getStatus()));
    } catch (const Poco::Exception& error) {
        answer.trouble = fmt::format("{}: {}", url, error.displayText());
    }
    return answer;
}

struct Options {
    std::string settings;
    settings::UsageSettings usage;
};

CollectorSettings collector_settings(const settings::UsageSettings& u) {
    CollectorSettings c;
    c.journal = u.journal;
    c.store = u.store;
    c.most_bytes = u.most_store;
    c.settle = u.settle;
    c.lines = u.lines;
    c.keep_batches = u.keep_batches;
    return c;
}

class Exporter {
public:
    explicit Exporter(const settings::UsageSettings& u)
        : s_(u), collector_(collector_settings(u), usage_log::real_files()) {
        const Names names{u.plans, u.classes};
        const Form form = u.form == "csv" ? Form::Csv : Form::JsonLines;
        if (!u.files.empty()) {
            std::filesystem::create_directories(u.files);
            files_ = std::make_unique<FileExport>(collector_, usage_log::real_files(), u.files, form, names);
            sinks_.push_back(files_->sink());
        }
        if (!u.endpoint.empty()) {
            sink_ = std::make_unique<SinkExport>(
                collector_, u.endpoint,
                [this](const std::string& exporter, std::uint64_t batch, const std::string& body) {
                    return post(s_.endpoint, s_.timeout, exporter, batch, body);
                },
                names);
            sinks_.push_back(sink_->sink());
        }
    }

    // One round; false where something stood in the way.
    bool round(bool all) {
        bool good = true;
        const auto told = [&](const std::string& what) {
            good = false;
            if (gate_.open()) log(LogLevel::Warning, Event::ExportTrouble, {kv("why", what)});
        };
        try {
            collector_.ingest();
            for (const std::string& complaint : collector_.complaints()) told(complaint);
        } catch (const usage_store::StoreError& error) {
            // Full: segments wait in the journal, as far as its own bound lets them.
            if (error.kind() != usage_store::StoreError::Kind::Full) throw;
            told(error.what());
        }
        collector_.seal(unix_now(), all);
        try {
            if (files_) files_->run();
        } catch (const usage_log::FileError& error) {
            told(error.what());
        }
        if (sink_ && std::chrono::steady_clock::now() >= next_try_) send(told);
        collector_.prune(sinks_);
        return good;
    }
    int run(bool all) {
        log(LogLevel::Info, Event::ExportStarted,
            {kv("exporter", collector_.exporter()), kv("journal", s_.journal)});
        while (!stop_wanted) {
            round(all);
            const auto until = std::chrono::steady_clock::now() + s_.every;
            while (!stop_wanted && std::chrono::steady_clock::now() < until)
                std::this_thread::sleep_for(20ms);
        }
        round(all);
        return EXIT_SUCCESS;
    }
    int once(bool all) {
        const bool good = round(all);
        if (sink_) sink_->check();
        const bool done = good && (!sink_ || collector_.served(sink_->sink()) == collector_.sealed());
        fmt::print("batches={} exported_rows={} pending_rows={}\n", collector_.sealed(),
                   collector_.exported().rows, collector_.pending().rows);
        return done ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    int reconcile();

private:
    template <class Told>
    void send(Told told) {
        const bool nothing = collector_.served(sink_->sink()) >= collector_.sealed();
        SinkExport::State state = SinkExport::State::Done;
        if (nothing && std::chrono::steady_clock::now() < next_check_) return;
        if (nothing) {
            state = sink_->check();
            next_check_ = std::chrono::steady_clock::now() + s_.check_every;
        }
        if (state == SinkExport::State::Done) state = sink_->run();
        if (state == SinkExport::State::Done) {
            backoff_ = Duration(0);
            return;
        }
        backoff_ = std::clamp<Duration>(backoff_ * 2, 100ms, 30s);
        // Exporters that lost the same endpoint do not all come back at once.
        next_try_ =
            std::chrono::steady_clock::now() + backoff_ / 2 +
            Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count() / 2)));
        told(sink_->trouble());
    }

    settings::UsageSettings s_;
    Collector collector_;
    std::unique_ptr<FileExport> files_;
    std::unique_ptr<SinkExport> sink_;
    std::vector<std::string> sinks_;
    LogGate gate_{std::chrono::milliseconds(5000)};
    std::mt19937_64 random_{std::random_device{}()};
    Duration backoff_{0};
    std::chrono::steady_clock::time_point next_try_{}, next_check_{};
};

std::string sums_text(const Sums& s) {
    return fmt::format("rows={} unrecorded_rows={} units={}.{:06}", s.rows, s.gap_rows, s.units / 1'000'000,
                       s.units % 1'000'000);
}

// Each figure beside the one that it must equal; what differs is named.
int Exporter::reconcile() {
    int differences = 0;
    const auto same = [&](const char* what, const Sums& a, const Sums& b) {
        if (a == b) return;
        ++differences;
        fmt::print("DIFFERS {}: {} against {}\n", what, sums_text(a), sums_text(b));
    };
    const auto add = [](const Sums& a, const Sums& b) {
        return Sums{a.rows + b.rows, a.gap_rows + b.gap_rows, a.units + b.units};
    };
    Sums stored;
    for (const auto& [life, sums] : collector_.stored()) {
        fmt::print("stored   gateway {} life {:016x}: {}\n", life.first, life.second, sums_text(sums));
        stored = add(stored, sums);
    }
    const Sums waiting = collector_.waiting(), pending = collector_.pending(),
               exported = collector_.exported();
    fmt::print("admitted {}\nstored   {}\nwaiting  {}\npending  {}\nexported {}\n",
               sums_text(add(stored, waiting)), sums_text(stored), sums_text(waiting), sums_text(pending),
               sums_text(exported));
    same("stored and what is pending or exported", stored, add(pending, exported));
    const Collector::Trouble trouble = collector_.trouble();
    if (trouble.damaged > 0) {
        ++differences;
        fmt::print("DIFFERS records: {} were written and can no longer be read\n", trouble.damaged);
    }
    if (exported.gap_rows + pending.gap_rows > 0) {
        ++differences;
        fmt::print("DIFFERS records: {} tries were admitted and only counted, for want of room\n",
                   exported.gap_rows + pending.gap_rows);
    }
    if (trouble.torn > 0)
        fmt::print("note: {} records were being written at a kill; their tries were never sent\n",
                   trouble.torn);
    for (const std::string& sink : sinks_) {
        const std::uint64_t upto = collector_.served(sink), all = collector_.sealed();
        fmt::print("served   {} up to batch {} of {}\n", sink, upto, all);
        if (upto == all) continue;
        ++differences;
        fmt::print("DIFFERS {}: batches {} to {} are not there yet\n", sink, upto + 1, all);
    }
    if (sink_) {
        const std::uint64_t said = collector_.served(sink_->sink());
        if (sink_->check() != SinkExport::State::Done) {
            ++differences;
            fmt::print("DIFFERS {}: {}\n", sink_->sink(), sink_->trouble());
        } else if (const std::uint64_t has = collector_.served(sink_->sink()); has != said) {
            ++differences;
            fmt::print("DIFFERS {}: it said it had batch {}, and now has {}; the rest is sent again\n",
                       sink_->sink(), said, has);
        }
    }
    for (const std::string& complaint : collector_.complaints()) fmt::print("note: {}\n", complaint);
    fmt::print("{}\n", differences == 0 ? "all agree" : fmt::format("{} differences", differences));
    return differences == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

// The newest lines of the store; the exporter may be at work on it.
int tail(const settings::UsageSettings& u, int most) {
    usage_store::Database database({u.store, false, 0, schema()});
    usage_store::Statement get(
        database,
        "SELECT batch, line, minute, customer, plan, version, class, gateway, reservation, gap, rows, "
        "units FROM lines ORDER BY batch DESC, line DESC LIMIT ?");
    get.each(
        [&] {
            fmt::print(
                "{}:{} {} customer {:016x} plan {} version {} class {} gateway {} reservation {}{} rows {} "
                "units {:.6f}\n",
                get.whole(0), get.whole(1), minute_text(get.whole(2)),
                static_cast<std::uint64_t>(get.whole(3)), get.whole(4), get.whole(5), get.whole(6),
                get.whole(7), get.whole(8), get.whole(9) != 0 ? " (not recorded one by one)" : "",
                get.whole(10), static_cast<double>(get.whole(11)) / 1e6);
        },
        most);
    return EXIT_SUCCESS;
}

settings::UsageSettings usage_settings(std::string path) {
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

int run(int argc, char** argv) {
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
    if (command::completes(app, argc, argv)) return EXIT_SUCCESS;
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    const settings::UsageSettings s = usage_settings(file);
    struct sigaction action {};
    action.sa_handler = [](int) { stop_wanted = true; };
    for (const int signal : {SIGTERM, SIGINT}) sigaction(signal, &action, nullptr);
    if (running->parsed()) return Exporter(s).run(all);
    if (exporting->parsed()) return Exporter(s).once(all);
    if (reconciling->parsed()) return Exporter(s).reconcile();
    if (tailing->parsed()) return tail(s, most);
    // A backup and a check need not stop the exporter; to compact does.
    usage_store::Database database({s.store, compacting->parsed(), 0, schema()});
    if (backing->parsed()) database.backup(to);
    if (compacting->parsed()) database.compact();
    if (verifying->parsed()) {
        const auto problems = database.problems();
        for (const std::string& problem : problems) fmt::print("{}\n", problem);
        if (!problems.empty()) return EXIT_FAILURE;
        fmt::print("{}: sound\n", s.store);
    }
    return EXIT_SUCCESS;
}

}    // namespace
}    // namespace shaletray::usage

int main(int argc, char** argv) {
    try {
        return shaletray::usage::run(argc, argv);
    } catch (const std::exception& error) {
        shaletray::log(shaletray::LogLevel::Error, shaletray::Event::Failed,
                       {shaletray::kv("why", error.what())});
    }
    return EXIT_FAILURE;
}
