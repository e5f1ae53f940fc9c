package authz

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Customers far over their quota do not use the capacity of the service that other customers need.
func TestOverQuotaCustomersWaitBehindOthers(t *testing.T) {
	settings := testSettings(1)
	settings.MaxInFlight = 4
	d := New(settings)
	var checkedCustomers []string
	customers := map[uint64]string{}
	id := uint64(0)
	start := func(customer string) []Action {
		id++
		customers[id] = customer
		return d.StartRequest(testStart, Request{ID: id, Class: "closed", Customer: customer, Plan: "p", Units: 1, Resource: fmt.Sprint(id), Remaining: time.Second})
	}
	var inFlight []SendCheck
	rejected := 0
	carryOut := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SendCheck:
				checkedCustomers = append(checkedCustomers, customers[a.ID])
				inFlight = append(inFlight, a)
			case Resolve:
				if a.Decision == RejectOverQuota {
					rejected++
				}
			}
		}
	}
	for range 40 {
		carryOut(start("over quota"))
	}
	for range 5 {
		carryOut(start("within quota"))
	}
	for len(inFlight) > 0 {
		c := inFlight[0]
		inFlight = inFlight[1:]
		carryOut(d.FinishCheck(testStart.Add(time.Millisecond), c.ID, c.Attempt, CheckResult{Outcome: Allowed, Latency: time.Millisecond}))
	}
	if rejected < 25 {
		t.Errorf("%d requests over quota rejected without a check, want at least 25", rejected)
	}
	within := 0
	for _, customer := range checkedCustomers {
		if customer == "within quota" {
			within++
		}
	}
	if within != 5 {
		t.Errorf("%d of 5 requests within quota checked: %v", within, checkedCustomers)
	}
}

func TestQueueOrder(t *testing.T) {
	heavy := newClassState(Class{Mode: FailOpen, PriorityWeight: 2})
	closed := newClassState(Class{Mode: FailClosed, PriorityWeight: 1})
	open := newClassState(Class{Mode: FailOpen, PriorityWeight: 1})
	later := testStart.Add(time.Second)
	want := []*pendingRequest{
		{Request: Request{ID: 9}, class: heavy, startedAt: later},
		{Request: Request{ID: 8}, class: closed, startedAt: later},
		{Request: Request{ID: 7}, class: open, startedAt: testStart},
		{Request: Request{ID: 1}, class: open, startedAt: later},
		{Request: Request{ID: 2}, class: open, startedAt: later},
		{Request: Request{ID: 0}, class: heavy, startedAt: testStart, overQuota: true},
	}
	for _, order := range [][]int{{0, 1, 2, 3, 4, 5}, {5, 4, 3, 2, 1, 0}, {3, 0, 5, 1, 4, 2}} {
		var q requestQueue
		for _, i := range order {
			q.push(want[i])
		}
		if !slices.Equal(q.requests, want) {
			t.Errorf("pushed in the order %v: the queue is not sorted", order)
		}
	}
}

func TestLateRequestsAreRemovedFromQueue(t *testing.T) {
	var q requestQueue
	class := newClassState(Class{Mode: FailClosed})
	late := &pendingRequest{Request: Request{ID: 1}, class: class, deadline: testStart.Add(minCheckTimeout - 1)}
	timely := &pendingRequest{Request: Request{ID: 2}, class: class, deadline: testStart.Add(minCheckTimeout)}
	q.push(late)
	q.push(timely)
	if got := q.removeLate(testStart); !slices.Equal(got, []*pendingRequest{late}) || late.queued {
		t.Errorf("%d requests removed, want only the late request", len(got))
	}
	if q.first() != timely || !timely.queued {
		t.Error("the request with enough time left is not queued any more")
	}
}
