#include "greengagespar/link/liveness.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct UpLink {
  LivenessLimits Limits;
  Liveness Link;
  Clock::time_point Now{1h};

  UpLink() { recordReceived(Link, Now); }

  LinkStep after(Clock::duration wait, bool isBusy = true) {
    Now += wait;
    return decideLink(Link, Limits, isBusy, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkLiveness, UpLink)

BOOST_AUTO_TEST_CASE(idleLink_afterBusyProbeDelay_isNotProbed) {
  BOOST_TEST((after(Limits.BusyProbeDelay, false) == LinkStep::Nothing));
  BOOST_TEST((after(0ms, true) == LinkStep::Probe));
}

BOOST_AUTO_TEST_CASE(upLink_withoutAnswer_isReopenedThenLostWithinASecond) {
  Clock::time_point start = Now;
  bool wasReopened = false;
  while (after(10ms) != LinkStep::DeclareLost)
    wasReopened = wasReopened || Link.Phase == LinkPhase::Reopened;
  BOOST_TEST(wasReopened);
  BOOST_TEST((Now - start <= 1s));
}

BOOST_AUTO_TEST_CASE(reopenedLink_messageReceived_reportsItWasDown) {
  while (after(10ms) != LinkStep::Reopen)
    ;
  BOOST_TEST(recordReceived(Link, Now));
  BOOST_TEST(!recordReceived(Link, Now));
  BOOST_TEST((Link.Phase == LinkPhase::Up));
}

BOOST_AUTO_TEST_CASE(lostLink_withoutAnswer_isReopenedPeriodically) {
  while (after(10ms) != LinkStep::DeclareLost)
    ;
  int reopened = 0;
  for (int i = 0; i < 300; ++i)
    reopened += after(10ms) == LinkStep::Reopen ? 1 : 0;
  BOOST_TEST(reopened >= 2);
  BOOST_TEST(reopened <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
