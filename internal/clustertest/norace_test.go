//go:build !race

package clustertest_test

const raceEnabled = false
