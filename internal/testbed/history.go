package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record is a line of a run's history. Times are on the field's one clock.
type Record struct {
	At     time.Duration `json:"at"`
	Kind   string        `json:"kind"` // try, answer, attempt, probe, told, fault, process, broken
	Who    string        `json:"who,omitempty"`
	From   string        `json:"from,omitempty"`
	To     string        `json:"to,omitempty"`
	What   string        `json:"what,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Status int           `json:"status,omitempty"`
	Begun  time.Duration `json:"begun,omitempty"`
}

// history writes records to a file.
type history struct {
	mu   sync.Mutex
	now  func() time.Duration
	file *os.File
	out  *bufio.Writer
	enc  *json.Encoder
	err  error
}

func newHistory(path string, now func() time.Duration) (*history, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	out := bufio.NewWriterSize(file, 1<<18)
	return &history{now: now, file: file, out: out, enc: json.NewEncoder(out)}, nil
}

func (h *history) add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.At = h.now()
	if err := h.enc.Encode(r); err != nil && h.err == nil {
		h.err = err
	}
}

func (h *history) close() error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.out.Flush(); err != nil && h.err == nil {
		h.err = err
	}
	h.file.Close()
	return h.err
}

// ReadHistory calls each for every record of a file.
func ReadHistory(path string, each func(Record)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	dec := json.NewDecoder(bufio.NewReaderSize(file, 1<<18))
	for n := 1; ; n++ {
		var r Record
		if err := dec.Decode(&r); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: record %d: %w", path, n, err)
		}
		each(r)
	}
}
