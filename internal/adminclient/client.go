// Package adminclient is the client of the admin API: it calls gateways at their control
// addresses, with the retries and redirects that the protocol prescribes for operators.
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

// Client calls one of several gateways, and retries with the next one on failure.
type Client struct {
	Addresses []string      // control addresses, host:port
	Timeout   time.Duration // for a call, including its retries

	// Now and Pause are the clock. Tests replace them.
	Now   func() time.Time
	Pause func(ctx context.Context, d time.Duration) error

	next int // counts failed attempts; modulo len(Addresses), it is the next gateway
	http *http.Client
}

// Answer is the body of a successful response, and the address of the gateway that sent it.
type Answer struct {
	At   string
	Body []byte
}

const (
	initialBackoff  = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second // between attempts
	attemptTimeout  = time.Second     // for one attempt; the same is added for each MiB of the body
	maxRedirects    = 2               // followed in one attempt
	maxClientErrors = 3               // 4xx responses, other than the final ones, that end a call
	maxAnswerBytes  = 64 << 20
)

// New returns a client that uses the system clock.
func New(at []string, within time.Duration) *Client {
	return &Client{Addresses: at, Timeout: within, Now: time.Now, Pause: pause}
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

// call tries the gateways in turn until one gives a final answer. Its error is *Refused or
// *NoAnswerError.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (*Answer, error) {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dialChecked},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	deadline, backoff, clientErrors := c.Now().Add(c.Timeout), initialBackoff, 0
	failure := &NoAnswerError{At: c.Addresses}
	for {
		if len(c.Addresses) == 0 {
			return nil, failure
		}
		r := c.attempt(ctx, c.Addresses[c.next%len(c.Addresses)], method, path, body)
		if r.err == nil && r.status/100 == 2 {
			return &Answer{At: r.at, Body: r.body}, nil
		}
		if r.final() {
			return nil, r.refused()
		}
		if r.status/100 == 4 && r.status != http.StatusRequestTimeout && r.status != http.StatusTooManyRequests {
			if clientErrors++; clientErrors == maxClientErrors {
				return nil, r.refused()
			}
		}
		c.next++
		failure.Tries++
		failure.Sent = failure.Sent || r.sent && (r.err != nil || r.status >= 500)
		failure.Last = r.lastError()
		delay := max(backoff, min(r.retryAfter, maxBackoff))
		if c.Now().Add(delay).After(deadline) || c.Pause(ctx, delay) != nil {
			return nil, failure
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// reply is the result of one attempt.
type reply struct {
	at         string
	status     int
	body       []byte
	retryAfter time.Duration // from the Retry-After header
	sent       bool          // the request may have reached a gateway
	err        error
}

// final reports whether the request itself was rejected, so that no other gateway would accept it.
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

func (r *reply) lastError() error {
	if r.err != nil {
		return fmt.Errorf("%s: %w", r.at, r.err)
	}
	return r.refused()
}

// attempt sends the request to one gateway and follows redirects.
func (c *Client) attempt(ctx context.Context, at, method, path string, body []byte) *reply {
	to := &url.URL{Scheme: "http", Host: at, Path: path}
	sent := false
	for hop := 0; ; hop++ {
		r, next := c.roundTrip(ctx, to, method, body)
		r.sent = r.sent || sent
		if next == nil || hop == maxRedirects {
			return r
		}
		to, sent = next, r.sent
	}
}

// roundTrip sends one HTTP request. It returns the target of a redirect, if there is one.
func (c *Client) roundTrip(ctx context.Context, to *url.URL, method string, body []byte) (*reply, *url.URL) {
	r := &reply{at: to.Host}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+time.Duration(len(body)>>20)*attemptTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(got httptrace.GotConnInfo) { got.Conn.(*checkedConn).expectHead() },
		WroteHeaders: func() { sent.Store(true) }})
	defer func() { r.sent = sent.Load() }()
	request, err := http.NewRequestWithContext(ctx, method, to.String(), bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r, nil
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ue := (*url.Error)(nil); errors.As(err, &ue) {
			err = ue.Err
		}
		r.err = err
		return r, nil
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	if r.body, r.err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1)); len(r.body) > maxAnswerBytes {
		r.err = fmt.Errorf("an answer of more than %d MiB", maxAnswerBytes>>20)
	}
	if r.err == nil {
		if r.err = checkTrailers(response); r.err != nil {
			return r, nil
		}
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	if response.StatusCode == http.StatusTemporaryRedirect {
		if next, err := to.Parse(response.Header.Get("Location")); err == nil && next.Scheme == "http" && next.Host != "" {
			return r, next
		}
	}
	return r, nil
}
