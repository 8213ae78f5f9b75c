// Package optionparser parses a program's settings from flags and environment variables, both
// declared in one table, and reports all invalid values together.
package optionparser

import (
	"flag"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "FUCHSIABRIDGE"

// Option declares one setting of a program. Check may be nil.
type Option struct {
	Name    string
	Default string
	Usage   string
	Check   func(value string) error
	// IsRoundedDown says that the value, checked by IsAmount, is rounded down to an integer.
	IsRoundedDown bool
}

// EnvName returns the name of the option's environment variable.
func (o Option) EnvName() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(o.Name, "-", "_"))
}

// Values holds the checked settings by option name.
type Values struct{ byName map[string]string }

// Findings lists all invalid settings by name.
type Findings []string

// Error returns the findings, one per line.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse parses args and the environment. It returns the settings and the arguments after the flags.
// The error is Findings if values are invalid, and wraps flag.ErrHelp if help was requested.
func Parse(program string, options []Option, args []string) (Values, []string, error) {
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	flags := make(map[string]*string, len(options))
	for _, o := range options {
		flags[o.Name] = set.String(o.Name, o.Default, o.Usage+" ["+o.EnvName()+"]")
	}
	if err := ff.Parse(set, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Values{}, nil, errors.Wrap(err, "parsing settings")
	}
	values := Values{byName: make(map[string]string, len(options))}
	var findings Findings
	for _, o := range options {
		value := *flags[o.Name]
		values.byName[o.Name] = value
		if o.Check == nil {
			continue
		}
		if err := o.Check(value); err != nil {
			findings = append(findings, fmt.Sprintf("%s: %q: %v", o.Name, value, err))
			continue
		}
		if o.IsRoundedDown {
			values.byName[o.Name] = strconv.Itoa(int(values.Amount(o.Name)))
		}
	}
	if len(findings) > 0 {
		return Values{}, nil, findings
	}
	return values, set.Args(), nil
}

// Text returns the value of an option as text.
func (v Values) Text(name string) string { return v.byName[name] }

// Number returns the integer value of an option checked by IsNumber.
func (v Values) Number(name string) int {
	n, _ := strconv.Atoi(v.byName[name])
	return n
}

// Duration returns the value of an option checked by IsDuration.
func (v Values) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(v.byName[name])
	return d
}

// Bool returns the value of an option checked by IsBool.
func (v Values) Bool(name string) bool {
	b, _ := strconv.ParseBool(v.byName[name])
	return b
}

// IsPresent rejects an empty value.
func IsPresent(value string) error {
	if value == "" {
		return errors.New("must be set")
	}
	return nil
}

// IsNumber returns a check for an integer from lowest to highest, both included.
func IsNumber(lowest, highest int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < lowest || n > highest {
			return errors.Newf("must be an integer from %d to %d", lowest, highest)
		}
		return nil
	}
}

// Amount returns the value of an option checked by IsAmount.
func (v Values) Amount(name string) float64 {
	f, _ := strconv.ParseFloat(v.byName[name], 64)
	return f
}

// IsAmount returns a check for a number from lowest to highest, both included, which may have a fraction.
func IsAmount(lowest, highest float64) func(string) error {
	return func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if isWithin := f >= lowest && f <= highest; err != nil || !isWithin {
			return errors.Newf("must be a number from %g to %g", lowest, highest)
		}
		return nil
	}
}

// IsDuration rejects a value that is not a duration, or that is negative.
func IsDuration(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return errors.New("must be a duration such as 250ms")
	}
	return nil
}

// IsBool rejects a value that is not a boolean.
func IsBool(value string) error {
	if _, err := strconv.ParseBool(value); err != nil {
		return errors.New("must be true or false")
	}
	return nil
}

// IsAddress rejects a value that is not host:port.
func IsAddress(value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return errors.New("must be host:port")
	}
	return nil
}

// IsOptionalAddress rejects a value that is neither empty nor host:port.
func IsOptionalAddress(value string) error {
	if value == "" {
		return nil
	}
	return IsAddress(value)
}

// IsOneOf returns a check that the value is one of the given words.
func IsOneOf(words ...string) func(string) error {
	return func(value string) error {
		for _, w := range words {
			if value == w {
				return nil
			}
		}
		return errors.Newf("must be one of %s", strings.Join(words, ", "))
	}
}
