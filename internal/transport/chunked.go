package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"asterwell/internal/responsehead"
)

const maxChunkBits = 31 // of a chunk's size

// readChunkHeader reads the header of a chunk, and the trailers behind the last one.
func (b *streamedBody) readChunkHeader() error {
	line, err := readLine(b.conn.br)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.Trim(size, " \t")), 16, maxChunkBits)
	if err != nil {
		return fmt.Errorf("%w: a chunk's size: %.60q", errInvalidResponse, line)
	}
	if b.remaining = int64(n); n > 0 {
		return nil
	}
	return readTrailers(b.conn.br)
}

// readTrailers reads the fields behind the last chunk, and discards them. It returns io.EOF once they have ended.
func readTrailers(br *bufio.Reader) error {
	limit := maxHeaderBytes
	for first := true; ; first = false {
		line, err := readLine(br)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if limit -= len(line); limit < 0 {
			return fmt.Errorf("%w: trailers of more than %d bytes", errInvalidResponse, maxHeaderBytes)
		}
		if err := responsehead.CheckField(line, first); err != nil {
			return fmt.Errorf("%w: trailer: %w", errInvalidResponse, err)
		}
	}
}

// readLine returns the next line without its CRLF. It is valid until the next read.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	line, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || bytes.IndexByte(line, '\r') >= 0 {
		return nil, fmt.Errorf("%w: %w: %.60q", errInvalidResponse, responsehead.ErrLineBreak, line)
	}
	return line, nil
}

func expectCRLF(br *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		if c, err := br.ReadByte(); err != nil {
			return unexpectedEOF(err)
		} else if c != want {
			return errInvalidResponse
		}
	}
	return nil
}
