package config

import (
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

func (l *loader) customers(in []customerBlock) {
	fleetSize := len(l.config.Peers.Addresses) + 1
	maxFirstGateway := fleetSize - 1
	if l.config.Roster != nil { // the fleet may grow
		fleetSize, maxFirstGateway = maxGatewayNumber, maxGatewayNumber
	}
	names := map[string]hcl.Range{}
	keys := map[string]hcl.Range{}
	for _, block := range in {
		l.checkUnique(names, "customer", block.Name, block.NameRange)
		customer := Customer{
			Name:          block.Name,
			Plan:          l.nonEmptyText(block.Plan),
			FirstGateway:  l.integer(block.FirstGateway, integerBounds{Default: 0, Min: 0, Max: maxFirstGateway}),
			GatewaySpread: l.integer(block.GatewaySpread, integerBounds{Default: fleetSize, Min: 1, Max: fleetSize}),
		}
		l.checkPlan(customer.Plan, block.Plan)
		customer.Keys = l.customerKeys(block.Keys, keys)
		l.config.Customers = append(l.config.Customers, customer)
	}
}

func (l *loader) checkPlan(name string, expression hcl.Expression) {
	var names []string
	for _, plan := range l.config.Plans {
		names = append(names, plan.Name)
	}
	if name != "" && !slices.Contains(names, name) {
		l.addError(expression.Range(), "Unknown plan", "The plans are %s.", quoted(names))
	}
}

// customerKeys returns the keys of one customer; seen contains those of all customers.
func (l *loader) customerKeys(e hcl.Expression, seen map[string]hcl.Range) (keys []string) {
	v, ok := l.value(e, cty.List(cty.String), "A list of texts")
	if !ok {
		return nil
	}
	for _, element := range v.AsValueSlice() {
		if element.IsNull() || element.AsString() == "" {
			l.addError(e.Range(), "Empty key", "A key is a text of at least one character.")
			continue
		}
		key := element.AsString()
		if first, used := seen[key]; used {
			l.addError(e.Range(), "Key used twice", "One of these keys is in use at %s already.", first)
		}
		seen[key] = e.Range()
		keys = append(keys, key)
	}
	return keys
}
