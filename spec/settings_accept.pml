/* mutants: PLAIN_INDEX_WRITE LATE_VERSION REMOVE_LATEST ACCEPT_OLDER NO_DIGEST_IN_PATH */
/*
 * Acceptance of one team's settings by two concurrent acceptors. Models
 * acceptTeam and acceptedPath (src/contract/accept.cpp), TeamAcceptor
 * (src/config/team_acceptor.cpp), decideAfterLostAnswer
 * (src/store/settle_put.cpp) and PlatformReader
 * (src/config/platform_reader.cpp).
 *
 * The operator's settings have revisions 1, 2, ...; a revision represents both
 * its content and the digest of its content. The platform stores the index
 * (generation and revision) under a version, and the accepted objects by
 * generation and digest. A read of the index may return the state before the
 * latest change. An acceptor may be paused between any two steps. A write may
 * take effect with an answer, without one, or only after its sender has gone on
 * to other work.
 *
 * Properties: a generation has one content for ever; a later generation never
 * has older settings; the object that the index refers to can be read.
 */
#define REVISIONS 2
#define GENERATIONS 4 /* 0 means none */
#define TRIES 3       /* of each acceptor */
#define SLOT(g, r) ((g) * (REVISIONS + 1) + (r))

byte settings = 1; /* the newest revision that the operator has written */

/* The index, and its state before the latest change. */
byte version = 0, generation = 0, revision = 0;
byte oldVersion = 0, oldGeneration = 0, oldRevision = 0;

/* The content of the accepted object at (generation, digest); 0 means
   absent. */
byte stored[GENERATIONS * (REVISIONS + 1)];

/* A delayed write of the index for each acceptor; generation 0 means none. */
byte delayedVersion[2], delayedGeneration[2], delayedRevision[2];

/* Used only by the assertions: the content that the first read of a generation
   returned; 0 before that read. */
byte firstContent[GENERATIONS];

/* Writes the index if its version is v; "done" says whether it was written. */
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

/* The path of an accepted object contains the digest, so objects at equal paths
   have equal content. */
#ifdef NO_DIGEST_IN_PATH
#define DIGEST(r) 0
#else
#define DIGEST(r) (r)
#endif

proctype Acceptor(byte self) {
  byte readRevision, v, g, r, oldG, oldR, tries;
  bool done;
  do
  :: tries < TRIES ->
     tries++;
     /* The watch of the settings may be one change behind. */
     if
     :: readRevision = settings
     :: settings > 1 -> readRevision = settings - 1
     fi;
     /* The watch of the index may be one change behind. */
     if
     :: atomic { v = version; g = generation; r = revision }
     :: atomic { v = oldVersion; g = oldGeneration; r = oldRevision }
     fi;
     if
#ifdef ACCEPT_OLDER
     :: readRevision != r && g + 1 < GENERATIONS ->
#else
     :: readRevision > r && g + 1 < GENERATIONS ->
#endif
        oldG = g;
        oldR = r;
        g = g + 1;
        /* Stores the accepted object, unless one exists at its path. */
        atomic {
          if
          :: stored[SLOT(g, DIGEST(readRevision))] == 0 ->
             stored[SLOT(g, DIGEST(readRevision))] = readRevision
          :: else
          fi
        };
#ifdef LATE_VERSION
        v = version;
#endif
        if
        :: putIndex(v, g, readRevision, done) /* the answer arrives */
        :: putIndex(v, g, readRevision, done);
           done = false /* the write takes effect, its answer is lost */
        :: atomic { /* the write takes effect later or never */
             delayedVersion[self] = v; delayedGeneration[self] = g;
             delayedRevision[self] = readRevision; done = false }
        fi;
        /* After a lost answer the acceptor reads the index, which may be
           stale. */
        if
        :: !done ->
           if
           :: atomic { generation == g && revision == readRevision ->
                done = true }
           :: skip
           fi
        :: else
        fi;
        /* Removes the accepted object that was replaced. */
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
     v = 0; g = 0; r = 0; oldG = 0; oldR = 0; readRevision = 0; done = false
  :: else -> break
  od
}

/* Delayed writes take effect at any time; the operator changes the settings. */
proctype Environment() {
  bool done;
  do
  :: delayedGeneration[0] > 0 ->
     putIndex(delayedVersion[0], delayedGeneration[0], delayedRevision[0],
              done);
     atomic { delayedVersion[0] = 0; delayedGeneration[0] = 0;
              delayedRevision[0] = 0; done = false }
  :: delayedGeneration[1] > 0 ->
     putIndex(delayedVersion[1], delayedGeneration[1], delayedRevision[1],
              done);
     atomic { delayedVersion[1] = 0; delayedGeneration[1] = 0;
              delayedRevision[1] = 0; done = false }
  :: settings < REVISIONS -> settings++
  :: timeout -> break
  od
}

/* A process that reads the index and later the object that it refers to. */
proctype Reader() {
  byte g, r, content, steps;
  do
  :: steps < 2 ->
     steps++;
     atomic { g = generation; r = revision };
     if
     :: g > 0 ->
        atomic {
          content = stored[SLOT(g, DIGEST(r))];
          if
          :: content != 0 && firstContent[g] == 0 -> firstContent[g] = content
          :: content != 0 && firstContent[g] != 0 ->
             assert(firstContent[g] == content)
          :: else /* removed, since the index refers to a later one */
          fi;
          assert(content == 0 || content == r);
          content = 0
        }
     :: else
     fi
  :: else -> break
  od
}

init {
  atomic { run Acceptor(0); run Acceptor(1); run Environment(); run Reader() }
}
