package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// weightedFigure is a named figure of a report: a part of the value with its weight, or a price with its quantity. The
// report has it as a list of the name, the quantity and the value.
type weightedFigure struct {
	name     string
	quantity float64 // or weight
	value    float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *weightedFigure) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&a.name, &a.quantity, &a.value})
}

// benchReport is the bench's report of a run.
type benchReport struct {
	Value         float64          `json:"G"` // less prices
	Served        float64          `json:"served"`
	Refused       float64          `json:"refused"`
	Failed        float64          `json:"failed"`
	Fault         any              `json:"fault"`
	Breaks        map[string]any   `json:"breaks"`
	Missed        []any            `json:"missed"`
	WeightedParts []weightedFigure `json:"parts"`  // weight, share
	Prices        []weightedFigure `json:"prices"` // quantity, price
	Classes       []struct {
		Name  string  `json:"name"`
		Value float64 `json:"worth"`
	} `json:"classes"`
}

// readReport reads a report from a file.
func readReport(file string) (*benchReport, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	read := &benchReport{}
	return read, errors.Wrapf(json.Unmarshal(text, read), "report %s", file)
}

// failureText describes what makes the run fail; empty: nothing.
func (r *benchReport) failureText() string {
	if len(r.Breaks) == 0 && r.Fault == nil {
		return ""
	}
	return fmt.Sprintf("BROKEN: %v %v", r.Breaks, r.Fault)
}

// figures returns the numbers that variants are compared by, in the order in which they are shown.
func (r *benchReport) figures() (figures []figure) {
	figures = append(figures, figure{"worth less prices", r.Value})
	for _, part := range r.WeightedParts {
		figures = append(figures, figure{part.name, part.value})
	}
	for _, class := range r.Classes {
		figures = append(figures, figure{class.Name, class.Value})
	}
	for _, price := range r.Prices {
		figures = append(figures, figure{"price: " + price.name, price.value})
	}
	return append(figures, figure{"served", r.Served}, figure{"refused", r.Refused}, figure{"failed", r.Failed})
}

// figure is a named number.
type figure struct {
	name  string
	value float64
}
