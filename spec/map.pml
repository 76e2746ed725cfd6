/* mutants: RELEASE_BEFORE_ALL_ARMED DRIVER_ACTS_AFTER_LEASE SETTLEMENT_CHOOSES_TWICE RESTART_TAKES_ORDERS_AT_ONCE RELEASE_TO_LATEST_PROCESS */
/*
 * The switch of one expert map among three ranks.
 *
 * RankProcess models decideRank (src/group/rank.cpp), Driver and Settler model
 * decideDriver (src/group/driver.cpp). Engines keep their state when an
 * endpoint process restarts. An order to an engine and the read back of its
 * state are one step, because decideRank answers no Promise order between the
 * two.
 *
 * A message that was sent may be delivered at any later time, repeatedly, or
 * never: it stays in its set, and no delivery is forced. The ballots, in
 * ascending order, are 1 for the driver, whose lease may expire at any time
 * while the driver is paused, and 2 and 3 for a settler and its second attempt.
 * Each owner of a ballot first has its own rank promise the ballot. No process
 * restarts once ballot 3 is in use, so a restart in the middle of a settlement
 * is one during ballot 2.
 *
 * Properties: all ranks that enter the armed step use one map (assert in
 * enter); the settler always ends, and then no rank is armed and one map is in
 * force (else an invalid end state, or the assert in checkSettled).
 */
#define RANKS 3
#define BALLOTS 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NONE 0
#define CANCEL 1
#define RELEASE 2
/* The index of ballot b and rank r in an array. */
#define AT(b, r) (((b) - 1) * RANKS + (r))

/* State of the engines. */
bit armed[RANKS];
bit inForce[RANKS];
byte entered[RANKS]; /* 0, or inForce + 1 when the armed step began. */

/* State of the endpoint processes. A restart loses all but the incarnation. */
byte promised[RANKS]; /* Highest ballot promised. */
byte decision[RANKS]; /* NONE, CANCEL or RELEASE. */
byte incarnation[RANKS];
byte restarts = 0;

/* Messages, by ballot and rank. 0 means not sent. Orders to arm, orders to
   apply an outcome, and all answers hold the incarnation of the rank's process
   plus one. reportedDecision belongs to promiseAnswer; outcome, by ballot only,
   is the decision that outcomeOrder carries. */
bit promiseOrder[BALLOTS * RANKS];
byte promiseAnswer[BALLOTS * RANKS];
byte reportedDecision[BALLOTS * RANKS];
byte armOrder[RANKS];
byte armAnswer[RANKS];
byte outcomeOrder[BALLOTS * RANKS];
byte outcome[BALLOTS + 1];
byte outcomeAnswer[BALLOTS * RANKS];

/* By ballot: the process that uses the ballot has restarted. */
bit ownerRestarted[BALLOTS + 1];

/* Whether rank r accepts an order of ballot b that was sent to incarnation
   to - 1. */
#ifdef RESTART_TAKES_ORDERS_AT_ONCE
#define ACCEPTS(b, r, to) (promised[r] <= b)
#else
#ifdef DRIVER_ACTS_AFTER_LEASE
#define ACCEPTS(b, r, to)                                                      \
  ((to) == incarnation[r] + 1 && (promised[r] == b || b == 1))
#else
#define ACCEPTS(b, r, to) ((to) == incarnation[r] + 1 && promised[r] == b)
#endif
#endif

#define UNDECIDED(r) (decision[r] == NONE)

#define MAY_PROMISE(b, r) (promised[r] <= b)

inline handlePromise(b, r) {
  d_step {
    promised[r] = b;
    promiseAnswer[AT(b, r)] = incarnation[r] + 1;
    reportedDecision[AT(b, r)] = (inForce[r] -> RELEASE : decision[r])
  }
}

inline handleArm(r) {
  d_step {
    armed[r] = 1;
    promised[r] = (promised[r] < 1 -> 1 : promised[r]);
    armAnswer[r] = armOrder[r]
  }
}

inline handleOutcome(b, r) {
  d_step {
    promised[r] = (promised[r] < b -> b : promised[r]);
    if
    :: outcome[b] == RELEASE && armed[r] -> inForce[r] = 1
    :: else -> skip
    fi;
    armed[r] = 0;
    decision[r] = outcome[b];
    outcomeAnswer[AT(b, r)] = outcomeOrder[AT(b, r)]
  }
}

/* An engine enters the armed step with the map that it has in force. */
inline enter(r) {
  d_step {
    entered[r] = inForce[r] + 1;
    assert(!entered[0] || entered[0] == entered[r]);
    assert(!entered[1] || entered[1] == entered[r]);
    assert(!entered[2] || entered[2] == entered[r])
  }
}

inline restart(r) {
  d_step {
    restarts++;
    incarnation[r]++;
    promised[r] = 0;
    decision[r] = NONE;
    /* The process also ran the driver (rank 0) or the settler's first attempt
       (rank 1). */
    if
    :: r == 0 -> ownerRestarted[1] = 1
    :: r == 1 -> ownerRestarted[2] = 1
    :: else -> skip
    fi
  }
}

proctype RankProcess(byte r) {
endLoop:
  do
  :: !entered[r] && !armed[r] -> enter(r)
  :: atomic { armOrder[r] > 0 && ACCEPTS(1, r, armOrder[r]) && UNDECIDED(r) &&
              !entered[r] && !armed[r] && !inForce[r] ->
       handleArm(r) }
  :: atomic { promiseOrder[AT(1, r)] && MAY_PROMISE(1, r) &&
              promiseAnswer[AT(1, r)] != incarnation[r] + 1 ->
       handlePromise(1, r) }
  :: atomic { promiseOrder[AT(2, r)] && MAY_PROMISE(2, r) &&
              promiseAnswer[AT(2, r)] != incarnation[r] + 1 ->
       handlePromise(2, r) }
  :: atomic { promiseOrder[AT(3, r)] && MAY_PROMISE(3, r) &&
              promiseAnswer[AT(3, r)] != incarnation[r] + 1 ->
       handlePromise(3, r) }
  :: atomic { outcomeOrder[AT(1, r)] > 0 &&
              ACCEPTS(1, r, outcomeOrder[AT(1, r)]) &&
              outcomeAnswer[AT(1, r)] == 0 ->
       handleOutcome(1, r) }
  :: atomic { outcomeOrder[AT(2, r)] > 0 &&
              ACCEPTS(2, r, outcomeOrder[AT(2, r)]) &&
              outcomeAnswer[AT(2, r)] == 0 ->
       handleOutcome(2, r) }
  :: atomic { outcomeOrder[AT(3, r)] > 0 &&
              ACCEPTS(3, r, outcomeOrder[AT(3, r)]) &&
              outcomeAnswer[AT(3, r)] == 0 ->
       handleOutcome(3, r) }
  :: atomic { restarts < RESTARTS && !promiseOrder[AT(3, 1)] -> restart(r) }
  od
}

/* Whether all ranks have answered the Promise order, or the outcome, of ballot
   b. */
#define ALL_PROMISED(b)                                                        \
  (promiseAnswer[AT(b, 0)] && promiseAnswer[AT(b, 1)] &&                       \
   promiseAnswer[AT(b, 2)])
#define ALL_APPLIED(b)                                                         \
  (outcomeAnswer[AT(b, 0)] && outcomeAnswer[AT(b, 1)] &&                       \
   outcomeAnswer[AT(b, 2)])

/* Whether any process has restarted since it promised ballot b. */
#define RESTARTED(b)                                                           \
  (outcomeOrder[AT(b, 0)] != incarnation[0] + 1 ||                             \
   outcomeOrder[AT(b, 1)] != incarnation[1] + 1 ||                             \
   outcomeOrder[AT(b, 2)] != incarnation[2] + 1)

/* Whether any rank reported decision d when it promised ballot b. */
#define REPORTED(b, d)                                                         \
  (reportedDecision[AT(b, 0)] == d || reportedDecision[AT(b, 1)] == d ||       \
   reportedDecision[AT(b, 2)] == d)

inline sendPromiseOrders(b) {
  d_step {
    promiseOrder[AT(b, 0)] = 1;
    promiseOrder[AT(b, 1)] = 1;
    promiseOrder[AT(b, 2)] = 1
  }
}

inline sendOutcome(b, d) {
  d_step {
    outcome[b] = d;
    outcomeOrder[AT(b, 0)] = promiseAnswer[AT(b, 0)];
    outcomeOrder[AT(b, 1)] = promiseAnswer[AT(b, 1)];
    outcomeOrder[AT(b, 2)] = promiseAnswer[AT(b, 2)]
  }
}

/* Sends the outcome to the processes that received the orders to arm, which are
   those that first answered the driver. */
inline sendDriverOutcome(d) {
#ifdef RELEASE_TO_LATEST_PROCESS
  sendOutcome(1, d)
#else
  d_step {
    outcome[1] = d;
    outcomeOrder[0] = armOrder[0];
    outcomeOrder[1] = armOrder[1];
    outcomeOrder[2] = armOrder[2]
  }
#endif
}

/* Sends one decision after all answers: the one that a rank reports as applied,
   otherwise a cancellation. */
inline settle(b) {
#ifdef SETTLEMENT_CHOOSES_TWICE
  sendOutcome(b, CANCEL)
#else
  if
  :: REPORTED(b, RELEASE) -> sendOutcome(b, RELEASE)
  :: else -> sendOutcome(b, CANCEL)
  fi
#endif
}

inline checkSettled() {
  assert(!armed[0] && !armed[1] && !armed[2]);
  assert(inForce[0] == inForce[1] && inForce[1] == inForce[2])
}

/* Holds the lease at first. It may be paused at any point, and then
   continues. */
proctype Driver() {
  promiseOrder[AT(1, 0)] = 1;
endOwner:
  atomic { promiseAnswer[AT(1, 0)] > 0 && !ownerRestarted[1] ->
    sendPromiseOrders(1) };
endPromising:
  if
  :: ALL_PROMISED(1) && !ownerRestarted[1] ->
    d_step {
      armOrder[0] = promiseAnswer[AT(1, 0)];
      armOrder[1] = promiseAnswer[AT(1, 1)];
      armOrder[2] = promiseAnswer[AT(1, 2)]
    };
endArming:
    if
#ifdef RELEASE_BEFORE_ALL_ARMED
    :: atomic { !ownerRestarted[1] && armAnswer[0] ->
         sendDriverOutcome(RELEASE) }
#else
    :: atomic { !ownerRestarted[1] && armAnswer[0] && armAnswer[1] &&
                armAnswer[2] ->
         sendDriverOutcome(RELEASE) }
#endif
    :: atomic { !ownerRestarted[1] -> sendDriverOutcome(CANCEL) }
    fi
  fi
}

/*
 * Starts a settlement at any time. It may abandon its first ballot at any
 * point, on its own or because its process restarted, and settles again while
 * messages of the first ballot may still be delivered.
 */
proctype Settler() {
  promiseOrder[AT(2, 1)] = 1;
  if
  :: atomic { promiseAnswer[AT(2, 1)] > 0 && !ownerRestarted[2] ->
       sendPromiseOrders(2) };
    if
    :: atomic { ALL_PROMISED(2) && !ownerRestarted[2] -> settle(2) };
      if
      :: atomic { ALL_APPLIED(2) && !RESTARTED(2) -> checkSettled(); goto end }
      :: skip
      fi
    :: skip
    fi
  :: skip
  fi;
  promiseOrder[AT(3, 1)] = 1;
  atomic { promiseAnswer[AT(3, 1)] > 0 -> sendPromiseOrders(3) };
  atomic { ALL_PROMISED(3) -> settle(3) };
  atomic { ALL_APPLIED(3) -> checkSettled() };
end:
  skip
}

init {
  atomic {
    run RankProcess(0);
    run RankProcess(1);
    run RankProcess(2);
    run Driver();
    run Settler()
  }
}
