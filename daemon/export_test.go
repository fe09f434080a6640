package daemon

import "net/http"

// AdminHandler serves the admin address.
func (n *Node) AdminHandler() http.Handler { return n.adminHandler() }
