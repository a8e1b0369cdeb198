package main

import (
	"fmt"
	"strings"
)

// splitListen parses NAME=ip:port.
func splitListen(text string) (name, address string, err error) {
	name, address, ok := strings.Cut(text, "=")
	if !ok || name == "" || address == "" {
		return "", "", fmt.Errorf("--listen %q: want NAME=ip:port", text)
	}
	return name, address, nil
}
