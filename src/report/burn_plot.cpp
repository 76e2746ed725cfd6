#include "greengagespar/report/status.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace greengagespar {

namespace {

using std::chrono::seconds;

// Sizes and margins of the plot, in pixels.
constexpr double Width = 800;
constexpr double Height = 320;
constexpr double Left = 50;
constexpr double Right = 20;
constexpr double Top = 40;
constexpr double LineHeight = 16;
constexpr double Bottom = 30;

// Distance from the bottom of the plot to its first label, in line heights.
constexpr double LegendOffset = 0.75;

// The maximum of the rate axis is at least this burn rate.
constexpr double MinAxisMaximum = 2;

constexpr std::array<const char *, 6> Colours = {
    "#1b6ca8", "#c0392b", "#1e8449", "#9a6b00", "#6c3483", "#555555"};

std::string escapeXml(const std::string &text) {
  std::string out;
  for (char c : text) {
    switch (c) {
    case '&':
      out += "&amp;";
      break;
    case '<':
      out += "&lt;";
      break;
    case '>':
      out += "&gt;";
      break;
    case '"':
      out += "&quot;";
      break;
    default:
      out += c;
    }
  }
  return out;
}

double axisMaximum(const BurnPlot &plot) {
  double axisMax = MinAxisMaximum;
  for (const BurnLine &line : plot.Lines)
    for (double rate : line.Rates)
      axisMax = std::max(axisMax, rate);
  return std::ceil(axisMax);
}

double yOf(double rate, double axisMax) {
  return Height - Bottom - rate / axisMax * (Height - Top - Bottom);
}

double xOf(std::size_t i, std::size_t count) {
  auto steps = static_cast<double>(std::max<std::size_t>(1, count - 1));
  return Left + static_cast<double>(i) / steps * (Width - Left - Right);
}

void writeText(std::ostream &out, double x, double y, const std::string &text,
               const char *colour = "#222222") {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" fill=\"" << colour << "\">"
      << escapeXml(text) << "</text>\n";
}

// Draws a horizontal line at `rate`, with the rate as a label at the left.
void writeLevel(std::ostream &out, double rate, double axisMax,
                const char *colour) {
  double y = yOf(rate, axisMax);
  out << "<line x1=\"" << Left << "\" y1=\"" << y << "\" x2=\"" << Width - Right
      << "\" y2=\"" << y << "\" stroke=\"" << colour << "\"/>\n";
  std::ostringstream label;
  label << rate;
  writeText(out, 4, y + 4, label.str());
}

void writeLine(std::ostream &out, const BurnLine &line, double axisMax,
               const char *colour) {
  out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
      << "\" points=\"";
  for (std::size_t i = 0; i < line.Rates.size(); ++i)
    out << xOf(i, line.Rates.size()) << ',' << yOf(line.Rates[i], axisMax)
        << ' ';
  out << "\"/>\n";
}

double rateOf(const BurnBucket *begin, const BurnBucket *end,
              std::int64_t first, std::int64_t last, double share) {
  EventCounts sum;
  for (const BurnBucket *it = begin; it != end; ++it)
    if (it->Index >= first && it->Index <= last)
      add(sum, it->Counts);
  return burnRate(sum, share);
}

std::string labelOf(const SeriesKey &key) {
  std::ostringstream out;
  out << key.Class.Value << ' ' << measureName(key.Measured) << " within "
      << key.WithinMs << " ms for " << key.Share * 100 << "%";
  return out.str();
}

} // namespace

BurnPlot plotOf(const BurnLedger &ledger, TargetKind kind,
                const std::string &target, bool lastHour, WallTime now) {
  constexpr seconds fineStep{300};
  seconds width = lastHour ? BurnRing::FineWidth : BurnRing::CoarseWidth;
  seconds step = lastHour ? fineStep : BurnRing::CoarseWidth;
  seconds span = lastHour ? seconds(3600) : seconds(72 * 3600);
  auto last = std::chrono::floor<seconds>(now).time_since_epoch() / width;
  auto each = step / width;
  BurnPlot plot{"Burn rate of " + target, step, {}};
  for (const auto &[key, ring] : ledger.Rings) {
    if (key.Kind != kind || key.Target != target)
      continue;
    const BurnBucket *begin = lastHour ? ring.Fine.data() : ring.Coarse.data();
    std::size_t size = lastHour ? ring.Fine.size() : ring.Coarse.size();
    BurnLine line{labelOf(key), {}};
    for (auto end = last - (span / step - 1) * each; end <= last; end += each)
      line.Rates.push_back(
          rateOf(begin, begin + size, end - each + 1, end, key.Share));
    plot.Lines.push_back(std::move(line));
  }
  return plot;
}

std::string renderSvg(const BurnPlot &plot) {
  // At this burn rate, the error budget is used up exactly in its period.
  constexpr double budgetRate = 1;
  std::ostringstream out;
  double axisMax = axisMaximum(plot);
  double legend = LineHeight * static_cast<double>(plot.Lines.size());
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
      << "\" height=\"" << Height + legend
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
  writeText(out, Left, LineHeight, plot.Title);
  writeLevel(out, 0, axisMax, "#222222");
  writeLevel(out, budgetRate, axisMax, "#c0392b");
  writeLevel(out, axisMax, axisMax, "#cccccc");
  for (std::size_t i = 0; i < plot.Lines.size(); ++i) {
    const char *colour = Colours[i % Colours.size()];
    writeLine(out, plot.Lines[i], axisMax, colour);
    double y = Height + LineHeight * (static_cast<double>(i) + LegendOffset);
    writeText(out, Left, y, plot.Lines[i].Label, colour);
  }
  std::ostringstream scale;
  scale << "one point every " << plot.Step / std::chrono::minutes(1)
        << " min, newest at the right";
  writeText(out, Width / 2, Height - LineHeight / 2, scale.str());
  out << "</svg>\n";
  return out.str();
}

} // namespace greengagespar
