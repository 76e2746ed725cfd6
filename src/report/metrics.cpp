#include "greengagespar/report/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace greengagespar {

namespace {

namespace acc = boost::accumulators;

constexpr std::chrono::seconds QuantileWindow{60};
constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

// The estimate interpolates between markers, so each quantile needs a marker on
// each side.
constexpr std::array<double, 7> Markers = {0.25, 0.5,  0.75, 0.9,
                                           0.95, 0.99, 0.999};

// With fewer samples than this, their maximum is the best estimate of any
// quantile.
constexpr std::size_t MinQuantileSamples = 10;

detail::QuantileAccumulator makeQuantiles() {
  return detail::QuantileAccumulator(acc::extended_p_square_probabilities =
                                         Markers);
}

void writeLabels(std::ostream &out, const std::vector<MetricLabel> &labels) {
  if (labels.empty())
    return;
  char separator = '{';
  for (const MetricLabel &it : labels) {
    out << separator << it.Name << "=\"" << escapeLabelValue(it.Value) << '"';
    separator = ',';
  }
  out << '}';
}

void writeSample(std::ostream &out, const std::string &name,
                 const std::vector<MetricLabel> &labels, double value) {
  out << name;
  writeLabels(out, labels);
  out << ' ' << value << '\n';
}

// Writes the type line before the first series of each metric. `last` holds the
// name of the metric that was written last.
void writeType(std::ostream &out, std::string &last, const std::string &name,
               const char *type) {
  if (name == last)
    return;
  out << "# TYPE " << name << ' ' << type << '\n';
  last = name;
}

void writeDistribution(std::ostream &out, const MetricKey &key,
                       const Distribution &values) {
  for (double quantile : Quantiles) {
    std::vector<MetricLabel> labels = key.Labels;
    std::ostringstream text;
    text << quantile;
    labels.push_back({"quantile", text.str()});
    writeSample(out, key.Name, labels, quantileOf(values, quantile));
  }
  writeSample(out, key.Name + "_sum", key.Labels, acc::sum(values.Total));
  writeSample(out, key.Name + "_count", key.Labels,
              static_cast<double>(acc::count(values.Total)));
}

void rotate(Distribution &values, Clock::time_point now) {
  if (now - values.CurrentSince < QuantileWindow)
    return;
  bool stale = now - values.CurrentSince >= 2 * QuantileWindow;
  values.Previous = stale ? makeQuantiles() : values.Current;
  values.Current = makeQuantiles();
  values.CurrentSince = now;
}

double windowQuantile(const detail::QuantileAccumulator &window,
                      double quantile) {
  if (acc::count(window) == 0)
    return 0;
  if (acc::count(window) < MinQuantileSamples)
    return acc::max(window);
  double value = acc::quantile(window, acc::quantile_probability = quantile);
  return std::isfinite(value) ? std::min(value, acc::max(window))
                              : acc::max(window);
}

} // namespace

Distribution::Distribution()
    : Current(makeQuantiles()), Previous(makeQuantiles()) {}

void countUp(Metrics &metrics, const MetricKey &key, double by) {
  metrics.Counters[key](by);
}

void setGauge(Metrics &metrics, const MetricKey &key, double value) {
  metrics.Gauges[key] = value;
}

void observe(Metrics &metrics, const MetricKey &key, double value,
             Clock::time_point now) {
  Distribution &values = metrics.Distributions[key];
  rotate(values, now);
  values.Current(value);
  values.Total(value);
}

double counterValue(const Metrics &metrics, const MetricKey &key) {
  auto it = metrics.Counters.find(key);
  return it == metrics.Counters.end() ? 0 : acc::sum(it->second);
}

double quantileOf(const Distribution &values, double quantile) {
  auto current = static_cast<double>(acc::count(values.Current));
  auto previous = static_cast<double>(acc::count(values.Previous));
  if (current + previous == 0)
    return 0;
  double sum = current * windowQuantile(values.Current, quantile) +
               previous * windowQuantile(values.Previous, quantile);
  return sum / (current + previous);
}

std::string escapeLabelValue(const std::string &value) {
  std::string out;
  for (char c : value) {
    if (c == '\\' || c == '"')
      out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out;
}

std::string renderPrometheus(const Metrics &metrics) {
  std::ostringstream out;
  out.precision(12);
  std::string last;
  for (const auto &[key, value] : metrics.Counters) {
    writeType(out, last, key.Name, "counter");
    writeSample(out, key.Name, key.Labels, acc::sum(value));
  }
  for (const auto &[key, value] : metrics.Gauges) {
    writeType(out, last, key.Name, "gauge");
    writeSample(out, key.Name, key.Labels, value);
  }
  for (const auto &[key, values] : metrics.Distributions) {
    writeType(out, last, key.Name, "summary");
    writeDistribution(out, key, values);
  }
  return out.str();
}

} // namespace greengagespar
