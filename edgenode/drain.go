package edgenode

import (
	"context"
	"errors"
	"net"
	"time"
)

// Drain shuts the node down within the time between SIGTERM and SIGKILL, at the times that
// planShutdown returns:
//
//   - While clients may not know of the shutdown, new connections are accepted and serve one
//     request each. Other connections are closed as they become idle.
//   - Then no new connections are accepted, and Drain waits until all connections are closed.
//   - Shortly before the end every request that is still open gets its final response.
//   - Connections that are still open after that are closed.
//
// If ctx ends sooner, all connections are closed at once. Drain returns when all goroutines of
// the node have ended. The error means that requests were left without a response.
func (e *Edge) Drain(ctx context.Context) error {
	begun := time.Now()
	plan := planShutdown(e.classes)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(plan.cutConnections))
	defer cancel()

	e.draining.Store(true)
	e.front.StartDraining()
	waitUntil(ctx, begun.Add(plan.stopAccepting))
	e.stopServing(ctx, begun.Add(plan.finalResponses))
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

// sendFinalResponses ends every request that is open or only partly read with a final response.
func (e *Edge) sendFinalResponses() {
	e.node.AbortRequests()
	e.front.RejectPartialRequests()
}

// waitUntil waits until the given time, or until ctx ends.
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

// stopServing closes the listener once the connections that have reached it are accepted, or at a time.
func (e *Edge) stopServing(ctx context.Context, latest time.Time) {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	e.logCloseError(e.front.StopServing(ctx, e.listener))
	e.serving.Wait()
}

// closeListener closes the listener at once, if it is open.
func (e *Edge) closeListener() {
	switch {
	case e.front != nil:
		e.logCloseError(e.front.CloseListener(e.listener))
	case e.listener != nil:
		e.logCloseError(e.listener.Close())
	}
}

// logCloseError logs an error of closing the listener, unless it was closed before.
func (e *Edge) logCloseError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		e.logger.Warn("closing a listener failed", "error", err)
	}
}
