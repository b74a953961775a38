// Measured cost against size: series, the line through each, and what a thread and the heap have used.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shaletray::testbed {

// Seconds that this thread ran on a core.
double thread_cpu_seconds();
// Bytes of the heap in use, with those that were mapped for large pieces.
double heap_bytes_in_use();

// By how much the memory that is in use at once grows at most while it runs, in bytes.
double peak_memory_of(const std::function<void()>& what);

// Runs it and gives its CPU time in seconds.
template <class F>
double cpu_seconds_of(F&& what) {
    const double began = thread_cpu_seconds();
    what();
    return thread_cpu_seconds() - began;
}

// One cost at several sizes, with the least squares' line through them.
class Series {
public:
    Series(std::string name, std::string unit, std::string size_name)
        : name_(name), unit_(unit), size_name_(size_name) {}
    void add(double size, double value);
    double slope() const;
    double intercept() const;    // where the line begins
    double value_at(
        double size) const;      // as measured where it was, else by the line, and not below nothing
    double max_value() const;    // of the values, where they do not follow a line
    // The largest distance of a value from the line, as a part of the largest value.
    double residual() const;
    const std::string& name() const { return name_; }
    nlohmann::json to_json() const;
    std::string summary_line() const;    // for reading

private:
    std::string name_, unit_, size_name_;
    std::vector<double> sizes_, values_;
};

}    // namespace shaletray::testbed
