// Package optionparser reads a program's settings from flags and environment
// variables by one table, and reports all wrong values together.
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

// EnvPrefix begins the name of every environment variable.
const EnvPrefix = "FUCHSIABRIDGE"

// Option is one row of a program's table of settings.
type Option struct {
	Name    string
	Default string
	Usage   string
	Check   func(value string) error
}

// EnvName returns the environment variable of the option.
func (o Option) EnvName() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(o.Name, "-", "_"))
}

// Values holds the checked settings by option name.
type Values struct{ texts map[string]string }

// Findings lists every wrong setting with its name.
type Findings []string

// Error joins the findings, one a line.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse reads args and the environment by the table; its error is Findings when values are wrong,
// and flag.ErrHelp when help was asked for. The second result holds the arguments after the flags.
func Parse(program string, options []Option, args []string) (Values, []string, error) {
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	texts := make(map[string]*string, len(options))
	for _, o := range options {
		texts[o.Name] = set.String(o.Name, o.Default, o.Usage+" ["+o.EnvName()+"]")
	}
	if err := ff.Parse(set, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Values{}, nil, errors.Wrap(err, "parsing settings")
	}
	values := Values{texts: make(map[string]string, len(options))}
	var findings Findings
	for _, o := range options {
		value := *texts[o.Name]
		values.texts[o.Name] = value
		if o.Check == nil {
			continue
		}
		if err := o.Check(value); err != nil {
			findings = append(findings, fmt.Sprintf("%s: %q: %v", o.Name, value, err))
		}
	}
	if len(findings) > 0 {
		return Values{}, nil, findings
	}
	return values, set.Args(), nil
}

// Text returns the value of an option as text.
func (v Values) Text(name string) string { return v.texts[name] }

// Number returns the value of an option checked by IsNumber.
func (v Values) Number(name string) int {
	n, _ := strconv.Atoi(v.texts[name])
	return n
}

// Duration returns the value of an option checked by IsDuration.
func (v Values) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(v.texts[name])
	return d
}

// Bool returns the value of an option checked by IsBool.
func (v Values) Bool(name string) bool {
	b, _ := strconv.ParseBool(v.texts[name])
	return b
}

// IsPresent refuses an empty value.
func IsPresent(value string) error {
	if value == "" {
		return errors.New("must be set")
	}
	return nil
}

// IsNumber returns a check for a whole number within least..most.
func IsNumber(least, most int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < least || n > most {
			return errors.Newf("must be a whole number from %d to %d", least, most)
		}
		return nil
	}
}

// Share returns the value of an option checked by IsShare.
func (v Values) Share(name string) float64 {
	f, _ := strconv.ParseFloat(v.texts[name], 64)
	return f
}

// IsShare refuses what is no number from 0 to 1.
func IsShare(value string) error {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || f < 0 || f > 1 {
		return errors.New("must be a number from 0 to 1")
	}
	return nil
}

// IsDuration refuses what is no positive duration.
func IsDuration(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return errors.New("must be a duration such as 250ms")
	}
	return nil
}

// IsBool refuses what is neither true nor false.
func IsBool(value string) error {
	if _, err := strconv.ParseBool(value); err != nil {
		return errors.New("must be true or false")
	}
	return nil
}

// IsAddress refuses what is no host:port.
func IsAddress(value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return errors.New("must be host:port")
	}
	return nil
}

// IsOptionalAddress refuses what is neither empty nor host:port.
func IsOptionalAddress(value string) error {
	if value == "" {
		return nil
	}
	return IsAddress(value)
}

// IsOneOf returns a check for one of the given words.
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
