package openapi

import (
	"bytes"
	"log"
	"os"
	"time"

	"asterwell/internal/hostenv"
)

// Load reads the description's file for the first time.
func (f *Front) Load(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return text, f.Replace(text)
}

// Follow takes changes of the description's file until the bell rings. A change
// that can't be used is logged once, and the description in place stands; so it
// does while the file is half written or missing.
func (f *Front) WatchFile(path string, last []byte, every time.Duration, stop hostenv.Notifier) {
	missing := false
	for !stop.Wait(every) {
		text, err := os.ReadFile(path)
		if err != nil {
			if !missing {
				log.Printf("event=description file=%s error=%q", path, err)
			}
			missing = true
			continue
		}
		missing = false
		if bytes.Equal(text, last) {
			continue
		}
		last = text
		if err := f.Replace(text); err != nil {
			log.Printf("event=description file=%s what=rejected error=%q", path, err)
		}
	}
}
