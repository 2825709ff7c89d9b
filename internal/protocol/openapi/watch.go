package openapi

import (
	"bytes"
	"log"
	"os"
	"time"

	"asterwell/internal/hostenv"
)

// Load reads the initial description from a file.
func (f *Front) Load(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return text, f.Replace(text)
}

// WatchFile applies changes of the description's file until stop is notified. An invalid
// change is logged once and the current description stays in use, as it does while the
// file is incomplete or missing.
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
