#include "greengagespar/host/member.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A view of four data centres with three entries in each.
struct ViewFixture {
  static constexpr int DataCentres = 4;
  static constexpr int EntriesEach = 3;

  Clock::time_point Now{1h};
  MemberView View{.Self = link(0, 0),
                  .DataCentre = dc(0),
                  .Limits = {},
                  .Members = {},
                  .Cursor = {}};

  ViewFixture() {
    advanceHeartbeat(View, row(0, 0), Now);
    for (int d = 0; d < DataCentres; ++d)
      for (int i = 0; i < EntriesEach; ++i)
        mergeMember(View, row(d, i), Now);
  }
  static DataCentreId dc(int d) { return {"dc" + std::to_string(d)}; }
  static Address link(int d, int i) {
    return {"10.0." + std::to_string(d) + "." + std::to_string(i) + ":1"};
  }
  static MemberRow row(int d, int i, std::uint64_t life = 1,
                       std::uint64_t heartbeat = 1) {
    MemberRow row;
    row.Host.Value = std::to_string(d) + "/" + std::to_string(i);
    row.Link = link(d, i);
    row.Callers.Value = "callers-" + row.Host.Value;
    row.DataCentre = dc(d);
    row.ProcessIncarnation.Value = life;
    row.Heartbeat = heartbeat;
    return row;
  }
  MemberState state(int d, int i) const {
    return View.Members.at(link(d, i)).State;
  }
  std::vector<Address> answer(std::uint64_t hash, std::size_t max) const {
    return entriesForCaller(View, dc(1), hash, max);
  }
};

MemberRow leaving(MemberRow row) {
  row.Leaving = true;
  return row;
}

MemberRow silent(MemberRow row) {
  row.IsSilent = true;
  return row;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Members, ViewFixture)

BOOST_AUTO_TEST_CASE(mergeMember_rowsInSequence_haveTheirOutcome) {
  struct Case {
    const char *What;
    MemberRow Row;
    MergeOutcome Expected;
    MemberState State;
  };
  const Case cases[] = {
      {"the same row again", row(1, 1), MergeOutcome::Ignored,
       MemberState::Live},
      {"next heartbeat", row(1, 1, 1, 5), MergeOutcome::Renewed,
       MemberState::Live},
      {"delayed heartbeat", row(1, 1, 1, 4), MergeOutcome::Ignored,
       MemberState::Live},
      {"leaving", leaving(row(1, 1, 1, 6)), MergeOutcome::StartedLeaving,
       MemberState::Leaving},
      {"leaving taken back", row(1, 1, 1, 7), MergeOutcome::Renewed,
       MemberState::Leaving},
      {"replaced", row(1, 1, 9, 1), MergeOutcome::Replaced, MemberState::Live},
      {"row of the earlier incarnation", row(1, 1, 1, 99),
       MergeOutcome::Ignored, MemberState::Live},
  };
  for (const Case &c : cases)
    BOOST_TEST_CONTEXT(c.What) {
      BOOST_TEST((mergeMember(View, c.Row, Now) == c.Expected));
      BOOST_TEST((state(1, 1) == c.State));
    }
}

BOOST_AUTO_TEST_CASE(mergeMember_silentRows_countUnlessANewerRowIsKnown) {
  mergeMember(View, row(1, 1, 1, 5), Now);
  BOOST_TEST((mergeMember(View, silent(row(1, 1, 1, 4)), Now) ==
              MergeOutcome::Ignored));
  BOOST_TEST((state(1, 1) == MemberState::Live));
  BOOST_TEST((mergeMember(View, silent(row(1, 1, 1, 7)), Now) ==
              MergeOutcome::FellSilent));
  BOOST_TEST((state(1, 1) == MemberState::Unresponsive));
  // Rows that were on their way when the process fell silent.
  BOOST_TEST(
      (mergeMember(View, row(1, 1, 1, 7), Now) == MergeOutcome::Ignored));
  BOOST_TEST((mergeMember(View, silent(row(1, 1, 1, 7)), Now) ==
              MergeOutcome::Ignored));
  BOOST_TEST(
      (mergeMember(View, row(1, 1, 1, 8), Now) == MergeOutcome::Returned));
  BOOST_TEST((mergeMember(View, silent(row(0, 0, 1, 99)), Now) ==
              MergeOutcome::Ignored));
  BOOST_TEST((state(0, 0) == MemberState::Live));
}

BOOST_AUTO_TEST_CASE(mergeMember_silentRowOfAnUnknownProcess_isNotLive) {
  MemberRow unknown = silent(row(9, 9, 1, 5));
  BOOST_TEST((mergeMember(View, unknown, Now) == MergeOutcome::Ignored));
  BOOST_TEST((state(9, 9) == MemberState::Unresponsive));
  BOOST_TEST(
      (mergeMember(View, row(9, 9, 1, 5), Now) == MergeOutcome::Ignored));
}

BOOST_AUTO_TEST_CASE(sweepMembers_partner_isNotGivenMoreTimeForItsFleet) {
  View.Limits.NearTimeout = View.Limits.FarTimeout = 2000ms;
  View.Limits.DigestRows = 1;
  View.Limits.TimeoutPerMember = 1000ms;
  recordPartners(View, {link(1, 1), link(2, 1)}, Now);
  recordPartners(View, {link(1, 1)}, Now + 100ms);
  // A partner that has just been chosen need not have sent its row yet.
  recordPartners(View, {link(1, 1), link(3, 1)}, Now + 1500ms);
  SweepOutcome outcome = sweepMembers(View, Now + 2600ms);
  BOOST_TEST((outcome.Unresponsive == std::vector{link(1, 1)}));
}

BOOST_AUTO_TEST_CASE(mergeMember_rowAboutSelf_changesNothing) {
  BOOST_TEST((mergeMember(View, leaving(row(0, 0, 1, 50)), Now) ==
              MergeOutcome::Ignored));
  BOOST_TEST(
      (mergeMember(View, row(0, 0, 2, 1), Now) == MergeOutcome::Replaced));
  BOOST_TEST(View.Members.at(link(0, 0)).Row.ProcessIncarnation.Value == 1U);
}

BOOST_AUTO_TEST_CASE(
    sweepMembers_noNewRow_isUnresponsiveThenReturnsOrIsForgotten) {
  auto later = Now + View.Limits.NearTimeout + 1ms;
  mergeMember(View, row(0, 1, 1, 2), later);
  SweepOutcome first = sweepMembers(View, later);
  BOOST_TEST((first.Unresponsive == std::vector{link(0, 2)}));
  BOOST_TEST((state(0, 0) == MemberState::Live));
  BOOST_TEST(
      (mergeMember(View, row(0, 2, 1, 2), later) == MergeOutcome::Returned));
  SweepOutcome last = sweepMembers(View, later + View.Limits.ForgetAfter);
  BOOST_TEST(last.Forgotten.size() == 9U);
  BOOST_TEST(View.Members.size() == 3U);
}

BOOST_AUTO_TEST_CASE(applyHostHints_listedAsLeaving_countsForOldProcessesOnly) {
  std::chrono::microseconds listedAt = 10min;
  mergeMember(View, row(2, 2, std::chrono::microseconds(9min + 30s).count()),
              Now);
  auto left = applyHostHints(
      View, {{{"2/1"}, true}, {{"2/2"}, true}, {{"2/0"}, false}}, listedAt);
  BOOST_TEST((left == std::vector{link(2, 1)}));
  BOOST_TEST((state(2, 2) == MemberState::Live));
}

BOOST_AUTO_TEST_CASE(nextDigest_repeated_coversAllAndRepeatsSelf) {
  std::set<Address> covered;
  for (int i = 0; i < 3; ++i) {
    auto rows = nextDigest(View, 4);
    BOOST_TEST(rows.size() == 5U);
    BOOST_TEST((rows.at(0).Link == View.Self));
    for (const MemberRow &it : rows)
      covered.insert(it.Link);
  }
  BOOST_TEST(covered.size() == View.Members.size());
}

BOOST_AUTO_TEST_CASE(entriesToAnswer_liveOnly_ownDataCentreFirst) {
  mergeMember(View, leaving(row(1, 0, 1, 2)), Now);
  auto addresses = answer(7, 4);
  BOOST_TEST(addresses.size() == 4U);
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    BOOST_TEST(addresses[i].Value != "callers-1/0");
    BOOST_TEST(addresses[i].Value.starts_with("callers-1/") == (i < 2));
  }
}

BOOST_AUTO_TEST_CASE(entriesToAnswer_manyCallers_spreadEvenly) {
  constexpr int callers = 3000;
  std::map<Address, int> first;
  for (int i = 0; i < callers; ++i)
    ++first[answer(static_cast<std::uint64_t>(i), 1).at(0)];
  BOOST_TEST(first.size() == static_cast<std::size_t>(EntriesEach));
  for (const auto &[address, n] : first)
    BOOST_TEST((n > callers / 4 && n < callers / 2));
}

BOOST_AUTO_TEST_CASE(watchersOf_oneIsUnresponsive_theOtherStays) {
  auto before = watchersOf(dc(1), View);
  BOOST_TEST(before.size() == WatchersPerDataCentre);
  View.Members.at(before[0]).State = MemberState::Unresponsive;
  auto after = watchersOf(dc(1), View);
  BOOST_TEST(after.size() == WatchersPerDataCentre);
  BOOST_TEST((after[0] == before[1]));
}

BOOST_AUTO_TEST_CASE(watcherOrder_differentViews_agree) {
  MemberView other = View;
  other.DataCentre = dc(2);
  auto order = watcherOrder({"umuhuza"}, View);
  BOOST_TEST(order.size() == DataCentres * WatchersPerDataCentre);
  BOOST_TEST((order == watcherOrder({"umuhuza"}, other)));
}

BOOST_AUTO_TEST_CASE(countInForce_someLag_countsThem) {
  for (int i = 0; i < EntriesEach; ++i) {
    auto newer = row(3, i, 1, 2);
    newer.Settings.Value = 8;
    mergeMember(View, newer, Now);
  }
  InForce count = countInForce(View, Generation{8});
  BOOST_TEST(count.Nodes == 12U);
  BOOST_TEST(count.Current == 3U);
  BOOST_TEST(count.LaggingTotal == 9U);
}

BOOST_AUTO_TEST_CASE(sweepMembers_manyMembers_allowsForRarerRows) {
  MemberView view;
  view.Self = {"self"};
  view.Limits.DigestRows = 6;
  view.Limits.TimeoutPerMember = std::chrono::milliseconds(100);
  for (int i = 0; i < 17; ++i) {
    MemberRow row;
    row.Link.Value.assign(static_cast<std::size_t>(i) + 1, 'm');
    mergeMember(view, row, {});
  }
  Clock::time_point limit(std::chrono::milliseconds(3000 + 10 * 100));
  BOOST_TEST(sweepMembers(view, limit).Unresponsive.empty());
  limit += std::chrono::milliseconds(1);
  BOOST_TEST(sweepMembers(view, limit).Unresponsive.size() == 17u);
}

BOOST_AUTO_TEST_CASE(positionAmong_oldestLiveEntry_isZero) {
  BOOST_TEST(positionAmong(View, {1}, true) == 0U);
  View.Self = link(0, 2);
  BOOST_TEST(positionAmong(View, {1}, true) == 2U);
  mergeMember(View, leaving(row(0, 0, 1, 2)), Now);
  BOOST_TEST(positionAmong(View, {1}, true) == 1U);
}

BOOST_AUTO_TEST_CASE(positionAmong_restarted_isBehindOlderOnes) {
  BOOST_TEST(positionAmong(View, {2}, true) ==
             std::size_t{DataCentres} * EntriesEach - 1);
}

BOOST_AUTO_TEST_CASE(positionAmong_anotherRestarted_isOneLess) {
  View.Self = link(0, 2);
  BOOST_TEST(positionAmong(View, {1}, true) == 2U);
  mergeMember(View, row(0, 1, 2, 1), Now);
  BOOST_TEST(positionAmong(View, {1}, true) == 1U);
}

BOOST_AUTO_TEST_CASE(positionAmong_startingOrLeaving_isBehindAllOthers) {
  BOOST_TEST(positionAmong(View, {1}, false) ==
             std::size_t{DataCentres} * EntriesEach);
}

BOOST_AUTO_TEST_SUITE_END()
