package http2

import (
	"time"

	"golang.org/x/net/http2"
)

// chargeFrame charges a frame that costs the client nothing but the server work. Some such
// frames are normal; a flood of them ends the connection.
func (c *conn) chargeFrame() error { return c.charge(1) }

// charge takes a cost from the frame budget. It returns a connection error if the budget does
// not suffice.
func (c *conn) charge(cost float64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chargeLocked(cost)
}

// chargeLocked is charge with c.mu held.
func (c *conn) chargeLocked(cost float64) error {
	capacity := float64(c.server.options.FrameBudget)
	now := time.Now()
	c.frameBudget = min(capacity, c.frameBudget+capacity/10*now.Sub(c.budgetUpdatedAt).Seconds())
	c.budgetUpdatedAt = now
	if c.frameBudget < cost {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	c.frameBudget -= cost
	return nil
}
