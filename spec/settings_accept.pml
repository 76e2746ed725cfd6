/* mutants: PLAIN_INDEX_WRITE LATE_VERSION REMOVE_LATEST ACCEPT_OLDER NO_DIGEST_IN_PATH */
/*
 * Acceptance of one team's settings by two racing acceptors.
 * Stands for: acceptTeam and acceptedPath (src/contract/accept.cpp),
 * TeamAcceptor (src/config/team_acceptor.cpp), decideAfterLostAnswer
 * (src/store/settle_put.cpp), PlatformReader
 * (src/config/platform_reader.cpp).
 *
 * The operator's settings have revisions 1, 2, ...; a revision stands for its
 * content and for the digest of it. The platform holds the index (generation
 * and revision) with a version, and accepted objects by generation and digest.
 * Reads of the index may be stale by one change. An acceptor may be paused
 * between any two steps. A write may take effect with or without an answer, or
 * late, when its sender has long gone on.
 *
 * Claims: a generation has one content for ever; a later generation never has
 * older settings; what the index refers to can be read.
 */
#define REVISIONS 2
#define GENERATIONS 4 /* 0 is none */
#define TRIES 3
#define SLOT(g, r) ((g) * (REVISIONS + 1) + (r))

byte settings = 1; /* newest revision that the operator wrote */

byte version = 0, generation = 0, revision = 0;          /* the index */
byte oldVersion = 0, oldGeneration = 0, oldRevision = 0; /* before it */

/* Content of the accepted object at (generation, digest); 0: absent. */
byte stored[GENERATIONS * (REVISIONS + 1)];

/* A write of the index that is still under way, one for each acceptor. */
byte lateVersion[2], lateGeneration[2], lateRevision[2];

byte first[GENERATIONS]; /* ghost: revision that the generation was read with */

inline putIndex(v, g, r, done) {
  atomic {
#ifdef PLAIN_INDEX_WRITE
    done = true;
#else
    done = (version == v);
#endif
    if
    :: done ->
       /* A later generation never has older settings. */
       assert(r >= revision);
       assert(g > generation);
       oldVersion = version; oldGeneration = generation; oldRevision = revision;
       version++; generation = g; revision = r
    :: else
    fi
  }
}

/* Acceptors put the digest into the path, so equal paths have equal content. */
#ifdef NO_DIGEST_IN_PATH
#define DIGEST(r) 0
#else
#define DIGEST(r) (r)
#endif

proctype Acceptor(byte me) {
  byte mine, v, g, r, oldG, oldR, tries;
  bool done;
  do
  :: tries < TRIES ->
     tries++;
     /* The watch of the settings lags. */
     if
     :: mine = settings
     :: settings > 1 -> mine = settings - 1
     fi;
     /* The watch of the index lags. */
     if
     :: atomic { v = version; g = generation; r = revision }
     :: atomic { v = oldVersion; g = oldGeneration; r = oldRevision }
     fi;
     if
#ifdef ACCEPT_OLDER
     :: mine != r && g + 1 < GENERATIONS ->
#else
     :: mine > r && g + 1 < GENERATIONS ->
#endif
        oldG = g;
        oldR = r;
        g = g + 1;
        /* Stores the accepted form; one that is there already is kept. */
        atomic {
          if
          :: stored[SLOT(g, DIGEST(mine))] == 0 ->
             stored[SLOT(g, DIGEST(mine))] = mine
          :: else
          fi
        };
#ifdef LATE_VERSION
        v = version;
#endif
        if
        :: putIndex(v, g, mine, done) /* answered */
        :: putIndex(v, g, mine, done);
           done = false /* answer lost after the effect */
        :: atomic { /* not there yet, or never */
             lateVersion[me] = v; lateGeneration[me] = g;
             lateRevision[me] = mine; done = false }
        fi;
        /* A lost answer is settled by reading, perhaps a stale state. */
        if
        :: !done ->
           if
           :: atomic { generation == g && revision == mine -> done = true }
           :: skip
           fi
        :: else
        fi;
        /* Removes what was replaced. */
        if
        :: done && oldG > 0 ->
           atomic {
#ifdef REMOVE_LATEST
             stored[SLOT(generation, DIGEST(revision))] = 0;
#else
             stored[SLOT(oldG, DIGEST(oldR))] = 0;
#endif
             assert(stored[SLOT(generation, DIGEST(revision))] != 0)
           }
        :: else
        fi
     :: else
     fi;
     v = 0; g = 0; r = 0; oldG = 0; oldR = 0; mine = 0; done = false
  :: else -> break
  od
}

/* Late writes take effect at any time; the operator changes the settings. */
proctype World() {
  bool done;
  do
  :: lateGeneration[0] > 0 ->
     putIndex(lateVersion[0], lateGeneration[0], lateRevision[0], done);
     atomic { lateVersion[0] = 0; lateGeneration[0] = 0; lateRevision[0] = 0;
              done = false }
  :: lateGeneration[1] > 0 ->
     putIndex(lateVersion[1], lateGeneration[1], lateRevision[1], done);
     atomic { lateVersion[1] = 0; lateGeneration[1] = 0; lateRevision[1] = 0;
              done = false }
  :: settings < REVISIONS -> settings++
  :: timeout -> break
  od
}

/* A process that reads the index and, later, what it refers to. */
proctype Reader() {
  byte g, r, got, steps;
  do
  :: steps < 2 ->
     steps++;
     atomic { g = generation; r = revision };
     if
     :: g > 0 ->
        atomic {
          got = stored[SLOT(g, DIGEST(r))];
          if
          :: got != 0 && first[g] == 0 -> first[g] = got
          :: got != 0 && first[g] != 0 -> assert(first[g] == got)
          :: else /* removed: the index has moved on */
          fi;
          assert(got == 0 || got == r);
          got = 0
        }
     :: else
     fi
  :: else -> break
  od
}

init {
  atomic { run Acceptor(0); run Acceptor(1); run World(); run Reader() }
}
