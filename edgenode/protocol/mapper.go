// Package protocol maps the platform's requests to requests of a node, and final responses
// of a node to the platform's. It has no I/O. What is not the protocol is rejected here, and
// the node never hears of it.
package protocol

import (
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Mapper maps requests and responses by the classes and plans of the settings. It is not
// changed after New, so any number of goroutines may use it.
type Mapper struct {
	settings policy.Settings
	classes  map[string]policy.Class
	plans    map[string]bool
	ready    func() bool
}

// New returns a Mapper. ready tells whether the node can decide; any goroutine calls it.
func New(settings policy.Settings, ready func() bool) *Mapper {
	m := &Mapper{
		settings: settings,
		classes:  map[string]policy.Class{},
		plans:    map[string]bool{},
		ready:    ready,
	}
	for _, class := range settings.Classes {
		m.classes[class.Name] = class
	}
	for _, plan := range settings.Plans {
		m.plans[plan.Name] = true
	}
	return m
}

// Admit returns the request of a call whose header holds end-to-end fields. Where the final
// response is not nil the call has it at once: it asked for readiness, or is not the
// protocol.
func (m *Mapper) Admit(c node.HTTPRequest, _ string) (*node.Request, *node.FinalResponse) {
	r := &node.Request{}
	if c.Target == ReadinessPath && c.Method == "GET" {
		return r, m.readiness()
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
