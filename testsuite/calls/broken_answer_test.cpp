// Callers of the own interface while servers behind endpoint processes give
// answers that are none.
#include "../harness/client.h"
#include "../harness/cluster.h"
#include "greengagespar/load/calls.h"
#include "greengagespar/load/expected_text.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::harness;
using namespace std::chrono_literals;

namespace {

ClusterPlan smallPlan() {
  ClusterPlan plan;
  plan.DataCentres = {"dc1"};
  plan.Helpers = 1;
  plan.Ledgers = 1;
  return plan;
}

/// A replacement in the answers of a server.
struct Change {
  const char *Name;
  const char *Text;
  const char *By;
};

constexpr Change Changes[] = {
    {"a blank in a name", "Content-Type:", "Content Type:"},
    {"a blank behind a name", "Content-Type:", "Content-Type :"},
    {"byte 1 in a name", "Content-Type:", "Content-\x01Type:"},
    {"status 000", "HTTP/1.1 200", "HTTP/1.1 000"},
};

constexpr Change TrailerChange = {"a blank in the name of a trailer field",
                                  "\r\n0\r\n\r\n", "\r\n0\r\nX A: b\r\n\r\n"};

/// One engine and one ledger, each behind a relay that breaks answers.
struct BrokenAnswerFixture : Cluster {
  int Number = 0; ///< Of the last call.

  BrokenAnswerFixture() : Cluster(smallPlan()) {
    addRelay("helper-1-engine");
    addRelay("ledger-1-service");
    Cluster::start();
  }

  void breakAnswers(const Change &change) {
    for (const char *it : {"helper-1-engine-relay", "ledger-1-service-relay"})
      setRelayMode(it, {{"replace", change.Text}, {"by", change.By}});
  }

  load::CallSpec newCall(load::CallKind kind, bool isStream = false) {
    load::CallSpec it;
    it.Kind = kind;
    it.Workspace = plan().Workspaces.front();
    it.Model = plan().Group;
    it.Service = plan().Service;
    it.Prompt = "len=6 " + std::to_string(++Number);
    it.MaxTokens = 6;
    it.Stream = isStream;
    it.Order = "order-" + std::to_string(Number);
    it.Id = "id-" + std::to_string(Number);
    it.Deadline = 1500ms;
    return it;
  }

  load::CallOutcome outcomeOf(const load::CallSpec &it) {
    load::StreamReader reader;
    HttpRequest request = load::requestOf(it, load::CallTarget::Entry);
    HttpAnswer answer =
        it.Stream
            ? call(address("entry-1"), request,
                   [&](std::string_view part) { load::readPart(reader, part); })
            : call(address("entry-1"), request);
    return load::classifyAnswer(it, reader, answer);
  }

  // All kinds of calls.
  std::vector<load::CallSpec> newCalls() {
    return {newCall(load::CallKind::Booking), newCall(load::CallKind::Status),
            newCall(load::CallKind::Draft),
            newCall(load::CallKind::Draft, true)};
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswers, BrokenAnswerFixture)

// Guards against callers who get an answer whose head was broken, or a promise
// that their call did not run.
BOOST_AUTO_TEST_CASE(calls_answeredWithBrokenHead_failWithUnknownOutcome) {
  for (const Change &each : Changes)
    BOOST_TEST_CONTEXT(each.Name) {
      breakAnswers(each);
      for (const load::CallSpec &it : newCalls()) {
        load::CallOutcome outcome = outcomeOf(it);
        BOOST_TEST_CONTEXT(load::callKindName(it.Kind)
                           << " " << outcome.ErrorKind) {
          BOOST_TEST((outcome.Result == load::Verdict::Unknown ||
                      outcome.Result == load::Verdict::Truncated));
        }
      }
      breakAnswers({"", "", ""});
      for (const load::CallSpec &it : newCalls())
        BOOST_TEST((outcomeOf(it).Result == load::Verdict::Ok));
    }
  for (const auto &[order, times] : bookings())
    BOOST_TEST(times == 1, order);
}

// Guards against a draft that ends as whole although the answer that brought it
// was broken at its end.
BOOST_AUTO_TEST_CASE(draft_whoseAnswerHasBrokenTrailer_isNotWhole) {
  breakAnswers(TrailerChange);
  for (bool isStream : {false, true}) {
    load::CallOutcome outcome =
        outcomeOf(newCall(load::CallKind::Draft, isStream));
    BOOST_TEST((outcome.Result == load::Verdict::Unknown ||
                outcome.Result == load::Verdict::Truncated));
  }
}

BOOST_AUTO_TEST_SUITE_END()
