/* mutants: RELEASE_BEFORE_ALL_ARMED DRIVER_ACTS_AFTER_LEASE SETTLEMENT_CHOOSES_TWICE RESTART_TAKES_ORDERS_AT_ONCE RELEASE_TO_LATEST_PROCESS */
/*
 * The switch of one expert map among three ranks.
 *
 * RankProcess stands for decideRank (src/group/rank.cpp), Driver and Settler
 * for decideDriver (src/group/driver.cpp). Engines keep their state when an
 * endpoint process restarts; an order at an engine and the read back are one
 * step, as decideRank answers no Ask in between.
 *
 * A message that was sent may be delivered at any later time, again, or never:
 * it stays in its set, and no delivery is forced. Ballots, in rising order:
 * 1 the driver, whose lease may have lapsed at any time while it is paused;
 * 2 and 3 a settler and its second try. Each first promises its ballot at its own
 * rank. No process restarts once ballot 3 is in use; a restart in the midst of a
 * settlement is one during ballot 2.
 *
 * Claims: all ranks that enter the armed step use one map (assert in enter);
 * the settler always ends, and leaves no rank armed and one map in force
 * (an invalid end state or the assert in Settler otherwise).
 */
#define RANKS 3
#define BALLOTS 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NONE 0
#define CANCEL 1
#define RELEASE 2
#define AT(b, r) (((b) - 1) * RANKS + (r))

/* Engines. */
bit armed[RANKS];
bit inForce[RANKS];
byte entered[RANKS]; /* 0, or the map used in the armed step plus one. */

/* Endpoint processes; lost on restart, but for the incarnation. */
byte promised[RANKS];
byte taken[RANKS];
byte incarnation[RANKS];
byte restarts = 0;

/* Messages, by ballot and rank. Incarnations are kept plus one; 0: not sent. */
bit ask[BALLOTS * RANKS];
byte answer[BALLOTS * RANKS];
byte answerTaken[BALLOTS * RANKS];
byte arm[RANKS];
byte armAnswer[RANKS];
byte order[BALLOTS * RANKS];
byte outcome[BALLOTS + 1];
byte done[BALLOTS * RANKS];
bit dead[BALLOTS + 1];    /* The owner has restarted. */

#ifdef RESTART_TAKES_ORDERS_AT_ONCE
#define CURRENT(b, r, to) (promised[r] <= b)
#else
#ifdef DRIVER_ACTS_AFTER_LEASE
#define CURRENT(b, r, to) ((to) == incarnation[r] + 1 && (promised[r] == b || b == 1))
#else
#define CURRENT(b, r, to) ((to) == incarnation[r] + 1 && promised[r] == b)
#endif
#endif

#define UNDECIDED(r) (taken[r] == NONE)

#define MAY_PROMISE(b, r) (promised[r] <= b)

inline takeAsk(b, r) {
  d_step {
    promised[r] = b;
    answer[AT(b, r)] = incarnation[r] + 1;
    answerTaken[AT(b, r)] = (inForce[r] -> RELEASE : taken[r])
  }
}

inline takeArm(r) {
  d_step {
    armed[r] = 1;
    promised[r] = (promised[r] < 1 -> 1 : promised[r]);
    armAnswer[r] = arm[r]
  }
}

inline takeOutcome(b, r) {
  d_step {
    promised[r] = (promised[r] < b -> b : promised[r]);
    if
    :: outcome[b] == RELEASE && armed[r] -> inForce[r] = 1
    :: else -> skip
    fi;
    armed[r] = 0;
    taken[r] = outcome[b];
    done[AT(b, r)] = order[AT(b, r)]
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
    taken[r] = NONE;
    /* Ballots of coordinators that this process ran. */
    if
    :: r == 0 -> dead[1] = 1
    :: r == 1 -> dead[2] = 1
    :: else -> skip
    fi
  }
}

proctype RankProcess(byte r) {
endLoop:
  do
  :: !entered[r] && !armed[r] -> enter(r)
  :: atomic { arm[r] > 0 && CURRENT(1, r, arm[r]) && UNDECIDED(r) && !entered[r] && !armed[r] && !inForce[r] -> takeArm(r) }
  :: atomic { ask[AT(1, r)] && MAY_PROMISE(1, r) && answer[AT(1, r)] != incarnation[r] + 1 -> takeAsk(1, r) }
  :: atomic { ask[AT(2, r)] && MAY_PROMISE(2, r) && answer[AT(2, r)] != incarnation[r] + 1 -> takeAsk(2, r) }
  :: atomic { ask[AT(3, r)] && MAY_PROMISE(3, r) && answer[AT(3, r)] != incarnation[r] + 1 -> takeAsk(3, r) }
  :: atomic { order[AT(1, r)] > 0 && CURRENT(1, r, order[AT(1, r)]) && done[AT(1, r)] == 0 -> takeOutcome(1, r) }
  :: atomic { order[AT(2, r)] > 0 && CURRENT(2, r, order[AT(2, r)]) && done[AT(2, r)] == 0 -> takeOutcome(2, r) }
  :: atomic { order[AT(3, r)] > 0 && CURRENT(3, r, order[AT(3, r)]) && done[AT(3, r)] == 0 -> takeOutcome(3, r) }
  :: atomic { restarts < RESTARTS && !ask[AT(3, 1)] -> restart(r) }
  od
}

#define ALL_ANSWERED(b) (answer[AT(b, 0)] && answer[AT(b, 1)] && answer[AT(b, 2)])
#define ALL_DONE(b) (done[AT(b, 0)] && done[AT(b, 1)] && done[AT(b, 2)])
#define RESTARTED(b) (order[AT(b, 0)] != incarnation[0] + 1 || order[AT(b, 1)] != incarnation[1] + 1 || order[AT(b, 2)] != incarnation[2] + 1)
#define SEEN(b, d) (answerTaken[AT(b, 0)] == d || answerTaken[AT(b, 1)] == d || answerTaken[AT(b, 2)] == d)

inline askAll(b) {
  d_step { ask[AT(b, 0)] = 1; ask[AT(b, 1)] = 1; ask[AT(b, 2)] = 1 }
}

inline sendOutcome(b, d) {
  d_step {
    outcome[b] = d;
    order[AT(b, 0)] = answer[AT(b, 0)];
    order[AT(b, 1)] = answer[AT(b, 1)];
    order[AT(b, 2)] = answer[AT(b, 2)]
  }
}

/* To the processes that answered the driver at first, and so have armed. */
inline sendDriverOutcome(d) {
#ifdef RELEASE_TO_LATEST_PROCESS
  sendOutcome(1, d)
#else
  d_step { outcome[1] = d; order[0] = arm[0]; order[1] = arm[1]; order[2] = arm[2] }
#endif
}

/* One decision over all answers: one already taken stands. */
inline settle(b) {
#ifdef SETTLEMENT_CHOOSES_TWICE
  sendOutcome(b, CANCEL)
#else
  if
  :: SEEN(b, RELEASE) -> sendOutcome(b, RELEASE)
  :: else -> sendOutcome(b, CANCEL)
  fi
#endif
}

inline checkSettled() {
  assert(!armed[0] && !armed[1] && !armed[2]);
  assert(inForce[0] == inForce[1] && inForce[1] == inForce[2])
}

/* Holds the lease at first; pauses anywhere and then acts on. */
proctype Driver() {
  ask[AT(1, 0)] = 1;
endOwner:
  atomic { answer[AT(1, 0)] > 0 && !dead[1] -> askAll(1) };
endAsking:
  if
  :: ALL_ANSWERED(1) && !dead[1] ->
    d_step { arm[0] = answer[AT(1, 0)]; arm[1] = answer[AT(1, 1)]; arm[2] = answer[AT(1, 2)] };
endArming:
    if
#ifdef RELEASE_BEFORE_ALL_ARMED
    :: atomic { !dead[1] && armAnswer[0] -> sendDriverOutcome(RELEASE) }
#else
    :: atomic { !dead[1] && armAnswer[0] && armAnswer[1] && armAnswer[2] -> sendDriverOutcome(RELEASE) }
#endif
    :: atomic { !dead[1] -> sendDriverOutcome(CANCEL) }
    fi
  fi
}

/*
 * Settles at any time; may give up its first ballot at any point, by itself or
 * since it restarted, and settles again while messages of the first ballot are
 * still on their way.
 */
proctype Settler() {
  ask[AT(2, 1)] = 1;
  if
  :: atomic { answer[AT(2, 1)] > 0 && !dead[2] -> askAll(2) };
    if
    :: atomic { ALL_ANSWERED(2) && !dead[2] -> settle(2) };
      if
      :: atomic { ALL_DONE(2) && !RESTARTED(2) -> checkSettled(); goto end }
      :: skip
      fi
    :: skip
    fi
  :: skip
  fi;
  ask[AT(3, 1)] = 1;
  atomic { answer[AT(3, 1)] > 0 -> askAll(3) };
  atomic { ALL_ANSWERED(3) -> settle(3) };
  atomic { ALL_DONE(3) -> checkSettled() };
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
