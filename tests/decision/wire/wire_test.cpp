// Tests of the simulator's wire codec, and of decision_wire_host as a process.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>

#include "decision/wire/wire_codec.h"

namespace shaletray::decision::wire {
namespace {

const std::string kSetup =
    R"({"classes":[{"idempotency":"safe","slo":1000000}],"tiersOfService":[{"unitsPerS":30,"peakUnits":60}],)"
    R"("replicasOfMe":3,"me":0,"limits":{"sendCap":4,"mayTell":true,"retryAfter":true,"maxRetryAfter":1000000},)"
    R"("newKey":[1,2],"specifics":{"mailPerS":40,"mostUnits":2}})";
const std::string kBoot = R"({"BOOT":{"who":3,"initSeed":5,"setup":)" + kSetup + "}}\n";
const std::string kRound = "{\"ROUND\":{\"wall\":1000000}}\n";
const std::string kTurn = "{\"OVER_TO_YOU\":{}}\n";
const std::string kList =
    R"({"DISCOVERY":{"who":3,"how":"cached","index":1,"lines":[{"kind":0,"state":"healthy","rating":1,"host":7,"unitGroup":0,"az":0}]}})"
    "\n";
const std::string kAsk =
    R"({"REQUEST":{"who":3,"msgId":11,"sizeUnits":1,"budget":500000,"width":3,"profile":0,"member":"91f03b7c55d20a64","tariff":0,"fromNo":1}})"
    "\n";

struct ProcessResult {
    int exit;
    std::string out, err;
};

ProcessResult run(const std::string& input) {
    const std::string base = ::testing::TempDir() + "wire_" + std::to_string(::getpid());
    std::ofstream(base + ".in") << input;
    const std::string command =
        std::string(WIREHOST) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
    const int status = std::system(command.c_str());
    const auto read = [](const std::string& path) {
        std::ifstream file(path);
        return std::string(std::istreambuf_iterator<char>(file), {});
    };
    ProcessResult result{WEXITSTATUS(status), read(base + ".out"), read(base + ".err")};
    for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
    return result;
}

TEST(WireHost, EmptyBatchAndEndOfInput) {
    const ProcessResult result = run(kRound + kTurn);
    EXPECT_EQ(result.exit, 0);
    EXPECT_EQ(result.out, "{\"NEXT\":{}}\n");
}

TEST(WireHost, RoutesARequest) {
    const ProcessResult result = run(kRound + kBoot + kList + kAsk + kTurn);
    EXPECT_EQ(result.exit, 0) << result.err;
    EXPECT_NE(result.out.find(R"({"ROUTE":{"host":7,"limit":0,"msgId":11,"who":3}})"), std::string::npos)
        << result.out;
}

TEST(WireHost, CrashedInstanceIsRemovedAndMayStartAgain) {
    const ProcessResult result = run(kRound + kBoot +
                                     R"({"CRASH_NOW":{"who":3}})"
                                     "\n" +
                                     kBoot + kList + kTurn);
    EXPECT_EQ(result.exit, 0) << result.err;
    const ProcessResult after_crash = run(kRound + kBoot +
                                          R"({"CRASH_NOW":{"who":3}})"
                                          "\n" +
                                          kList + kTurn);
    EXPECT_NE(after_crash.exit, 0);
}

TEST(WireHost, ErrorNamesLineEventAndFieldOfMalformedInput) {
    const std::array<std::pair<std::string, std::string>, 8> cases = {{
        {"not json\n", "not JSON"},
        {R"({"NONSENSE":{"who":3}})"
         "\n",
         "event NONSENSE"},
        {R"({"REQUEST":{"who":3,"msgId":11}})"
         "\n",
         "field member"},
        {R"({"REQUEST":{"who":3,"msgId":"x","member":"91f03b7c55d20a64","budget":1}})"
         "\n",
         "field msgId"},
        {R"({"REQUEST":{"who":9,"msgId":11,"member":"91f03b7c55d20a64","budget":1}})"
         "\n",
         "field who"},
        {R"({"ELAPSED":{"who":3}})"
         "\n",
         "field tag"},
        {R"({"FINISHED":{"who":3,"msgId":1,"host":7,"status":299}})"
         "\n",
         "field status"},
        {R"({"PEER_DATA":{"who":3,"from":1,"octets":"a"}})"
         "\n",
         "field octets"},
    }};
    for (const auto& [line, expected] : cases) {
        const ProcessResult result = run(kRound + kBoot + line + kTurn);
        EXPECT_NE(result.exit, 0) << line;
        EXPECT_NE(result.err.find("line 3"), std::string::npos) << result.err;
        EXPECT_NE(result.err.find(expected), std::string::npos) << result.err;
    }
}

TEST(WireHost, InvalidSettingsEndTheHostWithAnError) {
    const ProcessResult result =
        run(kRound + R"({"BOOT":{"who":3,"initSeed":5,"setup":{"replicasOfMe":0,"classes":[]}}})"
                     "\n");
    EXPECT_NE(result.exit, 0);
    EXPECT_NE(result.err.find("settings"), std::string::npos);
}

TEST(WireHost, ExceptionOfTheModuleIsReported) {
    const std::string unknown_class =
        R"({"REQUEST":{"who":3,"msgId":11,"budget":500000,"profile":8,"member":"91f03b7c55d20a64"}})"
        "\n";
    const ProcessResult result = run(kRound + kBoot + unknown_class + kTurn);
    EXPECT_NE(result.out.find("BAIL_OUT"), std::string::npos);
}

TEST(Codec, Base64) {
    for (const std::string text : {"", "a", "hi", "hi 7", "\xff\x01\x80"}) {
        const std::vector<std::uint8_t> bytes(text.begin(), text.end());
        EXPECT_EQ(base64_decode(base64_encode(bytes)), bytes);
    }
    EXPECT_EQ(base64_encode({'h', 'i', ' ', '7'}), "aGkgNw==");
    for (const char* bad : {"a", "a===", "aG=g", "aGk!"})
        EXPECT_THROW(base64_decode(bad), std::invalid_argument);
}

TEST(Codec, SettingsAreReadAndUnknownKeysSkipped) {
    const Settings s = parse_settings(Json::parse(kSetup));
    EXPECT_EQ(s.gateways, 3);
    EXPECT_EQ(s.classes.at(0).aim, std::chrono::seconds(1));
    EXPECT_EQ(s.plans.at(0).burst, 60.0);
    EXPECT_EQ(s.max_retry_after, std::chrono::seconds(1));
    EXPECT_TRUE(s.may_tell);
    EXPECT_FALSE(s.may_probe);
}

}    // namespace
}    // namespace shaletray::decision::wire
