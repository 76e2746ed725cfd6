/* mutants: RUN_ON_ONE_VOTE VOTE_AFTER_RESTART_AT_ONCE IGNORE_LIVES TRUST_UNSURE_ANSWER CHANGE_VOTE LAST_ANSWER_WINS FORGET_LIVES */
/*
 * At-most-once by idempotency key: three holders vote on which of two runners
 * may run the call of one key. Holders keep votes in memory only and restart.
 * Stands for src/call/key_votes.cpp: noteClaim, noteRelease, answerRecovery,
 * noteRecovered, isSure, decideTally.
 *
 * Claims and grants are kept in bags that are never emptied, so that each may
 * be delayed, duplicated, reordered or, when nobody takes it, lost.
 *
 * Bags only grow, so a runner can run as soon as its bag holds two grants that
 * agree; the assertion looks for that after each grant. Holders are alike, so
 * the third one never restarts. A runner that releases its claim never runs, so
 * no state after a release can break the claim, and none is modelled.
 *
 * Claim: at most one runner runs.
 */
#define RUNNERS 2
#define HOLDERS 3
#define NOBODY 0 /* no vote; runner r is r + 1 */
#define CONTESTED 3 /* the lost vote may have decided: nobody gets it */

byte life[HOLDERS];          /* restarts so far, once at the most */
byte vote[HOLDERS];          /* NOBODY or runner + 1 */
bool sure[HOLDERS];          /* memory of the key is complete */
byte known[HOLDERS * HOLDERS]; /* known[h * HOLDERS + g]: g's life as h knows */

/* grants[r * HOLDERS + h]: bit (life, known life of each other holder) set for
   every counted grant that h sent to r. */
int grants[RUNNERS * HOLDERS];

/* answers[x * HOLDERS + g]: 0, or the latest answer of g to the present life of
   x. A link delivers in order, so an older answer never follows a newer one. */
#define ANSWER(l, v, s) (1 + (l) * 8 + (v) * 2 + (s))
#define LIFE_IN(answer) (((answer) - 1) / 8)
#define VOTE_IN(answer) ((((answer) - 1) / 2) % 4)
#define IS_SURE_IN(answer) ((((answer) - 1) % 2) == 1)
byte answers[HOLDERS * HOLDERS];
bool heard[HOLDERS * HOLDERS]; /* x has taken a counted answer of g, this life */

/* The two other holders. */
#define FIRST(h) ((h) == 0 -> 1 : 0)
#define SECOND(h) ((h) == 2 -> 1 : 2)

/* Lives are 0 and 1, so a grant is one of 8. */
#define GRANTBIT(l, a, b) (1 << ((l) * 4 + (a) * 2 + (b)))


/* Whether a bag holds a grant of a holder in life l that knows the other
   holder in life k, where that one is the first or the second other one. */
#define AS_FIRST(bag, l, k) (((bag) & (3 << ((l) * 4 + (k) * 2))) != 0)
#define AS_SECOND(bag, l, k) (((bag) & (5 << ((l) * 4 + (k)))) != 0)

/* Whether bags x and y hold grants that agree: neither holder knows of a later
   life of the other than the one that granted. */
#define AGREE(x, inX, y, inY)                                                  \
  ((inX(x, 0, 0) && (inY(y, 0, 0) || inY(y, 1, 0))) ||                         \
   (inX(x, 0, 1) && inY(y, 1, 0)) || (inX(x, 1, 0) && (y) != 0) ||             \
   (inX(x, 1, 1) && (inY(y, 1, 0) || inY(y, 1, 1))))

#define BAG(r, h) grants[(r) * HOLDERS + (h)]

#ifdef RUN_ON_ONE_VOTE
#define RUNS(r) ((BAG(r, 0) | BAG(r, 1) | BAG(r, 2)) != 0)
#else
#ifdef IGNORE_LIVES
#define PAIR(x, inX, y, inY) ((x) != 0 && (y) != 0)
#else
#define PAIR(x, inX, y, inY) AGREE(x, inX, y, inY)
#endif
#define RUNS(r)                                                                \
  (PAIR(BAG(r, 0), AS_FIRST, BAG(r, 1), AS_FIRST) ||                           \
   PAIR(BAG(r, 0), AS_SECOND, BAG(r, 2), AS_FIRST) ||                          \
   PAIR(BAG(r, 1), AS_SECOND, BAG(r, 2), AS_SECOND))
#endif

inline takeClaim(holder, runner) {
  d_step {
    if
#ifdef CHANGE_VOTE
    :: true -> vote[holder] = runner + 1;
#else
    :: vote[holder] == NOBODY && sure[holder] -> vote[holder] = runner + 1;
    :: else -> skip;
#endif
    fi;
    if
    :: vote[holder] == runner + 1 && sure[holder] ->
      grants[runner * HOLDERS + holder] = grants[runner * HOLDERS + holder] |
        GRANTBIT(life[holder], known[holder * HOLDERS + FIRST(holder)],
                 known[holder * HOLDERS + SECOND(holder)]);
    :: else -> skip;
    fi;
    assert(!(RUNS(0) && RUNS(1)));
  }
}

inline restart(holder) {
  d_step {
    life[holder]++;
    vote[holder] = NOBODY;
#ifdef VOTE_AFTER_RESTART_AT_ONCE
    sure[holder] = true;
#else
    sure[holder] = false;
#endif
    known[holder * HOLDERS + FIRST(holder)] = 0;
    known[holder * HOLDERS + SECOND(holder)] = 0;
    heard[holder * HOLDERS + FIRST(holder)] = false;
    heard[holder * HOLDERS + SECOND(holder)] = false;
    answers[holder * HOLDERS + FIRST(holder)] = 0;
    answers[holder * HOLDERS + SECOND(holder)] = 0;
  }
}

/* One holder answers the request of another one's present life. */
inline answerRecovery(from, to) {
  d_step {
    known[from * HOLDERS + to] = life[to];
    answers[to * HOLDERS + from] =
      ANSWER(life[from], vote[from], (sure[from] -> 1 : 0));
  }
}

inline takeAnswer(to, from) {
  d_step {
    answer = answers[to * HOLDERS + from];
    theirVote = VOTE_IN(answer);
#ifndef FORGET_LIVES
    known[to * HOLDERS + from] =
      (LIFE_IN(answer) > known[to * HOLDERS + from] ->
       LIFE_IN(answer) : known[to * HOLDERS + from]);
#endif
    if
    :: IS_SURE_IN(answer) -> heard[to * HOLDERS + from] = true;
    :: else ->
#ifdef TRUST_UNSURE_ANSWER
      heard[to * HOLDERS + from] = true;
#else
      skip;
#endif
    fi;
    if
    :: theirVote != NOBODY && vote[to] == NOBODY -> vote[to] = theirVote;
    :: theirVote != NOBODY && vote[to] != NOBODY && vote[to] != theirVote ->
#ifdef LAST_ANSWER_WINS
      vote[to] = theirVote;
#else
      vote[to] = CONTESTED;
#endif
    :: else -> skip;
    fi;
    if
    :: heard[to * HOLDERS + FIRST(to)] && heard[to * HOLDERS + SECOND(to)] ->
      sure[to] = true;
    :: else -> skip;
    fi;
    answer = 0;
    theirVote = NOBODY;
  }
}

proctype Holder(byte h; byte p; byte q) {
  byte answer, theirVote;
  do
  :: atomic { true -> takeClaim(h, 0) }
  :: atomic { true -> takeClaim(h, 1) }
  :: atomic { h != 2 && life[h] == 0 -> restart(h) }
  :: atomic { life[p] > 0 && !sure[p] -> answerRecovery(h, p) }
  :: atomic { life[q] > 0 && !sure[q] -> answerRecovery(h, q) }
  :: atomic { !sure[h] && answers[h * HOLDERS + p] != 0 -> takeAnswer(h, p) }
  :: atomic { !sure[h] && answers[h * HOLDERS + q] != 0 -> takeAnswer(h, q) }
  od
}

init {
  atomic {
    sure[0] = true;
    sure[1] = true;
    sure[2] = true;
    run Holder(0, 1, 2);
    run Holder(1, 0, 2);
    run Holder(2, 0, 1);
  }
}
