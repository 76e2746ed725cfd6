#include "greengagespar/direct/digest_messages.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A digest that one entry writes and another one reads.
struct DigestFixture {
  wire::Members Digest;

  // Returns the size of the largest digest with evidence, limits and orders.
  std::size_t fillUp() {
    std::uint64_t n = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t i = 0; i < MaxEvidenceRows; ++i) {
      EvidenceRow row{{n - i}, {}};
      for (int j = 0; j < MaxCrashesInRow; ++j)
        row.Crashes.push_back({{n}, 24h, true});
      writeEvidence({row}, Digest);
    }
    std::vector<LimitRow> limits(MaxLimitRows, {{n}, 2.5, 30s, {n}});
    writeLimits(limits, Digest);
    std::string longest(63, 'x');
    std::vector<OrderRow> orders(
        MaxOrderRows, {{longest}, true, ObjectVersion(n, StoreTimeline{n})});
    writeOrders(orders, Digest);
    return Digest.ByteSizeLong();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DigestMessages, DigestFixture)

BOOST_AUTO_TEST_CASE(evidence_written_isReadAgain) {
  writeEvidence({{{7}, {{{1}, 250ms, false, true}, {{2}, 3s, true, false}}}},
                Digest);
  std::vector<EvidenceRow> rows = readEvidence(Digest);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].Part.Value == 7U);
  BOOST_REQUIRE(rows[0].Crashes.size() == 2U);
  BOOST_TEST(rows[0].Crashes[0].Age.count() == 250);
  BOOST_TEST(rows[0].Crashes[1].IsCleared);
  BOOST_TEST(rows[0].Crashes[0].IsUncertain);
  BOOST_TEST(!rows[0].Crashes[1].IsUncertain);
}

BOOST_AUTO_TEST_CASE(limits_written_areReadAgain) {
  writeLimits({{{7}, 2.5, 250ms, {9}}, {{8}, std::nullopt, 1s, {10}}}, Digest);
  std::vector<LimitRow> rows = readLimits(Digest);
  BOOST_REQUIRE(rows.size() == 2U);
  BOOST_TEST(rows[0].PerSecond.value() == 2.5);
  BOOST_TEST(rows[0].Id.Value == 9U);
  BOOST_TEST(!rows[1].PerSecond.has_value());
}

BOOST_AUTO_TEST_CASE(digest_withMoreRowsThanAllowed_isReadInPart) {
  for (int i = 0; i < 3; ++i)
    fillUp();
  for (int i = 0; i < 1000; ++i)
    Digest.mutable_parts(0)->add_crashes()->set_crash(5);
  BOOST_TEST(readEvidence(Digest).size() == MaxEvidenceRows);
  BOOST_TEST(readEvidence(Digest)[0].Crashes.size() ==
             static_cast<std::size_t>(MaxCrashesInRow));
  BOOST_TEST(readLimits(Digest).size() == MaxLimitRows);
}

BOOST_AUTO_TEST_CASE(limit_thatIsNoRate_isLeftOut) {
  for (double bad : {-1.0, std::numeric_limits<double>::infinity(),
                     std::numeric_limits<double>::quiet_NaN()})
    Digest.add_limits()->set_per_second(bad);
  BOOST_TEST(readLimits(Digest).empty());
}

BOOST_AUTO_TEST_CASE(age_beyondTheClock_isBounded) {
  wire::PartEvidence &part = *Digest.add_parts();
  part.add_crashes()->set_age_ms(std::numeric_limits<std::uint64_t>::max());
  CrashEvidence evidence;
  for (const EvidenceRow &it : readEvidence(Digest))
    BOOST_TEST(!mergeEvidence(evidence, it, Clock::now()));
  BOOST_TEST(evidence.Parts.empty());
}

BOOST_AUTO_TEST_CASE(digest_withAllRows_takesAFewKilobytes) {
  constexpr std::size_t mostBytes = std::size_t{4} * 1024;
  std::size_t bytes = fillUp();
  BOOST_TEST_MESSAGE("largest digest without members: " << bytes << " bytes");
  BOOST_TEST(bytes <= mostBytes);
}

BOOST_AUTO_TEST_CASE(orders_writtenAndRead_areTheSameUpToTheLimit) {
  wire::Members digest;
  std::vector<OrderRow> rows;
  for (std::uint64_t i = 0; i < MaxOrderRows + 3; ++i)
    rows.push_back({{std::to_string(i).append("-centre")},
                    i % 2 == 0,
                    ObjectVersion(40 + i, StoreTimeline{2})});
  writeOrders(rows, digest);
  auto read = readOrders(digest);
  BOOST_REQUIRE(read.size() == MaxOrderRows);
  for (std::size_t i = 0; i < read.size(); ++i) {
    BOOST_TEST(read[i].DataCentre.Value == rows[i].DataCentre.Value);
    BOOST_TEST(read[i].IsOut == rows[i].IsOut);
    BOOST_TEST((read[i].At == rows[i].At));
  }
}

BOOST_AUTO_TEST_CASE(order_ofNoValidName_isLeftOut) {
  wire::Members digest;
  for (const char *name : {"", "a b", "Centre", "a/b"})
    digest.add_orders()->set_data_centre(name);
  digest.add_orders()->set_data_centre(std::string(64, 'a'));
  BOOST_TEST(readOrders(digest).empty());
}

BOOST_AUTO_TEST_CASE(coldServers_writtenAndRead_areTheSameUpToTheLimit) {
  constexpr std::size_t mostBytes = 17;
  wire::Members digest;
  std::vector<ColdRow> rows;
  for (std::uint64_t i = 1; i <= MaxColdRows + 5; ++i)
    rows.push_back({{~i}, std::chrono::milliseconds(i * 10)});
  writeColdRows(rows, digest);
  auto read = readColdRows(digest);
  BOOST_REQUIRE(read.size() == MaxColdRows);
  BOOST_TEST(read[0].Server.Value == rows[0].Server.Value);
  BOOST_TEST((read[0].Remaining == rows[0].Remaining));
  BOOST_TEST(digest.ByteSizeLong() <= mostBytes * MaxColdRows);
  digest.mutable_cold(0)->set_remaining_ms(~0U);
  for (int i = 0; i < 100; ++i)
    digest.add_cold();
  read = readColdRows(digest);
  BOOST_TEST(read.size() == MaxColdRows);
  BOOST_TEST(read[0].Remaining.count() > 0);
}

BOOST_AUTO_TEST_CASE(notices_writtenAndRead_areTheSameUpToTheLimit) {
  wire::Members digest;
  std::vector<NoticeRow> rows;
  for (std::uint64_t i = 0; i < MaxNoticeRows + 5; ++i)
    rows.push_back({{i},
                    i % 2 ? NoticeKind::Gone : NoticeKind::Leaving,
                    std::chrono::milliseconds(i)});
  writeNotices(rows, digest);
  auto read = readNotices(digest);
  BOOST_REQUIRE(read.size() == MaxNoticeRows);
  for (std::size_t i = 0; i < read.size(); ++i) {
    BOOST_TEST(read[i].Server.Value == rows[i].Server.Value);
    BOOST_TEST((read[i].Kind == rows[i].Kind));
    BOOST_TEST((read[i].Age == rows[i].Age));
  }
}

BOOST_AUTO_TEST_SUITE_END()
