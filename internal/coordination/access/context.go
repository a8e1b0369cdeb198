package access

import "context"

type contextKey struct{}

// WithCaller returns a context that carries the caller of a request.
func WithCaller(ctx context.Context, caller Caller) context.Context {
	return context.WithValue(ctx, contextKey{}, caller)
}

// FromContext returns the caller that WithCaller stored. ok is false if the request
// was not authenticated.
func FromContext(ctx context.Context) (caller Caller, ok bool) {
	caller, ok = ctx.Value(contextKey{}).(Caller)
	return caller, ok
}
