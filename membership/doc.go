// Package membership finds out which daemons of a shard are alive: it probes peers, spreads
// suspicion and announced leaves, and publishes a View. It owns the view and calls wire, peer
// messaging and the platform's VM list, which is only a hint.
package membership
