/* At-most-once execution of one non-idempotent request.
 *
 * The caller stamps the request with the guard token that it knows at the first transmission
 * and repeats it; the network duplicates, reorders and loses. Packets may reach either of two
 * daemons, whatever the membership views say. Daemon 0 holds the admission at first. Daemon 1
 * may take over by a complete transfer, or on its own because it believes daemon 0 to be
 * lost, although daemon 0 may only be paused. Either may die and lose its memory.
 *
 * Mutations: NO_TOKEN_CHECK, RESTAMP, TRANSFER_WITHOUT_RECORDS, SEND_BEFORE_RECORD,
 * NO_SEAL, KEEP_TOKEN_ON_RECOVERY.
 */
#define TRANSMISSIONS 2
#define NO_TOKEN 0

mtype = { answered, notRun, outcomeUnknown };

byte runs = 0;
bool saidNotRun = false;

byte token[2];
bool recorded[2];
bool alive[2] = true;
byte lastToken = 1;

byte callerToken = 1;

/* A packet of the request: its token. Buffered, received in any order. */
chan network = [4] of { byte };
/* The transfer message: token and record state. */
chan transfer = [1] of { byte, bool };
/* Answers to the caller: status and current token. */
chan answers = [4] of { mtype, byte };

proctype Caller() {
  byte sent = 0;
  byte stamp = callerToken;
  mtype status;
end:
  do
  :: atomic {
       sent < TRANSMISSIONS ->
       sent++;
#ifdef RESTAMP
       stamp = callerToken;
#endif
       /* Lost, delivered, or duplicated by the network. */
       if
       :: skip
       :: network!stamp
       :: network!stamp; network!stamp
       fi
     }
  :: atomic {
       answers?status, callerToken ->
       if
       :: status == notRun -> saidNotRun = true; assert(runs == 0)
       :: else
       fi
     }
  od
}

inline answer(status, current) {
  if
  :: nfull(answers) -> answers!status, current
  :: skip /* lost */
  fi
}

inline execute() {
  runs++;
  assert(runs <= 1);
  assert(!saidNotRun)
}

/* One daemon. Sending to the upstream is a step of its own: the daemon may be paused, lose the
 * admission or die between recording and sending. */
proctype Daemon(byte me) {
  byte stamp;
  bool mayRun;
end:
  do
  :: atomic {
       alive[me] && token[me] != NO_TOKEN && nempty(network) ->
       if
       :: network??1 -> stamp = 1
       :: network??2 -> stamp = 2
       fi;
       mayRun = false;
       if
#ifdef NO_TOKEN_CHECK
       :: recorded[me] -> skip
       :: !recorded[me] ->
#else
       :: stamp != token[me] -> answer(outcomeUnknown, token[me])
       :: stamp == token[me] && recorded[me] -> skip
       :: stamp == token[me] && !recorded[me] ->
#endif
          if
          :: mayRun = true;
#ifndef SEND_BEFORE_RECORD
             recorded[me] = true
#endif
          :: /* Refused before it was sent: sealed, so that no duplicate runs later. */
#ifndef NO_SEAL
             recorded[me] = true;
#endif
             answer(notRun, token[me])
          fi
       fi;
       stamp = 0
     }
     if
     :: atomic { mayRun && alive[me] -> mayRun = false; execute() };
#ifdef SEND_BEFORE_RECORD
        recorded[me] = true
#endif
     :: else -> mayRun = false
     fi
  od
}

/* Hands the admission over, or lets daemon 1 take it on its own, at any moment. */
proctype Takeover() {
  byte t;
  bool r;
  if
  :: atomic { /* Claim: daemon 0 stops serving and sends everything. */
       token[0] != NO_TOKEN && alive[0] ->
#ifdef TRANSFER_WITHOUT_RECORDS
       transfer!token[0], false;
#else
       transfer!token[0], recorded[0];
#endif
       token[0] = NO_TOKEN
     }
     if
     :: atomic { transfer?t, r -> token[1] = t; recorded[1] = r }
     :: /* The transfer is lost: daemon 1 recovers with a new token. */
        atomic { transfer?t, r; lastToken++; token[1] = lastToken }
     fi
  :: /* Daemon 1 believes daemon 0 to be lost; it may be paused or cut off. */
     atomic {
#ifdef KEEP_TOKEN_ON_RECOVERY
       token[1] = 1
#else
       lastToken++; token[1] = lastToken
#endif
     }
  fi;
  if
  :: atomic { alive[0] = false; token[0] = NO_TOKEN; recorded[0] = false }
  :: skip
  fi
}

init {
  atomic {
    token[0] = 1;
    run Caller(); run Daemon(0); run Daemon(1); run Takeover()
  }
}
