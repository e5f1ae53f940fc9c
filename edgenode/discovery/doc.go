// Package discovery keeps the endpoint list of an edge node by the platform's discovery:
// snapshots and changes as JSON over HTTP, from long polls that follow each other.
//
// Lists, the table of endpoints, times and backoff have no I/O; Watch has.
package discovery
