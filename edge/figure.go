package edge

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// figure is a setting that a number states. The platform writes bounds as whole numbers or fractions of any size, as
// true or false, or leaves them out; all of these can be used. The zero value is a figure that is left out.
type figure struct {
	// isInForce is false if the figure is left out or false.
	isInForce bool
	// hasNumber is false for true, which puts a bound in force without a number.
	hasNumber bool
	// number is finite and not negative.
	number float64
}

// errFigure means that a text is no figure.
var errFigure = errors.New("not allowed: a number that is not negative, true, false or nothing")

// figureOf returns the figure with a number.
func figureOf(n float64) figure { return figure{isInForce: true, hasNumber: true, number: n} }

// UnmarshalFlag reads a figure. Numbers that are too large for a float64 count as its largest value. It implements
// flags.Unmarshaler.
func (f *figure) UnmarshalFlag(text string) error {
	switch strings.TrimSpace(text) {
	case "", "false":
		*f = figure{}
		return nil
	case "true":
		*f = figure{isInForce: true}
		return nil
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	isTooLarge := errors.Is(err, strconv.ErrRange)
	switch {
	case err != nil && !isTooLarge, math.IsNaN(n), n < 0, math.IsInf(n, 0) && !isTooLarge:
		return errFigure
	}
	*f = figureOf(min(n, math.MaxFloat64))
	return nil
}

// or returns the number, or another one if the figure has none.
func (f figure) or(other float64) float64 {
	if f.hasNumber {
		return f.number
	}
	return other
}

// durationOf returns a number of units as a duration of at most longest. It does not overflow.
func durationOf(n float64, unit, longest time.Duration) time.Duration {
	if n >= float64(longest)/float64(unit) {
		return longest
	}
	return time.Duration(n * float64(unit))
}
