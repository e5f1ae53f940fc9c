// Package platform has the stand-ins of the review's cases: discovery, app servers, clients, the configuration of
// edge nodes, and the record of what was sent, answered and run. All of them use loopback addresses.
package platform
