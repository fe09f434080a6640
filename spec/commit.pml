/* Commit of the configuration head and its distribution to daemons.
 *
 * Two operators commit by conditional update of one head. The answer to a write may be lost
 * after the write took effect; the operator then reads the head back and looks for its change id.
 * Two daemons receive generations in any order and install only newer ones.
 *
 * Mutations: UNCONDITIONAL_WRITE, GUESS_AFTER_LOSS, ADOPT_OLDER.
 */
#define OPERATORS 2
#define DAEMONS 2

mtype = { pending, committed, refused, unknown };

byte head = 0;               /* generation in the store */
bool inHistory[OPERATORS];   /* the history of the head has the change id of the operator */
mtype outcome[OPERATORS] = pending;

byte inForce[DAEMONS];       /* generation in force at each daemon */

/* An operator reads the head, writes conditionally, and reads back if the answer is lost. */
proctype Operator(byte id) {
  byte headRead;
  bool applied;
  byte retries = 0;
  headRead = head;
retry:
  applied = false;
  atomic {
#ifdef UNCONDITIONAL_WRITE
    /* Overwrites what the other operator committed since the read. */
    if
    :: head != headRead -> inHistory[1 - id] = false
    :: else
    fi;
    head = headRead + 1; inHistory[id] = true; applied = true;
#else
    if
    :: head == headRead -> head = head + 1; inHistory[id] = true; applied = true
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
          :: !inHistory[id] && head != headRead -> outcome[id] = refused
          :: !inHistory[id] && head == headRead && retries == 0 -> retries = 1; goto retry
          :: !inHistory[id] && head == headRead && retries > 0 -> outcome[id] = unknown
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
  /* Waits until all other processes have ended. */
  (_nr_pr == 1);
  /* A reported outcome agrees with the store: a committed change is in the history and a refused
     change is not. */
  assert(!(outcome[0] == committed && !inHistory[0]));
  assert(!(outcome[1] == committed && !inHistory[1]));
  assert(!(outcome[0] == refused && inHistory[0]));
  assert(!(outcome[1] == refused && inHistory[1]))
}
