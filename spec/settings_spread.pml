/* mutants: STALE_INSTALL NO_FENCE IGNORE_SINCE RUN_WITHOUT_SETTINGS */
/*
 * Spread of accepted settings, restart, and the fence before a call.
 * Stands for: decideConfig and decideFence (src/config/decide.cpp),
 * serializeSnapshot and parseSnapshot (src/config/snapshot.cpp).
 *
 * Each generation accepts one team, so complete settings of generation g are
 * the set of bits 1 to g. The platform's index counts up. Processes 0 and 1 are
 * entries, process 2 is an endpoint process. All read the platform, whose reads
 * may be stale, or pull from a peer. A pull asks for what was accepted after a
 * generation; its answer may come late, after its asker has moved on or has
 * restarted without memory. A process that takes no steps is one that is cut
 * off. Calls carry the generation that their sender had at some time.
 *
 * Claims: the generation in force never goes down during one life; settings in
 * force are complete; a call runs only under the generation that its endpoint
 * process has in force.
 */
#define PROCESSES 3
#define ENDPOINT 2
#define NEWEST 3
#define RESTARTS 2
#define FULL(g) ((1 << ((g) + 1)) - 2)

byte accepted = 0;          /* the platform's generation */
byte held[PROCESSES];       /* generation in force; 0: none */
byte teams[PROCESSES];      /* bits of the teams that are held */
byte restarts = 0;
byte sent[2];               /* generation of a call in flight from entry e */

/* The answer to a pull that is under way to process p; to 0: none. */
byte answerAt[PROCESSES], answerSince[PROCESSES];

inline install(p, g, mask) {
  if
#ifdef STALE_INSTALL
  :: g != held[p] ->
#else
  :: g > held[p] ->
#endif
     assert(g > held[p]);
     held[p] = g;
     teams[p] = mask;
     assert(teams[p] == FULL(held[p]))
  :: else
  fi
}

/* Reads the platform: the newest state or the one before it. */
inline readPlatform(p) {
  atomic {
    if
    :: accepted > 0 -> install(p, accepted, FULL(accepted))
    :: accepted > 1 -> install(p, accepted - 1, FULL(accepted - 1))
    fi
  }
}

/* A peer mentioned a newer generation: asks it for what comes after ours. */
inline pull(p, peer) {
  atomic {
    answerAt[p] == 0 && held[peer] > held[p] ->
      answerAt[p] = held[peer];
      answerSince[p] = held[p]
  }
}

inline takeAnswer(p) {
  atomic {
    answerAt[p] > 0 ->
      if
#ifndef IGNORE_SINCE
      :: answerSince[p] > held[p] -> skip /* refused: asked in an earlier life */
#endif
      :: else ->
         install(p, answerAt[p],
                 teams[p] | (FULL(answerAt[p]) & ~FULL(answerSince[p])))
      fi;
      answerAt[p] = 0;
      answerSince[p] = 0
  }
}

inline restart(p) {
  atomic {
    restarts < RESTARTS && held[p] > 0 ->
      restarts++;
      held[p] = 0;
      teams[p] = 0
  }
}

active proctype Acceptor() {
  do
  :: accepted < NEWEST -> accepted++
  :: else -> break
  od
}

proctype Entry(byte me; byte other) {
  do
  :: readPlatform(me)
  :: pull(me, other)
  :: takeAnswer(me)
  :: restart(me)
  :: atomic { held[me] > 0 -> sent[me] = held[me] }
  od
}

/* A call that arrives: decideFence. */
inline arrive(e) {
  atomic {
    sent[e] > 0 ->
      if
#ifdef NO_FENCE
      :: held[ENDPOINT] > 0 ->
#else
#ifdef RUN_WITHOUT_SETTINGS
      :: sent[e] == held[ENDPOINT] || held[ENDPOINT] == 0 ->
#else
      :: sent[e] == held[ENDPOINT] ->
#endif
#endif
         /* runs */
         assert(held[ENDPOINT] > 0);
         assert(sent[e] >= held[ENDPOINT]);
         assert(sent[e] <= held[ENDPOINT])
      :: else -> skip /* refused as not run, or pulls first */
      fi;
      if
      :: sent[e] = 0
      :: skip /* a duplicate comes later */
      fi
  }
}

proctype Endpoint() {
  do
  :: readPlatform(ENDPOINT)
  :: pull(ENDPOINT, 0)
  :: pull(ENDPOINT, 1)
  :: takeAnswer(ENDPOINT)
  :: restart(ENDPOINT)
  :: arrive(0)
  :: arrive(1)
  od
}

init {
  atomic { run Entry(0, 1); run Entry(1, 0); run Endpoint() }
}
