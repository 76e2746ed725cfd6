#include "greengagespar/contract/repeat_rule.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace greengagespar;

namespace {

struct Case {
  std::string Method;
  std::string Path;
  RepeatRule Rule;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RepeatRuleSuite)

BOOST_AUTO_TEST_CASE(repeatRule_anyCall_followsDeclarationThenMethod) {
  Service service;
  service.NonRepeatable = {{"POST", "/bookings"}, {"GET", "/once"}};
  constexpr auto once = RepeatRule::AtMostOnce;
  for (const Case &it :
       std::vector<Case>{{"POST", "/bookings", once},
                         {"POST", "/bookings/7?x=1", once},
                         {"POST", "//bookings", once},
                         {"POST", "/./a/../bookings", once},
                         {"POST", "/%62ookings", once},
                         {"POST", "bookings", once},
                         {"GET", "/once", once},
                         {"GET", "/bookings", RepeatRule::Repeatable},
                         {"HEAD", "/", RepeatRule::Repeatable},
                         {"OPTIONS", "", RepeatRule::Repeatable},
                         {"DELETE", "/bookings/7", RepeatRule::Repeatable},
                         {"POST", "/quotes", RepeatRule::NotRetried},
                         {"POST", "/quotes?/bookings", RepeatRule::NotRetried},
                         {"POST", "/%zz%6", RepeatRule::NotRetried},
                         {"PATCH", "/../..", RepeatRule::NotRetried}}) {
    BOOST_TEST((repeatRule(service, it.Method, it.Path) == it.Rule),
               it.Method << " " << it.Path);
    BOOST_TEST(mayRepeat(service, it.Method, it.Path) ==
               (it.Rule == RepeatRule::Repeatable));
  }
}

BOOST_AUTO_TEST_SUITE_END()
