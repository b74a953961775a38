// Format of log lines, and agreement of the event names with the operators' documentation.
#include "base/common/log.h"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>

namespace shaletray {
namespace {

TEST(Log, EventNamesMatchTheDocumentation) {
    std::set<std::string> names, documented;
    for (int i = 0; i < static_cast<int>(Event::kCount); ++i) {
        const std::string name(event_name(static_cast<Event>(i)));
        EXPECT_TRUE(std::regex_match(name, std::regex("[a-z]+([._][a-z]+)*"))) << name;
        EXPECT_TRUE(names.insert(name).second) << name;
    }
    std::ifstream documentation(LOG_PAGE);
    ASSERT_TRUE(documentation);
    std::smatch match;
    for (std::string line; std::getline(documentation, line);)
        if (std::regex_search(line, match, std::regex("^\\| `([a-z._]+)` \\| (error|warning|info|debug) ")))
            documented.insert(match[1]);
    EXPECT_EQ(documented, names);
}

TEST(Log, FieldValuesCannotForgeLinesOrFields) {
    const std::string malicious_text = "x\nlevel=error event=failed \"y\" \x01 \xff \xc3\xb1";
    const std::string line =
        format_log_line(LogFormat::KeyValue, Event::SharedCounterDisconnected,
                        {log_field("address", "127.0.0.1:1"), log_field("why", malicious_text)});
    EXPECT_EQ(line,
              "event=counter.lost address=127.0.0.1:1 why=\"x\\nlevel=error event=failed \\\"y\\\" \\u0001 "
              "\\ufffd \xc3\xb1\"");
    const std::string json = "{" +
                             format_log_line(LogFormat::Json, Event::SharedCounterDisconnected,
                                             {log_field("why", malicious_text), log_field("n", 3)}) +
                             "}";
    const auto parsed = nlohmann::json::parse(json);
    EXPECT_EQ(parsed["event"], "counter.lost");
    EXPECT_EQ(parsed["why"], "x\nlevel=error event=failed \"y\" \x01 \xef\xbf\xbd \xc3\xb1");
    EXPECT_EQ(parsed["n"], "3");
    EXPECT_EQ(format_log_line(LogFormat::KeyValue, Event::Listening, {log_field("name", "")}),
              "event=listening name=\"\"");
}

TEST(Log, WritesOnlyEventsOfEnabledLevels) {
    const LogLevel before = log_level();
    EXPECT_FALSE(set_log_level("loud"));
    EXPECT_EQ(log_level(), before);
    ASSERT_TRUE(set_log_level("warning"));
    testing::internal::CaptureStderr();
    log(LogLevel::Info, Event::ReloadUnchanged);
    log(LogLevel::Warning, Event::AcceptFailed, {log_field("why", "none left")});
    set_log_format(LogFormat::Json);
    log(LogLevel::Error, Event::Failed, {log_field("why", "none left")});
    set_log_format(LogFormat::KeyValue);
    const std::string out = testing::internal::GetCapturedStderr();
    set_log_level(before);
    EXPECT_TRUE(std::regex_match(
        out, std::regex("time=[0-9-]+T[0-9:.]+Z level=warning event=accept.failed why=\"none left\"\n"
                        "\\{\"time\":\"[0-9-]+T[0-9:.]+Z\",\"level\":\"error\",\"event\":\"failed\",\"why\":"
                        "\"none left\"\\}\n")))
        << out;
}

TEST(Log, WritesToTheSinkIfSetAndElseToStandardError) {
    std::vector<std::pair<LogLevel, std::string>> received;
    testing::internal::CaptureStderr();
    set_log_sink([&](LogLevel level, std::string_view line) { received.emplace_back(level, line); });
    log(LogLevel::Debug, Event::ReloadUnchanged);
    log(LogLevel::Warning, Event::AcceptFailed, {log_field("why", "none left")});
    EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
    EXPECT_EQ(received, (std::vector<std::pair<LogLevel, std::string>>{
                            {LogLevel::Warning, "event=accept.failed why=\"none left\""}}));
    testing::internal::CaptureStderr();
    set_log_sink({});
    log(LogLevel::Warning, Event::AcceptFailed);
    EXPECT_NE(testing::internal::GetCapturedStderr(), "");
    EXPECT_EQ(received.size(), 1u);
}

}    // namespace
}    // namespace shaletray
