#include "greengagespar/store/settle_put.h"

#include "scripted_server.h"
#include <boost/test/unit_test.hpp>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const IntendedWrite OwnUpdate{"/x", "mine", ObjectVersion{3}};
const IntendedWrite OwnCreation{"/x", "mine", ObjectVersion{0}};

Object objectAt(std::uint64_t version, const char *value) {
  return {"/x", ObjectVersion{version}, value};
}

/// A platform with one object. It does not answer some of the writes; such a
/// write has either taken effect or been dropped.
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
  /// For each write: with "a" it takes effect but is not answered, with "b" it
  /// neither takes effect nor is answered.
  std::string LossPlan;
  /// Whether another writer updates the object after each loss.
  bool OtherWrites = false;
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
    char loss = Writes < LossPlan.size() ? LossPlan[Writes] : ' ';
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
    Writer.put(OwnUpdate, [&](Result<PutOutcome> result) {
      state = result.value().State;
    });
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
    WriteEffect Expected;
  };
  const Case cases[] = {
      {"effect visible", objectAt(4, "mine"), OwnUpdate,
       WriteEffect::TookEffect},
      {"later same value", objectAt(9, "mine"), OwnUpdate,
       WriteEffect::TookEffect},
      {"another value", objectAt(4, "other"), OwnUpdate,
       WriteEffect::Superseded},
      {"not yet there", objectAt(3, "old"), OwnUpdate, WriteEffect::SendAgain},
      {"same value before", objectAt(3, "mine"), OwnUpdate,
       WriteEffect::SendAgain},
      {"stale read", objectAt(2, "older"), OwnUpdate, WriteEffect::SendAgain},
      {"restored since, another value",
       Object{"/x", ObjectVersion{2, {2}}, "old"}, OwnUpdate,
       WriteEffect::Superseded},
      {"restored since, same value",
       Object{"/x", ObjectVersion{2, {2}}, "mine"}, OwnUpdate,
       WriteEffect::TookEffect},
      {"removed since", std::nullopt, OwnUpdate, WriteEffect::Superseded},
      {"new, not there", std::nullopt, OwnCreation, WriteEffect::SendAgain},
      {"new, there", objectAt(1, "mine"), OwnCreation, WriteEffect::TookEffect},
      {"new, another's", objectAt(1, "other"), OwnCreation,
       WriteEffect::Superseded},
  };
  for (const Case &c : cases)
    BOOST_TEST_CONTEXT(c.What)
  BOOST_TEST((decideAfterLostAnswer(c.Read, c.Intended) == c.Expected));
}

BOOST_AUTO_TEST_CASE(put_lostAnswers_takeEffectOnce) {
  struct Case {
    const char *LossPlan;
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
    platform.LossPlan = c.LossPlan;
    platform.OtherWrites = c.OtherWrites;
    BOOST_TEST_CONTEXT("plan " << c.LossPlan) {
      BOOST_TEST((platform.put() == c.Expected));
      BOOST_TEST(platform.Writes == c.Writes);
      BOOST_TEST(platform.Version <= 5U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
