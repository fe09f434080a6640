//go:build race

package testcluster

const raceEnabled = true
