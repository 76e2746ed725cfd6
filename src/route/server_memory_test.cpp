#include "greengagespar/route/server_memory.h"

#include "greengagespar/route/choose.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace greengagespar;

namespace {

constexpr int MaxInt = std::numeric_limits<int>::max();

struct ServerMemoryFixture {
  ServerMemory Memory{10000, 0};
  std::vector<EndpointView> Views;
  Rng Random{7};

  // Adds two servers of which the first holds \p held tokens.
  void addServers(std::int64_t held) {
    for (const char *id : {"a", "b"}) {
      EndpointView &view = Views.emplace_back();
      view.Target.Id = {id};
      view.Memory = Memory;
    }
    Views[0].Memory.Held = held;
  }

  std::optional<std::size_t> choose(std::int64_t tokens,
                                    std::vector<ServerId> exclude = {}) {
    ChoiceRequest request;
    request.Tokens = tokens;
    request.Exclude = std::move(exclude);
    auto choice = chooseEndpoint(Views, request, {}, Clock::now(), Random);
    return choice ? std::optional(choice->Index) : std::nullopt;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerMemories, ServerMemoryFixture)

BOOST_AUTO_TEST_CASE(memory_notDeclared_boundsNothing) {
  ServerMemory none;
  holdTokens(none, std::numeric_limits<std::int64_t>::max() / 2);
  BOOST_TEST(canHold(none, MaxInt));
  BOOST_TEST(hasMemoryFor(none, MaxInt));
}

BOOST_AUTO_TEST_CASE(tokens_odd_areCountedWithoutOverflow) {
  BOOST_TEST(tokensOf(868, 97) == 965);
  BOOST_TEST(tokensOf(-5, 97) == 97);
  BOOST_TEST(tokensOf(MaxInt, MaxInt) == std::int64_t{MaxInt} * 2);
}

// The load: long prompts at the same server.
BOOST_AUTO_TEST_CASE(memory_filledByLongPrompts_takesShortOnesOnly) {
  holdTokens(Memory, 9000);
  BOOST_TEST(!hasMemoryFor(Memory, 1001));
  BOOST_TEST(hasMemoryFor(Memory, 1000));
  BOOST_TEST(canHold(Memory, 10000));
  BOOST_TEST(!canHold(Memory, 10001));
}

BOOST_AUTO_TEST_CASE(calls_ended_giveTheirTokensBack) {
  holdTokens(Memory, 6000);
  holdTokens(Memory, 4000);
  releaseTokens(Memory, 6000);
  BOOST_TEST(Memory.Held == 4000);
  releaseTokens(Memory, 9000);
  BOOST_TEST(Memory.Held == 0);
}

BOOST_AUTO_TEST_CASE(choice_oneServerIsFull_takesTheOther) {
  addServers(9500);
  for (int i = 0; i < 20; ++i)
    BOOST_TEST((choose(2000) == std::size_t{1}));
}

BOOST_AUTO_TEST_CASE(choice_allServersAreFull_takesNone) {
  addServers(9500);
  Views[1].Memory.Held = 9500;
  BOOST_TEST(!choose(2000).has_value());
  BOOST_TEST(choose(500).has_value());
}

// A server on which the call failed is chosen again when no other is left, but
// not beyond its memory.
BOOST_AUTO_TEST_CASE(choice_afterFailures_keepsWithinMemory) {
  addServers(9500);
  BOOST_TEST(!choose(2000, {{"b"}}).has_value() ==
             !hasMemoryFor(Views[1].Memory, 2000));
  Views[1].Memory.Held = 9500;
  BOOST_TEST(!choose(2000, {{"a"}, {"b"}}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
