// Package closing closes listeners and their connections when a context is done.
package closing

import "context"

// OnDone calls end once ctx is done. A background service must call the returned wait
// before it reports that it has stopped. wait returns when end has returned, or
// when end will never run.
//
// Without the wait, closing a listener wakes its accept loop before the open
// connections are closed. A service that returns then counts as stopped, while an
// open connection may still answer one more call. The caller is served by an
// instance that was reported as terminated.
func OnDone(ctx context.Context, end func()) (wait func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		end()
	})
	return func() {
		if !stop() {
			<-ended
		}
	}
}
