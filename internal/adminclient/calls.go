package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

const configurationPath = "/api/configuration"

// Put sends a configuration. A gateway also acknowledges one that is not above its current
// version, so Put then reads back the configuration in force. It returns *Overtaken if that
// differs, and also if the call was refused because another text was accepted under its number.
func (c *Client) Put(ctx context.Context, body []byte) (*Answer, error) {
	a, err := c.call(ctx, http.MethodPut, configurationPath, body)
	if refused := (*Refused)(nil); errors.As(err, &refused) && refused.Status == http.StatusConflict {
		if held, readErr := c.Get(ctx); readErr == nil {
			return nil, &Overtaken{Sent: epochOf(body), Held: epochOf(held.Body), Refused: true}
		}
	}
	if err != nil {
		return nil, err
	}
	held, err := c.Get(ctx)
	switch {
	case err != nil:
		return a, &ReadBackError{err}
	case !bytes.Equal(body, held.Body):
		return a, &Overtaken{Sent: epochOf(body), Held: epochOf(held.Body)}
	}
	return a, nil
}

// Get returns the newest configuration, byte for byte as it was sent.
func (c *Client) Get(ctx context.Context) (*Answer, error) {
	return c.call(ctx, http.MethodGet, configurationPath, nil)
}

// Log returns the last log lines of one gateway.
func (c *Client) Log(ctx context.Context) (*Answer, error) {
	return c.call(ctx, http.MethodGet, "/api/log", nil)
}

// Status returns one gateway's view of the system.
func (c *Client) Status(ctx context.Context) (*Status, *Answer, error) {
	a, err := c.call(ctx, http.MethodGet, "/api/status", nil)
	if err != nil {
		return nil, nil, err
	}
	s := new(Status)
	if err := json.Unmarshal(a.Body, s); err != nil {
		return nil, a, fmt.Errorf("%s: status: %w", a.At, err)
	}
	return s, a, nil
}

// epochOf returns the Epoch of a configuration, or "" if it has none.
func epochOf(body []byte) string {
	var c struct{ Epoch string }
	json.Unmarshal(body, &c)
	return c.Epoch
}
