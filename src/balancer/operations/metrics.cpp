#include "balancer/operations/metrics.h"

#include <fmt/format.h>

#include "base/common/metric_label.h"

namespace shaletray::operations {

std::string format_metrics(const Counters& counters, const ServiceStatus& status) {
    std::string out;
    const auto write_header = [&](std::string_view name, std::string_view type, std::string_view help) {
        out += fmt::format("# HELP edge_{0} {2}\n# TYPE edge_{0} {1}\n", name, type, help);
    };
    const auto write_class_counters = [&](std::string_view name, std::string_view help,
                                          Counters::Counter RequestClassCounters::*member) {
        write_header(name, "counter", help);
        for (const auto& [cls, counts] : counters.classes)
            out += fmt::format("edge_{}{{category=\"{}\"}} {}\n", name, escape_label(cls), counts.*member);
    };
    const auto write_metric = [&](std::string_view name, std::string_view type, std::string_view help,
                                  std::size_t value) {
        write_header(name, type, help);
        out += fmt::format("edge_{} {}\n", name, value);
    };
    write_class_counters("passed_total", "Requests served.", &RequestClassCounters::answered);
    write_class_counters("dropped_total", "Requests refused.", &RequestClassCounters::dropped);
    write_class_counters("bad_gateway_total", "Requests that failed.", &RequestClassCounters::failed);
    write_metric("upstream_tries_total", "counter", "Attempts written whole to servers.",
                 counters.attempts_written);
    write_metric("in_progress", "gauge", "Requests taken and not ended.", status.in_progress);
    write_metric("known_servers", "gauge", "Servers in the list.", status.known_servers);
    write_metric("skipped_servers", "gauge", "Listed servers that are avoided now.", status.skipped_servers);
    write_metric("loads_total", "counter", "Configuration files taken over at SIGHUP.",
                 counters.configurations_loaded);
    write_metric("load_errors_total", "counter", "Configuration files turned down at SIGHUP.",
                 counters.reloads_failed);
    return out;
}

}    // namespace shaletray::operations
