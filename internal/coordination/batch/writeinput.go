package batch

import (
	"encoding/json"
	"io"
	"net/http"

	"merlintiller/internal/coordination/bulk"
)

// writeInput writes items as lines of an input file. The fields are in a fixed
// order, which may differ from the uploaded line.
func writeInput(out io.Writer, endpoint string, items []bulk.Item) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	for _, item := range items {
		line := InputLine{CustomID: item.CustomID, Method: http.MethodPost, URL: endpoint, Body: item.Body}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
