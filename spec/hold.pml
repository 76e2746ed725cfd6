/* mutants: CANCEL_WHEN_ARMED DECIDE_BY_ALL_ARMED ARM_BEFORE_HOLD NO_FENCE HOLDER_FENCED_LAST RELEASE_BEFORE_ALL_ARMED ARM_CONFIRMED_BY_HOLD */
/*
 * The orders of one map switch at the servers of three ranks, where the server
 * of rank 0 holds the step for all (src/direct/rank_server.cpp). map.pml shows
 * that a switch has one outcome while its processes live. This model shows that
 * no pass uses different maps on different ranks although all processes may end
 * and start again, and although a server may carry out an order after its
 * sender has ended, and after newer orders.
 *
 * Servers keep their state; processes keep nothing. The server of rank 0
 * decides: once it is armed, the switch is completed, whoever leads; once it
 * has another map prepared (the fence), it can't be armed, and the switch is
 * cancelled. It is armed before any other rank, and no rank is disarmed, so
 * that both are final. A late order to release the hold is therefore sent only
 * after all ranks were armed, or after the fence.
 *
 * An order is either carried out at once, or delayed and carried out at any
 * later time or never. The leader repeats it until the server's state shows its
 * effect. The leader and all agents end and start again at any point, up to
 * RESTARTS times; a leader then settles what it finds at the servers.
 *
 * Properties: when the group begins the armed step, the map is armed at all
 * ranks or at none (assert in Group).
 */
#define RANKS 3
#define HOLDER 0
#ifndef RESTARTS
#define RESTARTS 3
#endif
#define MAP 1   /* The map of the switch. */
#define FENCE 2 /* A later map; once it is prepared, MAP can't be armed. */

/* State of the servers. */
bit armed[RANKS];
byte prepared[RANKS] = MAP; /* The map whose weights the server has. */
bit held;                   /* The server of HOLDER holds the step. */
bit stepBegun;

/* Orders that were sent and not carried out yet. */
bit delayedArm[RANKS];
bit delayedDisarm[RANKS]; /* Used by mutants alone. */
bit delayedFence[RANKS];
bit delayedHold;
bit delayedReleaseHold;

byte restarts;
/* The processes know of a release; lost when they restart. Used by a mutant. */
bit hasReleased;

/* The server carries out an order. */
inline applyArm(r) {
  if
  :: prepared[r] == MAP && !armed[r] && !stepBegun -> armed[r] = 1
  :: else
  fi
}
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
inline sendDisarm(r) { if :: armed[r] = 0 :: delayedDisarm[r] = 1 fi }
inline sendFence(r) { if :: applyFence(r) :: delayedFence[r] = 1 fi }
inline sendHold() { if :: applyHold() :: delayedHold = 1 fi }
inline sendReleaseHold() { if :: held = 0 :: delayedReleaseHold = 1 fi }

/* All processes end and start again. */
#define RESTART restarts < RESTARTS -> restarts++; hasReleased = 0; goto settle

/* The agent of rank r arms its server; that of HOLDER only while it is held. */
inline arm(r) {
  do
  :: atomic { !armed[r] && !stepBegun && prepared[r] == MAP &&
              (r != HOLDER || held) -> sendArm(r) }
#ifdef ARM_CONFIRMED_BY_HOLD
  :: armed[r] || (r == HOLDER && held) -> break
#else
  :: armed[r] -> break
#endif
  :: stepBegun -> goto settle
  :: !armed[r] && (prepared[r] != MAP || (r == HOLDER && !held)) -> goto settle
  :: atomic { RESTART }
  od
}

/* The agent of rank r fences its server. */
inline fence(r) {
  do
#if defined(CANCEL_WHEN_ARMED) || defined(DECIDE_BY_ALL_ARMED)
  :: atomic { armed[r] -> sendDisarm(r) }
#else
  :: armed[r] -> goto settle
#endif
#ifdef NO_FENCE
  :: !armed[r] -> break
#else
  :: atomic { !armed[r] && prepared[r] == MAP -> sendFence(r) }
  :: !armed[r] && prepared[r] != MAP -> break
#endif
  :: atomic { RESTART }
  od
}

inline releaseHold() {
  do
  :: atomic { held -> sendReleaseHold() }
  :: !held -> break
  :: atomic { RESTART }
  od
}

active proctype Leader() {
  bit anyArmed;
  bit allArmed;
  byte r;
  /* The first leader begins the switch. */
  if
  :: atomic { sendHold() }
  :: goto settle
  fi;
#ifdef ARM_BEFORE_HOLD
  arm(1); arm(0); arm(2);
#else
  arm(0); arm(1); arm(2);
#endif
  hasReleased = 1;
  releaseHold();
settle:
  /* Waits until ranks are armed or the step is held, and reads their states one
     after the other. Late orders may change them meanwhile. */
end:
  (armed[0] || armed[1] || armed[2] || held) && !stepBegun;
  anyArmed = 0; allArmed = 1; r = 0;
  do
  :: atomic { r < RANKS ->
       anyArmed = anyArmed || armed[r];
       allArmed = allArmed && armed[r];
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
  if
  :: stepBegun -> goto settle
#ifdef CANCEL_WHEN_ARMED
  :: !stepBegun && hasReleased -> releaseHold()
  :: !stepBegun && !hasReleased ->
     fence(0); fence(1); fence(2); releaseHold()
#else
#ifdef DECIDE_BY_ALL_ARMED
  :: !stepBegun && allArmed -> releaseHold()
  :: !stepBegun && !allArmed ->
     fence(0); fence(1); fence(2); releaseHold()
#else
  :: !stepBegun && anyArmed ->
#ifndef RELEASE_BEFORE_ALL_ARMED
     arm(0); arm(1); arm(2);
#endif
     releaseHold()
  :: !stepBegun && !anyArmed ->
#ifdef HOLDER_FENCED_LAST
     fence(1); fence(2); releaseHold()
#else
     fence(0); fence(1); fence(2); releaseHold()
#endif
#endif
#endif
  fi;
  goto settle
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
  :: atomic { delayedDisarm[0] -> delayedDisarm[0] = 0; armed[0] = 0 }
  :: atomic { delayedDisarm[1] -> delayedDisarm[1] = 0; armed[1] = 0 }
  :: atomic { delayedDisarm[2] -> delayedDisarm[2] = 0; armed[2] = 0 }
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
