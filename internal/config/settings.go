// Package config loads the settings file of a proxy process. The file is JSON with
// comments; unknown fields are errors. Load decodes the file on top of Defaults and
// validates every value, so that the process does not start with invalid settings.
package config

import (
	"fmt"
	"time"
)

// Duration is a time.Duration, encoded as a string with a unit such as "200ms".
type Duration time.Duration

// D converts to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// DurationError reports a duration without a valid number and unit.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%.40q is not a duration; write a number with a unit, such as \"200ms\" or \"5s\"", e.Text)
}

// Settings holds the settings of one proxy process.
type Settings struct {
	VM       VM       `json:"vm"`
	Callers  Callers  `json:"callers"`
	Peers    Peers    `json:"peers"`
	Platform Platform `json:"platform"`
	Servers  Servers  `json:"servers"`
	Operator Operator `json:"operator"`
	Log      Log      `json:"log"`
	Shutdown Shutdown `json:"shutdown"`
}

// VM identifies the machine that runs the process.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Address    string `json:"address"` // IP; source address of all outgoing connections
}

// Callers configures the PostgreSQL listener.
type Callers struct {
	Listen         string `json:"listen"`    // IP:port
	Advertise      string `json:"advertise"` // IP:port published in the platform's list; default: listen
	TLS            TLS    `json:"tls"`
	Users          []User `json:"users"`          // empty: any user, without a password
	MaxConnections int    `json:"maxConnections"` // concurrent callers' connections
	MaxMessage     int    `json:"maxMessageBytes"`
}

// User holds the credentials of a caller that authenticates with SCRAM-SHA-256.
type User struct {
	Name     string `json:"name"`
	Password string `json:"password"`
}

// TLS holds the paths of PEM files; TLS is disabled if all are empty.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"` // peers only: verifies the peer's certificate
}

// Set reports whether TLS is configured.
func (t TLS) Set() bool { return t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" }

// Peers configures the listener for other proxies.
type Peers struct {
	Listen    string   `json:"listen"`    // IP:port
	Advertise string   `json:"advertise"` // IP:port published in the platform's list; default: listen
	FleetKey  string   `json:"fleetKey"`  // shared secret of all proxies
	Seeds     []string `json:"seeds"`     // IP:port of proxies to contact if the platform is down at start
	TLS       TLS      `json:"tls"`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	URL            string   `json:"url"`
	Timeout        Duration `json:"timeout"` // time-out of one call
	CallsPerSecond float64  `json:"callsPerSecond"`
}

// Servers configures connections to backend servers.
type Servers struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// Operator configures the HTTP listener for metrics and state dumps.
type Operator struct {
	Listen string `json:"listen"` // IP:port; default: a free port on loopback
}

// Log configures the event log.
type Log struct {
	Level string `json:"level"` // trace, debug, info, warn or error
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	DrainTimeout Duration `json:"drainTimeout"` // time limit for requests in progress
}

// Defaults returns the values of settings that the file omits.
func Defaults() Settings {
	return Settings{
		Callers:  Callers{MaxConnections: 10_000, MaxMessage: 16 << 20},
		Platform: Platform{Timeout: Duration(2 * time.Second), CallsPerSecond: 20},
		Servers:  Servers{User: "egretroad"},
		Operator: Operator{Listen: "127.0.0.1:0"},
		Log:      Log{Level: "info"},
		Shutdown: Shutdown{DrainTimeout: Duration(30 * time.Second)},
	}
}
