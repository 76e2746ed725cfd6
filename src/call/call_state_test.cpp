#include "greengagespar/call/call_state.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

// A call that the endpoint process of server s1 has acknowledged.
struct SentCall {
  CallState State;

  explicit SentCall(Repeat repeat) {
    State.Repeatable = repeat;
    decideCall(State, Dispatched{{"s1"}, {7}});
    decideCall(State, Acknowledged{});
  }

  std::vector<CallAction> decide(const CallEvent &event) {
    return decideCall(State, event);
  }
};

struct SentDraft : SentCall {
  SentDraft() : SentCall(Repeat::Allowed) {}
};
// A call with an idempotency key.
struct SentBooking : SentCall {
  SentBooking() : SentCall(Repeat::Keyed) {}
};
// A call that is not idempotent and not declared non-repeatable.
struct SentUndeclared : SentCall {
  SentUndeclared() : SentCall(Repeat::Never) {}
};

// Returns the one action of this type, or null if there are others or none.
template <class Action>
const Action *only(const std::vector<CallAction> &actions) {
  return actions.size() == 1 ? std::get_if<Action>(&actions[0]) : nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallRules)

BOOST_FIXTURE_TEST_CASE(tokens_overlapping_deliversOnlyNewOnes, SentDraft) {
  decide(TokensArrived{0, 3});
  auto actions = decide(TokensArrived{2, 4});
  auto *deliver = only<DeliverTokens>(actions);
  BOOST_REQUIRE(deliver);
  BOOST_TEST(deliver->Skip == 1u);
  BOOST_TEST(State.ReceivedTokens == 6u);
}

BOOST_FIXTURE_TEST_CASE(tokens_afterGap_requestsResume, SentDraft) {
  BOOST_TEST(only<RequestResume>(decide(TokensArrived{2, 1})));
  BOOST_TEST(State.ReceivedTokens == 0u);
}

BOOST_FIXTURE_TEST_CASE(end_beforeAllTokens_doesNotComplete, SentDraft) {
  decide(TokensArrived{0, 3});
  BOOST_TEST(only<RequestResume>(decide(Ended{5})));
  BOOST_TEST((State.Phase == CallPhase::Running));
}

BOOST_FIXTURE_TEST_CASE(draft_endpointLost_isSentElsewhere, SentDraft) {
  decide(TokensArrived{0, 3});
  auto actions = decide(EndpointLost{});
  auto *dispatch = only<Dispatch>(actions);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(dispatch->AvoidedServer.Value == "s1");
  BOOST_TEST(State.ReceivedTokens == 3u);
}

BOOST_FIXTURE_TEST_CASE(booking_endpointLost_isNotReportedAsNotRun,
                        SentBooking) {
  BOOST_TEST(only<Dispatch>(decide(EndpointLost{})));
  auto actions = decide(NotDispatched{{ErrorKind::NoEndpoint, "none"}});
  auto *refusal = only<RefuseCaller>(actions);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->DidRun == Ran::Unknown));
}

BOOST_FIXTURE_TEST_CASE(booking_failedAfterItRan_isNotSentAgain, SentBooking) {
  auto actions = decide(Refused{{ErrorKind::EndpointFailed, "cut"}, false, {}});
  auto *refusal = only<RefuseCaller>(actions);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Reason.Kind == ErrorKind::OutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(booking_keyHeldElsewhere_isSentToKeyOwnerOnly,
                        SentBooking) {
  auto actions = decide(Refused{{ErrorKind::KeyHeld, ""}, true, {"s2"}});
  auto *dispatch = only<Dispatch>(actions);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(dispatch->RequiredServer.Value == "s2");
  BOOST_TEST(State.MayHaveRun);
}

BOOST_AUTO_TEST_CASE(booking_linkReopenedBeforeAcknowledgement_isSentAgain) {
  CallState state;
  state.Repeatable = Repeat::Keyed;
  decideCall(state, Dispatched{{"s1"}, {7}});
  BOOST_TEST(only<SendAgain>(decideCall(state, LinkReopened{})));
  decideCall(state, Acknowledged{});
  BOOST_TEST(only<RequestResume>(decideCall(state, LinkReopened{})));
}

BOOST_FIXTURE_TEST_CASE(booking_nearDeadline_isRevoked, SentBooking) {
  BOOST_TEST(only<SendRevoke>(decide(DeadlineNear{})));
  auto actions = decide(RevokeAnswered{true});
  auto *refusal = only<RefuseCaller>(actions);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->DidRun == Ran::No));
}

BOOST_FIXTURE_TEST_CASE(booking_deadlineWhileRevoking_isUnknown, SentBooking) {
  decide(DeadlineNear{});
  auto actions = decide(DeadlineReached{});
  BOOST_REQUIRE(!actions.empty());
  auto *refusal = std::get_if<RefuseCaller>(&actions[0]);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->Reason.Kind == ErrorKind::OutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(undeclaredCall_endpointLost_isUnknown, SentUndeclared) {
  auto actions = decide(EndpointLost{});
  auto *refusal = only<RefuseCaller>(actions);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->DidRun == Ran::Unknown));
}

BOOST_FIXTURE_TEST_CASE(call_refusedAsNotRunTooOften_endsRefused, SentDraft) {
  int sent = 1;
  while (
      only<Dispatch>(decide(Refused{{ErrorKind::Overloaded, ""}, true, {}}))) {
    decide(Dispatched{{"s1"}, {7}});
    ++sent;
  }
  BOOST_TEST(sent == MaxAttempts);
  BOOST_TEST((State.Phase == CallPhase::Done));
}

BOOST_FIXTURE_TEST_CASE(doneCall_delayedEvents_causeNoActions, SentDraft) {
  decide(Ended{0});
  BOOST_TEST(decide(TokensArrived{0, 1}).empty());
  BOOST_TEST(decide(EndpointLost{}).empty());
  BOOST_TEST(decide(CallerDisconnected{}).empty());
}

// A draft under which a server ended may be why: it goes to no other server.
BOOST_FIXTURE_TEST_CASE(draft_thatMayCrashServers_isNotSentAgain, SentDraft) {
  Refused ended{{ErrorKind::EndpointFailed, "ended early"}, false};
  BOOST_TEST(only<Dispatch>(SentDraft().decide(ended)));
  ended.MayCrashServers = true;
  auto actions = decide(ended);
  auto *refusal = only<RefuseCaller>(actions);
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->DidRun == Ran::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
