/*
 * Acceptance of a configuration change by conditional update, and its propagation to the hosts.
 * Two operators race, replies are lost, reads are stale, hosts restart without memory.
 * docs/design/configuration.md maps the steps to functions.
 *
 * Properties: a change reported as accepted is stored (accepted_stored); one reported as refused is not stored and
 * never will be (refused_absent); the version in force on a host never decreases (never_falls); an accepted change
 * comes into force on every host (in_force, which needs weak fairness).
 * Mutations, each of which must violate a property: NO_READ_BACK, APPLY_LOWER, NO_VERSION_CHECK.
 */
#define OPERATORS 2
#define HOSTS 2

mtype = { open, accepted, refused };
mtype = { ok, conflict, lost };

byte version = 0;
byte oldVersion = 0;
/* stored[i] is set while the stored audit trail holds the change of operator i. */
bool stored[OPERATORS];
/* An update of operator i that takes effect after its reply was lost, and the version that it expects. */
bool lateOn[OPERATORS];
byte lateHave[OPERATORS];
/* What each operator was told; open while there is no answer, and for good when the outcome is unknown. */
mtype verdict[OPERATORS] = open;

/* The version in force on each host, and whether one has ever decreased. */
byte force[HOSTS];
bool fell = false;

/* Applies the update of operator i. Without the version check it overwrites the change of the other operator. */
inline write(i) {
  oldVersion = version; version++;
#ifdef NO_VERSION_CHECK
  stored[1 - i] = false;
#endif
  stored[i] = true
}

/* Delivers late updates; the store applies them only if the expected version is still the stored one. */
active proctype Network() {
end:
  do
  :: atomic { lateOn[0] -> lateOn[0] = false; if :: lateHave[0] == version -> write(0) :: else -> skip fi }
  :: atomic { lateOn[1] -> lateOn[1] = false; if :: lateHave[1] == version -> write(1) :: else -> skip fi }
  od
}

/* Sends a conditional update, retries it when the reply is lost, and reads back when a retry conflicts. */
active [OPERATORS] proctype Operator() {
  byte id = _pid - 1;
  byte have, seen;
  bool found;
  mtype reply;
  byte tries = 0;

  atomic { if :: have = version :: have = oldVersion fi };
again:
  tries++;
  atomic {
    if
#ifdef NO_VERSION_CHECK
    :: true -> write(id); reply = ok
#else
    :: version == have -> write(id); reply = ok
#endif
    :: version == have -> write(id); reply = lost
    :: !lateOn[id] && tries == 1 -> lateOn[id] = true; lateHave[id] = have; reply = lost
    :: version != have -> reply = conflict
    fi
  };
  if
  :: reply == ok -> verdict[id] = accepted; goto finish
  :: reply == conflict && tries == 1 -> verdict[id] = refused; goto finish
  :: reply == lost ->
#ifdef NO_READ_BACK
     verdict[id] = refused; goto finish
#else
     if
     :: tries < 3 -> goto again
     :: else -> goto finish /* unknown */
     fi
#endif
  :: reply == conflict && tries > 1 ->
     /* Read back: the conflict may come from the operator's own first update. A version not above the expected one is a
      * stale read and proves nothing. */
     atomic {
       if
       :: seen = version; found = stored[id]
       :: seen = have; found = false
       fi
     };
     if
     :: seen > have && found -> verdict[id] = accepted
     :: seen > have && !found -> verdict[id] = refused
     :: seen <= have -> skip /* unknown */
     fi
  fi;
finish:
  skip
}

/* Applies a version that the host received, unless a higher one is in force. */
inline take(v) {
#ifdef APPLY_LOWER
  if :: v < force[id] -> fell = true :: else -> skip fi;
  force[id] = v
#else
  if :: v > force[id] -> force[id] = v :: else -> skip fi
#endif
}

/* Receives the current or a stale version from the store, or the version of the other host. */
active [HOSTS] proctype Host() {
  byte id = _pid - 1 - OPERATORS;
end:
  do
  :: atomic { force[id] != version -> take(version) }
  :: atomic { force[id] != oldVersion -> take(oldVersion) }
  :: atomic { force[id] != force[1 - id] -> take(force[1 - id]) }
  od
}

ltl accepted_stored { [] ((verdict[0] != accepted || stored[0]) && (verdict[1] != accepted || stored[1])) }
ltl refused_absent { [] ((verdict[0] != refused || !stored[0]) && (verdict[1] != refused || !stored[1])) }
ltl never_falls { [] !fell }
ltl in_force { [] ((verdict[0] == accepted) -> <> (force[0] == version && force[1] == version)) }
