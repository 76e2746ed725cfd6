#include "greengagespar/route/server_notice.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct NoticeFixture {
  ServerNotices Notices;
  ServerNotices Others;
  Clock::time_point Now = Clock::now();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NoticesAboutServers, NoticeFixture)

BOOST_AUTO_TEST_CASE(notice_recordedTwice_isNewsOnce) {
  BOOST_TEST(recordNotice(Notices, {1}, NoticeKind::Leaving, Now));
  BOOST_TEST(!recordNotice(Notices, {1}, NoticeKind::Leaving, Now + 1s));
  BOOST_TEST(recordNotice(Notices, {1}, NoticeKind::Gone, Now + 1s));
  BOOST_TEST(!recordNotice(Notices, {1}, NoticeKind::Leaving, Now + 2s));
  BOOST_TEST(hasNotice(Notices, {1}));
  BOOST_TEST(!hasNotice(Notices, {2}));
}

BOOST_AUTO_TEST_CASE(notice_ofServerThatIsGone_lapsesSoonerThanOfALeavingOne) {
  recordNotice(Notices, {1}, NoticeKind::Gone, Now);
  recordNotice(Notices, {2}, NoticeKind::Leaving, Now);
  BOOST_TEST(!expireNotices(Notices, Now + Notices.GoneFor));
  BOOST_TEST(expireNotices(Notices, Now + Notices.GoneFor + 1ms));
  BOOST_TEST(!hasNotice(Notices, {1}));
  BOOST_TEST(hasNotice(Notices, {2}));
}

// Guards against notices that entries send each other for ever.
BOOST_AUTO_TEST_CASE(rows_mergedAndReturned_keepTheirAge) {
  recordNotice(Notices, {1}, NoticeKind::Gone, Now);
  recordNotice(Notices, {2}, NoticeKind::Leaving, Now + 1s);
  auto rows = noticeRows(Notices, 8, Now + 2s);
  BOOST_REQUIRE(rows.size() == 2);
  BOOST_TEST(rows[0].Server.Value == 2);
  for (const NoticeRow &it : rows) {
    BOOST_TEST(mergeNotice(Others, it, Now + 2s));
    BOOST_TEST(!mergeNotice(Notices, it, Now + 2s));
  }
  BOOST_TEST(noticeRows(Others, 1, Now + 2s).size() == 1);
  BOOST_TEST(noticeRows(Others, 8, Now + 1s + Others.SpreadFor).size() == 1);
  BOOST_TEST(noticeRows(Others, 8, Now + 2s + Others.SpreadFor).empty());
}

BOOST_AUTO_TEST_CASE(rows_lapsed_areNotMerged) {
  BOOST_TEST(!mergeNotice(Notices, {{1}, NoticeKind::Gone, 31s}, Now));
  BOOST_TEST(mergeNotice(Notices, {{1}, NoticeKind::Leaving, 31s}, Now));
}

BOOST_AUTO_TEST_CASE(notices_ofManyServers_areBounded) {
  Notices.MaxServers = 3;
  for (std::uint64_t i = 0; i < 9; ++i)
    recordNotice(Notices, {i}, NoticeKind::Gone,
                 Now + std::chrono::seconds(static_cast<int>(i)));
  BOOST_TEST(Notices.Servers.size() == 3);
  BOOST_TEST(hasNotice(Notices, {8}));
}

BOOST_AUTO_TEST_SUITE_END()
