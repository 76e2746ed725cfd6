#include "greengagespar/call/key_votes.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// Three holders a, b, c of every key, each in its first incarnation, number 1.
struct ThreeHolders {
  const ScopedKey Key{"w/ledger", "order-1"};
  const VoteSets Sets{{{{"a"}, {"b"}, {"c"}}}};
  Clock::time_point Now{1h};
  HolderMemory A = holder("a", 1, true);
  HolderMemory B = holder("b", 1, true);
  HolderMemory C = holder("c", 1, true);

  HolderMemory holder(const char *name, std::uint64_t incarnation,
                      bool isFirst) {
    HolderMemory memory;
    memory.Self = {name};
    memory.SelfIncarnation = {incarnation};
    memory.IsFirstIncarnation = isFirst;
    memory.StartedAt = Now;
    memory.LongestWindow = 120s;
    return memory;
  }

  KeyClaim claimOf(const char *runner, std::uint64_t attempt = 1) const {
    return {Key, {runner}, {1}, attempt, 120s};
  }

  CastVote vote(HolderMemory &memory, const KeyClaim &claim) {
    return voteOnClaim(memory, claim, Sets, Now);
  }

  // Lets the restarted holder `to` receive the votes of `from`.
  void recover(HolderMemory &to, HolderMemory &from) {
    recordRecovery(to,
                   answerRecovery(from, to.Self, to.SelfIncarnation, Sets, Now),
                   Sets, Now);
  }

  TallyOutcome tally(const KeyClaim &claim,
                     const std::vector<CastVote> &votes) {
    ClaimTally open;
    open.Claim = claim;
    for (const CastVote &it : votes)
      recordVote(open, it);
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

BOOST_AUTO_TEST_CASE(secondClaim_afterMajority_losesToTheFirst) {
  vote(A, claimOf("a"));
  vote(B, claimOf("a"));
  auto late = claimOf("c");
  ClaimTally open;
  open.Claim = late;
  recordVote(open, vote(A, late));
  recordVote(open, vote(B, late));
  BOOST_TEST((decideTally(open, Sets) == TallyOutcome::Lost));
  BOOST_TEST(rivalOf(open)->Runner.Value == "a");
}

BOOST_AUTO_TEST_CASE(restartedHolder_beforeRecovery_givesNoVote) {
  HolderMemory restarted = holder("b", 2, false);
  CastVote cast = vote(restarted, claimOf("a"));
  BOOST_TEST(!cast.Granted);
  BOOST_TEST(!cast.IsMemoryComplete);
  recover(restarted, A);
  BOOST_TEST(!vote(restarted, claimOf("a")).Granted);
  recover(restarted, C);
  BOOST_TEST(vote(restarted, claimOf("a")).Granted);
}

BOOST_AUTO_TEST_CASE(restartedHolder_afterRecovery_keepsItsEarlierVote) {
  vote(B, claimOf("a"));
  vote(A, claimOf("a"));
  HolderMemory restarted = holder("b", 2, false);
  recover(restarted, A);
  recover(restarted, C);
  CastVote cast = vote(restarted, claimOf("c"));
  BOOST_TEST(!cast.Granted);
  BOOST_TEST(cast.CurrentClaim->Runner.Value == "a");
}

BOOST_AUTO_TEST_CASE(restartedHolder_receivesTwoClaims_votesForNeither) {
  vote(A, claimOf("a"));
  vote(C, claimOf("c"));
  HolderMemory restarted = holder("b", 2, false);
  recover(restarted, A);
  recover(restarted, C);
  BOOST_TEST(!vote(restarted, claimOf("a")).Granted);
  BOOST_TEST(!vote(restarted, claimOf("c")).Granted);
}

// A vote that b sent before its restart is delayed and arrives with a vote of
// a, which knows of the restart. The two must not form a majority.
BOOST_AUTO_TEST_CASE(voteOfEarlierIncarnation_knownToBeReplaced_isNotCounted) {
  auto claim = claimOf("a");
  CastVote early = vote(B, claim);
  HolderMemory restarted = holder("b", 2, false);
  recover(restarted, A);
  CastVote late = vote(A, claim);
  BOOST_TEST((tally(claim, {early, late}) == TallyOutcome::Pending));
}

// Two of three holders have lost their votes, so neither can complete its
// memory from the other's answer. Both wait until the window of the lost votes
// has passed.
BOOST_AUTO_TEST_CASE(
    twoRestartedHolders_recoverFromEachOther_grantNoVoteInTheWindow) {
  HolderMemory restarted = holder("b", 2, false);
  HolderMemory other = holder("c", 2, false);
  recover(restarted, A);
  recover(other, A);
  recover(restarted, other);
  recover(other, restarted);
  BOOST_TEST(!vote(restarted, claimOf("a")).IsMemoryComplete);
  Now += 121s;
  BOOST_TEST(vote(restarted, claimOf("a")).IsMemoryComplete);
}

BOOST_AUTO_TEST_CASE(releasedClaim_freesItsVoteOnly) {
  vote(A, claimOf("a"));
  withdrawVote(A, claimOf("c"));
  BOOST_TEST(!vote(A, claimOf("c")).Granted);
  withdrawVote(A, claimOf("a"));
  BOOST_TEST(vote(A, claimOf("c")).Granted);
}

BOOST_AUTO_TEST_CASE(changedServers_claimNeedsMajorityInBothSets) {
  VoteSets both{{{{"d"}, {"e"}, {"f"}}, Sets.Sets[0]}};
  auto claim = claimOf("a");
  ClaimTally open;
  open.Claim = claim;
  recordVote(open, vote(A, claim));
  recordVote(open, vote(B, claim));
  BOOST_TEST((decideTally(open, both) == TallyOutcome::Pending));
}

BOOST_AUTO_TEST_CASE(votes_afterTheWindow_areForgotten) {
  vote(A, claimOf("a"));
  forgetVotes(A, Now + 121s);
  BOOST_TEST(A.Votes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
