#include "greengagespar/http/message.h"

#include "broken_answers.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(BrokenNames)

// Guards against an answer being taken that some programs read in another way,
// or not at all: the name of a field in its head or its trailer is no token.
BOOST_AUTO_TEST_CASE(answer_withBrokenName_isRefused) {
  for (const BrokenAnswer &each : answersWithBrokenNames("X-A: b\r\n", "odd"))
    BOOST_TEST_CONTEXT(each.Name) {
      // In one piece, and byte by byte.
      for (std::size_t step : {each.Bytes.size(), std::size_t{1}}) {
        ResponseReader reader({}, [](std::string_view) {});
        std::string pending;
        for (std::size_t at = 0;
             at < each.Bytes.size() && reader.state() != ReadState::Broken;
             at += step) {
          pending += each.Bytes.substr(at, step);
          pending.erase(0, reader.take(pending));
        }
        reader.takeEnd();
        BOOST_TEST((reader.state() == ReadState::Broken));
      }
    }
}

BOOST_AUTO_TEST_SUITE_END()
