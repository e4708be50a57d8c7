/*
 * Acceptance of a change of configuration by conditional update, and its spread to hosts.
 * Two operators race, replies are lost, reads are stale, hosts restart without memory.
 * docs/design/configuration.md maps the steps to functions.
 *
 * Properties: a change told as accepted is stored, one told as refused is not and will not be;
 * the version in force on a host never falls; an accepted change comes into force on every host.
 * Mutations, each of which must fail: NO_READ_BACK, APPLY_LOWER, NO_VERSION_CHECK.
 */
#define OPERATORS 2
#define HOSTS 2

mtype = { open, accepted, refused };
mtype = { ok, conflict, lost };

byte version = 0;
byte oldVersion = 0;
/* stored[i] is set when the change of operator i is in the stored trail. */
bool stored[OPERATORS];
bool lateOn[OPERATORS];
byte lateHave[OPERATORS];
mtype verdict[OPERATORS] = open;

byte force[HOSTS];
bool fell = false;

inline write(i) {
  oldVersion = version; version++;
#ifdef NO_VERSION_CHECK
  stored[1 - i] = false;
#endif
  stored[i] = true
}

active proctype Network() {
end:
  do
  :: atomic { lateOn[0] -> lateOn[0] = false; if :: lateHave[0] == version -> write(0) :: else -> skip fi }
  :: atomic { lateOn[1] -> lateOn[1] = false; if :: lateHave[1] == version -> write(1) :: else -> skip fi }
  od
}

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
     /* Read back; a version not above the expected one is a stale read and tells nothing. */
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

inline take(v) {
#ifdef APPLY_LOWER
  if :: v < force[id] -> fell = true :: else -> skip fi;
  force[id] = v
#else
  if :: v > force[id] -> force[id] = v :: else -> skip fi
#endif
}

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
