package pgserver

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

const (
	settingReadOnly         = "default_transaction_read_only"
	settingStatementTimeout = "statement_timeout"
	settingIdleInTxn        = "idle_in_transaction_session_timeout"
)

// defaultSettings holds the known settings and their defaults, by lower-case name.
var defaultSettings = map[string]string{
	"application_name":              "",
	"bytea_output":                  "hex",
	"client_encoding":               "UTF8",
	"client_min_messages":           "notice",
	"datestyle":                     "ISO, MDY",
	"default_transaction_isolation": "read committed",
	settingReadOnly:                 "off",
	"extra_float_digits":            "1",
	settingIdleInTxn:                "0",
	"idle_session_timeout":          "0",
	"in_hot_standby":                "off",
	"integer_datetimes":             "on",
	"intervalstyle":                 "postgres",
	"lock_timeout":                  "0",
	"max_identifier_length":         "63",
	"search_path":                   `"$user", public`,
	"server_encoding":               "UTF8",
	"server_version":                "16.4",
	"server_version_num":            "160004",
	"session_authorization":         "standin",
	"standard_conforming_strings":   "on",
	settingStatementTimeout:         "0",
	"synchronous_commit":            "on",
	"tcp_keepalives_idle":           "0",
	"tcp_keepalives_interval":       "0",
	"tcp_keepalives_count":          "0",
	"tcp_user_timeout":              "0",
	"timezone":                      "UTC",
	"transaction_isolation":         "read committed",
	"transaction_read_only":         "off",
}

// reportedSettings maps the lower-case names of the settings that are sent to the client
// as ParameterStatus to the names used in that message.
var reportedSettings = map[string]string{
	"application_name":            "application_name",
	"client_encoding":             "client_encoding",
	"datestyle":                   "DateStyle",
	settingReadOnly:               settingReadOnly,
	"in_hot_standby":              "in_hot_standby",
	"integer_datetimes":           "integer_datetimes",
	"intervalstyle":               "IntervalStyle",
	"server_encoding":             "server_encoding",
	"server_version":              "server_version",
	"session_authorization":       "session_authorization",
	"standard_conforming_strings": "standard_conforming_strings",
	"timezone":                    "TimeZone",
}

// readOnlySettings are known settings that clients cannot change.
var readOnlySettings = map[string]bool{
	"in_hot_standby": true, "integer_datetimes": true, "max_identifier_length": true, "server_encoding": true,
	"server_version": true, "server_version_num": true, "session_authorization": true,
}

// settings holds the settings of one session and implements the rules of SET, SET LOCAL,
// RESET and rollback. Names with a dot are custom settings and need no default.
type settings struct {
	startupValues      map[string]string // values of the startup message, restored by RESET
	sessionValues      map[string]string
	savedSessionValues map[string]string // sessionValues before the transaction's first SET, for rollback
	localValues        map[string]string // values of SET LOCAL, until the transaction ends
}

func newSettings() *settings {
	return &settings{startupValues: map[string]string{}, sessionValues: map[string]string{}}
}

func (s *settings) get(name string) (string, error) {
	for _, m := range []map[string]string{s.localValues, s.sessionValues, s.startupValues, defaultSettings} {
		if v, ok := m[name]; ok {
			return v, nil
		}
	}
	return "", unknownSettingError(name)
}

func unknownSettingError(name string) error {
	return &sqlError{code: codeUnknownSetting, message: "unrecognized configuration parameter " + strconv.Quote(name)}
}

// validate returns an error for unknown or read-only settings and malformed time-outs.
func (s *settings) validate(name, value string) error {
	_, known := defaultSettings[name]
	if !known && !strings.Contains(name, ".") {
		return unknownSettingError(name)
	}
	if readOnlySettings[name] {
		return &sqlError{code: "55P02", message: "parameter " + strconv.Quote(name) + " cannot be changed"}
	}
	if strings.HasSuffix(name, "_timeout") {
		if _, err := parseTimeout(value); err != nil {
			return err
		}
	}
	return nil
}

// set changes a setting for the session or, if local is set, for the open transaction.
// Outside a transaction a local change has no effect.
func (s *settings) set(name, value string, local, inTxn bool) error {
	if err := s.validate(name, value); err != nil {
		return err
	}
	if local {
		if inTxn {
			s.setLocal(name, value)
		}
		return nil
	}
	s.saveForRollback(inTxn)
	s.sessionValues[name] = value
	delete(s.localValues, name)
	return nil
}

func (s *settings) setLocal(name, value string) {
	if s.localValues == nil {
		s.localValues = map[string]string{}
	}
	s.localValues[name] = value
}

func (s *settings) saveForRollback(inTxn bool) {
	if inTxn && s.savedSessionValues == nil {
		s.savedSessionValues = maps.Clone(s.sessionValues)
	}
}

func (s *settings) reset(name string, inTxn bool) error {
	if _, err := s.get(name); err != nil {
		return err
	}
	s.saveForRollback(inTxn)
	delete(s.sessionValues, name)
	return nil
}

func (s *settings) resetAll(inTxn bool) {
	s.saveForRollback(inTxn)
	s.sessionValues = map[string]string{}
}

// endTransaction discards the values of SET LOCAL and, after a rollback, also the changes
// that the transaction made to the session's values.
func (s *settings) endTransaction(committed bool) {
	if !committed && s.savedSessionValues != nil {
		s.sessionValues = s.savedSessionValues
	}
	s.savedSessionValues = nil
	s.localValues = nil
}

// timeout returns a time-out setting as a duration; 0 means no time-out.
func (s *settings) timeout(name string) time.Duration {
	value, _ := s.get(name)
	if value == "0" {
		return 0
	}
	d, _ := parseTimeout(value)
	return d
}

func parseTimeout(value string) (time.Duration, error) {
	value = strings.ReplaceAll(value, " ", "")
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond, nil
	}
	if d, err := time.ParseDuration(strings.Replace(value, "min", "m", 1)); err == nil && d >= 0 {
		return d, nil
	}
	return 0, &sqlError{code: codeInvalidValue, message: "invalid value for parameter: " + strconv.Quote(value)}
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}
