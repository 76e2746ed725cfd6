#include "greengagespar/direct/rank_polling.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

// All entries and agents of a site for one minute.
struct PolledSite {
  static constexpr milliseconds Length{60000};
  RankPollOptions Options;
  std::size_t Agents = 192;

  // Questions per second that each agent gets from \p entries entries, one of
  // which is the driver.
  double questionsPerSecond(std::size_t entries) const {
    auto rounds = Length / presenceInterval(Options, entries);
    auto samples = static_cast<double>(Length / Options.CountInterval) /
                   static_cast<double>(sampleCount(Options, Agents));
    return (static_cast<double>((entries - 1) * rounds) + samples) / 60;
  }

  // How often each agent is asked for counts in \p periods intervals.
  std::vector<int> askedForCounts(std::size_t periods) const {
    std::vector<int> asked(Agents, 0);
    std::size_t samples = sampleCount(Options, Agents);
    for (std::size_t p = 0; p < periods; ++p)
      for (std::size_t i = 0; i < Agents; ++i)
        asked[i] += isInSample(i, p % samples, samples) ? 1 : 0;
    return asked;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RankPolling, PolledSite)

BOOST_AUTO_TEST_CASE(agents_atManyEntries_getBoundedQuestions) {
  for (std::size_t entries : {7U, 32U, 149U})
    BOOST_TEST(questionsPerSecond(entries) <= 37, entries);
}

BOOST_AUTO_TEST_CASE(entries_few_askEachSecond) {
  BOOST_TEST((presenceInterval(Options, 7) == milliseconds(1000)));
  BOOST_TEST((presenceInterval(Options, 60) == milliseconds(2000)));
  BOOST_TEST((presenceInterval(Options, 1000) == milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(driver_atManyRanks_readsBoundedSamplesOfAll) {
  for (std::size_t agents : {1U, 12U, 96U, 97U, 192U, 390U}) {
    Agents = agents;
    std::size_t samples = sampleCount(Options, agents);
    for (std::size_t s = 0; s < samples; ++s) {
      std::size_t n = 0;
      for (std::size_t i = 0; i < agents; ++i)
        n += isInSample(i, s, samples) ? 1 : 0;
      BOOST_TEST(n <= Options.MaxSample);
      BOOST_TEST(n >= agents / samples);
    }
    BOOST_TEST(std::ranges::all_of(askedForCounts(samples),
                                   [](int n) { return n == 1; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
