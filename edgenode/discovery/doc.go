// Package discovery keeps the endpoint list of an edge node up to date. It polls the platform's
// discovery service with consecutive HTTP long polls, which return snapshot and delta updates as
// JSON.
//
// Only Watch has I/O; lists, the endpoint table, timeouts and backoff have none.
package discovery
