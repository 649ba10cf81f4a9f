// Package requester sends HTTP requests with JSON bodies to the operator address
// of a daemon.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxReasonBytes is the maximum number of bytes that are read from an error
// response.
const maxReasonBytes = 4096

// Do sends body as JSON, or no body if it is nil, and decodes the response into
// result unless that is nil. For any status but 200, Do returns an error with the
// status and the text of the response.
func Do(ctx context.Context, method, url string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(reason))
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(result)
}
