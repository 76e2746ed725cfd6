/// \file
/// The metrics of one process and their Prometheus text. Counters and
/// distributions are held in Boost.Accumulators. Not thread safe: one event
/// loop owns the metrics.
#ifndef GREENGAGESPAR_REPORT_METRICS_H
#define GREENGAGESPAR_REPORT_METRICS_H

#include "greengagespar/base/clock.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <compare>
#include <map>
#include <string>
#include <vector>

namespace greengagespar {

/// A label of a metric.
struct MetricLabel {
  std::string Name;
  std::string Value;
  auto operator<=>(const MetricLabel &) const = default;
};

/// Identifies one time series of a metric.
struct MetricKey {
  std::string Name; ///< With its unit, as "greengagespar_calls_total".
  std::vector<MetricLabel> Labels = {};
  auto operator<=>(const MetricKey &) const = default;
};

namespace detail {

using SumAccumulator = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::sum>>;

using QuantileAccumulator = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<
                boost::accumulators::tag::count, boost::accumulators::tag::max,
                boost::accumulators::tag::extended_p_square_quantile>>;

using TotalAccumulator = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::sum>>;

} // namespace detail

/// The distribution of a value. Quantiles cover the last one to two minutes.
/// Count and sum cover all values since the start of the process.
struct Distribution {
  detail::TotalAccumulator Total;
  detail::QuantileAccumulator Current;
  detail::QuantileAccumulator Previous;
  Clock::time_point CurrentSince;
  Distribution();
};

/// All metrics of a process.
struct Metrics {
  std::map<MetricKey, detail::SumAccumulator> Counters;
  std::map<MetricKey, double> Gauges;
  std::map<MetricKey, Distribution> Distributions;
};

/// Adds \p by to the counter \p key and creates the counter if it is new.
/// Precondition: \p by is not negative.
void countUp(Metrics &metrics, const MetricKey &key, double by = 1);

/// Sets the gauge \p key to \p value.
void setGauge(Metrics &metrics, const MetricKey &key, double value);

/// Adds \p value to the distribution \p key and creates it if it is new.
void observe(Metrics &metrics, const MetricKey &key, double value,
             Clock::time_point now);

/// Returns the value of the counter \p key. Zero if there is none.
double counterValue(const Metrics &metrics, const MetricKey &key);

/// Returns an estimate of the \p quantile, one of 0.5, 0.95 and 0.99, of the
/// values of the last one to two minutes. Zero if there are none.
double quantileOf(const Distribution &values, double quantile);

/// Returns \p value with the escapes that Prometheus text requires between
/// quotes.
std::string escapeLabelValue(const std::string &value);

/// Renders all metrics in the Prometheus text format, version 0.0.4.
std::string renderPrometheus(const Metrics &metrics);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_METRICS_H
