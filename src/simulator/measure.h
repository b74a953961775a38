// Small change of the laboratory's measurements: seconds, and quantiles of what is kept in histograms.
#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>

#include "decision/control.h"

namespace shaletray::testbed {

inline double secs(decision::Duration d) { return std::chrono::duration<double>(d).count(); }
inline decision::Duration from_secs(double s) {
    return decision::Duration(static_cast<std::int64_t>(s * 1e6));
}

// The middle of the bin in which it lies; `none` where nothing was counted.
template <class Histogram>
double quantile_in(const Histogram& h, double q, double none = 0.0) {
    double all = 0.0, sum = 0.0;
    for (const auto& cell : boost::histogram::indexed(h)) all += *cell;
    for (const auto& cell : boost::histogram::indexed(h)) {
        sum += *cell;
        if (all > 0.0 && sum >= q * all) return cell.bin(0).center();
    }
    return none;
}

}    // namespace shaletray::testbed
