//go:build !race

package peer_test

const raceEnabled = false
