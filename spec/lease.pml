/* The maintenance lease and its fencing token.
 *
 * Two daemons compete for a lease whose holder may be paused past its end; each act carries
 * the version of the lease, and the store refuses one with an older version.
 *
 * Mutation: NO_FENCING.
 */
byte leaseVersion = 0;       /* version of the lease object */
byte protectedVersion = 0;   /* newest lease version that acted */

/* A daemon takes the lease when its time is up for the other, and acts with its version. The
 * scheduler may pause it between taking and acting. */
proctype Janitor() {
  byte mine;
  byte rounds = 0;
  do
  :: rounds < 2 ->
     rounds++;
     atomic { leaseVersion++; mine = leaseVersion }
     /* A pause past the end of the lease lets the other daemon take it here. */
     atomic {
#ifndef NO_FENCING
       if
       :: mine != leaseVersion -> goto lost
       :: else
       fi;
#endif
       assert(mine >= protectedVersion);
       protectedVersion = mine
     }
lost: skip
  :: else -> break
  od
}

init {
  atomic { run Janitor(); run Janitor() }
}
