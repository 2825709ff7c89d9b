package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

const configuration = "/api/configuration"

// Put sends a configuration. Since one that is not above the version held is
// acknowledged too, it then reads back what is in force: *Overtaken if that differs, also
// where the call was refused because another text was accepted under its number.
func (c *Client) Put(ctx context.Context, body []byte) (*Answer, error) {
	a, err := c.call(ctx, http.MethodPut, configuration, body)
	if no := (*Refused)(nil); errors.As(err, &no) && no.Status == http.StatusConflict {
		if held, unread := c.Get(ctx); unread == nil {
			return nil, &Overtaken{Sent: epoch(body), Held: epoch(held.Body), Refused: true}
		}
	}
	if err != nil {
		return nil, err
	}
	held, err := c.Get(ctx)
	switch {
	case err != nil:
		return a, &Unread{err}
	case !bytes.Equal(body, held.Body):
		return a, &Overtaken{Sent: epoch(body), Held: epoch(held.Body)}
	}
	return a, nil
}

// Get reads the newest configuration, as it was sent.
func (c *Client) Get(ctx context.Context) (*Answer, error) {
	return c.call(ctx, http.MethodGet, configuration, nil)
}

// Log reads the last lines of one gateway.
func (c *Client) Log(ctx context.Context) (*Answer, error) {
	return c.call(ctx, http.MethodGet, "/api/log", nil)
}

// Status asks one gateway for what it knows.
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

func epoch(body []byte) string {
	var c struct{ Epoch string }
	json.Unmarshal(body, &c)
	return c.Epoch
}
