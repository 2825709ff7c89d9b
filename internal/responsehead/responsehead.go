// Package responsehead finds the head of an HTTP/1 response in what has been received, and checks what the HTTP libraries let pass.
// All readers of responses use it, so that they agree about which are valid.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrStatus is the error for a head whose status is none of HTTP.
var ErrStatus = errors.New("the status is not a number from 100 to 599")

// Head describes the head of a response, interim or final.
type Head struct {
	Status int
	Length int // in bytes, with the empty line that ends it; 0: it is not complete yet
}

var (
	lineEnd   = []byte("\r\n")
	emptyLine = []byte("\r\n\r\n") // and the end of the line before it
)

// Find returns the head that received begins with. An error means that it is invalid, whatever follows.
func Find(received []byte) (Head, error) {
	end := bytes.Index(received, emptyLine)
	if end < 0 {
		return Head{}, nil
	}
	statusLine, _, _ := bytes.Cut(received[:end], lineEnd)
	status, err := parseStatus(statusLine)
	if err != nil {
		return Head{}, err
	}
	return Head{Status: status, Length: end + len(emptyLine)}, nil
}

const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// parseStatus returns the status in a status line.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("%w: %.60q", ErrStatus, line)
		}
		status = 10*status + int(digit-'0')
	}
	if len(digits) != statusDigits || status < minStatus || status > maxStatus {
		return 0, fmt.Errorf("%w: %.60q", ErrStatus, line)
	}
	return status, nil
}
