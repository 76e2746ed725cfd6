#include "greengagespar/base/log.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// Sends the log to a string for the duration of one test.
struct LogFixture {
  std::ostringstream Out;

  void start(LogLevel level, LogFormat format) {
    initLogging({level, format, "test"}, &Out);
  }
  ~LogFixture() { initLogging({}); }
  std::string text() const { return Out.str(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogSuite, LogFixture)

BOOST_AUTO_TEST_CASE(logInfo_textFormat_hasLevelAndPrefixOfPart) {
  start(LogLevel::Info, LogFormat::Text);
  logInfo(Part::Link, "link to 127.0.0.1:1 is up");
  BOOST_TEST(text().ends_with("Z info link: link to 127.0.0.1:1 is up\n"));
}

BOOST_AUTO_TEST_CASE(logDebug_belowLevel_isDropped) {
  start(LogLevel::Info, LogFormat::Text);
  logDebug(Part::Call, "x");
  BOOST_TEST(text().empty());
}

BOOST_AUTO_TEST_CASE(logError_jsonFormat_isOneObjectOnOneLine) {
  start(LogLevel::Info, LogFormat::Json);
  logError(Part::Platform, "bad \"answer\"\nsecond \xff line");
  auto object = boost::json::parse(text()).as_object();
  BOOST_TEST(object.at("level").as_string() == "error");
  BOOST_TEST(object.at("part").as_string() == "platform");
  BOOST_TEST(object.at("program").as_string() == "test");
  BOOST_TEST(object.at("message").as_string() ==
             "bad \"answer\"\\x0asecond \\xff line");
  BOOST_TEST(object.contains("time"));
}

BOOST_AUTO_TEST_CASE(logInfo_utf8Message_isKept) {
  start(LogLevel::Info, LogFormat::Text);
  logInfo(Part::Entry, "caf\xc3\xa9");
  BOOST_TEST(text().ends_with("entry: caf\xc3\xa9\n"));
}

BOOST_AUTO_TEST_CASE(logInfo_hugeMessage_isTruncated) {
  start(LogLevel::Info, LogFormat::Text);
  logInfo(Part::Entry, std::string(1000000, 'a'));
  BOOST_TEST(text().size() < MaxLogMessageBytes + 100);
}

BOOST_AUTO_TEST_CASE(admitMessage_repeatedKey_isBoundedAndCounted) {
  LogLimiter limiter{2, 10s, 256, {}};
  Clock::time_point now = Clock::now();
  int admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += admitMessage(limiter, "platform", now).Admitted ? 1 : 0;
  BOOST_TEST(admitted == 2);
  BOOST_TEST(admitMessage(limiter, "other", now).Admitted);
  LogAdmission later = admitMessage(limiter, "platform", now + 10s);
  BOOST_TEST(later.Admitted);
  BOOST_TEST(later.SuppressedBefore == 98u);
}

BOOST_AUTO_TEST_CASE(admitMessage_manyKeys_staysBounded) {
  LogLimiter limiter{1, 10s, 16, {}};
  Clock::time_point now = Clock::now();
  int admitted = 0;
  for (int i = 0; i < 1000; ++i)
    admitted += admitMessage(limiter, std::to_string(i), now).Admitted ? 1 : 0;
  BOOST_TEST(admitted == 17);
  BOOST_TEST(limiter.Keys.size() == 17u);
  BOOST_TEST(admitMessage(limiter, "new", now + 10s).Admitted);
  BOOST_TEST(limiter.Keys.size() == 1u);
}

BOOST_AUTO_TEST_CASE(logLimited_afterSuppression_reportsCount) {
  start(LogLevel::Info, LogFormat::Text);
  LogLimiter limiter{1, 10s, 16, {}};
  Clock::time_point now = Clock::now();
  for (Clock::duration at : {0s, 1s, 2s, 11s})
    logLimited(limiter, "k", now + at, Part::Host, LogLevel::Info, "no list");
  BOOST_TEST(text().ends_with("host: no list (2 like it left out)\n"));
}

BOOST_AUTO_TEST_CASE(logLevelByName_everyLevel_findsItself) {
  for (LogLevel it :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    BOOST_TEST((logLevelByName(logLevelName(it)) == it));
  BOOST_TEST(!logLevelByName("loud").has_value());
  BOOST_TEST((logFormatByName("json") == LogFormat::Json));
  BOOST_TEST(!logFormatByName("xml").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
