#include "greengagespar/store/settle_put.h"

#include "scripted_server.h"
#include <boost/test/unit_test.hpp>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const IntendedWrite Mine{"/x", "mine", ObjectVersion{3}};
const IntendedWrite MineNew{"/x", "mine", ObjectVersion{0}};

Object seen(std::uint64_t version, const char *value) {
  return {"/x", ObjectVersion{version}, value};
}

/// A platform with one object, which loses answers before or after the effect
/// of the write.
struct LossyPlatform {
  ScriptedServer Server;
  ObjectClient Client{Server.Loop.get(),
                      {.Platform = Server.At, .RequestTimeout = 500ms}};
  SettledWriter Writer{Server.Loop.get(),
                       Client,
                       {.MaxTries = 6, .Retry = {.Base = 1ms, .Cap = 2ms}},
                       1};
  std::uint64_t Version = 3;
  std::string Value = R"("old")";
  std::string Plan; ///< One letter for each write: "a" after, "b" before.
  bool OtherWrites = false; ///< Another writer comes in after each loss.
  std::size_t Writes = 0;

  LossyPlatform() {
    Server.Answer = [this](const ScriptedServer::Seen &seen) {
      return seen.Body.empty() ? read() : write(seen);
    };
  }
  ScriptedAnswer read() const {
    return {200, R"({"path":"/x","version":)" + std::to_string(Version) +
                     R"(,"value":)" + Value + "}"};
  }
  ScriptedAnswer write(const ScriptedServer::Seen &seen) {
    char loss = Writes < Plan.size() ? Plan[Writes] : ' ';
    ++Writes;
    bool matches =
        seen.Target == "/v1/objects/x?if_version=" + std::to_string(Version);
    if (matches && loss != 'b') {
      ++Version;
      Value = seen.Body;
    }
    if (loss != ' ' && OtherWrites) {
      ++Version;
      Value = R"("other")";
    }
    if (loss != ' ')
      return {0, ""};
    return {matches ? 200 : 409,
            R"({"version":)" + std::to_string(Version) + "}"};
  }
  WriteState put() {
    std::optional<WriteState> state;
    Writer.put(
        Mine, [&](Result<PutOutcome> result) { state = result.value().State; });
    Server.runUntil([&] { return state.has_value(); });
    return *state;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LostAnswers)

BOOST_AUTO_TEST_CASE(decideAfterLostAnswer_eachRead_isSettled) {
  struct Case {
    const char *What;
    std::optional<Object> Read;
    IntendedWrite Intended;
    LostWrite Expected;
  };
  const Case cases[] = {
      {"effect visible", seen(4, "mine"), Mine, LostWrite::TookEffect},
      {"later same value", seen(9, "mine"), Mine, LostWrite::TookEffect},
      {"another value", seen(4, "other"), Mine, LostWrite::Overtaken},
      {"not yet there", seen(3, "old"), Mine, LostWrite::SendAgain},
      {"same value before", seen(3, "mine"), Mine, LostWrite::SendAgain},
      {"stale read", seen(2, "older"), Mine, LostWrite::SendAgain},
      {"removed since", std::nullopt, Mine, LostWrite::Overtaken},
      {"new, not there", std::nullopt, MineNew, LostWrite::SendAgain},
      {"new, there", seen(1, "mine"), MineNew, LostWrite::TookEffect},
      {"new, another's", seen(1, "other"), MineNew, LostWrite::Overtaken},
  };
  for (const Case &c : cases)
    BOOST_TEST_CONTEXT(c.What)
  BOOST_TEST((decideAfterLostAnswer(c.Read, c.Intended) == c.Expected));
}

BOOST_AUTO_TEST_CASE(put_lostAnswers_takeEffectOnce) {
  struct Case {
    const char *Plan;
    bool OtherWrites;
    WriteState Expected;
    std::size_t Writes;
  };
  const Case cases[] = {
      {"", false, WriteState::Written, 1},
      {"a", false, WriteState::Written, 1},
      {"b", false, WriteState::Written, 2},
      {"bb", false, WriteState::Written, 3},
      {"ba", false, WriteState::Written, 2},
      {"a", true, WriteState::Conflict, 1},
      {"bbbbbb", false, WriteState::Unknown, 3},
  };
  for (const Case &c : cases) {
    LossyPlatform platform;
    platform.Plan = c.Plan;
    platform.OtherWrites = c.OtherWrites;
    BOOST_TEST_CONTEXT("plan " << c.Plan) {
      BOOST_TEST((platform.put() == c.Expected));
      BOOST_TEST(platform.Writes == c.Writes);
      BOOST_TEST(platform.Version <= 5U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
