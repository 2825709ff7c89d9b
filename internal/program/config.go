// Package program puts the gateway together: its configuration, its parts, its
// log and its signals.
package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"asterwell/choice"
	"asterwell/internal/cluster"
	"asterwell/internal/protocol"
	"asterwell/internal/settings"
)

// Config is all that a gateway is told. LB_CONFIG names its file; LB_NAME,
// LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT go before what the file says.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Counter   string

	Management string // "": nobody may call
	Socket     int    // descriptor of the clients' listening socket; 0: the gateway opens its own

	Seed     uint64
	Limits   Limits
	Known    protocol.ServerList
	Settings settings.Settings
	Text     []byte // of the file, less what is for a start only
}

// Limits are what the platform holds a gateway to.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The limits where the configuration names none.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// ReadConfig reads the configuration, gives it its defaults and checks it. An
// error names the key at fault.
func ReadConfig(env func(string) string) (*Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parseConfig(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Files are all that a gateway is told by files.
type Files struct {
	Config   *Config
	Operator *Operator
	SRV      *SRV
	Cluster  *cluster.Config // not looked at again while the gateway runs
}

// rest reads the operator's files, which go by the configuration.
func (c *Config) rest(env func(string) string) (*Files, error) {
	op, err := ReadOperator(env, &c.Settings.Settings)
	if err != nil {
		return nil, err
	}
	srv, err := ReadSRV(env)
	if err != nil {
		return nil, err
	}
	cl, err := ReadCluster(env)
	if err == nil && cl.Enabled && op.Enabled {
		err = errors.New("cluster and openapi are both enabled: the OpenAPI front does not follow policies yet")
	}
	return &Files{c, op, srv, cl}, err
}

// Reread reads all files for a gateway that runs: there the file's discovery
// goes before LB_DISCOVERY, which tells where it was at the start. The OpenAPI
// front's file is not looked at.
func Reread(env func(string) string) (*Files, error) {
	cfg, err := ReadConfig(func(key string) string {
		if key == "LB_DISCOVERY" {
			return ""
		}
		return env(key)
	})
	if err != nil {
		return nil, err
	}
	srv, err := ReadSRV(env)
	return &Files{Config: cfg, SRV: srv}, err
}

// follows reports what keeps a file from taking the place of the one in use, though a
// gateway might start with it: it may be half of one.
func (c *Config) follows(inUse *Config) error {
	if inUse.Text != nil {
		if err := settings.CheckShape(inUse.Text, c.Text); err != nil {
			return err
		}
	}
	if err := c.Settings.CheckPositive(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	return nil
}

// reload is the configuration with what can change while it is in use. The seed
// and the known list are for a start, and the rest needs one.
func (c *Config) reload(next *Config, retunes bool) *Config {
	now := *c
	now.Discovery, now.Text = next.Discovery, next.Text
	if next.Counter != "" {
		now.Counter = next.Counter
	}
	if retunes {
		set := &now.Settings.Settings
		set.Classes, set.Plans, set.MaxAttempts = next.Settings.Classes, next.Settings.Plans, next.Settings.MaxAttempts
		set.CrossZone, set.ProbePrice = next.Settings.CrossZone, next.Settings.ProbePrice
		set.WastePrice, set.LateFailPrice = next.Settings.WastePrice, next.Settings.LateFailPrice
	}
	log.Printf("event=reload discovery=%s counter=%s classes=%d attempts=%d", now.Discovery, now.Counter,
		len(now.Settings.Classes), now.Settings.MaxAttempts)
	for key, same := range map[string]bool{
		"name": c.Name == next.Name, "listen": c.Listen == next.Listen, "limits": c.Limits == next.Limits,
		"management": c.Management == next.Management,
		"settings":   reflect.DeepEqual(now.Settings, next.Settings),
	} {
		if !same {
			log.Printf("event=reload key=%s what=%q", key, "changed, takes effect at the next start")
		}
	}
	return &now
}

// plansVersion names the plans in force, the same at all gateways; 0 where they are those
// of the start.
func plansVersion(start, now []choice.Plan) int64 {
	if slices.Equal(start, now) {
		return 0
	}
	text, err := json.Marshal(now)
	if err != nil {
		panic(err)
	}
	return int64(xxhash.Sum64(text)>>12) + 1
}

// lasting is a file's text without what is for a start only.
func lasting(text []byte) ([]byte, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	delete(all, "known")
	return json.Marshal(all)
}

func parseConfig(text []byte, env func(string) string) (*Config, error) {
	var f struct {
		Name      string              `json:"name"`
		Listen    string              `json:"listen"`
		Discovery string              `json:"discovery"`
		Counter   string              `json:"counter"`
		Manage    string              `json:"management"`
		Seed      string              `json:"seed"`
		Limits    Limits              `json:"limits"`
		Known     protocol.ServerList `json:"known"`
		Settings  json.RawMessage     `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, keyed(err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Limits: f.Limits, Known: f.Known, Management: f.Manage}
	for name, to := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen, "LB_DISCOVERY": &c.Discovery,
		"LB_MANAGEMENT": &c.Management} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	if c.Name == "" {
		return nil, fmt.Errorf("name is missing")
	}
	if err := address("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := address("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if c.Management != "" {
		if err := address("management", c.Management); err != nil {
			return nil, err
		}
	}
	var err error
	if c.Text, err = lasting(text); err != nil {
		return nil, err
	}
	if fd := env("LB_SOCKET_FD"); fd != "" {
		if c.Socket, err = strconv.Atoi(fd); err != nil || c.Socket < 3 {
			return nil, fmt.Errorf("LB_SOCKET_FD: not a descriptor from 3: %q", fd)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: not up to 16 hex digits: %q", f.Seed)
	}
	if err := c.Limits.complete(); err != nil {
		return nil, err
	}
	if err := c.Known.Validate(); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings is missing")
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", keyed(err))
	}
	if err := c.Settings.Check(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	if c.Settings.Counter {
		return c, address("counter", c.Counter)
	}
	return c, nil
}

func (l *Limits) complete() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores must not be negative, got %v", l.Cores)
	case l.MemoryMB < 0 || l.MemoryMB > 0 && l.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb must be at least 32, got %d", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < 128:
		return fmt.Errorf("limits.sockets must be at least 128, got %d", l.Sockets)
	}
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return nil
}

func address(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s is missing", key)
	}
	if _, port, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: not host:port: %q", key, value)
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%s: not a port: %q", key, port)
	}
	return nil
}

// keyed makes the JSON decoder's error begin with the key, where it knows one.
func keyed(err error) error {
	if e, ok := err.(*json.UnmarshalTypeError); ok && e.Field != "" {
		return fmt.Errorf("%s: a %s does not fit", e.Field, e.Value)
	}
	return err
}
