package crlworkload

import (
	"math"
	"math/bits"
)

// Amount is load at a backend server, of one request or the sum over several.
type Amount struct {
	Requests      float64 // open requests
	PromptSeconds float64 // time that the server needs for prompts that it has not read yet, in seconds
	Tokens        float64 // tokens of prompts and answers for which the server needs memory
}

func (a Amount) plus(b Amount, weight float64) Amount {
	return Amount{
		Requests: a.Requests + weight*b.Requests, PromptSeconds: a.PromptSeconds + weight*b.PromptSeconds, Tokens: a.Tokens + weight*b.Tokens,
	}
}

// Units of the numbers in messages.
const (
	promptUnit = 0.001 // seconds
	tokenUnit  = 8.0   // tokens
)

// code is a number of units in one byte, a floating-point number with a mantissa of 4 bits: exact up to 32, then within 1 part in 32.
type code byte

const (
	mantissaBits = 4
	mantissaSize = 1 << mantissaBits
	maxCoded     = (2*mantissaSize - 1) << (mantissaSize - 2)
)

// encodeNumber returns the code that is nearest to value/unit. Values outside of the range of codes become its ends.
func encodeNumber(value, unit float64) code {
	units := uint64(math.Round(min(max(value/unit, 0), maxCoded)))
	if units < mantissaSize {
		return code(units)
	}
	shift := bits.Len64(units) - mantissaBits - 1
	if shift > 0 {
		// Rounding may carry into the next power of two.
		units += 1 << (shift - 1)
		shift = bits.Len64(units) - mantissaBits - 1
	}
	if shift >= mantissaSize-1 {
		return math.MaxUint8
	}
	return code((shift+1)<<mantissaBits | int(units>>shift)&(mantissaSize-1))
}

// value returns the number that the code stands for.
func (c code) value(unit float64) float64 {
	exponent, mantissa := int(c>>mantissaBits), uint64(c&(mantissaSize-1))
	if exponent == 0 {
		return float64(mantissa) * unit
	}
	return float64((mantissa+mantissaSize)<<(exponent-1)) * unit
}
