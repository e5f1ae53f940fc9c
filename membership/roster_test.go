package membership

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// testNodes returns a node for each name, each with its own address.
func testNodes(names ...string) (list []Node) {
	for i, n := range names {
		list = append(list, Node{n, fmt.Sprintf("10.0.0.%d:%d", i, len(n))})
	}
	return list
}

func TestRosterValidation(t *testing.T) {
	for _, c := range []struct {
		r       Roster
		want    string
		problem RosterProblem
	}{
		{Roster{Epoch: 1, Nodes: testNodes("a", "b")}, "", 0},
		{Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"b", "x"}}}}, "", 0},
		{Roster{Nodes: testNodes("a")}, "epoch is 0", ZeroEpoch},
		{Roster{Epoch: 1}, "no node", NoNodes},
		{Roster{Epoch: 1, Nodes: testNodes("a", "a")}, "is listed twice", DuplicateName},
		{Roster{Epoch: 1, Nodes: []Node{{"a", "x"}, {"b", "x"}}}, "used by another node", UnusableAddress},
		{Roster{Epoch: 2, Nodes: testNodes("a"), Leaving: []LeavingNode{{1, Node{"a", "x"}}}}, "is listed twice", LeavingNameUnusable},
		{Roster{Epoch: 2, Nodes: testNodes("a", "b"), Leaving: []LeavingNode{{1, Node{"c", "x"}}}}, "must be listed as gone first", LeavingNumberTaken},
		{Roster{Epoch: 2, Nodes: testNodes("a"), RemovedNames: []string{"a"}}, "is listed as gone, but is also a member", RemovedNodePresent},
	} {
		err := c.r.Validate()
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.r, err, c.want)
		}
		var typed *RosterError
		if c.want != "" && (!errors.As(err, &typed) || typed.Problem != c.problem) {
			t.Errorf("%+v: %#v, want problem %d", c.r, err, c.problem)
		}
	}
}

func TestNextRosterKeepsNumbersAndLeavingNodes(t *testing.T) {
	r := Roster{Epoch: 1, Nodes: testNodes("a", "b", "c")}
	r, err := r.Next(testNodes("a"), nil)
	if err != nil || len(r.Leaving) != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if _, err := r.Next(testNodes("a", "d"), nil); err == nil {
		t.Error("the number of a leaving node was assigned to another node")
	}
	if _, err := r.Next(testNodes("a", "c"), nil); err == nil {
		t.Error("a node became a member again under another number")
	} else if moved := new(RosterError); !errors.As(err, &moved) || moved.Problem != NumberChanged || moved.NewNumber != 1 {
		t.Errorf("a node became a member again under another number: %#v", err)
	}
	r, err = r.Next(testNodes("a", "d"), []string{"b"})
	if err != nil || len(r.Leaving) != 1 || r.Leaving[0].Name != "c" || r.Leaving[0].Number != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if r, err = r.Next(testNodes("a", "d", "c"), nil); err != nil || len(r.Leaving) != 0 || r.Epoch != 4 {
		t.Fatalf("%+v, %v", r, err)
	}
}
