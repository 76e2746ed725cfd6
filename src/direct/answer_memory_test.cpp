#include "greengagespar/direct/answer_memory.h"

#include <boost/test/unit_test.hpp>
#include <list>

using namespace greengagespar;

namespace {

struct AnswerMemoryFixture {
  AnswerMemory All;
  std::list<AnswerShare> Shares;

  AnswerShare &add() { return Shares.emplace_back(All); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerMemories, AnswerMemoryFixture)

BOOST_AUTO_TEST_CASE(answers_withinTheBound_keepWhatTheyNeed) {
  BOOST_TEST(add().keep(MaxAnswerMemory / 2));
  BOOST_TEST(add().keep(MaxAnswerMemory / 2));
}

BOOST_AUTO_TEST_CASE(answers_overTheBound_endLargeOnesAlone) {
  AnswerShare &large = add();
  BOOST_TEST(large.keep(MaxAnswerMemory));
  BOOST_TEST(add().keep(1000));
  BOOST_TEST(!large.keep(MaxAnswerMemory + 1));
}

BOOST_AUTO_TEST_CASE(answers_thatHaveEnded_giveTheirBytesBack) {
  add().keep(MaxAnswerMemory);
  Shares.clear();
  BOOST_TEST(All.Bytes == 0U);
  BOOST_TEST(add().keep(MaxAnswerMemory));
}

// Whatever the answers, what is kept together stays near the bound.
BOOST_AUTO_TEST_CASE(answers_ofManyServersWithoutEnd_areBoundedTogether) {
  constexpr std::size_t step = std::size_t{16} * 1024;
  constexpr std::size_t count = 1000;
  std::size_t most = 0;
  for (std::size_t i = 0; i < count; ++i)
    add();
  for (std::size_t size = step; !Shares.empty(); size += step)
    for (auto it = Shares.begin(); it != Shares.end();) {
      it = it->keep(size) ? std::next(it) : Shares.erase(it);
      most = std::max(most, All.Bytes);
    }
  BOOST_TEST(most <= MaxAnswerMemory + step);
}

BOOST_AUTO_TEST_SUITE_END()
