#include "greengagespar/host/partners.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

struct PartnersFixture {
  MemberView View;
  std::mt19937_64 Rng{7};

  PartnersFixture() {
    View.Self = {"self"};
    View.DataCentre = {"a"};
  }

  void add(const std::string &centre, int count,
           MemberState state = MemberState::Live) {
    for (int i = 0; i < count; ++i) {
      Address link{centre + std::to_string(View.Members.size())};
      Member &member = View.Members[link];
      member.Row.Link = link;
      member.Row.DataCentre = {centre};
      member.State = state;
    }
  }

  std::vector<Address> choose(const std::vector<Address> &current = {},
                              bool renew = false) {
    return choosePartners(View, {{"seed"}}, current, renew, {}, Rng);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PartnersSuite, PartnersFixture)

BOOST_AUTO_TEST_CASE(choosePartners_smallDataCentre_choosesAll) {
  add("a", 8);
  add("b", 3);
  auto chosen = choose();
  BOOST_TEST(chosen.size() == 8u + 2u + 1u);
  BOOST_TEST((chosen.back() == Address{"seed"}));
}

BOOST_AUTO_TEST_CASE(choosePartners_manyEntries_isBounded) {
  add("a", 78);
  add("b", 300);
  add("a", 9, MemberState::Unresponsive);
  BOOST_TEST(choose().size() == 4u + 2u + 4u);
}

BOOST_AUTO_TEST_CASE(choosePartners_nextRound_keepsAllButRenewed) {
  add("a", 40);
  add("b", 40);
  auto first = choose();
  auto sorted = [](std::vector<Address> it) {
    std::ranges::sort(it);
    return it;
  };
  BOOST_TEST((sorted(choose(first)) == sorted(first)));
  auto renewed = choose(first, true);
  auto kept = std::ranges::count_if(renewed, [&](const Address &it) {
    return std::ranges::count(first, it) > 0;
  });
  BOOST_TEST(kept == 3 + 1 + 1);
}

BOOST_AUTO_TEST_SUITE_END()
