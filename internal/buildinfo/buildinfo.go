// Package buildinfo tells which build of a program is running, so that reports from different machines can be compared.
package buildinfo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"
)

// Info identifies a build of the running program.
type Info struct {
	Revision string    `json:",omitempty"` // of the version control system; empty: the build doesn't say
	Modified bool      `json:",omitempty"` // the sources differed from the revision
	Go       string    // the compiler's version
	Written  time.Time // when the executable file was written
	Digest   string    `json:",omitempty"` // of the executable file, hexadecimal; empty: not computed
}

// digestBytes is how many bytes of the digest are kept.
const digestBytes = 8

// Read returns what is known of the running program without reading its executable.
func Read() Info {
	var info Info
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Go = build.GoVersion
		for _, setting := range build.Settings {
			switch setting.Key {
			case "vcs.revision":
				info.Revision = setting.Value
			case "vcs.modified":
				info.Modified = setting.Value == "true"
			}
		}
	}
	if path, err := os.Executable(); err == nil {
		if file, err := os.Stat(path); err == nil {
			info.Written = file.ModTime().UTC().Truncate(time.Second)
		}
	}
	return info
}

// ReadWithDigest is Read with the digest of the executable, which takes tens of milliseconds of a processor. Builds of the
// same sources by the same command have the same digest.
func ReadWithDigest() (Info, error) {
	info := Read()
	path, err := os.Executable()
	if err != nil {
		return info, fmt.Errorf("executable: %w", err)
	}
	file, err := os.Open(path)
	if err != nil {
		return info, fmt.Errorf("executable: %w", err)
	}
	defer file.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return info, fmt.Errorf("executable: %w", err)
	}
	info.Digest = hex.EncodeToString(sum.Sum(nil)[:digestBytes])
	return info, nil
}

// String returns the build in one line.
func (i Info) String() string {
	text := "written " + i.Written.Format(time.RFC3339) + " " + i.Go
	if i.Revision != "" {
		text = "revision " + i.Revision + " " + text
	}
	if i.Modified {
		text += " modified"
	}
	if i.Digest != "" {
		text += " digest " + i.Digest
	}
	return text
}
