#include "base/runtime/log_sink.h"

#include <criterion/criterion.h>
#include <criterion/redirect.h>

#include <regex>
#include <string>

using namespace shaletray;

Test(log_sink, writes_one_line_for_each_event, .init = cr_redirect_stderr) {
    runtime::open_log("edge-a-1");
    runtime::log_event(LogLevel::Info, "consensus_committed",
                       {log_field("version", 7), log_field("why", "two\nlines")});
    runtime::log_event(LogLevel::Debug, "unseen");
    // An event logged through base/common/log.h.
    log(LogLevel::Warning, Event::AcceptFailed, {log_field("why", "none left")});
    std::string first;
    auto& stream = criterion::get_redirected_cerr();
    std::getline(stream, first);
    std::string second;
    std::getline(stream, second);
    cr_assert(
        std::regex_match(first, std::regex("time=[0-9]+\\.[0-9]{3} level=info node=edge-a-1 "
                                           "event=consensus_committed version=7 why=\"two\\\\nlines\"")),
        "%s", first.c_str());
    cr_assert(std::regex_match(second, std::regex("time=[0-9]+\\.[0-9]{3} level=warning node=edge-a-1 "
                                                  "event=accept.failed why=\"none left\"")),
              "%s", second.c_str());
}
