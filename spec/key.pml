/* mutants: RUN_ON_ONE_VOTE VOTE_AFTER_RESTART_AT_ONCE IGNORE_LIVES TRUST_UNSURE_ANSWER CHANGE_VOTE */
/*
 * At-most-once by idempotency key: three holders vote on which of two runners
 * may run the call of one key. Holders keep votes in memory only and restart.
 * Stands for src/call/key_votes.cpp: noteClaim, noteRelease, answerRecovery,
 * noteRecovered, isSure, decideTally.
 *
 * Messages are kept in bags that are never emptied, so that each may be
 * delayed, duplicated, reordered or, when nobody takes it, lost.
 *
 * Claim: at most one runner runs. A runner that released its claim never runs.
 */
#define RUNNERS 2
#define HOLDERS 3
#define MAX_RESTARTS 2 /* in all; each holder once at the most */
#define NOBODY 0 /* no vote; runner r is r + 1 */

byte life[HOLDERS];          /* restarts so far */
byte vote[HOLDERS];          /* NOBODY or runner + 1 */
bool sure[HOLDERS];          /* memory of the key is complete */
byte known[HOLDERS * HOLDERS]; /* known[h * HOLDERS + g]: g's life as h knows */
byte restarts = 0;

/* grants[r * HOLDERS + h]: bit (life, known life of each other holder) set for
   every counted grant that h sent to r. */
int grants[RUNNERS * HOLDERS];

/* answers[x * HOLDERS + g]: bit (x's life, g's vote, g sure) for each recovery
   answer that g sent to x. */
int answers[HOLDERS * HOLDERS];
bool heard[HOLDERS * HOLDERS]; /* x has taken a counted answer of g, this life */

bool claimed[RUNNERS];
bool released[RUNNERS];
bool ran[RUNNERS];

#define FIRST(h) ((h) == 0 -> 1 : 0)
#define SECOND(h) ((h) == 2 -> 1 : 2)
/* Lives are 0 and 1, so a grant is one of 8 and an answer one of 12. */
#define GRANTBIT(l, a, b) (1 << ((l) * 4 + (a) * 2 + (b)))
#define ANSWERBIT(l, v, s) (1 << ((l) * 6 + (v) * 2 + (s)))


/* Whether a grant in the bag of runner r and holder h says (l, a, b). */
#define HAS(r, h, l, a, b)                                                     \
  ((grants[(r) * HOLDERS + (h)] & GRANTBIT(l, a, b)) != 0)

/* Whether x may take an answer (v, s) of g now. */
#define ANSWERED(x, g, v, s)                                                   \
  (!sure[x] && life[x] > 0 &&                                                  \
   (answers[(x) * HOLDERS + (g)] & ANSWERBIT(life[x], v, s)) != 0)

inline takeClaim(holder, runner) {
  d_step {
    if
#ifdef CHANGE_VOTE
    :: true -> vote[holder] = runner + 1;
#else
    :: vote[holder] == NOBODY -> vote[holder] = runner + 1;
    :: vote[holder] != NOBODY -> skip;
#endif
    fi;
    if
    :: vote[holder] == runner + 1 && sure[holder] ->
      grants[runner * HOLDERS + holder] = grants[runner * HOLDERS + holder] |
        GRANTBIT(life[holder], known[holder * HOLDERS + FIRST(holder)],
                 known[holder * HOLDERS + SECOND(holder)]);
    :: else -> skip;
    fi;
  }
}

inline restart(holder) {
  d_step {
    restarts++;
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
  }
}

/* One holder answers the request of another one's present life. */
inline answerRecovery(from, to) {
  d_step {
    known[from * HOLDERS + to] = life[to];
    answers[to * HOLDERS + from] = answers[to * HOLDERS + from] |
      ANSWERBIT(life[to], vote[from], (sure[from] -> 1 : 0));
  }
}

inline takeAnswer(to, from, theirVote, isSure) {
  d_step {
    if
    :: isSure == 1 -> heard[to * HOLDERS + from] = true;
    :: else ->
#ifdef TRUST_UNSURE_ANSWER
      heard[to * HOLDERS + from] = true;
#else
      skip;
#endif
    fi;
    if
    :: theirVote != NOBODY -> vote[to] = theirVote;
    :: else -> skip;
    fi;
    if
    :: heard[to * HOLDERS + FIRST(to)] && heard[to * HOLDERS + SECOND(to)] ->
      sure[to] = true;
    :: else -> skip;
    fi;
  }
}

#define ANSWER_OPTIONS(x, g)                                                   \
  :: atomic { ANSWERED(x, g, 0, 0) -> takeAnswer(x, g, 0, 0) }                 \
  :: atomic { ANSWERED(x, g, 1, 0) -> takeAnswer(x, g, 1, 0) }                 \
  :: atomic { ANSWERED(x, g, 2, 0) -> takeAnswer(x, g, 2, 0) }                 \
  :: atomic { ANSWERED(x, g, 0, 1) -> takeAnswer(x, g, 0, 1) }                 \
  :: atomic { ANSWERED(x, g, 1, 1) -> takeAnswer(x, g, 1, 1) }                 \
  :: atomic { ANSWERED(x, g, 2, 1) -> takeAnswer(x, g, 2, 1) }

proctype Holder(byte h; byte p; byte q) {
  do
  :: atomic { claimed[0] -> takeClaim(h, 0) }
  :: atomic { claimed[1] -> takeClaim(h, 1) }
  :: atomic { released[0] && vote[h] == 1 -> vote[h] = NOBODY }
  :: atomic { released[1] && vote[h] == 2 -> vote[h] = NOBODY }
  :: atomic { restarts < MAX_RESTARTS && life[h] == 0 -> restart(h) }
  :: atomic { life[p] > 0 && !sure[p] -> answerRecovery(h, p) }
  :: atomic { life[q] > 0 && !sure[q] -> answerRecovery(h, q) }
  ANSWER_OPTIONS(h, p)
  ANSWER_OPTIONS(h, q)
  od
}

/* Whether runner has grant i of holder x and grant j of holder y. */
#define BOTH(runner, x, y)                                                     \
  ((grants[(runner) * HOLDERS + (x)] & (1 << i)) != 0 &&                       \
   (grants[(runner) * HOLDERS + (y)] & (1 << j)) != 0)

#ifdef IGNORE_LIVES
#define AGREE(kx, ky) true
#else
#define AGREE(kx, ky) ((i / kx) % 2 <= j / 4 && (j / ky) % 2 <= i / 4)
#endif

/* Whether the bags hold grants of holders x < y that agree on each other's
   lives: neither holder knows of a later life of the other than the one that
   granted. kx and ky select what each knows of the other. */
inline findPair(runner, x, y, kx, ky) {
  for (i : 0 .. 7) {
    for (j : 0 .. 7) {
      if
      :: BOTH(runner, x, y) && AGREE(kx, ky) -> can = true;
      :: else -> skip;
      fi;
    }
  }
}

/* Divisors that take the first and the second known life out of a bit index. */
#define MIDDLE 2
#define LAST 1

inline decideTally(runner) {
  d_step {
    can = false;
#ifdef RUN_ON_ONE_VOTE
    can = (grants[runner * HOLDERS] | grants[runner * HOLDERS + 1] |
           grants[runner * HOLDERS + 2]) != 0;
#else
    findPair(runner, 0, 1, MIDDLE, MIDDLE);
    findPair(runner, 0, 2, LAST, MIDDLE);
    findPair(runner, 1, 2, LAST, LAST);
#endif
    if
    :: can -> ran[runner] = true;
    :: else -> skip;
    fi;
    assert(!(ran[0] && ran[1]));
    i = 0;
    j = 0;
    can = false;
  }
}

proctype Runner(byte r) {
  byte i, j;
  bool can;
  claimed[r] = true;
  do
  :: atomic { !ran[r] && !released[r] -> released[r] = true }
  :: atomic { !ran[r] && !released[r] -> decideTally(r) }
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
    run Runner(0);
    run Runner(1);
  }
}
