package systemsim

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// args are a command's words, taken from the left.
type args struct {
	words []string
	err   error
}

func (a *args) next() string {
	if len(a.words) == 0 {
		a.fail("something is missing")
		return ""
	}
	s := a.words[0]
	a.words = a.words[1:]
	return s
}

// after takes a keyword and what follows it, wherever they stand.
func (a *args) after(key string) (string, bool) {
	i := slices.Index(a.words, key)
	if i < 0 || i+1 >= len(a.words) {
		return "", false
	}
	v := a.words[i+1]
	a.words = slices.Delete(slices.Clone(a.words), i, i+2)
	return v, true
}

func (a *args) has(key string) bool {
	i := slices.Index(a.words, key)
	if i >= 0 {
		a.words = slices.Delete(slices.Clone(a.words), i, i+1)
	}
	return i >= 0
}

func (a *args) fail(form string, v ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(form, v...)
	}
}

func (a *args) number() float64 {
	s := a.next()
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		a.fail("%q is no number", s)
	}
	return v
}

func (a *args) version() uint32 { return uint32(a.number()) }

func (a *args) time() time.Duration { return a.parse(a.next()) }

func (a *args) parse(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		a.fail("%q is no time", s)
	}
	return d
}

// span is the time after "for", or 0.
func (a *args) span() time.Duration {
	if s, ok := a.after("for"); ok {
		return a.parse(s)
	}
	return 0
}

// lasting reads who is struck, for how long and how much; the first two are the words of what is done to each.
func (a *args) lasting() (*args, float64) {
	d, names, much := a.span(), a.next(), a.number()
	b := lasting(names, d)
	b.err = a.err
	return b, much
}

func lasting(names string, d time.Duration) *args {
	b := &args{words: []string{names}}
	if d > 0 {
		b.words = append(b.words, "for", d.String())
	}
	return b
}
