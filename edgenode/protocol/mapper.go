// Package protocol maps HTTP requests of the platform's protocol to requests of a node, and final
// responses of a node to HTTP responses. It has no I/O. Requests that violate the protocol are
// answered here and do not reach the node.
package protocol

import (
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Mapper maps requests and responses according to the classes and plans of the settings. It is
// not changed after New, so any number of goroutines may use it.
type Mapper struct {
	settings policy.Settings
	classes  map[string]policy.Class
	plans    map[string]bool
	ready    func() bool
	metrics  func() []byte
}

// New returns a Mapper. ready reports whether the node can handle requests, metrics returns what it tells its operators;
// both may be called from any goroutine.
func New(settings policy.Settings, ready func() bool, metrics func() []byte) *Mapper {
	m := &Mapper{
		settings: settings,
		classes:  map[string]policy.Class{},
		plans:    map[string]bool{},
		ready:    ready,
		metrics:  metrics,
	}
	for _, class := range settings.Classes {
		m.classes[class.Name] = class
	}
	for _, plan := range settings.Plans {
		m.plans[plan.Name] = true
	}
	return m
}

// Admit maps an HTTP request whose header holds only end-to-end fields to a request of the node. If
// the final response is not nil, the HTTP request is answered with it and does not reach the node: it
// is a readiness check, asks for the metrics, or violates the protocol.
func (m *Mapper) Admit(c node.HTTPRequest, _ string) (*node.Request, *node.FinalResponse) {
	r := &node.Request{}
	if c.Target == ReadinessPath && c.Method == "GET" {
		return r, m.readiness()
	}
	if c.Target == MetricsPath && c.Method == "GET" {
		header := http1.Header{{Name: "Content-Type", Value: "text/plain; version=0.0.4"}}
		return r, &node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Header: header, Body: m.metrics()}}
	}
	if err := m.readRequest(r, &c); err != nil {
		return r, &node.FinalResponse{Kind: node.Failed, Reason: node.ReasonBadRequest, Detail: err.Error()}
	}
	r.HTTP = c
	return r, nil
}

func (m *Mapper) readiness() *node.FinalResponse {
	if !m.ready() {
		return &node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonDraining, Detail: "not ready"}
	}
	return &node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200}}
}
