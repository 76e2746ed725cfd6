#include "greengagespar/base/address.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(AddressSuite)

BOOST_AUTO_TEST_CASE(parseIpPort_goodText_returnsParts) {
  auto v4 = parseIpPort("127.0.0.1:7001");
  BOOST_REQUIRE(v4.has_value());
  BOOST_TEST(v4->Ip == "127.0.0.1");
  BOOST_TEST(v4->Port == 7001);
  auto v6 = parseIpPort("[::1]:65535");
  BOOST_REQUIRE(v6.has_value());
  BOOST_TEST(v6->Ip == "::1");
  BOOST_TEST(v6->IsV6);
}

BOOST_AUTO_TEST_CASE(parseIpPort_badText_isEmpty) {
  for (const char *it :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1: 1", "127.0.0.1:1x", "127.0.0.1:01",
        "localhost:80", "256.0.0.1:80", "::1:80", "[]:80", "[::1]",
        "[127.0.0.1]:80", "1:1:1", "127.0.0.1:99999999999"})
    BOOST_TEST(!parseIpPort(it).has_value(), it);
}

BOOST_AUTO_TEST_SUITE_END()
