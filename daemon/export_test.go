package daemon

import "net/http"

// AdminHandler returns the handler of the admin address.
func (n *Node) AdminHandler() http.Handler { return n.adminHandler() }
