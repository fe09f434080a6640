/* At-most-once execution of one non-idempotent request.
 *
 * The caller puts its current guard token into the first transmission of the request and retransmits
 * the request with the same token. The network duplicates, reorders and loses packets, and they may
 * reach either of two daemons, whatever their membership views are. Daemon 0 holds the admission at
 * first. Daemon 1 may take over by a complete transfer, or without one after it has dropped daemon 0
 * from its view, although daemon 0 may only be paused. Daemon 0 may crash and lose its memory.
 *
 * Mutations: NO_TOKEN_CHECK, RESTAMP, TRANSFER_WITHOUT_RECORDS, SEND_BEFORE_RECORD,
 * NO_SEAL, KEEP_TOKEN_ON_RECOVERY.
 */
#define TRANSMISSIONS 2
#define NO_TOKEN 0

mtype = { answered, notRun, outcomeUnknown };

byte runs = 0;
bool answeredNotRun = false;

byte token[2];
bool recorded[2];
bool alive[2] = true;
byte lastToken = 1;

byte callerToken = 1;

/* Packets of the request, each with its token. Buffered, received in any order. */
chan network = [4] of { byte };
/* The transfer message: the token, and whether the request is recorded. */
chan transfer = [1] of { byte, bool };
/* Answers to the caller: the status and the current token. */
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
       :: status == notRun -> answeredNotRun = true; assert(runs == 0)
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
  assert(!answeredNotRun)
}

/* One daemon. Recording the request and sending it to the upstream are separate steps: between them
 * the daemon may be paused, lose the admission or crash. */
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
          :: /* Refused before it was sent: recorded, so that no duplicate runs later. */
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

/* Transfers the admission to daemon 1, or lets daemon 1 take it without a transfer, at any time. */
proctype Takeover() {
  byte sentToken;
  bool sentRecorded;
  if
  :: atomic { /* Claim: daemon 0 stops serving and sends its token and its records. */
       token[0] != NO_TOKEN && alive[0] ->
#ifdef TRANSFER_WITHOUT_RECORDS
       transfer!token[0], false;
#else
       transfer!token[0], recorded[0];
#endif
       token[0] = NO_TOKEN
     }
     if
     :: atomic { transfer?sentToken, sentRecorded -> token[1] = sentToken; recorded[1] = sentRecorded }
     :: /* The transfer is lost: daemon 1 recovers with a new token. */
        atomic { transfer?sentToken, sentRecorded; lastToken++; token[1] = lastToken }
     fi
  :: /* Daemon 1 has dropped daemon 0 from its view; daemon 0 may be paused or cut off. */
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
