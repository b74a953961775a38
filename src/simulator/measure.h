// Helpers for measurements: conversion to and from seconds, and quantiles of histograms.
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

// Returns the centre of the bin that holds the quantile `q`, or `none` if the histogram is empty.
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
