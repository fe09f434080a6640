// Package catalog holds what a daemon knows of routes and upstreams at one moment. It owns the
// upstreams that were known before, so that packets of their open flows still find them, and
// publishes immutable snapshots.
package catalog
