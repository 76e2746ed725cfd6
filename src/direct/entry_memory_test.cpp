#include "greengagespar/direct/entry_memory.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

constexpr double Megabyte = 1024.0 * 1024;

double total(const MemoryPlan &plan) {
  return static_cast<double>(plan.Buffers + plan.Answers) / Megabyte;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryPlans)

BOOST_AUTO_TEST_CASE(plan_anyMemory_leavesHalfToTheProgram) {
  for (double megabytes : {16.0, 127.5, 260.0, 512.0, 1e6}) {
    MemoryPlan plan = planMemory(megabytes);
    BOOST_TEST(total(plan) <= megabytes / 2);
    BOOST_TEST(total(plan) >= megabytes / 2 - 1);
    BOOST_TEST(plan.Answers <= MaxAnswerMemory);
    BOOST_TEST(plan.Answers > 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
