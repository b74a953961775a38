// Tests of the settings language and the operator's settings file: accepted values, defaults and error
// messages.
#include <gtest/gtest.h>

#include <random>

#include "balancer/settings/operator_settings.h"
#include "balancer/settings/value.h"

namespace shaletray::settings {
namespace {

using namespace std::chrono_literals;

// Unifies the file with the schema. Returns the resulting fields, or all problems.
std::string resolve_to_text(const std::string& schema, const std::string& file) {
    std::string all;
    try {
        std::vector<Problem> problems;
        const ValuePtr out =
            resolve_value(unify(parse(schema, "schema"), parse(file, "f"), "", problems), "", problems);
        for (const Problem& p : problems) all.append(p.to_line()).append("; ");
        if (!problems.empty()) return all;
        for (const std::string& name : out->field_order)
            all.append(name).append("=").append(out->fields.at(name).value->to_text()).append(" ");
    } catch (const SettingsFileError& error) {
        all = error.what();
    }
    return all;
}

struct Case {
    const char *schema, *file, *out;
};

class Language : public testing::TestWithParam<Case> {};

TEST_P(Language, ResolvesTo) {
    EXPECT_EQ(resolve_to_text(GetParam().schema, GetParam().file), GetParam().out);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Language,
    testing::Values(
        Case{"a: int", "a: 3", "a=3 "}, Case{"a: int", "{\"a\": 3}", "a=3 "},
        Case{"", "a: 3 // x\nb: \"q\"", "a=3 b=\"q\" "}, Case{"a: *5 | int", "", "a=5 "},
        Case{"a: *5 | int", "a: 7", "a=7 "},
        Case{"a: *5 | int & >=2", "a: 1", "f:1:4: a: expected 5 or int >=2, found 1; "},
        Case{"a: int", "a: 3.5", "f:1:4: a: expected int, found 3.5; "},
        Case{"a: number", "a: -1_000.5e1", "a=-10005 "}, Case{"a: float", "a: 3", "a=3 "},
        Case{"a: int", "a: 4Ki, b: 2M", "a=4096 b=2000000 "},
        Case{"a: \"x\" | \"y\"", "a: \"y\"", "a=\"y\" "},
        Case{"a: \"x\" | \"y\"", "a: \"z\"", "f:1:4: a: expected \"x\" or \"y\", found \"z\"; "},
        Case{"a: string & =~\"^b+$\"", "a: \"bb\"", "a=\"bb\" "},
        Case{"a: string & =~\"^b+$\"", "a: \"c\"", "f:1:4: a: expected string =~\"^b+$\", found \"c\"; "},
        Case{"a: #Duration & >=\"1s\" & <=\"1m\"", "a: \"1500ms\"", "a=\"1500ms\" "},
        Case{"a: #Duration & >=\"1s\" & <=\"1m\"", "a: \"2h\"",
             "f:1:4: a: expected duration such as \"250ms\" >=\"1s\" and <=\"1m\", found \"2h\"; "},
        Case{"a: #Duration", "a: \"5 parsecs\"",
             "f:1:4: a: expected duration such as \"250ms\", found \"5 parsecs\"; "},
        Case{"a: #Size & >\"1KiB\"", "a: 2048", "a=2048 "},
        Case{"a: #Size & >\"1KiB\"", "a: \"1MiB\"", "a=\"1MiB\" "},
        Case{"a: b: c: int", "a: b: c: \"x\"", "f:1:10: a.b.c: expected int, found \"x\"; "},
        Case{"a: [int, ...int]", "a: [1, 2,\n 3]", "a=a list "},
        Case{"a: [int, ...int]", "a: []", "f:1:4: a: expected 1 items or more, found 0; "},
        Case{"a: [...int]", "a: [1, \"x\", true]",
             "f:1:8: a[1]: expected int, found \"x\"; f:1:13: a[2]: expected int, found true; "},
        Case{"#A: {x: int, y?: string}\na: #A", "a: {x: 1}", "a=a record "},
        Case{"#A: {x: int, y?: string}\na: #A", "a: {z: 1}",
             "f:1:8: a.z: no such field; there are x, y; schema:1:9: a.x: missing; expected int; "},
        Case{"a?: int\nb: int", "b: 1", "b=1 "}, Case{"a: null | int", "a: null", "a=null "},
        Case{"a: bool", "a: true", "a=true "}, Case{"a: int", "a: 3\na: 3", "a=3 "},
        Case{"a: int", "a: 3\na: 4", "f:2:4: a: expected 3, found 4"}, Case{"a: (1 | 2) & >1", "", "a=2 "},
        Case{"a: _", "a: {\"b c\": \"\\u00e9\\n\"}", "a=a record "},
        Case{"a: string & !=\"\"", "a: \"\"", "f:1:4: a: expected string !=\"\", found \"\"; "},
        Case{"", "a: 1e999", "f:1:4: the number is too large"},
        Case{"", "a: foo", "f:1:4: foo is neither a type nor a value; texts must be quoted"},
        Case{"", "a: #B", "f:1:4: #B is not defined above"},
        Case{"", "a: \"x", "f:1:6: expected the closing \" of a text on its own line"},
        Case{"", "a: [1, 2", "f:1:9: expected ] or , and a further item"},
        Case{"", "a: {b: 1", "f:1:9: expected } or a further field on a line of its own"},
        Case{"", "a: ", "f:1:4: expected a value after the colon"},
        Case{"", "a = 3", "f:1:1: expected fields as in name: value"}));

TEST(Language, RejectsExcessiveDepthAndLength) {
    for (const char c : {'{', '[', '('}) {
        std::string deep = "a: ";
        deep.append(100000, c);
        EXPECT_NE(resolve_to_text("", deep).find("nested too deeply"), std::string::npos);
    }
    std::string chain;
    for (int i = 0; i < 100000; ++i) chain += "a: ";
    EXPECT_NE(resolve_to_text("", chain + "1").find("nested too deeply"), std::string::npos);
    EXPECT_NE(resolve_to_text("", std::string(2000000, ' ')).find("longer than"), std::string::npos);
}

TEST(Language, ReadsUnits) {
    EXPECT_EQ(parse_duration("1h30m"), 5.4e9);
    EXPECT_EQ(parse_duration("1.5s"), 1.5e6);
    EXPECT_EQ(parse_duration("250ms40us"), 250040.0);
    for (const char* bad : {"", "5", "-1s", "1s ", "1e9s", "s", "nans", "99999999999999h"})
        EXPECT_FALSE(parse_duration(bad)) << bad;
    EXPECT_EQ(parse_size("64KiB"), 65536.0);
    EXPECT_EQ(parse_size("12"), 12.0);
    for (const char* bad : {"", "KiB", "1 KiB", "-1", "1KiB2KiB"}) EXPECT_FALSE(parse_size(bad)) << bad;
}

// Mutates a valid text: each variant must be accepted or rejected with SettingsFileError, without a crash.
TEST(Language, AcceptsOrRejectsAnyText) {
    const std::string seed =
        "// c\n#S: {address: string & =~\"^a\", n?: *3 | int & >=2}\na: [#S, ...#S] & _\nb: (1 | \"x\") & "
        "!=null, c: 4Ki\n"
        "d: \"q\\u00e9\\\\\", e: f: {\"g\": [1, 2.5e3, null, true,]}\n";
    const std::string characters = "{}[]()|&*?:,.\"\\#<>=!~\n 09aK_-/";
    std::mt19937_64 random(11);
    int valid_count = 0;
    for (int i = 0; i < 30000; ++i) {
        std::string text = seed;
        for (std::uint64_t k = random() % 6 + 1; k > 0; --k) {
            const std::size_t at = random() % text.size();
            if (random() % 3 == 0) text.erase(at, random() % 8);
            else if (random() % 2 == 0) text.insert(at, 1, characters[random() % characters.size()]);
            else text[at] = static_cast<char>(random());
            if (text.empty()) text = " ";
        }
        try {
            std::vector<Problem> problems;
            resolve_value(unify(parse(seed, "s"), parse(text, "f"), "", problems), "", problems);
            ++valid_count;
        } catch (const SettingsFileError&) {
        }
    }
    EXPECT_GT(valid_count, 100);
}

TEST(OperatorFile, AppliesDefaults) {
    const OperatorSettings s = parse_operator_settings(
        "counter: {\n\tstores: [{address: \"127.0.0.1:6379\", password: \"s\"}, {address: \"[::1]:6380\", "
        "database: 2}]\n"
        "\tlease: \"4s\"\n}\n",
        "f");
    ASSERT_TRUE(s.counter);
    EXPECT_EQ(s.counter->stores.size(), 2u);
    EXPECT_EQ(s.counter->stores[1].database, 2);
    EXPECT_EQ(s.counter->lease_duration, 4s);
    EXPECT_EQ(s.counter->interval, 500ms);
    EXPECT_EQ(s.counter->key_prefix, "shaletray");
    EXPECT_FALSE(parse_operator_settings("", "f").counter);
    EXPECT_EQ(
        explain_settings("counter: stores: [{address: \"1.2.3.4:5\", password: \"s\"}]", "f").find("\"s\""),
        std::string::npos);
}

TEST(OperatorFile, ReportsAllProblems) {
    try {
        parse_operator_settings(
            "counter: {\n  stores: [{address: \"redis:6379\"}]\n  lease: \"10ms\"\n  shards: 3\n}\n",
            "f.cue");
        FAIL();
    } catch (const SettingsFileError& error) {
        ASSERT_EQ(error.problems().size(), 3u) << error.what();
        EXPECT_EQ(error.problems()[0].path, "counter.stores[0].address");
        EXPECT_EQ(error.problems()[1].path, "counter.lease");
        EXPECT_EQ(error.problems()[1].position.line, 3u);
        EXPECT_EQ(error.problems()[2].path, "counter.shards");
    }
    for (const char* bad : {"counter: {stores: []}", "counter: {stores: [{address: \"1.2.3.4:99999\"}]}",
                            "counter: {stores: [{address: \"1.2.3.4:5\"}], lease: \"1s\", every: \"1s\"}",
                            "counter: {stores: [{address: \"1.2.3.4:5\", username: \"u\"}]}",
                            "counter: {stores: [{address: \"1.2.3.4:5\", password_file: \"/nowhere\"}]}",
                            "counters: 3", "counter: 3"})
        EXPECT_THROW(parse_operator_settings(bad, "f"), SettingsFileError) << bad;
    EXPECT_THROW(load_operator_settings("/nowhere.cue"), SettingsFileError);
}

}    // namespace
}    // namespace shaletray::settings
