#include "balancer/operations/metrics.h"

#include <fmt/format.h>

#include "base/common/metric_label.h"

namespace shaletray::operations {

std::string format_metrics(const Counters& counters, const ServiceStatus& standing) {
    std::string out;
    const auto head = [&](std::string_view name, std::string_view kind, std::string_view help) {
        out += fmt::format("# HELP edge_{0} {2}\n# TYPE edge_{0} {1}\n", name, kind, help);
    };
    const auto by_class = [&](std::string_view name, std::string_view help,
                              Counters::Counter RequestClassCounters::*member) {
        head(name, "counter", help);
        for (const auto& [cls, counts] : counters.classes)
            out += fmt::format("edge_{}{{category=\"{}\"}} {}\n", name, escape_label(cls), counts.*member);
    };
    const auto one = [&](std::string_view name, std::string_view kind, std::string_view help,
                         std::size_t value) {
        head(name, kind, help);
        out += fmt::format("edge_{} {}\n", name, value);
    };
    by_class("passed_total", "Requests served.", &RequestClassCounters::answered);
    by_class("dropped_total", "Requests refused.", &RequestClassCounters::dropped);
    by_class("bad_gateway_total", "Requests that failed.", &RequestClassCounters::failed);
    one("upstream_tries_total", "counter", "Attempts written whole to servers.", counters.attempts_written);
    one("in_progress", "gauge", "Requests taken and not ended.", standing.in_progress);
    one("known_servers", "gauge", "Servers in the list.", standing.known_servers);
    one("skipped_servers", "gauge", "Listed servers that are avoided now.", standing.skipped_servers);
    one("loads_total", "counter", "Configuration files taken over at SIGHUP.",
        counters.configurations_loaded);
    one("load_errors_total", "counter", "Configuration files turned down at SIGHUP.",
        counters.reloads_failed);
    return out;
}

}    // namespace shaletray::operations
