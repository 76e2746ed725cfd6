/* mutants: RUN_ON_ONE_VOTE VOTE_AFTER_RESTART_AT_ONCE IGNORE_LIVES TRUST_UNSURE_ANSWER CHANGE_VOTE LAST_ANSWER_WINS FORGET_LIVES */
/*
 * At-most-once execution by idempotency key: three holders vote on which of two
 * runners may run the call of one key. Holders keep their votes in memory only,
 * and may restart. Models voteOnClaim, withdrawVote, answerRecovery,
 * recordRecovery, isCompleteForKey and decideTally in src/call/key_votes.cpp.
 *
 * Claims and grants are kept in sets from which nothing is removed, so each of
 * them may be delayed, duplicated, reordered or, when no process receives it,
 * lost.
 *
 * Because the sets only grow, a runner can run as soon as its sets hold two
 * grants that agree; the assertion checks this after each grant. The holders
 * are alike, so it is enough that two of them can restart; the third never
 * does. A runner that has released its claim never runs, so no state after a
 * release can violate the property, and releases are not modelled.
 *
 * Property: at most one runner runs.
 */
#define RUNNERS 2
#define HOLDERS 3
/* Values of a vote besides runner r, which is r + 1. */
#define NO_VOTE 0
/* The vote that the holder lost may have decided, so neither runner gets it. */
#define CONTESTED 3

byte incarnation[HOLDERS]; /* number of restarts so far; at most one */
byte vote[HOLDERS];        /* NO_VOTE, CONTESTED or runner + 1 */
bool isComplete[HOLDERS];  /* the memory of the key is complete */

/* known[h * HOLDERS + g]: the latest incarnation of g that h knows. */
byte known[HOLDERS * HOLDERS];

/* grants[r * HOLDERS + h]: the set of grants that h has sent to r with a
   complete memory. Each has a bit, for the incarnation of h and the
   incarnations of the other two holders that h knew. */
int grants[RUNNERS * HOLDERS];

/* answers[x * HOLDERS + g]: 0, or the latest answer of g to the present
   incarnation of x. A link delivers in order, so an older answer never follows
   a newer one. */
#define ANSWER(l, v, s) (1 + (l) * 8 + (v) * 2 + (s))
#define INCARNATION_IN(answer) (((answer) - 1) / 8)
#define VOTE_IN(answer) ((((answer) - 1) / 2) % 4)
#define IS_COMPLETE_IN(answer) ((((answer) - 1) % 2) == 1)
byte answers[HOLDERS * HOLDERS];

/* hasAnswered[x * HOLDERS + g]: the present incarnation of x has received an
   answer that g sent with a complete memory. */
bool hasAnswered[HOLDERS * HOLDERS];

/* The two holders other than h. */
#define FIRST_PEER(h) ((h) == 0 -> 1 : 0)
#define SECOND_PEER(h) ((h) == 2 -> 1 : 2)

/* Incarnations are 0 and 1, so a grant is one of 8. */
#define GRANT_BIT(l, a, b) (1 << ((l) * 4 + (a) * 2 + (b)))

/* Whether a set holds a grant of a holder's incarnation l that knows
   incarnation k of its first or second peer. */
#define KNOWS_FIRST(set, l, k) (((set) & (3 << ((l) * 4 + (k) * 2))) != 0)
#define KNOWS_SECOND(set, l, k) (((set) & (5 << ((l) * 4 + (k)))) != 0)

/* Whether sets x and y hold grants that agree: neither holder knows of a later
   incarnation of the other than the one that granted. */
#define AGREE(x, knowsX, y, knowsY)                                            \
  ((knowsX(x, 0, 0) && (knowsY(y, 0, 0) || knowsY(y, 1, 0))) ||                \
   (knowsX(x, 0, 1) && knowsY(y, 1, 0)) || (knowsX(x, 1, 0) && (y) != 0) ||    \
   (knowsX(x, 1, 1) && (knowsY(y, 1, 0) || knowsY(y, 1, 1))))

#define GRANTS(r, h) grants[(r) * HOLDERS + (h)]

#ifdef RUN_ON_ONE_VOTE
#define MAY_RUN(r) ((GRANTS(r, 0) | GRANTS(r, 1) | GRANTS(r, 2)) != 0)
#else
#ifdef IGNORE_LIVES
#define PAIR(x, knowsX, y, knowsY) ((x) != 0 && (y) != 0)
#else
#define PAIR(x, knowsX, y, knowsY) AGREE(x, knowsX, y, knowsY)
#endif
#define MAY_RUN(r)                                                             \
  (PAIR(GRANTS(r, 0), KNOWS_FIRST, GRANTS(r, 1), KNOWS_FIRST) ||               \
   PAIR(GRANTS(r, 0), KNOWS_SECOND, GRANTS(r, 2), KNOWS_FIRST) ||              \
   PAIR(GRANTS(r, 1), KNOWS_SECOND, GRANTS(r, 2), KNOWS_SECOND))
#endif

inline voteOnClaim(holder, runner) {
  d_step {
    if
#ifdef CHANGE_VOTE
    :: true -> vote[holder] = runner + 1;
#else
    :: vote[holder] == NO_VOTE && isComplete[holder] ->
      vote[holder] = runner + 1;
    :: else -> skip;
#endif
    fi;
    if
    :: vote[holder] == runner + 1 && isComplete[holder] ->
      grants[runner * HOLDERS + holder] = grants[runner * HOLDERS + holder] |
        GRANT_BIT(incarnation[holder],
                  known[holder * HOLDERS + FIRST_PEER(holder)],
                  known[holder * HOLDERS + SECOND_PEER(holder)]);
    :: else -> skip;
    fi;
    assert(!(MAY_RUN(0) && MAY_RUN(1)));
  }
}

inline restart(holder) {
  d_step {
    incarnation[holder]++;
    vote[holder] = NO_VOTE;
#ifdef VOTE_AFTER_RESTART_AT_ONCE
    isComplete[holder] = true;
#else
    isComplete[holder] = false;
#endif
    known[holder * HOLDERS + FIRST_PEER(holder)] = 0;
    known[holder * HOLDERS + SECOND_PEER(holder)] = 0;
    hasAnswered[holder * HOLDERS + FIRST_PEER(holder)] = false;
    hasAnswered[holder * HOLDERS + SECOND_PEER(holder)] = false;
    answers[holder * HOLDERS + FIRST_PEER(holder)] = 0;
    answers[holder * HOLDERS + SECOND_PEER(holder)] = 0;
  }
}

/* Holder "from" answers the request of the present incarnation of holder
   "to". */
inline answerRecovery(from, to) {
  d_step {
    known[from * HOLDERS + to] = incarnation[to];
    answers[to * HOLDERS + from] =
      ANSWER(incarnation[from], vote[from], (isComplete[from] -> 1 : 0));
  }
}

inline recordRecovery(to, from) {
  d_step {
    answer = answers[to * HOLDERS + from];
    reportedVote = VOTE_IN(answer);
#ifndef FORGET_LIVES
    known[to * HOLDERS + from] =
      (INCARNATION_IN(answer) > known[to * HOLDERS + from] ->
       INCARNATION_IN(answer) : known[to * HOLDERS + from]);
#endif
    if
    :: IS_COMPLETE_IN(answer) -> hasAnswered[to * HOLDERS + from] = true;
    :: else ->
#ifdef TRUST_UNSURE_ANSWER
      hasAnswered[to * HOLDERS + from] = true;
#else
      skip;
#endif
    fi;
    if
    :: reportedVote != NO_VOTE && vote[to] == NO_VOTE ->
      vote[to] = reportedVote;
    :: reportedVote != NO_VOTE && vote[to] != NO_VOTE &&
       vote[to] != reportedVote ->
#ifdef LAST_ANSWER_WINS
      vote[to] = reportedVote;
#else
      vote[to] = CONTESTED;
#endif
    :: else -> skip;
    fi;
    if
    :: hasAnswered[to * HOLDERS + FIRST_PEER(to)] &&
       hasAnswered[to * HOLDERS + SECOND_PEER(to)] ->
      isComplete[to] = true;
    :: else -> skip;
    fi;
    answer = 0;
    reportedVote = NO_VOTE;
  }
}

/* Holder h, whose first and second peers are p and q. */
proctype Holder(byte h; byte p; byte q) {
  byte answer, reportedVote;
  do
  :: atomic { true -> voteOnClaim(h, 0) }
  :: atomic { true -> voteOnClaim(h, 1) }
  :: atomic { h != 2 && incarnation[h] == 0 -> restart(h) }
  :: atomic { incarnation[p] > 0 && !isComplete[p] -> answerRecovery(h, p) }
  :: atomic { incarnation[q] > 0 && !isComplete[q] -> answerRecovery(h, q) }
  :: atomic { !isComplete[h] && answers[h * HOLDERS + p] != 0 ->
       recordRecovery(h, p) }
  :: atomic { !isComplete[h] && answers[h * HOLDERS + q] != 0 ->
       recordRecovery(h, q) }
  od
}

init {
  atomic {
    isComplete[0] = true;
    isComplete[1] = true;
    isComplete[2] = true;
    run Holder(0, 1, 2);
    run Holder(1, 0, 2);
    run Holder(2, 0, 1);
  }
}
