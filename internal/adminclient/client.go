// Package adminclient is the operators' client: it calls gateways at their control addresses
// as the protocol says that operators do.
package adminclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client calls one of several gateways, and goes on to the next where one fails.
type Client struct {
	At     []string      // control addresses, host:port
	Within time.Duration // for a call with all its tries

	// Now and Pause are the clock, which tests replace.
	Now   func() time.Time
	Pause func(ctx context.Context, d time.Duration) error

	turn int // of At, where the next try goes
	http *http.Client
}

// Answer is a gateway's, and where it came from.
type Answer struct {
	At   string
	Body []byte
}

const (
	firstPause  = 100 * time.Millisecond
	longestWait = 2 * time.Second // between two tries
	silence     = time.Second     // one gateway may take, and as much again for a MiB
	hops        = 2               // redirections that are followed
	strikes     = 3               // answers of another 4xx that end a call
	mostAnswer  = 64 << 20
)

// New returns a client on the real clock.
func New(at []string, within time.Duration) *Client {
	return &Client{At: at, Within: within, Now: time.Now, Pause: pause}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call tries gateway after gateway. Its error is *Refused or *Nobody.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (*Answer, error) {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	end, wait, struck := c.Now().Add(c.Within), firstPause, 0
	none := &Nobody{At: c.At}
	for {
		if len(c.At) == 0 {
			return nil, none
		}
		r := c.follow(ctx, c.At[c.turn%len(c.At)], method, path, body)
		if r.err == nil && r.status/100 == 2 {
			return &Answer{At: r.at, Body: r.body}, nil
		}
		if r.final() {
			return nil, r.refused()
		}
		if r.status/100 == 4 && r.status != http.StatusRequestTimeout && r.status != http.StatusTooManyRequests {
			if struck++; struck == strikes {
				return nil, r.refused()
			}
		}
		c.turn++
		none.Tries++
		none.Sent = none.Sent || r.sent && (r.err != nil || r.status >= 500)
		none.Last = r.trouble()
		pauseFor := max(wait, min(r.after, longestWait))
		if c.Now().Add(pauseFor).After(end) || c.Pause(ctx, pauseFor) != nil {
			return nil, none
		}
		wait = min(2*wait, longestWait)
	}
}

// reply is what became of one try.
type reply struct {
	at     string
	status int
	body   []byte
	after  time.Duration // Retry-After
	sent   bool          // it was written to a gateway
	err    error
}

// final: the text is at fault, not the gateway.
func (r *reply) final() bool {
	switch r.status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return r.err == nil
	}
	return false
}

func (r *reply) refused() error {
	return &Refused{At: r.at, Status: r.status, Why: strings.TrimSpace(string(r.body))}
}

func (r *reply) trouble() error {
	if r.err != nil {
		return fmt.Errorf("%s: %w", r.at, r.err)
	}
	return r.refused()
}

// follow makes one try, and goes where a gateway sends it.
func (c *Client) follow(ctx context.Context, at, method, path string, body []byte) *reply {
	to := &url.URL{Scheme: "http", Host: at, Path: path}
	sent := false
	for hop := 0; ; hop++ {
		r, next := c.once(ctx, to, method, body)
		r.sent = r.sent || sent
		if next == nil || hop == hops {
			return r
		}
		to, sent = next, r.sent
	}
}

func (c *Client) once(ctx context.Context, to *url.URL, method string, body []byte) (*reply, *url.URL) {
	r := &reply{at: to.Host}
	ctx, stop := context.WithTimeout(ctx, silence+time.Duration(len(body)>>20)*silence)
	defer stop()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	defer func() { r.sent = sent.Load() }()
	q, err := http.NewRequestWithContext(ctx, method, to.String(), bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r, nil
	}
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := c.http.Do(q)
	if err != nil {
		if ue := (*url.Error)(nil); errors.As(err, &ue) {
			err = ue.Err
		}
		r.err = err
		return r, nil
	}
	defer a.Body.Close()
	r.status = a.StatusCode
	if r.body, r.err = io.ReadAll(io.LimitReader(a.Body, mostAnswer+1)); len(r.body) > mostAnswer {
		r.err = fmt.Errorf("an answer of more than %d MiB", mostAnswer>>20)
	}
	if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		r.after = time.Duration(s * float64(time.Second))
	}
	if a.StatusCode == http.StatusTemporaryRedirect {
		if next, err := to.Parse(a.Header.Get("Location")); err == nil && next.Scheme == "http" && next.Host != "" {
			return r, next
		}
	}
	return r, nil
}
