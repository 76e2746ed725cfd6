#include "greengagespar/http/carried_requests.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace greengagespar;

namespace {

struct CarriedRequestsFixture {
  CarriedRequests Carried;

  void record(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      recordRequest(Carried, std::to_string(i));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CarriedRequestsSuite, CarriedRequestsFixture)

BOOST_AUTO_TEST_CASE(connection_withoutRequests_hasCarriedNone) {
  BOOST_TEST(!hasCarried(Carried, "a"));
  BOOST_TEST(!hasCarried(Carried, ""));
  BOOST_TEST(!isFull(Carried));
}

BOOST_AUTO_TEST_CASE(request_recorded_isFoundAmongManyOthers) {
  record(MaxCarriedRequests - 1);
  recordRequest(Carried, "a");
  BOOST_TEST(hasCarried(Carried, "a"));
  BOOST_TEST(hasCarried(Carried, "0"));
  BOOST_TEST(!hasCarried(Carried, "b"));
}

// Guards against a request that is forgotten because the record is full.
BOOST_AUTO_TEST_CASE(connection_withTheMostRequests_isFull) {
  record(MaxCarriedRequests - 1);
  BOOST_TEST(!isFull(Carried));
  recordRequest(Carried, "a");
  BOOST_TEST(isFull(Carried));
  BOOST_TEST(hasCarried(Carried, "0"));
}

BOOST_AUTO_TEST_SUITE_END()
