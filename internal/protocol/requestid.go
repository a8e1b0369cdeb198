package protocol

import "context"

type requestIDKey struct{}

// WithRequestID returns a context that carries the id of a caller's request, for log lines.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the id that WithRequestID stored, or "".
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
