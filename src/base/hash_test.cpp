#include "greengagespar/base/hash.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace greengagespar;

namespace {

std::vector<HostId> hosts(int n) {
  std::vector<HostId> ids;
  ids.reserve(n);
  for (int i = 0; i < n; ++i)
    ids.push_back({"host-" + std::to_string(i)});
  return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HashSuite)

// Other processes depend on these hash values, so they must never change.
BOOST_AUTO_TEST_CASE(stableHash_knownTexts_keepsPublishedValues) {
  BOOST_TEST(stableHash("") == mixBits(0xcbf29ce484222325ULL));
  BOOST_TEST(stableHash("a") == mixBits(0xaf63dc4c8601ec8cULL));
  BOOST_TEST(stableHash("foobar") == mixBits(0x85944171f73967e8ULL));
  BOOST_TEST(mixBits(0) == 0u);
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_idsInAnotherOrder_isTheSame) {
  auto ids = hosts(20);
  auto first = rendezvousOrder("key", ids);
  std::reverse(ids.begin(), ids.end());
  BOOST_TEST((rendezvousOrder("key", ids) == first));
  BOOST_TEST(first.size() == 20u);
  BOOST_TEST((std::set(first.begin(), first.end()).size() == 20u));
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_oneIdRemoved_keepsOrderOfOthers) {
  auto ids = hosts(20);
  auto before = rendezvousOrder("key", ids);
  HostId removed = before[3];
  std::erase(ids, removed);
  std::erase(before, removed);
  BOOST_TEST((rendezvousOrder("key", ids) == before));
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_manyKeys_spreadsFirstPlaceEvenly) {
  auto ids = hosts(10);
  std::map<HostId, int> firsts;
  for (int i = 0; i < 10000; ++i)
    ++firsts[rendezvousOrder("key-" + std::to_string(i), ids).front()];
  for (const HostId &id : ids) {
    BOOST_TEST(firsts[id] > 850);
    BOOST_TEST(firsts[id] < 1150);
  }
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_noIds_isEmpty) {
  BOOST_TEST(rendezvousOrder("key", std::vector<HostId>{}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
