#include "greengagespar/route/workspace_limits.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct Limits {
  Clock::time_point Now = Clock::time_point{} + 1h;
  WorkspaceUses Uses;
  Workspace Of{{"w"}, {"t"}, 1.0, 2, std::nullopt};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkspaceLimits, Limits)

BOOST_AUTO_TEST_CASE(checkLimits_overMaxInFlight_refusesUntilOneEnds) {
  for (int n = 0; n < 2; ++n) {
    BOOST_TEST(!checkLimits(Uses, Of, Now));
    recordCallAccepted(Uses, Of);
  }
  auto refused = checkLimits(Uses, Of, Now);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->Kind == ErrorKind::WorkspaceLimit));
  recordCallEnded(Uses, Of.Id, 100ms);
  BOOST_TEST(!checkLimits(Uses, Of, Now));
}

BOOST_AUTO_TEST_CASE(checkLimits_overRate_returnsTimeOfNextCall) {
  Of.MaxInFlight = 1000;
  Of.RatePerSecond = 5;
  for (int n = 0; n < 5; ++n) {
    BOOST_TEST(!checkLimits(Uses, Of, Now));
    recordCallAccepted(Uses, Of);
  }
  auto refused = checkLimits(Uses, Of, Now);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->RetryAfter == 200ms));
  BOOST_TEST(!checkLimits(Uses, Of, Now + refused->RetryAfter));
}

BOOST_AUTO_TEST_SUITE_END()
