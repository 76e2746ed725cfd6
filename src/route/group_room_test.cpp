#include "greengagespar/route/group_room.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/route/rate_limit.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr PassModel Model{5, 1, 5, 60, 900, 100};
constexpr RoomTargets Targets{150ms, 8000ms};

/// What an entry knows of one group.
struct RoomFixture {
  Clock::time_point Now = Clock::time_point{} + 1h;
  GroupLoad Load{64, 640, 320, 1, 300ms, 320};
  ObservedPasses Passes;

  // Records two seconds of passes of `pass`.
  void observe(Clock::duration pass) {
    for (Clock::duration t{0}; t < 4s; t += pass) {
      Now += pass;
      recordPass(Passes, pass, Targets.LongestPause, Now);
    }
  }

  std::optional<GroupRoom> room(double pace = 1) {
    return roomOf(Model, Load, Passes, pace, Targets, Now);
  }

  double passAt(double streams) const {
    return passMs(Model, streams / Load.Servers);
  }
};

std::chrono::microseconds millis(double ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(1000 * ms));
}

/// Entries that share a group, each with its own knowledge. Streams last for
/// AnswerTime. Reports and demands are known with a delay.
struct SharedGroup {
  static constexpr Clock::duration Step = 50ms;
  static constexpr double AnswerSeconds = 2.4;
  static constexpr double Room = 500;

  struct Entry {
    Address Id;
    DemandRate Demand;
    int InFlight = 0;
    bool IsDead = false;
    bool IsCutOff = false; ///< It hears of no other entry, nor they of it.
    int Refused = 0;       ///< In the last step.
  };

  std::vector<Entry> Entries;
  Clock::time_point Now = Clock::time_point{} + 1h;
  Clock::duration Delay = 300ms;
  std::mt19937_64 Random{7};
  std::deque<double> Reported; ///< Streams of the last steps, newest first.
  std::vector<std::optional<double>> KnownDemands;

  explicit SharedGroup(std::size_t entries) {
    for (std::size_t i = 0; i < entries; ++i)
      Entries.push_back({{"10.0.0." + std::to_string(i) + ":1"}, {}});
  }

  double streams() const {
    double sum = 0;
    for (const Entry &it : Entries)
      sum += it.InFlight;
    return sum;
  }

  int refused() const {
    int sum = 0;
    for (const Entry &it : Entries)
      sum += it.Refused;
    return sum;
  }

  // Runs for `time` with `load` times the calls that the room can carry.
  template <class AfterStep>
  void run(Clock::duration time, double load, AfterStep afterStep) {
    for (Clock::duration t{0}; t < time; t += Step) {
      step(load);
      afterStep();
    }
  }
  void run(Clock::duration time, double load) {
    run(time, load, [] {});
  }

private:
  double live() const {
    double n = 0;
    for (const Entry &it : Entries)
      n += it.IsDead ? 0 : 1;
    return n;
  }

  GroupLoad loadKnown() const {
    auto steps = static_cast<std::size_t>(Delay / Step);
    GroupLoad load{64, 640, 0, 1, Delay, 0};
    if (!Reported.empty())
      load.Streams = Reported[std::min(steps, Reported.size() - 1)];
    return load;
  }

  double shareOf(const Entry &entry) {
    std::vector<LimitSharer> sharers;
    for (Entry &it : Entries) {
      bool isKnown =
          &it == &entry || (!it.IsDead && !it.IsCutOff && !entry.IsCutOff);
      // Entries hold the part of a silent one for longer than the test lasts
      // if it may only be cut off.
      if (isKnown || it.IsCutOff || entry.IsCutOff)
        sharers.push_back({it.Id, reportedDemand(it.Demand, Now)});
    }
    return demandShare(entry.Id, sharers);
  }

  void step(double load) {
    Now += Step;
    std::chrono::duration<double> seconds = Step;
    GroupRoom room{Room, Room / AnswerSeconds, 120, 1, true};
    GroupLoad known = loadKnown();
    double arrivals = load * Room / AnswerSeconds * seconds.count() / live();
    for (Entry &it : Entries) {
      std::binomial_distribution<int> ends(it.InFlight,
                                           seconds.count() / AnswerSeconds);
      it.InFlight -= ends(Random);
      it.Refused = 0;
      if (it.IsDead)
        continue;
      int calls = std::poisson_distribution<int>(arrivals)(Random);
      int limit = wholeStreams(streamLimit(room, known, shareOf(it)),
                               stableHash(it.Id.Value), Now);
      for (int i = 0; i < calls; ++i) {
        recordDemand(it.Demand, Now);
        if (it.InFlight < limit)
          ++it.InFlight;
        else
          ++it.Refused;
      }
    }
    Reported.push_front(streams());
    if (Reported.size() > 200)
      Reported.pop_back();
  }
};

// The means of some seconds.
struct Means {
  double Streams = 0;
  double Refused = 0;
  int Steps = 0;

  void add(const SharedGroup &group) {
    Streams += group.streams();
    Refused += group.refused();
    ++Steps;
  }
  double streams() const { return Streams / Steps; }
  double refusedPerSecond() const { return Refused / (Steps * 0.05); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupRooms, RoomFixture)

BOOST_AUTO_TEST_CASE(room_declaredPassesInTime_isAllSlots) {
  observe(millis(passAt(320)));
  BOOST_REQUIRE(room().has_value());
  BOOST_TEST(room()->Streams == 640);
  BOOST_TEST(room()->IsInTime);
}

BOOST_AUTO_TEST_CASE(room_passesTwiceAsLong_keepsPausesInTime) {
  observe(millis(2 * passAt(320)));
  BOOST_TEST(room()->IsInTime);
  BOOST_TEST(room()->Streams < 640);
  BOOST_TEST(2 * passAt(room()->Streams) <= 150);
}

// The load: some servers five to twelve times slow, which is known from the
// reports before the first long pause.
BOOST_AUTO_TEST_CASE(room_serversSlow_isKnownAtOnceAndForAnswersThatEnd) {
  observe(millis(passAt(320)));
  double before = room()->StartsPerSecond;
  for (double pace : {5.0, 12.0}) {
    BOOST_TEST(!room(pace)->IsInTime);
    BOOST_TEST(room(pace)->StartsPerSecond < before / 2);
  }
  BOOST_TEST(room(12)->StartsPerSecond < room(5)->StartsPerSecond);
}

BOOST_AUTO_TEST_CASE(room_paceKnownAndObserved_countsOnce) {
  observe(millis(2 * passAt(320)));
  BOOST_TEST(2 * passAt(room(2)->Streams) <= 150);
  BOOST_TEST(2 * passAt(room(2)->Streams + 64) > 150);
}

// The load: a crest has filled the group beyond its room, so that no stream is
// in time. Fewer would be.
BOOST_AUTO_TEST_CASE(room_afterOverload_isOneThatIsInTime) {
  Load.Streams = Load.MeanStreams = 640;
  double ms = 2.2 * passAt(640);
  for (int i = 0; i < 60; ++i) {
    auto pass = millis(i % 2 == 0 ? 0.6 * ms : 1.4 * ms);
    Now += pass;
    recordPass(Passes, pass, Targets.LongestPause, Now);
  }
  BOOST_TEST(room()->IsInTime);
  BOOST_TEST(room()->Streams < 320);
  // Without a slow server, pauses take no more of the room than that.
  BOOST_TEST(room()->Streams >= 0.4 * 640);
}

// One failure: the agents are silent, so there are no reports.
BOOST_AUTO_TEST_CASE(room_noReports_isUnknown) {
  std::vector<EndpointView> views(4);
  for (EndpointView &it : views)
    it.Report = LoadReport{3, 1, 10, Now - MaxReportAge - 1ms};
  Load = groupLoadOf(views, Now);
  BOOST_TEST(Load.KnownShare == 0);
  BOOST_TEST(!room().has_value());
}

BOOST_AUTO_TEST_CASE(load_partOfReports_isScaledToAllServers) {
  std::vector<EndpointView> views(4);
  for (std::size_t i = 0; i < 2; ++i)
    views[i].Report = LoadReport{3, 1, 10, Now - 200ms};
  Load = groupLoadOf(views, Now);
  BOOST_TEST(Load.KnownShare == 0.5);
  BOOST_TEST(Load.Streams == 16);
  BOOST_TEST((Load.Age == 200ms));
}

BOOST_AUTO_TEST_CASE(passes_oneStall_leavesMostOfTheRoom) {
  observe(60ms);
  double before = room()->Streams;
  Now += 1500ms;
  recordPass(Passes, 1500ms, Targets.LongestPause, Now);
  BOOST_TEST(room()->IsInTime);
  BOOST_TEST(room()->Streams > 0.8 * before);
  observe(60ms);
  observe(60ms);
  BOOST_TEST(room()->Streams > 0.8 * before);
}

// The load: prompts of uneven length, so that some passes are much longer.
BOOST_AUTO_TEST_CASE(room_unevenPasses_isLessThanWithEvenOnes) {
  observe(90ms);
  double even = room()->Streams;
  for (int i = 0; i < 60; ++i) {
    Clock::duration pass = i % 2 == 0 ? 60ms : 120ms;
    Now += pass;
    recordPass(Passes, pass, Targets.LongestPause, Now);
  }
  BOOST_TEST(room()->IsInTime);
  BOOST_TEST(room()->Streams < 0.8 * even);
}

BOOST_AUTO_TEST_CASE(limit_fraction_isHeldForThatPartOfTheTime) {
  int sum = 0;
  for (int i = 0; i < 400; ++i) {
    Now += 10ms;
    sum += wholeStreams(1.25, 12345, Now);
  }
  BOOST_TEST(sum == 500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GroupRoomParts)

// The load: a crest of 2.4 times the room for some seconds, after calm.
BOOST_AUTO_TEST_CASE(crest_33And390Entries_fillsTheRoomAndNoMore) {
  for (std::size_t entries : {std::size_t{33}, std::size_t{390}}) {
    SharedGroup group(entries);
    group.run(15s, 0.5);
    double highest = 0;
    group.run(2s, 2.4, [&] { highest = std::max(highest, group.streams()); });
    Means late;
    group.run(4s, 2.4, [&] { late.add(group); });
    BOOST_TEST_CONTEXT(entries) {
      BOOST_TEST(highest <= MaxOvercommit * SharedGroup::Room);
      BOOST_TEST(late.streams() <= 1.1 * SharedGroup::Room);
      BOOST_TEST(late.streams() >= 0.9 * SharedGroup::Room);
    }
  }
}

BOOST_AUTO_TEST_CASE(crest_knowledgeThreeSecondsOld_fillsTheRoomAndNoMore) {
  SharedGroup group(33);
  group.Delay = 3s;
  group.run(15s, 0.5);
  double highest = 0;
  Means late;
  group.run(2s, 2.4, [&] { highest = std::max(highest, group.streams()); });
  group.run(6s, 2.4, [&] { late.add(group); });
  BOOST_TEST(highest <= MaxOvercommit * SharedGroup::Room);
  BOOST_TEST(late.streams() <= 1.15 * SharedGroup::Room);
  BOOST_TEST(late.streams() >= 0.85 * SharedGroup::Room);
}

BOOST_AUTO_TEST_CASE(calm_unevenCalls_fewAreRefused) {
  SharedGroup group(33);
  group.run(15s, 0.75);
  Means calm;
  group.run(20s, 0.75, [&] { calm.add(group); });
  double perSecond = 0.75 * SharedGroup::Room / SharedGroup::AnswerSeconds;
  BOOST_TEST(calm.refusedPerSecond() < 0.05 * perSecond);
}

// One failure: half of the entries are killed at once, and their callers go to
// the others.
BOOST_AUTO_TEST_CASE(crest_halfOfTheEntriesKilled_othersTakeTheRoom) {
  SharedGroup group(33);
  group.run(15s, 1.2);
  for (std::size_t i = 0; i < group.Entries.size(); i += 2)
    group.Entries[i].IsDead = true;
  double highest = 0;
  group.run(3s, 1.8, [&] { highest = std::max(highest, group.streams()); });
  Means late;
  group.run(6s, 1.8, [&] { late.add(group); });
  BOOST_TEST(highest <= MaxOvercommit * SharedGroup::Room);
  BOOST_TEST(late.streams() <= 1.1 * SharedGroup::Room);
  BOOST_TEST(late.streams() >= 0.85 * SharedGroup::Room);
}

// One failure: a third of the entries is cut off from the others. All hold the
// parts of those that they can't hear.
BOOST_AUTO_TEST_CASE(crest_dataCentreCutOff_sumStaysInBounds) {
  SharedGroup group(33);
  group.run(15s, 0.8);
  for (std::size_t i = 0; i < 11; ++i)
    group.Entries[i].IsCutOff = true;
  double highest = 0;
  Means late;
  group.run(8s, 2.4, [&] {
    highest = std::max(highest, group.streams());
    late.add(group);
  });
  BOOST_TEST(highest <= MaxOvercommit * SharedGroup::Room);
  BOOST_TEST(late.streams() >= 0.8 * SharedGroup::Room);
}

BOOST_AUTO_TEST_SUITE_END()
