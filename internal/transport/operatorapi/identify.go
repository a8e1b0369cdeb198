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

// authenticate returns the ID of the operator whose secret the request contains.
func authenticate(r *http.Request, keys []settings.OperatorKey) (string, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(secret))
	given := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for _, key := range keys {
		// All keys are compared in constant time, so that the duration does
		// not reveal which hash is similar.
		if subtle.ConstantTimeCompare(given, []byte(key.SHA256)) == 1 {
			found = key.ID
		}
	}
	return found, found != ""
}

func withOperator(r *http.Request, operator string) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator))
}

func operatorFrom(r *http.Request) string {
	operator, _ := r.Context().Value(operatorContextKey{}).(string)
	return operator
}
