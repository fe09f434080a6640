// Package orders_test plays orders of events around in-band daemons in one process and in virtual time. The
// daemons' decisions, catalog and discovery are real. The store, upstreams, callers, the fabric and the
// exchange between daemons are small models, which do only what the platform's protocol allows. A judge
// checks the rules with what callers and upstreams see.
package orders_test
