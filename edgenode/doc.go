// Package edgenode runs a gateway as an edge node of the users' platform: it reads the
// platform's configuration, speaks the platform's protocol (package protocol), watches the
// platform's discovery (package discovery), and ends within the time that the platform
// leaves between SIGTERM and SIGKILL. Everything else is shared with other gateways.
//
// What a node may use and what happens when during a shutdown is decided without I/O, in
// resource_limits.go and shutdown.go.
package edgenode
