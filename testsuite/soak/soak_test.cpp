#include "soak_run.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar::soak;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ShortSoak)

// Guards the rules BUDGET, LOST, MIXED, OUTAGE, REFUSED and TWICE on real
// processes.
BOOST_AUTO_TEST_CASE(entries_underSeededDisruptions_keepTheRules) {
  for (std::uint64_t seed : {1, 2}) {
    SoakOptions options;
    options.Seed = seed;
    options.Length = 20s;
    options.Clients = 90;
    Record record = runSoak(options);
    BOOST_TEST(record.Attempts.size() > 1000U);
    BOOST_TEST(countCopies(record).Met == 0U);
    for (const Finding &it : judge(record))
      BOOST_ERROR("seed " << seed << ": " << it.Rule << " " << it.What);
  }
}

// Guards against a copy of a refusal that is taken for the answer to the second
// send of its request, which needs a server to which requests come again.
BOOST_AUTO_TEST_CASE(entries_withOneServerThatCopiesRefusals_keepTheRules) {
  for (std::uint64_t seed : {1, 3}) {
    SoakOptions options;
    options.Seed = seed;
    options.Length = 15s;
    options.Ledgers = 1;
    options.Clients = 60;
    options.RefusedPercent = 15;
    options.Freezes = options.Stops = options.Kills = false;
    options.BadServers = options.StoreTrouble = options.HasClumps = false;
    Record record = runSoak(options);
    CopyCounts copies = countCopies(record);
    BOOST_TEST(copies.CameAgain > 20U);
    BOOST_TEST(copies.Met == 0U);
    for (const Finding &it : judge(record))
      BOOST_ERROR("seed " << seed << ": " << it.Rule << " " << it.What);
  }
}

BOOST_AUTO_TEST_SUITE_END()
