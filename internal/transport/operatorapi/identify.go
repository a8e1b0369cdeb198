package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"merlintiller/internal/settings"
)

type operatorContextKey struct{}

// identify gives the id of the operator whose secret came with a call.
func identify(r *http.Request, keys []settings.OperatorKey) (string, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(secret))
	given := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for _, key := range keys {
		// Every key is compared in full, so that the time taken tells
		// nothing of which hash is close.
		if subtle.ConstantTimeCompare(given, []byte(key.SHA256)) == 1 {
			found = key.ID
		}
	}
	return found, found != ""
}

func withOperator(r *http.Request, operator string) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator))
}

func operatorOf(r *http.Request) string {
	operator, _ := r.Context().Value(operatorContextKey{}).(string)
	return operator
}
