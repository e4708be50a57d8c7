/*
 * The idempotency ledger for one request key: writers race, replies are lost, updates take effect late,
 * reads are stale, writers pause (any interleaving) and crash. docs/design/ledger.md maps the steps to functions.
 *
 * Properties: the request runs at most once (once); a writer that answered "not run" has not run it and never will
 * (notrun_true); a writer that answered "done" has run it (done_true).
 * Mutations, each of which must violate a property: SEND_UNKNOWN, TAKE_OVER, NO_VERSION_CHECK, SEND_AFTER_REFUSAL.
 */
#define WRITERS 2

mtype = { none, sent, done, notrun };
mtype = { ok, conflict, lost };

/* The stored entry with its owner and version, and the previous ones, which a stale read returns. */
mtype state = none;
byte owner = WRITERS;
byte version = 0;
mtype oldState = none;
byte oldOwner = WRITERS;
byte oldVersion = 0;

/* Updates that take effect after their reply was lost. */
bool late[WRITERS];
byte lateHave[WRITERS];
mtype lateState[WRITERS];

/* How often the request ran, which writers ran it, and what they answered. */
byte runs = 0;
bool ran[WRITERS];
bool saidNotRun[WRITERS];
bool saidDone[WRITERS];

inline write(s, o) {
  oldState = state; oldOwner = owner; oldVersion = version;
  state = s; owner = o; version++
}

/* A late update passes the version check like any other; a newer version makes it void. */
inline apply_late(i) {
  atomic {
    late[i] -> late[i] = false;
    if
    :: lateHave[i] == version -> write(lateState[i], i)
    :: else -> skip
    fi
  }
}

active proctype Network() {
end:
  do
  :: apply_late(0)
  :: apply_late(1)
  od
}

/* One conditional update. Its reply may be lost without effect, after the effect, or before a late effect. */
inline put(s) {
  atomic {
    if
#ifdef NO_VERSION_CHECK
    :: true -> write(s, id); reply = ok
#else
    :: version == have -> write(s, id); reply = ok
#endif
    :: version == have -> write(s, id); reply = lost
    :: !late[id] -> late[id] = true; lateHave[id] = have; lateState[id] = s; reply = lost
    :: version != have -> reply = conflict
    :: reply = lost
    fi
  }
}

/* Reads the entry, possibly stale, but never older than the version that the writer knows to exist (least). */
inline get() {
  atomic {
    if
    :: seen = state; seenOwner = owner; have = version
    :: oldVersion >= least -> seen = oldState; seenOwner = oldOwner; have = oldVersion
    fi
  }
}

/* Records the outcome in the writer's own entry, with retries. */
inline settle(s) {
  do
  :: get();
     if
     :: seen == sent && seenOwner == id -> put(s);
        if
        :: reply == ok -> break
        :: else -> skip
        fi
     :: else -> break
     fi
  :: break /* crash, or the store does not answer */
  od
}

/* Acquires the entry, sends the request and records the outcome. It sends only after a confirmed update or after
 * reading its own entry as sent. */
active [WRITERS] proctype Writer() {
  byte id = _pid - 1;
  byte have, seenOwner;
  byte least = 0;
  mtype seen, reply;
  byte tries = 0;

begin:
  if
  :: tries == 3 -> goto refuse
  :: else -> tries++
  fi;
  get();
  if
  :: seen == sent && seenOwner == id -> goto send
#ifdef TAKE_OVER
  :: seen == sent && seenOwner != id -> goto send
#else
  :: seen == sent && seenOwner != id -> goto finish /* the caller receives "outcome unknown" */
#endif
  :: seen == done -> goto finish /* the caller receives the recorded outcome */
  :: seen == none || seen == notrun ->
     put(sent);
     if
     :: reply == ok -> goto send
     :: reply == conflict -> least = have + 1; goto begin
#ifdef SEND_UNKNOWN
     :: reply == lost -> goto send
#else
     :: reply == lost -> goto begin
#endif
     :: goto refuse /* the caller's deadline has passed */
     fi
  fi;

refuse:
  saidNotRun[id] = true;
#ifdef SEND_AFTER_REFUSAL
  get();
  if
  :: seen == sent && seenOwner == id -> goto send
  :: else -> goto finish
  fi;
#endif
  settle(notrun);
  goto finish;

send:
  if
  :: goto finish /* crash before the first byte */
  :: atomic { runs++; ran[id] = true }
  fi;
  if
  :: saidDone[id] = true
  :: skip /* the reply of the backend server is lost */
  fi;
  settle(done);

finish:
  skip
}

ltl once { [] (runs <= 1) }
ltl notrun_true { [] ((!saidNotRun[0] || !ran[0]) && (!saidNotRun[1] || !ran[1])) }
ltl done_true { [] ((!saidDone[0] || ran[0]) && (!saidDone[1] || ran[1])) }
