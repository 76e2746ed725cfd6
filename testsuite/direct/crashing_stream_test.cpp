#include "crash_site.h"

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(CrashingStreams, CrashFixture)

// Guards against a part that ends server after server because many others are
// before it, as in a long conversation.
BOOST_AUTO_TEST_CASE(crashingPart_lateInLongPrompts_endsFewServers) {
  CommonParts = 300;
  checkCrashes(4s, 30);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// Guards against one stream that ends server after server as it comes again,
// because the parts of its prompt are known to be sound.
BOOST_AUTO_TEST_CASE(crashingStream_withSoundParts_endsFewServers) {
  checkRepeatedStream();
}

BOOST_AUTO_TEST_CASE(crashingStream_endingServersBeforeTheHead_endsFewServers) {
  EndsBeforeHead = true;
  checkRepeatedStream();
}

BOOST_AUTO_TEST_CASE(crashingStream_endingServersMidway_endsFewServers) {
  EventsBeforeEnd = 4;
  checkRepeatedStream();
}

BOOST_AUTO_TEST_SUITE_END()
