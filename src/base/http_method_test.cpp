#include "greengagespar/base/http_method.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(HttpMethods)

BOOST_AUTO_TEST_CASE(methodName_everyMethod_roundTrips) {
  for (const char *name :
       {"GET", "POST", "HEAD", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    BOOST_REQUIRE(methodOf(name).has_value());
    BOOST_TEST(methodName(*methodOf(name)) == name);
  }
}

BOOST_AUTO_TEST_CASE(methodName_unknownMethod_isEmpty) {
  BOOST_TEST(!methodOf("get").has_value());
  BOOST_TEST(!methodOf("").has_value());
  BOOST_TEST(methodName(EVHTTP_REQ_TRACE).empty());
}

BOOST_AUTO_TEST_SUITE_END()
