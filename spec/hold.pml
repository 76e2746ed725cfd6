/* mutants: ARM_BEFORE_HOLD NO_FENCE RESUME_BEFORE_ALL_CANCELLED HOLDER_RELEASED_FIRST */
/*
 * The orders of one map switch at the servers of three ranks, of which rank 0
 * holds the step for all (src/direct/rank_server.cpp). map.pml shows that a
 * switch has one outcome; this model shows that no pass mixes maps though any
 * order may be carried out later than its answer is waited for, after newer ones.
 *
 * A server keeps its state. Giving an order either carries it out or leaves it
 * on its way, to be carried out at any later time or never; it is given again
 * until the server's state shows it. The driver may end at any time; the settler
 * then asks all ranks. A process may restart: it forgets what it has taken, and
 * takes no more orders of the driver. RESTARTS restarts happen at most. Once all
 * processes that know of a release have restarted, an order to let go that is
 * still on its way can't be known of; so RESTARTS stays below the number that
 * know, which is two here.
 *
 * Claim: the armed step begins with the map armed at all ranks or at none
 * (assert in Group), and a settlement ends (an invalid end state otherwise).
 */
#define RANKS 3
#define HOLDER 0
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NONE 0
#define CANCEL 1
#define RELEASE 2
#define MAP 1
#define FENCE 2

/* Servers. */
bit armed[RANKS];
byte prepared[RANKS] = MAP; /* The weights of the map are there. */
bit held;
bit begun;

/* Orders on their way. */
bit lateArm[RANKS];
bit lateDisarm[RANKS];
bit lateFence[RANKS];
bit lateHold;
bit lateGo;

/* Processes. */
byte taken[RANKS];
bit isNew[RANKS];   /* Restarted: takes no orders of the driver. */
bit asked[RANKS];   /* Promised the settler: takes no orders of the driver. */
byte restarts;
bit driverEnded;
bit settled;

inline doArm(r) {
  if
  :: prepared[r] == MAP && !armed[r] && !begun -> armed[r] = 1
  :: else
  fi
}
inline doDisarm(r) { armed[r] = 0 }
inline doFence(r) {
  if
  :: !armed[r] && prepared[r] < FENCE -> prepared[r] = FENCE
  :: else
  fi
}
inline doHold() {
  if
  :: !begun -> held = 1
  :: else
  fi
}

/* Gives an order: now, or on its way. */
inline giveArm(r) { if :: doArm(r) :: lateArm[r] = 1 fi }
inline giveDisarm(r) { if :: doDisarm(r) :: lateDisarm[r] = 1 fi }
inline giveFence(r) { if :: doFence(r) :: lateFence[r] = 1 fi }
inline giveHold() { if :: doHold() :: lateHold = 1 fi }
inline giveGo() { if :: held = 0 :: lateGo = 1 fi }

#define TAKES(r) (!isNew[r] && !asked[r])

/* The process of rank r disarms and fences; BY says whose orders it takes. */
inline cancel(r, takes) {
  do
  :: atomic { takes && armed[r] -> giveDisarm(r) }
#ifndef NO_FENCE
  :: atomic { takes && !armed[r] && prepared[r] == MAP -> giveFence(r) }
  :: atomic { takes && !armed[r] && prepared[r] != MAP -> taken[r] = CANCEL; break }
#else
  :: atomic { takes && !armed[r] -> taken[r] = CANCEL; break }
#endif
  :: !(takes) -> goto ended
  od
}

/* The process of rank 0 lets go. */
inline letGo(takes) {
  do
  :: atomic { takes && held -> giveGo() }
  :: takes && !held -> break
  :: !(takes) -> goto ended
  od
}

/* The process of rank r takes the release; rank 0 lets go for all. */
inline release(r, takes) {
  if
  :: atomic { takes -> taken[r] = RELEASE }
  :: !(takes) -> goto ended
  fi;
  if
  :: r == HOLDER -> letGo(takes)
  :: else
  fi
}

/* The process of rank r arms, if it can. */
inline arm(r) {
  do
  :: atomic { TAKES(r) && !armed[r] && !begun && prepared[r] == MAP &&
              (r != HOLDER || held) -> giveArm(r) }
  :: TAKES(r) && armed[r] -> break
  :: !TAKES(r) -> goto ended
  :: goto refused
  od
}

active proctype Driver() {
  byte r;
  /* It may end wherever "ended" can be reached. */
  if
  :: atomic { giveHold() }
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
  release(0, TAKES(0));
  if :: skip :: goto ended fi;
  release(1, TAKES(1));
#else
  release(1, TAKES(1));
  if :: skip :: goto ended fi;
  release(0, TAKES(0));
#endif
  release(2, TAKES(2));
  goto ended;
refused:
  if
  :: skip
  :: goto ended
  fi;
#ifdef RESUME_BEFORE_ALL_CANCELLED
  cancel(0, TAKES(0));
  letGo(TAKES(0));
  cancel(1, TAKES(1));
  cancel(2, TAKES(2));
#else
  cancel(0, TAKES(0));
  cancel(1, TAKES(1));
  cancel(2, TAKES(2));
  letGo(TAKES(0));
#endif
ended:
  driverEnded = 1
}

active proctype Settler() {
  byte r;
  bit isArmed = 0;
  bit isReleased = 0;
  driverEnded;
  do
  :: atomic { r < RANKS ->
       asked[r] = 1;
       isArmed = isArmed || armed[r] || (r == HOLDER && held);
       /* Armed and not held: rank 0 has let go. */
       isReleased = isReleased || taken[r] == RELEASE ||
                    (r == HOLDER && armed[r] && !held);
       r++ }
  :: r == RANKS -> break
  od;
  if
  :: !isArmed || begun -> skip
  :: isArmed && isReleased && !begun ->
     release(1, true); release(2, true); release(0, true)
  :: isArmed && !isReleased && !begun ->
     cancel(0, true); cancel(1, true); cancel(2, true); letGo(true)
  fi;
ended:
  settled = 1
}

active proctype Restarts() {
end:
  do
  :: atomic { restarts < RESTARTS && !asked[0] ->
       isNew[0] = 1; taken[0] = NONE; restarts++ }
  :: atomic { restarts < RESTARTS && !asked[1] ->
       isNew[1] = 1; taken[1] = NONE; restarts++ }
  :: atomic { restarts < RESTARTS && !asked[2] ->
       isNew[2] = 1; taken[2] = NONE; restarts++ }
  od
}

active proctype Network() {
end:
  do
  :: atomic { lateHold -> lateHold = 0; doHold() }
  :: atomic { lateGo -> lateGo = 0; held = 0 }
  :: atomic { lateArm[0] -> lateArm[0] = 0; doArm(0) }
  :: atomic { lateArm[1] -> lateArm[1] = 0; doArm(1) }
  :: atomic { lateArm[2] -> lateArm[2] = 0; doArm(2) }
  :: atomic { lateDisarm[0] -> lateDisarm[0] = 0; doDisarm(0) }
  :: atomic { lateDisarm[1] -> lateDisarm[1] = 0; doDisarm(1) }
  :: atomic { lateDisarm[2] -> lateDisarm[2] = 0; doDisarm(2) }
  :: atomic { lateFence[0] -> lateFence[0] = 0; doFence(0) }
  :: atomic { lateFence[1] -> lateFence[1] = 0; doFence(1) }
  :: atomic { lateFence[2] -> lateFence[2] = 0; doFence(2) }
  od
}

/* The group begins the step once nothing holds it. */
active proctype Group() {
end:
  atomic {
    !held && !begun ->
    begun = 1;
    assert(armed[0] == armed[1] && armed[1] == armed[2])
  }
}
