// Package catalog holds a daemon's state of routes and upstreams and publishes it as immutable
// snapshots. It keeps a deregistered upstream for the longest lifetime of a flow, so that packets of
// the upstream's open flows can still be steered to it.
package catalog
