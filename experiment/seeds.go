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

// ErrDifferentReports reports that reports to compare are not of the same cases.
var ErrDifferentReports = errors.New("reports have different cases")

// Seeds is an experiment that was run with several seeds.
type Seeds struct {
	reports []*Report
	rows    [][]string
}

// OverSeeds joins the reports of one experiment. A figure that differs between seeds becomes a
// range, and any other differing cell lists those of all seeds. It returns ErrDifferentReports.
func OverSeeds(reports []*Report) (*Seeds, error) {
	if len(reports) == 0 {
		return nil, ErrDifferentReports
	}
	s := &Seeds{reports: reports}
	all := make([][][]string, len(reports))
	for i, r := range reports {
		all[i] = r.rows()
		if len(all[i]) != len(all[0]) {
			return nil, ErrDifferentReports
		}
	}
	for n, first := range all[0] {
		row := make([]string, len(first))
		for k := range first {
			cells := make([]string, len(all))
			for i := range all {
				cells[i] = all[i][n][k]
			}
			row[k] = rangeOf(cells)
		}
		s.rows = append(s.rows, row)
	}
	return s, nil
}

// rangeOf returns the cells as one: equal ones as they are, numbers as "least to most".
func rangeOf(cells []string) string {
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

// Table writes the joined report as an aligned table. It returns the error of w.
func (s *Seeds) Table(w io.Writer) error {
	var numbers []string
	for _, r := range s.reports {
		numbers = append(numbers, fmt.Sprint(r.Seed))
	}
	d := s.reports[0].Declaration
	return writeTable(w, []string{fmt.Sprintf("%s: %s", d.Name, d.Title), "seeds " + strings.Join(numbers, ", ")}, s.rows)
}

// Write writes the joined table and CSV, and the report of each seed to a directory of its own.
// It returns the error of the file system.
func (s *Seeds) Write(dir string) error {
	for _, r := range s.reports {
		if err := r.Write(filepath.Join(dir, fmt.Sprintf("seed-%d", r.Seed))); err != nil {
			return err
		}
	}
	base := filepath.Join(dir, s.reports[0].Declaration.Name)
	if err := writeFile(base+".txt", s.Table); err != nil {
		return err
	}
	return writeFile(base+".csv", func(w io.Writer) error { return csv.NewWriter(w).WriteAll(s.rows) })
}

// writeFile creates a file and has f fill it. It returns the error of f or of the file system.
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
