#include "greengagespar/direct/event_relay.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

struct RelayFixture {
  EventRelay Relay;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventRelays, RelayFixture)

BOOST_AUTO_TEST_CASE(event_inPieces_isExtractedWhole) {
  std::string bytes = event(1);
  BOOST_TEST(extractNewEvents(Relay, bytes.substr(0, 7)).empty());
  BOOST_TEST(extractNewEvents(Relay, bytes.substr(7)) == bytes);
}

BOOST_AUTO_TEST_CASE(events_ofOneRead_areExtractedTogether) {
  std::string bytes = event(1) + event(2);
  BOOST_TEST(extractNewEvents(Relay, bytes + "id: 3") == bytes);
  BOOST_TEST(*Relay.LastId == 2U);
}

BOOST_AUTO_TEST_CASE(stream_cutInsideAnEvent_resumesWithoutLossOrDuplicate) {
  extractNewEvents(Relay, event(1) + event(2).substr(0, 9));
  discardPartialEvent(Relay);
  BOOST_TEST(extractNewEvents(Relay, event(1) + event(2) + event(3)) ==
             event(2) + event(3));
}

// Guards against a server that sends comments or known events without end.
BOOST_AUTO_TEST_CASE(bytes_withoutANewEvent_areTooLong) {
  for (const std::string &piece : {std::string(": none\n\n"), event(1)}) {
    Relay = {};
    extractNewEvents(Relay, event(1));
    for (std::size_t n = 0; n < MaxEventBytes / 2; n += piece.size())
      extractNewEvents(Relay, piece);
    BOOST_TEST(!Relay.IsTooLong);
    extractNewEvents(Relay, event(2));
    for (std::size_t n = 0; n <= MaxEventBytes; n += piece.size())
      extractNewEvents(Relay, piece);
    BOOST_TEST(Relay.IsTooLong);
  }
}

BOOST_AUTO_TEST_CASE(event_withFirstLineOfVersions_keepsItsBytes) {
  std::string bytes = "x-weight-versions: 2\n" + event(1);
  BOOST_TEST(extractNewEvents(Relay, bytes) == bytes);
  BOOST_TEST(*Relay.LastId == 1U);
}

BOOST_AUTO_TEST_CASE(event_withCarriageReturns_endsAtItsEmptyLine) {
  std::string bytes = "id: 4\r\ndata: x\r\n\r\n";
  BOOST_TEST(extractNewEvents(Relay, bytes + "id") == bytes);
}

BOOST_AUTO_TEST_CASE(event_withoutEnd_isReportedAsTooLong) {
  extractNewEvents(Relay, std::string(MaxEventBytes + 1, 'a'));
  BOOST_TEST(Relay.IsTooLong);
}

BOOST_AUTO_TEST_SUITE_END()
