/* Ownership of one flow's partition and the upstream of the flow.
 *
 * Daemon 0 owns the partition and opens a flow. The bucket's upstream in the table is A; a new
 * generation may change it to B. Daemon 0 may divert the flow to C, an exception. Daemon 1 may
 * become the owner by a claim (planned), because daemon 0 crashed, or because daemon 1 has dropped
 * daemon 0 from its membership view while daemon 0 still serves. Mid-stream packets reach either
 * daemon. Each packet must reach the upstream that opened the flow, be reset or be held. It must never
 * reach another upstream.
 *
 * Mutations: DIVERT_WITHOUT_ACK, NO_RECENT_CHANGE_CHECK, SERVE_BEFORE_CLAIM, TABLE_ON_CHANGE,
 * NO_QUERY.
 */
#define NONE 0
#define A 1
#define B 2
#define C 3
#define PACKETS 3

byte generation = 1;
byte table = A;
bool recentlyChanged = false;

byte opened = NONE;      /* upstream that opened the flow */
byte record[2];          /* upstream in each daemon's flow record */
byte replica = NONE;     /* upstream of the exception that daemon 1 holds as successor */
bool ackSeen = false;

bool alive0 = true;
bool owner1 = false;     /* daemon 1 serves the partition */
bool planned = false;
byte inTransit = NONE;    /* record in the response to a claim */

inline deliver(u) {
  assert(u == opened)
}

/* A reset breaks the flow. It is allowed only if no running daemon has a record of the flow, and
 * never after a planned change. */
inline reset() {
  assert(!planned && record[0] == NONE)
}

/* Daemon 0 places the flow. It diverts the flow only after the successor has acknowledged the
 * exception. */
proctype Open() {
  if
  :: atomic { alive0 -> record[0] = table; opened = table }
  :: /* Divert: daemon 0 sends the exception to its successor; the message may be lost. */
#ifdef DIVERT_WITHOUT_ACK
     if
     :: replica = C
     :: skip
     fi;
     atomic { if :: alive0 -> record[0] = C; opened = C :: else fi }
#else
     if
     :: replica = C; ackSeen = true
     :: skip
     fi;
     atomic {
       if
       :: alive0 && ackSeen -> record[0] = C; opened = C
       :: alive0 && !ackSeen -> record[0] = table; opened = table
       :: else
       fi
     }
#endif
  :: skip /* The caller never opens the flow. */
  fi
}

/* A new generation moves the bucket from A to B. An owner keeps its flows on their upstreams. */
proctype Change() {
  atomic {
    generation = 2;
    table = B;
    recentlyChanged = true;
#ifdef TABLE_ON_CHANGE
    if
    :: record[0] == A -> record[0] = B
    :: else
    fi;
#endif
  }
}

/* Daemon 1 becomes the owner. */
proctype Takeover() {
  if
  :: /* Planned: a claim. */
     planned = true;
#ifdef SERVE_BEFORE_CLAIM
     owner1 = true;
#endif
     /* Daemon 0 stops serving and sends its records. Daemon 1 serves after it received them. */
     atomic { alive0 -> inTransit = record[0]; record[0] = NONE; alive0 = false };
     atomic { record[1] = inTransit; owner1 = true }
  :: /* Daemon 0 crashes and loses its records. */
     atomic { alive0 = false; record[0] = NONE };
     owner1 = true
  :: /* Daemon 0 is cut off or paused and continues to serve. */
     owner1 = true
  fi
}

proctype Caller() {
  byte sent = 0;
  do
  :: sent < PACKETS && opened != NONE ->
     sent++;
     if
     :: atomic { alive0 && record[0] != NONE -> deliver(record[0]) }
     :: atomic {
          owner1 ->
          if
          :: record[1] != NONE -> deliver(record[1])
          :: record[1] == NONE && replica != NONE -> record[1] = replica; deliver(replica)
          :: record[1] == NONE && replica == NONE ->
#ifdef NO_RECENT_CHANGE_CHECK
             deliver(table)
#else
             if
#ifndef NO_QUERY
             :: record[0] != NONE -> record[1] = record[0]; deliver(record[1])
             :: record[0] == NONE && !recentlyChanged -> deliver(table)
             :: record[0] == NONE && recentlyChanged -> reset()
#else
             :: !recentlyChanged -> deliver(table)
             :: recentlyChanged -> reset()
#endif
             fi
#endif
          fi
        }
     :: skip /* lost, or held until a claim ends */
     fi
  :: sent == PACKETS -> break
  :: opened == NONE && timeout -> break
  od
}

init {
  atomic { run Open(); run Change(); run Takeover(); run Caller() }
}
