#include "greengagespar/call/key_votes.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// Three holders a, b, c of every key; lives count from 1.
struct ThreeHolders {
  const ScopedKey Key{"w/ledger", "order-1"};
  const VoteSets Sets{{{{"a"}, {"b"}, {"c"}}}};
  Clock::time_point Now{1h};
  HolderMemory A = holder("a", 1, true);
  HolderMemory B = holder("b", 1, true);
  HolderMemory C = holder("c", 1, true);

  HolderMemory holder(const char *name, std::uint64_t life, bool isFirst) {
    HolderMemory memory;
    memory.Self = {name};
    memory.Life = {life};
    memory.IsFirstLife = isFirst;
    memory.Began = Now;
    memory.LongestWindow = 120s;
    return memory;
  }

  KeyClaim claimOf(const char *runner, std::uint64_t attempt = 1) const {
    return {Key, {runner}, {1}, attempt, 120s};
  }

  CastVote vote(HolderMemory &memory, const KeyClaim &claim) {
    return noteClaim(memory, claim, Sets, Now);
  }

  // Lets `to`, restarted, recover from `from`.
  void recover(HolderMemory &to, HolderMemory &from) {
    noteRecovered(to, answerRecovery(from, to.Self, to.Life, Sets, Now), Sets,
                  Now);
  }

  TallyOutcome tally(const KeyClaim &claim, std::vector<CastVote> votes) {
    ClaimTally open;
    open.Claim = claim;
    for (const CastVote &it : votes)
      noteVote(open, it);
    return decideTally(open, Sets);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeyVotes, ThreeHolders)

BOOST_AUTO_TEST_CASE(claim_withTwoVotes_wins) {
  auto claim = claimOf("a");
  BOOST_TEST((tally(claim, {vote(A, claim)}) == TallyOutcome::Pending));
  BOOST_TEST(
      (tally(claim, {vote(A, claim), vote(B, claim)}) == TallyOutcome::Won));
}

BOOST_AUTO_TEST_CASE(secondClaim_afterMajority_isLostWithItsRival) {
  vote(A, claimOf("a"));
  vote(B, claimOf("a"));
  auto late = claimOf("c");
  ClaimTally open;
  open.Claim = late;
  noteVote(open, vote(A, late));
  noteVote(open, vote(B, late));
  BOOST_TEST((decideTally(open, Sets) == TallyOutcome::Lost));
  BOOST_TEST(rivalOf(open)->Runner.Value == "a");
}

BOOST_AUTO_TEST_CASE(restartedHolder_beforeRecovery_givesNoVote) {
  HolderMemory again = holder("b", 2, false);
  CastVote cast = vote(again, claimOf("a"));
  BOOST_TEST(!cast.Granted);
  BOOST_TEST(!cast.Sure);
  recover(again, A);
  BOOST_TEST(!vote(again, claimOf("a")).Granted);
  recover(again, C);
  BOOST_TEST(vote(again, claimOf("a")).Granted);
}

BOOST_AUTO_TEST_CASE(restartedHolder_recovers_keepsToTheVoteItHadGiven) {
  vote(B, claimOf("a"));
  vote(A, claimOf("a"));
  HolderMemory again = holder("b", 2, false);
  recover(again, A);
  recover(again, C);
  CastVote cast = vote(again, claimOf("c"));
  BOOST_TEST(!cast.Granted);
  BOOST_TEST(cast.Present->Runner.Value == "a");
}

BOOST_AUTO_TEST_CASE(restartedHolder_toldOfTwoClaims_votesForNeither) {
  vote(A, claimOf("a"));
  vote(C, claimOf("c"));
  HolderMemory again = holder("b", 2, false);
  recover(again, A);
  recover(again, C);
  BOOST_TEST(!vote(again, claimOf("a")).Granted);
  BOOST_TEST(!vote(again, claimOf("c")).Granted);
}

BOOST_AUTO_TEST_CASE(voteOfEarlierLife_knownToBeOver_doesNotCount) {
  auto claim = claimOf("a");
  CastVote early = vote(B, claim);
  HolderMemory again = holder("b", 2, false);
  recover(again, A);
  CastVote late = vote(A, claim);
  BOOST_TEST((tally(claim, {early, late}) == TallyOutcome::Pending));
}

BOOST_AUTO_TEST_CASE(twoRestartedHolders_ofEachOther_staySilentForTheWindow) {
  HolderMemory again = holder("b", 2, false);
  HolderMemory other = holder("c", 2, false);
  recover(again, A);
  recover(other, A);
  recover(again, other);
  recover(other, again);
  BOOST_TEST(!vote(again, claimOf("a")).Sure);
  Now += 121s;
  BOOST_TEST(vote(again, claimOf("a")).Sure);
}

BOOST_AUTO_TEST_CASE(releasedClaim_freesItsVoteOnly) {
  vote(A, claimOf("a"));
  noteRelease(A, claimOf("c"));
  BOOST_TEST(!vote(A, claimOf("c")).Granted);
  noteRelease(A, claimOf("a"));
  BOOST_TEST(vote(A, claimOf("c")).Granted);
}

BOOST_AUTO_TEST_CASE(changedServers_claimNeedsMajorityInBothSets) {
  VoteSets both{{{{"d"}, {"e"}, {"f"}}, Sets.Sets[0]}};
  auto claim = claimOf("a");
  ClaimTally open;
  open.Claim = claim;
  noteVote(open, vote(A, claim));
  noteVote(open, vote(B, claim));
  BOOST_TEST((decideTally(open, both) == TallyOutcome::Pending));
}

BOOST_AUTO_TEST_CASE(votes_afterTheWindow_areForgotten) {
  vote(A, claimOf("a"));
  forgetVotes(A, Now + 121s);
  BOOST_TEST(A.Votes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
