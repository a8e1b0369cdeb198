// Package closing ties the end of a listener and its connections to a context.
package closing

import "context"

// OnDone runs end once ctx is done. The returned wait must be called before the
// duty reports that it stopped: it gives back only when end has run to its end,
// or will never run.
//
// What goes wrong without the wait: closing a listener wakes its accept loop
// before the open connections are closed. A duty that returns at that moment
// counts as stopped, while a connection that is still open answers one more
// call: a caller is served by an instance that was said to be gone.
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
