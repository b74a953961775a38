#include "base/runtime/log_sink.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>

namespace shaletray::runtime {
namespace {

namespace blog = boost::log;
using Sink = blog::sinks::synchronous_sink<blog::sinks::text_ostream_backend>;

constexpr std::string_view kLevelNames[] = {"error", "warning", "info", "debug"};

void write_line(LogLevel level, std::string_view line) {
    thread_local blog::sources::severity_logger<LogLevel> logger;
    if (blog::record record = logger.open_record(blog::keywords::severity = level)) {
        blog::record_ostream stream(record);
        stream << line;
        stream.flush();
        logger.push_record(std::move(record));
    }
}

}    // namespace

void open_log(const std::string& node) {
    const auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter([node](const blog::record_view& record, blog::formatting_ostream& stream) {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const auto level = blog::extract<LogLevel>("Severity", record);
        stream << fmt::format("time={}.{:03} level={} node={} ", now.count() / 1000, now.count() % 1000,
                              kLevelNames[static_cast<std::size_t>(level ? *level : LogLevel::Info)], node)
               << record[blog::expressions::smessage];
    });
    blog::core::get()->remove_all_sinks();
    blog::core::get()->add_sink(sink);
    set_log_sink([](LogLevel level, std::string_view line) { write_line(level, line); });
}

void write_event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields) {
    write_line(level, format_log_line(LogFormat::KeyValue, name, fields));
}

}    // namespace shaletray::runtime
