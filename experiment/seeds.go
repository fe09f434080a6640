package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// ErrDifferentReports means that the reports to merge do not have the same cases.
var ErrDifferentReports = errors.New("reports have different cases")

// MultiSeedReport joins the reports of an experiment that was run with several seeds.
type MultiSeedReport struct {
	reports []*Report
	rows    [][]string
}

// MergeReports joins the reports of one experiment. A number that differs between seeds becomes a
// range; any other cell that differs lists the values of all seeds. MergeReports returns
// ErrDifferentReports if there is no report or if their numbers of rows differ.
func MergeReports(reports []*Report) (*MultiSeedReport, error) {
	if len(reports) == 0 {
		return nil, ErrDifferentReports
	}
	s := &MultiSeedReport{reports: reports}
	rowsByReport := make([][][]string, len(reports))
	for i, r := range reports {
		rowsByReport[i] = r.rows()
		if len(rowsByReport[i]) != len(rowsByReport[0]) {
			return nil, ErrDifferentReports
		}
	}
	for n, first := range rowsByReport[0] {
		row := make([]string, len(first))
		for k := range first {
			cells := make([]string, len(rowsByReport))
			for i := range rowsByReport {
				cells[i] = rowsByReport[i][n][k]
			}
			row[k] = mergeCells(cells)
		}
		s.rows = append(s.rows, row)
	}
	return s, nil
}

// mergeCells returns one cell for the given ones: equal cells unchanged, differing numbers as
// "least to most", and all others separated by "|".
func mergeCells(cells []string) string {
	least, most := cells[0], cells[0]
	isSame, isNumeric := true, true
	low, high := 0.0, 0.0
	for i, c := range cells {
		isSame = isSame && c == cells[0]
		v, err := strconv.ParseFloat(c, 64)
		isNumeric = isNumeric && err == nil
		if i == 0 || v < low {
			low, least = v, c
		}
		if i == 0 || v > high {
			high, most = v, c
		}
	}
	switch {
	case isSame:
		return cells[0]
	case isNumeric:
		return least + " to " + most
	default:
		return strings.Join(cells, " | ")
	}
}

// WriteTable writes the joined report as an aligned table. It returns the error of w.
func (s *MultiSeedReport) WriteTable(w io.Writer) error {
	var numbers []string
	for _, r := range s.reports {
		numbers = append(numbers, fmt.Sprint(r.Seed))
	}
	d := s.reports[0].Declaration
	return writeTable(w, []string{fmt.Sprintf("%s: %s", d.Name, d.Title), "seeds " + strings.Join(numbers, ", ")}, s.rows)
}

// Write writes the joined table and CSV to dir, and the report of each seed to a directory of its
// own in dir. It returns the error of the file system.
func (s *MultiSeedReport) Write(dir string) error {
	for _, r := range s.reports {
		if err := r.Write(filepath.Join(dir, fmt.Sprintf("seed-%d", r.Seed))); err != nil {
			return err
		}
	}
	base := filepath.Join(dir, s.reports[0].Declaration.Name)
	if err := writeFile(base+".txt", s.WriteTable); err != nil {
		return err
	}
	return writeFile(base+".csv", func(w io.Writer) error { return csv.NewWriter(w).WriteAll(s.rows) })
}

// writeFile creates a file and calls f to write its content. It returns the error of f or of the
// file system.
func writeFile(name string, f func(w io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	if err := f(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write report: %w", err)
	}
	return file.Close()
}
