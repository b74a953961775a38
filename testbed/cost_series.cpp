#include "cost_series.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <string>

namespace shaletray::testbed {

double thread_cpu_seconds() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

double heap_bytes_in_use() {
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

namespace {

// Of /proc/self/status, in bytes.
double status_figure(const std::string& name) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) return 1024.0 * std::stod(line.substr(name.size() + 1));
    }
    return 0.0;
}

}    // namespace

double peak_memory_of(const std::function<void()>& what) {
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << 5;    // the high-water mark begins anew
    const double before = status_figure("VmRSS");
    what();
    return std::max(0.0, status_figure("VmHWM") - before);
}

void Series::add(double size, double value) {
    sizes_.push_back(size);
    values_.push_back(value);
}

double Series::slope() const {
    const double n = static_cast<double>(sizes_.size());
    double x = 0.0, y = 0.0, xx = 0.0, xy = 0.0;
    for (std::size_t i = 0; i < sizes_.size(); ++i) {
        x += sizes_[i];
        y += values_[i];
        xx += sizes_[i] * sizes_[i];
        xy += sizes_[i] * values_[i];
    }
    const double spread = n * xx - x * x;
    return spread == 0.0 ? 0.0 : (n * xy - x * y) / spread;
}

double Series::intercept() const {
    double x = 0.0, y = 0.0;
    for (std::size_t i = 0; i < sizes_.size(); ++i) {
        x += sizes_[i];
        y += values_[i];
    }
    const double n = static_cast<double>(std::max<std::size_t>(1, sizes_.size()));
    return (y - slope() * x) / n;
}

double Series::value_at(double size) const {
    const auto it = std::find(sizes_.begin(), sizes_.end(), size);
    if (it != sizes_.end()) return values_[static_cast<std::size_t>(it - sizes_.begin())];
    return std::max(0.0, intercept() + slope() * size);
}

double Series::max_value() const { return *std::max_element(values_.begin(), values_.end()); }

double Series::residual() const {
    double worst = 0.0, most = 0.0;
    for (std::size_t i = 0; i < sizes_.size(); ++i) {
        worst = std::max(worst, std::abs(values_[i] - (intercept() + slope() * sizes_[i])));
        most = std::max(most, std::abs(values_[i]));
    }
    return most == 0.0 ? 0.0 : worst / most;
}

nlohmann::json Series::to_json() const {
    return {{"unit", unit_},    {"of", size_name_},       {"sizes", sizes_},       {"values", values_},
            {"slope", slope()}, {"at_none", intercept()}, {"residual", residual()}};
}

std::string Series::summary_line() const {
    std::vector<std::string> points;
    for (std::size_t i = 0; i < sizes_.size(); ++i)
        points.push_back(fmt::format("{:g}: {:.4g}", sizes_[i], values_[i]));
    return fmt::format("{:34} {:.3g} {} a {} (from {:.3g}, off by {:.0f}% at most)  {}", name_, slope(),
                       unit_, size_name_, intercept(), 100.0 * residual(), fmt::join(points, ", "));
}

}    // namespace shaletray::testbed
