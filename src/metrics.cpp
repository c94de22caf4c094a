/** @file metrics.cpp Metrics of one process, based on prometheus-cpp. */
#include "metrics.hpp"

#include <prometheus/text_serializer.h>

namespace sniperock {
namespace {

const prometheus::Histogram::BucketBoundaries latency_buckets_s{
    0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.03,
    0.05,   0.1,    0.2,    0.3,    0.5,   1,     2,     5,     10,   30};

} // namespace

prometheus::Counter& metrics::counter(const std::string& name, const std::string& help,
                                      const metric_labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge& metrics::gauge(const std::string& name, const std::string& help,
                                  const metric_labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram& metrics::latency(const std::string& name, const std::string& help,
                                        const metric_labels& labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(
        labels, latency_buckets_s);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace sniperock
