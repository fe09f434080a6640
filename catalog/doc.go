// Package catalog holds a daemon's state of routes and upstreams and publishes it as immutable
// snapshots. It keeps deregistered upstreams for a while, so that packets of their open flows can
// still be steered to them.
package catalog
