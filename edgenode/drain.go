package edgenode

import (
	"context"
	"errors"
	"net"
	"time"
)

// Drain ends the node within the time between SIGTERM and SIGKILL, by planShutdown:
//
//   - New connections are accepted for one request each, as long as clients may not know
//     of the shutdown; others are closed as they become idle.
//   - Then no new ones are accepted, and Drain waits until all connections are closed.
//   - Shortly before the end every request still open gets its final response.
//   - What is left then is cut.
//
// A ctx that ends sooner cuts all at once. Drain returns when all goroutines of the node
// have ended. The error means that requests were left unanswered at the end.
func (e *Edge) Drain(ctx context.Context) error {
	begun := time.Now()
	plan := planShutdown(e.classes)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(plan.cutConnections))
	defer cancel()

	e.draining.Store(true)
	e.front.StartDraining()
	waitUntil(ctx, begun.Add(plan.stopAccepting))
	e.closeListener()
	e.front.StopAccepting()

	finalResponses := time.AfterFunc(time.Until(begun.Add(plan.finalResponses)), e.sendFinalResponses)
	defer finalResponses.Stop()
	e.front.Drain(ctx)
	e.node.AbortRequests()
	err := e.node.Drain(ctx)
	e.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// sendFinalResponses answers every request that is open or only partly read.
func (e *Edge) sendFinalResponses() {
	e.node.AbortRequests()
	e.front.RejectPartialRequests()
}

// waitUntil waits for a time, or the end of ctx.
func waitUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

// close ends all goroutines of the node and waits for them. Requests in flight fail.
func (e *Edge) close() {
	e.closeListener()
	e.serving.Wait()
	e.closers.Close()
}

// closeListener closes the listener, if it is open.
func (e *Edge) closeListener() {
	if e.listener == nil {
		return
	}
	if err := e.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		e.logger.Warn("closing a listener failed", "error", err)
	}
}
