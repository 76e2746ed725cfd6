/* mutants: STALE_INSTALL NO_FENCE IGNORE_SINCE RUN_WITHOUT_SETTINGS */
/*
 * Distribution of accepted settings, restarts, and the generation check (fence)
 * before a call. Models decideConfig and decideFence (src/config/decide.cpp),
 * serializeSnapshot and parseSnapshot (src/config/snapshot.cpp).
 *
 * Each generation accepts one team, so complete settings of generation g are
 * the set of bits 1 to g. The generation in the platform's index only rises.
 * Processes 0 and 1 are entries, process 2 is an endpoint process. Each of them
 * reads the platform, where a read may be stale, or pulls from a peer. A pull
 * requests the settings accepted after a given generation. Its answer may be
 * delayed until the requester has installed a later generation, or has
 * restarted and lost its memory. A process that takes no steps represents one
 * that is disconnected from the others. A call carries the generation that its
 * sender had at some time.
 *
 * Properties: the generation in force never falls during one incarnation; the
 * settings in force are complete; a call runs only under the generation that
 * its endpoint process has in force.
 */
#define PROCESSES 3
#define ENDPOINT 2
#define NEWEST 3
#define RESTARTS 2
#define COMPLETE(g) ((1 << ((g) + 1)) - 2)

byte accepted = 0;          /* the generation in the platform's index */
byte inForce[PROCESSES];    /* generation in force; 0 means none */
byte teams[PROCESSES];      /* bits of the teams whose settings it has */
byte restarts = 0;
byte sent[2];               /* generation of a call in flight from entry e */

/* The answer in flight to a pull of process p: the generation that it leads to,
   0 if there is none, and the one after which it begins. */
byte answerGeneration[PROCESSES], answerSince[PROCESSES];

/* Process p installs settings of generation g with the teams in mask. */
inline install(p, g, mask) {
  if
#ifdef STALE_INSTALL
  :: g != inForce[p] ->
#else
  :: g > inForce[p] ->
#endif
     assert(g > inForce[p]);
     inForce[p] = g;
     teams[p] = mask;
     assert(teams[p] == COMPLETE(inForce[p]))
  :: else
  fi
}

/* Process p reads the platform: its latest state or the one before. */
inline readPlatform(p) {
  atomic {
    if
    :: accepted > 0 -> install(p, accepted, COMPLETE(accepted))
    :: accepted > 1 -> install(p, accepted - 1, COMPLETE(accepted - 1))
    fi
  }
}

/* A peer has reported a newer generation: process p requests from it the
   settings accepted after its own. */
inline pull(p, peer) {
  atomic {
    answerGeneration[p] == 0 && inForce[peer] > inForce[p] ->
      answerGeneration[p] = inForce[peer];
      answerSince[p] = inForce[p]
  }
}

inline handleAnswer(p) {
  atomic {
    answerGeneration[p] > 0 ->
      if
#ifndef IGNORE_SINCE
      /* Refused: an earlier incarnation sent the request. */
      :: answerSince[p] > inForce[p] -> skip
#endif
      :: else ->
         install(p, answerGeneration[p],
                 teams[p] | (COMPLETE(answerGeneration[p]) &
                             ~COMPLETE(answerSince[p])))
      fi;
      answerGeneration[p] = 0;
      answerSince[p] = 0
  }
}

inline restart(p) {
  atomic {
    restarts < RESTARTS && inForce[p] > 0 ->
      restarts++;
      inForce[p] = 0;
      teams[p] = 0
  }
}

active proctype Acceptor() {
  do
  :: accepted < NEWEST -> accepted++
  :: else -> break
  od
}

proctype Entry(byte self; byte other) {
  do
  :: readPlatform(self)
  :: pull(self, other)
  :: handleAnswer(self)
  :: restart(self)
  :: atomic { inForce[self] > 0 -> sent[self] = inForce[self] }
  od
}

/* The endpoint process receives a call of entry e, as in decideFence. */
inline handleCall(e) {
  atomic {
    sent[e] > 0 ->
      if
#ifdef NO_FENCE
      :: inForce[ENDPOINT] > 0 ->
#else
#ifdef RUN_WITHOUT_SETTINGS
      :: sent[e] == inForce[ENDPOINT] || inForce[ENDPOINT] == 0 ->
#else
      :: sent[e] == inForce[ENDPOINT] ->
#endif
#endif
         /* the call runs */
         assert(inForce[ENDPOINT] > 0);
         assert(sent[e] >= inForce[ENDPOINT]);
         assert(sent[e] <= inForce[ENDPOINT])
      :: else -> skip /* refused as not run, or delayed until a pull */
      fi;
      if
      :: sent[e] = 0
      :: skip /* a duplicate arrives later */
      fi
  }
}

proctype Endpoint() {
  do
  :: readPlatform(ENDPOINT)
  :: pull(ENDPOINT, 0)
  :: pull(ENDPOINT, 1)
  :: handleAnswer(ENDPOINT)
  :: restart(ENDPOINT)
  :: handleCall(0)
  :: handleCall(1)
  od
}

init {
  atomic { run Entry(0, 1); run Entry(1, 0); run Endpoint() }
}
