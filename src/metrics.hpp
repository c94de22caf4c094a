/** @file metrics.hpp Counters, gauges and histograms of one process, based on prometheus-cpp. */
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace sniperock {

/** Label names and values that identify one series of a metric. */
using metric_labels = std::map<std::string, std::string>;

/**
 * Creates metrics and formats them. Returned references are valid for the lifetime of this object;
 * requesting the same name and labels again returns the same metric. Store the reference, as each
 * lookup acquires a lock.
 */
class metrics {
public:
    /** Returns a counter, which only increases; @p name must end in _total. */
    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const metric_labels& labels = {});
    /** Returns a gauge, a value that may increase and decrease. */
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const metric_labels& labels = {});
    /** Returns a histogram of durations in seconds, with buckets from 0.1 ms to 30 s. */
    prometheus::Histogram& latency(const std::string& name, const std::string& help,
                                   const metric_labels& labels = {});
    /** Formats all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
};

} // namespace sniperock
