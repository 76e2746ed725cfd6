#include "greengagespar/base/errors.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(ErrorTable)

BOOST_AUTO_TEST_CASE(answerRow_everyKind_hasOwnRowAndName) {
  for (int i = 0; i < ErrorKindCount; ++i) {
    auto kind = static_cast<ErrorKind>(i);
    BOOST_TEST((answerRow(kind).Kind == kind));
    BOOST_TEST((errorKindByName(answerRow(kind).Name) == kind));
  }
}

BOOST_AUTO_TEST_CASE(errorKindByName_unknownName_isEmpty) {
  BOOST_TEST(!errorKindByName("no such kind").has_value());
}

BOOST_AUTO_TEST_CASE(recoverFrom_failedResult_receivesError) {
  auto kind = recoverFrom(
      []() -> Result<ErrorKind> { return fail(ErrorKind::Leaving, "x"); },
      [](const Error &e) { return e.Kind; });
  BOOST_TEST((kind == ErrorKind::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()
