#include "greengagespar/http/buffer_memory.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <list>

using namespace greengagespar;

namespace {

constexpr std::size_t Megabyte = std::size_t{1024} * 1024;
constexpr std::size_t LargeBody = 4 * Megabyte;

struct BufferMemoryFixture {
  BufferMemory All;
  std::list<BodyShare> Shares;

  BufferMemoryFixture() { All.Limit = 64 * Megabyte; }

  bool add(std::size_t size) {
    bool isKept = Shares.emplace_back(All).reserve(size);
    if (!isKept)
      Shares.pop_back();
    return isKept;
  }

  std::size_t addAll(std::size_t count, std::size_t size) {
    std::size_t kept = 0;
    for (std::size_t i = 0; i < count; ++i)
      kept += add(size) ? 1 : 0;
    return kept;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BufferMemories, BufferMemoryFixture)

// The load: 200 bodies of the largest size at once, with small ones behind
// them.
BOOST_AUTO_TEST_CASE(bodies_manyLargeAtOnce_leaveRoomForSmallOnes) {
  std::size_t kept = addAll(200, LargeBody);
  BOOST_TEST(kept == 6U);
  BOOST_TEST(All.Bodies <= All.Limit);
  BOOST_TEST(addAll(1000, 2000) == 1000U);
  BOOST_TEST(All.Bodies <= All.Limit);
}

BOOST_AUTO_TEST_CASE(bodies_manySmallOnes_areBoundedToo) {
  addAll(100000, MaxSmallBody);
  BOOST_TEST(All.Bodies <= All.Limit);
  BOOST_TEST(!add(MaxSmallBody));
}

BOOST_AUTO_TEST_CASE(bodies_thatHaveEnded_giveTheirBytesBack) {
  addAll(200, LargeBody);
  Shares.clear();
  BOOST_TEST(All.Bodies == 0U);
  BOOST_TEST(add(LargeBody));
}

// A body without a stated length is reserved as it grows.
BOOST_AUTO_TEST_CASE(body_thatGrows_isReservedUpToTheBound) {
  BodyShare share(All);
  std::size_t size = MaxSmallBody;
  while (share.reserve(size))
    size *= 2;
  BOOST_TEST(size > LargeBody);
  BOOST_TEST(All.Bodies == size / 2 * CopiesOfBody);
  BOOST_TEST(share.reserve(1));
}

BOOST_AUTO_TEST_CASE(body_largerThanAllMemory_isRefusedWhateverIsFree) {
  constexpr std::size_t enormous = std::numeric_limits<std::size_t>::max();
  for (std::size_t size : {All.Limit, enormous / 2 + 1, enormous}) {
    BOOST_TEST(isBeyondMemory(All, size));
    BOOST_TEST(!add(size));
  }
  BOOST_TEST(!isBeyondMemory(All, LargeBody));
  BOOST_TEST(All.Bodies == 0U);
}

// The load: callers that take nothing of long answers beside one that reads.
BOOST_AUTO_TEST_CASE(readers_thatTakeNothing_endBeforeOthers) {
  constexpr std::size_t step = std::size_t{16} * 1024;
  std::list<std::size_t> slow(1000, 0);
  std::size_t most = 0;
  bool hasEnded = false;
  for (int round = 0; round < 200; ++round) {
    recordUnsent(All, 0, 100);
    BOOST_TEST(!mustEndReader(All, 100));
    recordUnsent(All, 100, 0);
    for (auto it = slow.begin(); it != slow.end();) {
      recordUnsent(All, *it, *it + step);
      *it += step;
      most = std::max(most, All.Unsent);
      bool ends = mustEndReader(All, *it);
      hasEnded = hasEnded || ends;
      if (ends)
        recordUnsent(All, *it, 0);
      it = ends ? slow.erase(it) : std::next(it);
    }
  }
  BOOST_TEST(hasEnded);
  BOOST_TEST(most <= All.Limit + step);
}

BOOST_AUTO_TEST_CASE(readers_besideManyBodies_keepWithinWhatIsLeft) {
  addAll(200, LargeBody);
  std::size_t left = All.Limit - All.Bodies;
  recordUnsent(All, 0, left / 2);
  BOOST_TEST(!mustEndReader(All, left / 2));
  recordUnsent(All, 0, left);
  BOOST_TEST(mustEndReader(All, left));
  BOOST_TEST(!add(1));
}

BOOST_AUTO_TEST_CASE(unsent_takenWhole_leavesNothing) {
  recordUnsent(All, 0, 10);
  recordUnsent(All, 10, 30);
  BOOST_TEST(All.Readers == 1U);
  recordUnsent(All, 30, 0);
  BOOST_TEST(All.Unsent == 0U);
  BOOST_TEST(All.Readers == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
