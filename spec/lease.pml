/* The maintenance lease and its fencing token.
 *
 * Two daemons compete for a lease whose holder may be paused until after its expiry. Each protected
 * write carries the version of the lease, and the store refuses a write with an older version.
 *
 * Mutation: NO_FENCING.
 */
byte leaseVersion = 0;       /* version of the lease object */
byte protectedVersion = 0;   /* highest lease version of a protected write */

/* A daemon acquires the lease after the other daemon's lease expired, and writes with its version.
 * The scheduler may pause it between the two steps. */
proctype Janitor() {
  byte heldVersion;
  byte rounds = 0;
  do
  :: rounds < 2 ->
     rounds++;
     atomic { leaseVersion++; heldVersion = leaseVersion }
     /* If the daemon is paused here beyond the expiry, the other daemon may acquire the lease. */
     atomic {
#ifndef NO_FENCING
       if
       :: heldVersion != leaseVersion -> goto lost
       :: else
       fi;
#endif
       assert(heldVersion >= protectedVersion);
       protectedVersion = heldVersion
     }
lost: skip
  :: else -> break
  od
}

init {
  atomic { run Janitor(); run Janitor() }
}
