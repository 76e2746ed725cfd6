#include "greengagespar/report/metrics.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct Registry {
  Clock::time_point Now = Clock::time_point{} + 1h;
  Metrics All;
  MetricKey Latency{"latency_ms", {{"group", "drafts"}}};

  const Distribution &latency() const { return All.Distributions.at(Latency); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MetricsRegistry, Registry)

BOOST_AUTO_TEST_CASE(countUp_severalTimes_addsUp) {
  countUp(All, {"calls_total"});
  countUp(All, {"calls_total"}, 2);
  BOOST_TEST(counterValue(All, {"calls_total"}) == 3);
  BOOST_TEST(counterValue(All, {"others_total"}) == 0);
}

BOOST_AUTO_TEST_CASE(observe_uniformValues_estimatesQuantiles) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> values(0, 1000);
  for (int n = 0; n < 5000; ++n)
    observe(All, Latency, values(random), Now);
  BOOST_TEST(std::abs(quantileOf(latency(), 0.5) - 500) < 40);
  BOOST_TEST(std::abs(quantileOf(latency(), 0.95) - 950) < 20);
  BOOST_TEST(std::abs(quantileOf(latency(), 0.99) - 990) < 10);
}

BOOST_AUTO_TEST_CASE(observe_minutesLater_forgetsOldValues) {
  for (int n = 0; n < 100; ++n)
    observe(All, Latency, 1000, Now);
  Now += 5min;
  for (int n = 0; n < 100; ++n)
    observe(All, Latency, 10, Now);
  BOOST_TEST(quantileOf(latency(), 0.99) <= 10);
}

BOOST_AUTO_TEST_CASE(renderPrometheus_allKinds_hasTypesAndEscapes) {
  countUp(All, {"calls_total", {{"workspace", "a\"b"}}});
  setGauge(All, {"in_flight"}, 4);
  observe(All, Latency, 7, Now);
  std::string text = renderPrometheus(All);
  for (const char *line : {
           "# TYPE calls_total counter\n",
           "calls_total{workspace=\"a\\\"b\"} 1\n",
           "# TYPE in_flight gauge\nin_flight 4\n",
           "latency_ms{group=\"drafts\",quantile=\"0.95\"} 7\n",
           "latency_ms_count{group=\"drafts\"} 1\n",
       })
    BOOST_TEST(text.find(line) != std::string::npos, line);
}

BOOST_AUTO_TEST_SUITE_END()
