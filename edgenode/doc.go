// Package edgenode runs a gateway as an edge node of the platform that hosts it: it reads the
// platform's configuration, implements the platform's protocol (package protocol), watches the
// platform's discovery service (package discovery), and shuts down within the time that the
// platform allows between SIGTERM and SIGKILL. Everything else is shared with other gateways.
//
// The division of resources (resource_limits.go) and the schedule of the shutdown (shutdown.go)
// are computed without I/O.
package edgenode
