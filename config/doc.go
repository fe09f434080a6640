// Package config holds the configuration of one generation as the other packages read it.
package config
