// Package membership detects which daemons of a shard are alive, in the manner of SWIM: it probes
// peers, gossips suspicions and announced leaves, and publishes a View. It owns the view. Through
// its options it uses the messaging between daemons and the platform's VM list, which is only a hint.
package membership
