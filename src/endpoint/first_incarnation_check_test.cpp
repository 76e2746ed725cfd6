#include "first_incarnation_check.h"

#include "../store/scripted_server.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

/// A platform that has no record of the server's first incarnation.
struct FirstIncarnationFixture {
  ScriptedServer Server;
  int Firsts = 0;

  // Runs the check of one incarnation until the platform has answered it.
  void check() {
    EndpointSettings settings;
    settings.Platform = Server.At;
    settings.Server = {"l-1"};
    FirstIncarnationCheck check(Server.Loop.get(), settings, {7},
                                [this] { ++Firsts; });
    Server.Answer = [](auto &) {
      return ScriptedAnswer{200, R"({"version":9})"};
    };
    check.start();
    Server.runUntil([this] { return !Server.Requests.empty(); });
    for (int i = 0; i < 10; ++i)
      event_base_loop(Server.Loop.get(), EVLOOP_NONBLOCK);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FirstIncarnations, FirstIncarnationFixture)

BOOST_AUTO_TEST_CASE(check_recordCreated_isFirst) {
  check();
  BOOST_TEST(Firsts == 1);
}

BOOST_AUTO_TEST_CASE(check_platformThatWasNeverRestored_isFirst) {
  Server.Timeline = 1;
  check();
  BOOST_TEST(Firsts == 1);
}

// Guards against a restarted process that grants votes which it has forgotten:
// a restore may have lost the record of the incarnation before it.
BOOST_AUTO_TEST_CASE(check_platformThatWasRestored_isNotFirst) {
  Server.Timeline = 2;
  check();
  BOOST_TEST(Firsts == 0);
}

BOOST_AUTO_TEST_SUITE_END()
