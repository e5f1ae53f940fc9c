// Package discovery keeps the endpoint list of an edge node up to date. It polls the platform's
// discovery service with HTTP long polls, which return snapshot and delta updates as JSON.
//
// Only Watch and its calls have I/O; lists, their history, the endpoint table, the queue of calls, timeouts and backoff
// have none.
package discovery
