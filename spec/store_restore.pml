/* mutants: PLAIN_ORDER WATCH_ON TAKE_OLDER RESTORED_NOT_TOLD */
/*
 * A watch of a store that is restored from older copies. Models PrefixWatch
 * (src/store/prefix_watch.cpp), the order of ObjectVersion (src/store/object.h)
 * and SiteFollower::applyConfiguration (src/direct/site_follower.cpp).
 *
 * The store holds one configuration beside other objects. Each write, also one
 * of another object, raises the revision. A restore takes the store back to any
 * earlier revision and begins the next timeline; the operator then writes its
 * newest configuration again. The watcher lists, and polls for changes after the
 * revision that it knows; it may be cut off for any part of this. An answer may
 * be overtaken by writes and restores.
 *
 * Properties: the configuration in force never goes back; once the store stays
 * as it is, a few polls bring the newest one into force.
 */
#define REVISIONS 4 /* the highest in each timeline */
#define RESTORES 2
#define VERSIONS 3  /* of the operator */
#define LAST_POLLS 3 /* enough to notice the restore, list and poll once */

/* The store: its timeline and revision, and for each revision the version of the
   configuration at that moment and whether the write behind it changed it. */
byte timeline = 1, revision = 0;
byte version[REVISIONS + 1];
bool isChange[REVISIONS + 1];

byte newest = 0;      /* the operator's newest version */
bool isLost = false;  /* the operator has yet to write it again */
bool isQuiet = false; /* nothing changes any more */

/* The watcher. */
byte knownTimeline = 0, knownRevision = 0, inForce = 0;
bool isListed = false;

inline takeVersion(v) {
#ifdef TAKE_OLDER
  assert(v == 0 || v >= inForce);
  inForce = v
#else
  if
  :: v > inForce -> inForce = v
  :: else
  fi
#endif
}

/* Handles the answer to a list, which the variables of the caller hold. */
inline handleList() {
#ifdef PLAIN_ORDER
  if
  :: r >= knownRevision ->
#else
  if
  :: t > knownTimeline || (t == knownTimeline && r >= knownRevision) ->
#endif
     knownTimeline = t; knownRevision = r; isListed = true;
     takeVersion(v)
  :: else /* a stale read */
  fi
}

inline handlePoll() {
  if
  :: isGone -> isListed = false
#ifndef PLAIN_ORDER
#ifndef WATCH_ON
  :: !isGone && t != knownTimeline -> isListed = false
#endif
#endif
  :: else ->
     if
     :: r >= knownRevision ->
        knownRevision = r; knownTimeline = t;
        if
        :: hasChange -> takeVersion(v)
        :: else
        fi
     :: else
     fi
  fi
}

/* Asks the store once. Writes and restores may happen before the answer is
   handled. */
inline ask() {
  atomic {
    wasListed = isListed;
    t = timeline; r = revision; v = version[revision];
#ifdef RESTORED_NOT_TOLD
    t = 1;
#endif
    isGone = wasListed && knownRevision > revision;
    hasChange = false;
    i = knownRevision + 1;
    do
    :: i <= revision -> hasChange = hasChange || isChange[i]; i++
    :: else -> break
    od;
    i = 0
  };
  atomic {
    if
    :: wasListed -> handlePoll()
    :: else -> handleList()
    fi;
    t = 0; r = 0; v = 0; isGone = false; hasChange = false; wasListed = false
  }
}

active proctype Store() {
  byte restores = 0;
  do
  :: atomic { newest < VERSIONS && revision < REVISIONS && !isLost ->
       newest++; revision++; version[revision] = newest;
       isChange[revision] = true }
  :: atomic { isLost && revision < REVISIONS ->
       revision++; version[revision] = newest; isChange[revision] = true;
       isLost = false }
  :: atomic { revision < REVISIONS -> /* another object */
       revision++; version[revision] = version[revision - 1];
       isChange[revision] = false }
  :: atomic { restores < RESTORES && revision > 0 ->
       restores++; timeline++; isLost = true;
       do
       :: revision > 0 -> revision--
       :: break
       od }
  :: atomic { !isLost -> isQuiet = true; break }
  od
}

active proctype Watcher() {
  byte t, r, v, i, polls;
  bool isGone, hasChange, wasListed;
  do
  :: !isQuiet -> ask()
  :: isQuiet -> break
  od;
  do
  :: polls < LAST_POLLS -> polls++; ask()
  :: else -> break
  od;
  assert(inForce == newest)
}
