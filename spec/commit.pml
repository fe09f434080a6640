/* Commit of the configuration head and distribution to daemons.
 *
 * Two operators commit by conditional update of one head. The answer to a write may be lost
 * after the write took effect; the operator then reads back and looks for its change id. Two
 * daemons adopt generations that arrive in any order.
 *
 * Mutations: UNCONDITIONAL_WRITE, GUESS_AFTER_LOSS, ADOPT_OLDER.
 */
#define OPERATORS 2
#define DAEMONS 2

mtype = { pending, committed, refused, unknown };

byte head = 0;               /* generation in the store */
bool inHistory[OPERATORS];   /* change ids that the head contains */
mtype outcome[OPERATORS] = pending;

byte inForce[DAEMONS];       /* generation of each daemon */

/* One operator: read, conditional write, read back after a lost answer. */
proctype Operator(byte id) {
  byte seen;
  bool applied;
  byte tries = 0;
  seen = head;
retry:
  applied = false;
  atomic {
#ifdef UNCONDITIONAL_WRITE
    /* Overwrites what the other operator committed since the read. */
    if
    :: head != seen -> inHistory[1 - id] = false
    :: else
    fi;
    head = seen + 1; inHistory[id] = true; applied = true;
#else
    if
    :: head == seen -> head = head + 1; inHistory[id] = true; applied = true
    :: else
    fi;
#endif
  }
  if
  :: /* The answer arrives. */
     if
     :: applied -> outcome[id] = committed
     :: else -> outcome[id] = refused
     fi
  :: /* The answer is lost. */
#ifdef GUESS_AFTER_LOSS
     outcome[id] = refused
#else
     if
     :: /* The store answers the read-back. */
        atomic {
          if
          :: inHistory[id] -> outcome[id] = committed
          :: !inHistory[id] && head != seen -> outcome[id] = refused
          :: !inHistory[id] && head == seen && tries == 0 -> tries = 1; goto retry
          :: !inHistory[id] && head == seen && tries > 0 -> outcome[id] = unknown
          fi
        }
     :: /* The store is down. */
        outcome[id] = unknown
     fi
#endif
  fi
}

/* A generation reaches a daemon by watch, push or pull, in any order and more than once. */
proctype Relay(byte d) {
  byte offered, before;
  byte rounds = 0;
  do
  :: rounds < 3 ->
     rounds++;
     select(offered : 0 .. 2);
     if
     :: offered <= head ->
        atomic {
          before = inForce[d];
#ifdef ADOPT_OLDER
          inForce[d] = offered;
#else
          if
          :: offered > inForce[d] -> inForce[d] = offered
          :: else
          fi;
#endif
          assert(inForce[d] >= before)
        }
     :: else
     fi
  :: else -> break
  od
}

init {
  atomic {
    run Operator(0); run Operator(1);
    run Relay(0); run Relay(1)
  }
  /* All processes have ended. */
  (_nr_pr == 1);
  /* An outcome is never a guess, and a committed change is never lost. */
  assert(!(outcome[0] == committed && !inHistory[0]));
  assert(!(outcome[1] == committed && !inHistory[1]));
  assert(!(outcome[0] == refused && inHistory[0]));
  assert(!(outcome[1] == refused && inHistory[1]))
}
