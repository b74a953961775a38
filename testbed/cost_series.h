// Measures cost as a function of size: series with a fitted line, CPU time of the calling thread and heap
// use.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shaletray::testbed {

// CPU time of the calling thread, in seconds.
double thread_cpu_seconds();
// Bytes of the heap in use, including large blocks that are mapped separately.
double heap_bytes_in_use();

// The largest growth of the memory in use while `what` runs, in bytes.
double peak_memory_of(const std::function<void()>& what);

// Runs `what` and returns its CPU time in seconds.
template <class F>
double cpu_seconds_of(F&& what) {
    const double began = thread_cpu_seconds();
    what();
    return thread_cpu_seconds() - began;
}

// One cost at several sizes, with the least-squares line through the values.
class Series {
public:
    Series(std::string name, std::string unit, std::string size_name)
        : name_(name), unit_(unit), size_name_(size_name) {}
    void add(double size, double value);
    double slope() const;
    double intercept() const;
    // As measured if `size` was measured, else by the line, but not below 0.
    double value_at(double size) const;
    double max_value() const;    // the largest measured value, for costs that do not follow a line
    // The largest distance of a value from the line, as a fraction of the largest value.
    double residual() const;
    const std::string& name() const { return name_; }
    nlohmann::json to_json() const;
    std::string summary_line() const;    // for people

private:
    std::string name_, unit_, size_name_;
    std::vector<double> sizes_, values_;
};

}    // namespace shaletray::testbed
