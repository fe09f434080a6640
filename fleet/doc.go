// Package fleet lets daemons tell one another what they know to be current, so that few of them
// have to ask the store. It owns the list of other daemons and the socket between them. Nothing
// is agreed on: a daemon that hears nobody asks the store itself.
package fleet
