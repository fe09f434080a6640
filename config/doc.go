// Package config provides the immutable configuration of one generation and its look-ups.
package config
