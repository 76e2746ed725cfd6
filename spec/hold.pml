/* mutants: ARM_BEFORE_HOLD NO_FENCE RESUME_BEFORE_ALL_CANCELLED HOLDER_RELEASED_FIRST ARM_CONFIRMED_BY_HOLD */
/*
 * The orders of one map switch at the servers of three ranks, where the server
 * of rank 0 holds the step for all (src/direct/rank_server.cpp). map.pml shows
 * that a switch has one outcome. This model shows that no pass uses different
 * maps on different ranks, although a server may carry out an order after its
 * sender has stopped waiting for the answer, and after newer orders.
 *
 * A server keeps its state. An order that is sent is either carried out at
 * once, or delayed and carried out at any later time or never. The sender
 * repeats it until the server's state shows its effect. The driver may end at
 * any time; the settler then has all ranks promise its ballot. An endpoint
 * process may restart: it then loses its decision and accepts no more orders of
 * the driver. At most RESTARTS restarts happen. Once all processes that have
 * recorded a release have restarted, no process knows of a delayed order to
 * release the hold. RESTARTS therefore stays below the number of those
 * processes, which is two here.
 *
 * Properties: when the group begins the armed step, the map is armed at all
 * ranks or at none (assert in Group); a settlement ends (else an invalid end
 * state).
 */
#define RANKS 3
#define HOLDER 0
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NONE 0
#define CANCEL 1
#define RELEASE 2
#define MAP 1   /* The map of the switch. */
#define FENCE 2 /* A later map; once it is prepared, MAP can't be armed. */

/* State of the servers. */
bit armed[RANKS];
byte prepared[RANKS] = MAP; /* The map whose weights the server has. */
bit held;                   /* The server of HOLDER holds the step. */
bit stepBegun;

/* Orders that were sent and not carried out yet. */
bit delayedArm[RANKS];
bit delayedDisarm[RANKS];
bit delayedFence[RANKS];
bit delayedHold;
bit delayedReleaseHold;

/* State of the endpoint processes. */
byte decision[RANKS]; /* NONE, CANCEL or RELEASE. */
/* A process that has restarted, or has promised the ballot of the settler,
   refuses the orders of the driver. */
bit hasRestarted[RANKS];
bit hasPromised[RANKS];
byte restarts; /* Number of restarts so far, of all processes. */
bit driverEnded;
bit settled;

/* The server carries out an order. */
inline applyArm(r) {
  if
  :: prepared[r] == MAP && !armed[r] && !stepBegun -> armed[r] = 1
  :: else
  fi
}
inline applyDisarm(r) { armed[r] = 0 }
inline applyFence(r) {
  if
  :: !armed[r] && prepared[r] < FENCE -> prepared[r] = FENCE
  :: else
  fi
}
inline applyHold() {
  if
  :: !stepBegun -> held = 1
  :: else
  fi
}

/* Sends an order: the server carries it out at once, or it is delayed. */
inline sendArm(r) { if :: applyArm(r) :: delayedArm[r] = 1 fi }
inline sendDisarm(r) { if :: applyDisarm(r) :: delayedDisarm[r] = 1 fi }
inline sendFence(r) { if :: applyFence(r) :: delayedFence[r] = 1 fi }
inline sendHold() { if :: applyHold() :: delayedHold = 1 fi }
inline sendReleaseHold() { if :: held = 0 :: delayedReleaseHold = 1 fi }

/* Whether the process of rank r accepts orders of the driver. */
#define ACCEPTS_DRIVER(r) (!hasRestarted[r] && !hasPromised[r])

/* The process of rank r disarms and fences its server, as long as it accepts
   the sender's orders. */
inline cancel(r, accepts) {
  do
  :: atomic { accepts && armed[r] -> sendDisarm(r) }
#ifndef NO_FENCE
  :: atomic { accepts && !armed[r] && prepared[r] == MAP -> sendFence(r) }
  :: atomic { accepts && !armed[r] && prepared[r] != MAP ->
       decision[r] = CANCEL; break }
#else
  :: atomic { accepts && !armed[r] -> decision[r] = CANCEL; break }
#endif
  :: !(accepts) -> goto ended
  od
}

/* The process of rank 0 releases the hold. */
inline releaseHold(accepts) {
  do
  :: atomic { accepts && held -> sendReleaseHold() }
  :: accepts && !held -> break
  :: !(accepts) -> goto ended
  od
}

/* The process of rank r records the release; that of rank 0 also releases the
   hold for all ranks. */
inline release(r, accepts) {
  if
  :: atomic { accepts -> decision[r] = RELEASE }
  :: !(accepts) -> goto ended
  fi;
  if
  :: r == HOLDER -> releaseHold(accepts)
  :: else
  fi
}

/* The process of rank r arms its server, or refuses. */
inline arm(r) {
  do
  :: atomic { ACCEPTS_DRIVER(r) && !armed[r] && !stepBegun &&
              prepared[r] == MAP && (r != HOLDER || held) -> sendArm(r) }
#ifdef ARM_CONFIRMED_BY_HOLD
  :: ACCEPTS_DRIVER(r) && (armed[r] || (r == HOLDER && held)) -> break
#else
  :: ACCEPTS_DRIVER(r) && armed[r] -> break
#endif
  :: !ACCEPTS_DRIVER(r) -> goto ended
  :: goto refused
  od
}

active proctype Driver() {
  byte r;
  /* The driver may end wherever a branch goes to "ended". */
  if
  :: atomic { sendHold() }
  :: goto ended
  fi;
#ifdef ARM_BEFORE_HOLD
  arm(1); arm(2); arm(0);
#else
  arm(0); arm(1); arm(2);
#endif
  if
  :: skip
  :: goto ended
  fi;
#ifdef HOLDER_RELEASED_FIRST
  release(0, ACCEPTS_DRIVER(0));
  if :: skip :: goto ended fi;
  release(1, ACCEPTS_DRIVER(1));
#else
  release(1, ACCEPTS_DRIVER(1));
  if :: skip :: goto ended fi;
  release(0, ACCEPTS_DRIVER(0));
#endif
  release(2, ACCEPTS_DRIVER(2));
  goto ended;
refused:
  if
  :: skip
  :: goto ended
  fi;
#ifdef RESUME_BEFORE_ALL_CANCELLED
  cancel(0, ACCEPTS_DRIVER(0));
  releaseHold(ACCEPTS_DRIVER(0));
  cancel(1, ACCEPTS_DRIVER(1));
  cancel(2, ACCEPTS_DRIVER(2));
#else
  cancel(0, ACCEPTS_DRIVER(0));
  cancel(1, ACCEPTS_DRIVER(1));
  cancel(2, ACCEPTS_DRIVER(2));
  releaseHold(ACCEPTS_DRIVER(0));
#endif
ended:
  driverEnded = 1
}

active proctype Settler() {
  byte r;
  bit anyArmedOrHeld = 0;
  bit anyReleased = 0;
  driverEnded;
  do
  :: atomic { r < RANKS ->
       hasPromised[r] = 1;
       anyArmedOrHeld = anyArmedOrHeld || armed[r] || (r == HOLDER && held);
       /* Rank 0 is armed and not held, so it has released the hold. */
       anyReleased = anyReleased || decision[r] == RELEASE ||
                    (r == HOLDER && armed[r] && !held);
       r++ }
  :: r == RANKS -> break
  od;
  if
  :: !anyArmedOrHeld || stepBegun -> skip
  :: anyArmedOrHeld && anyReleased && !stepBegun ->
     release(1, true); release(2, true); release(0, true)
  :: anyArmedOrHeld && !anyReleased && !stepBegun ->
     cancel(0, true); cancel(1, true); cancel(2, true); releaseHold(true)
  fi;
ended:
  settled = 1
}

active proctype Restarts() {
end:
  do
  :: atomic { restarts < RESTARTS && !hasPromised[0] ->
       hasRestarted[0] = 1; decision[0] = NONE; restarts++ }
  :: atomic { restarts < RESTARTS && !hasPromised[1] ->
       hasRestarted[1] = 1; decision[1] = NONE; restarts++ }
  :: atomic { restarts < RESTARTS && !hasPromised[2] ->
       hasRestarted[2] = 1; decision[2] = NONE; restarts++ }
  od
}

/* Delivers delayed orders at any time, or never. */
active proctype Network() {
end:
  do
  :: atomic { delayedHold -> delayedHold = 0; applyHold() }
  :: atomic { delayedReleaseHold -> delayedReleaseHold = 0; held = 0 }
  :: atomic { delayedArm[0] -> delayedArm[0] = 0; applyArm(0) }
  :: atomic { delayedArm[1] -> delayedArm[1] = 0; applyArm(1) }
  :: atomic { delayedArm[2] -> delayedArm[2] = 0; applyArm(2) }
  :: atomic { delayedDisarm[0] -> delayedDisarm[0] = 0; applyDisarm(0) }
  :: atomic { delayedDisarm[1] -> delayedDisarm[1] = 0; applyDisarm(1) }
  :: atomic { delayedDisarm[2] -> delayedDisarm[2] = 0; applyDisarm(2) }
  :: atomic { delayedFence[0] -> delayedFence[0] = 0; applyFence(0) }
  :: atomic { delayedFence[1] -> delayedFence[1] = 0; applyFence(1) }
  :: atomic { delayedFence[2] -> delayedFence[2] = 0; applyFence(2) }
  od
}

/* The group begins the armed step as soon as the server of rank 0 does not hold
   it. */
active proctype Group() {
end:
  atomic {
    !held && !stepBegun ->
    stepBegun = 1;
    assert(armed[0] == armed[1] && armed[1] == armed[2])
  }
}
