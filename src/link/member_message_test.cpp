#include "greengagespar/link/member_message.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(MemberMessageSuite)

BOOST_AUTO_TEST_CASE(readMember_writtenRow_isEqual) {
  MemberRow row{{"entry-1"},
                MemberRole::Endpoint,
                {"10.0.0.1:7001"},
                {"1.2.3.4:1"},
                {"kigali-1"},
                {77},
                8,
                true,
                {9}};
  wire::Member message;
  writeMember(row, message);
  auto back = readMember(message);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST((back->Host == row.Host && back->Role == row.Role));
  BOOST_TEST((back->Link == row.Link && back->Callers == row.Callers));
  BOOST_TEST((back->DataCentre == row.DataCentre &&
              back->ProcessIncarnation == row.ProcessIncarnation));
  BOOST_TEST((back->Heartbeat == 8u && back->Leaving));
  BOOST_TEST((back->Settings == row.Settings));
}

BOOST_AUTO_TEST_CASE(readMember_oneBadField_isLeftOut) {
  struct Case {
    void (*Corrupt)(wire::Member &);
  };
  const Case cases[] = {
      {[](wire::Member &it) { it.set_name("a b"); }},
      {[](wire::Member &it) { it.set_name(std::string(1000, 'a')); }},
      {[](wire::Member &it) { it.set_link("nowhere"); }},
      {[](wire::Member &it) { it.set_callers("1.2.3.4:99999"); }},
      {[](wire::Member &it) { it.set_data_centre(""); }},
  };
  for (const Case &it : cases) {
    wire::Member message;
    writeMember({{"a"},
                 MemberRole::Entry,
                 {"10.0.0.1:1"},
                 {"10.0.0.1:2"},
                 {"kigali-1"},
                 {1},
                 1,
                 false,
                 {}},
                message);
    BOOST_TEST(readMember(message).has_value());
    it.Corrupt(message);
    BOOST_TEST(!readMember(message).has_value());
  }
}

BOOST_AUTO_TEST_CASE(readMembers_malformedAndTooMany_areLeftOut) {
  wire::Members message;
  message.add_members()->set_name("no-link");
  for (int i = 0; i < MaxRowsAccepted; ++i) {
    wire::Member *it = message.add_members();
    it->set_name("a");
    it->set_link("10.0.0.1:1");
    it->set_callers("10.0.0.1:2");
    it->set_data_centre("kigali-1");
  }
  BOOST_TEST(readMembers(message).size() == std::size_t{MaxRowsAccepted} - 1);
}

BOOST_AUTO_TEST_SUITE_END()
