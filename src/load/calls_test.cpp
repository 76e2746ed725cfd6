#include "greengagespar/load/calls.h"
#include "greengagespar/load/entries.h"
#include "greengagespar/load/expected_text.h"
#include "greengagespar/load/run.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar::load;

namespace {

struct DraftFixture {
  CallSpec Call;
  StreamReader Reader;
  HttpAnswer Answer;

  DraftFixture() {
    Call.Prompt = "two hooks len=3";
    Call.Stream = true;
    Answer.Status = 200;
    Answer.End = HttpEnd::Complete;
  }

  void sendTokens(int n) {
    for (int i = 0; i < n; ++i)
      readPart(Reader, "data: {\"choices\":[{\"text\":\"" +
                           token(Call.Prompt, i) + "\"}]}\n\n");
  }

  Verdict verdict() { return classifyAnswer(Call, Reader, Answer).Result; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClassifyAnswer, DraftFixture)

BOOST_AUTO_TEST_CASE(stream_wholeTextAndEnd_isOk) {
  sendTokens(3);
  readPart(Reader, "data: [DO");
  readPart(Reader, "NE]\r\n\r\n");
  BOOST_TEST((verdict() == Verdict::Ok));
}

BOOST_AUTO_TEST_CASE(stream_withoutEndMark_isTruncated) {
  sendTokens(3);
  BOOST_TEST((verdict() == Verdict::Truncated));
}

BOOST_AUTO_TEST_CASE(stream_endMarkAfterPartOfText_isWrong) {
  sendTokens(2);
  readPart(Reader, "data: [DONE]\n\n");
  BOOST_TEST((verdict() == Verdict::Wrong));
}

BOOST_AUTO_TEST_CASE(error_ranMember_decidesRefusedOrUnknown) {
  Answer.Status = 503;
  Answer.Body = R"({"error":{"kind":"overloaded","ran":"no"}})";
  BOOST_TEST((verdict() == Verdict::Refused));
  Answer.Body = R"({"error":{"kind":"link_down","ran":"unknown"}})";
  BOOST_TEST((verdict() == Verdict::Unknown));
  BOOST_TEST(classifyAnswer(Call, Reader, Answer).ErrorKind == "link_down");
}

BOOST_AUTO_TEST_CASE(booking_answerOfAnotherOrder_isWrong) {
  Call.Kind = CallKind::Booking;
  Call.Order = "o-1";
  Answer.Body = R"({"booking":1,"order":"o-2"})";
  BOOST_TEST((verdict() == Verdict::Wrong));
  Answer.Body = R"({"booking":1,"order":"o-1"})";
  BOOST_TEST((verdict() == Verdict::Ok));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Entries)

BOOST_AUTO_TEST_CASE(
    readEntries_validOrMalformedAnswer_returnsAddressesOrFails) {
  auto count = [](std::string_view body) {
    return greengagespar::recoverFrom(
        [&]() -> greengagespar::Result<std::size_t> {
          BOOST_LEAF_AUTO(list, readEntries(body));
          return list.size();
        },
        [](const greengagespar::Error &) { return std::size_t{0}; });
  };
  BOOST_TEST(count(R"({"entries":[{"address":"a:1"},{"address":"b:2"}]})") ==
             2U);
  for (const char *bad : {"", "[]", "{}", R"({"entries":[]})",
                          R"({"entries":[1,{"address":2}]})"})
    BOOST_TEST(count(bad) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Source)

BOOST_AUTO_TEST_CASE(next_sameSeed_returnsSameCalls) {
  LoadPlan plan;
  plan.Seed = 7;
  CallSource a(plan);
  CallSource b(plan);
  for (int i = 0; i < 100; ++i) {
    CallSpec left = a.next();
    CallSpec right = b.next();
    BOOST_TEST(left.Prompt == right.Prompt);
    BOOST_TEST(left.Order == right.Order);
    BOOST_TEST((a.nextGap(10) == b.nextGap(10)));
  }
}

BOOST_AUTO_TEST_CASE(percentiles_hundredTimes_areNearestRanks) {
  std::vector<Clock::duration> times;
  for (int i = 100; i > 0; --i)
    times.push_back(std::chrono::milliseconds(i));
  Percentiles p = percentilesOf(times);
  BOOST_TEST(p.P50 == 50);
  BOOST_TEST(p.P95 == 95);
  BOOST_TEST(p.P99 == 99);
}

BOOST_AUTO_TEST_SUITE_END()
