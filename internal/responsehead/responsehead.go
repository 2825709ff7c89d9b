// Package responsehead finds the head of an HTTP/1 response in what has been received, and checks what the HTTP libraries let pass.
// All readers of responses use it, so that they agree about which are valid, and about where a head ends.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors of an invalid head.
var (
	ErrStatus    = errors.New("the status is not a number from 100 to 599")
	ErrLineBreak = errors.New("a CR or LF is not part of a CRLF")
	ErrFieldName = errors.New("a field's name is not a token")
)

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
		return Head{}, checkLineBreaks(received)
	}
	length := end + len(emptyLine)
	if err := checkLineBreaks(received[:length]); err != nil {
		return Head{}, err
	}
	statusLine, fields, _ := bytes.Cut(received[:end], lineEnd)
	status, err := parseStatus(statusLine)
	if err != nil {
		return Head{}, err
	}
	return Head{Status: status, Length: length}, checkFields(fields)
}

// checkLineBreaks checks that each CR is followed, and each LF preceded, by the other. What follows the last byte is not known.
func checkLineBreaks(text []byte) error {
	for rest := text; len(rest) > 0; {
		i := bytes.IndexAny(rest, "\r\n")
		if i < 0 || i == len(rest)-1 && rest[i] == '\r' {
			break
		}
		if !bytes.HasPrefix(rest[i:], lineEnd) {
			return fmt.Errorf("%w: %.60q", ErrLineBreak, rest[max(0, i-lineBreakContext):])
		}
		rest = rest[i+len(lineEnd):]
	}
	return nil
}

// lineBreakContext is how many bytes before a line break its error shows.
const lineBreakContext = 30

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

// checkFields checks the lines behind the status line. The last one has no CRLF.
func checkFields(fields []byte) error {
	for first := true; len(fields) > 0; first = false {
		var line []byte
		line, fields, _ = bytes.Cut(fields, lineEnd)
		if err := CheckField(line, first); err != nil {
			return err
		}
	}
	return nil
}

// CheckField checks one line of the fields of a head or of trailers, without its CRLF. first tells that no field precedes it.
func CheckField(line []byte, first bool) error {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	valid := hasColon && isToken(name)
	if len(line) > 0 && isBlank(line[0]) { // it continues the value before it, unless it reads as a field: readers differ about those
		oneWord := !bytes.ContainsAny(bytes.Trim(name, blanks), blanks)
		valid = !first && !(hasColon && oneWord)
	}
	if !valid {
		return fmt.Errorf("%w: %.60q", ErrFieldName, line)
	}
	return nil
}

const blanks = " \t"

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// isToken reports whether a name is what RFC 9110 calls a token.
func isToken(name []byte) bool {
	for _, b := range name {
		letter, digit := 'a' <= b|0x20 && b|0x20 <= 'z', '0' <= b && b <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}
