package command_test

import (
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// Guards against a form listed in Forms that the grammar does not accept.
func TestEachFormParses(t *testing.T) {
	lines := []string{
		"add upstream bindery-16 to bindery zone schuur address 127.1.1.70:9000 slots 2",
		"add upstream bindery-16 to bindery zone schuur address 127.1.1.70:9000 slots 2 weight 3",
		"drain upstream bindery-3", "undrain upstream bindery-3", "remove upstream bindery-3",
		"drain daemon schuur-1", "undrain daemon schuur-1", "remove upstream bindery-3 force",
		"set aim of bindery balance",
		"set limit of bindery queue-length 64", "abort c-17",
	}
	for _, line := range lines {
		_, err := command.Parse(line)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), line)
	}
}

// Guards against a parse error without the rejected word, its column or the allowed forms, and against
// a number of Edit that is not checked.
func TestParseErrorNamesColumnAndForms(t *testing.T) {
	g := NewWithT(t)
	_, err := command.Parse("drain upstrem bindery-3")
	g.Expect(err).To(MatchError(And(ContainSubstring("column 7"), ContainSubstring("upstrem"), ContainSubstring("drain upstream NAME"))))
	c, err := command.Parse("add upstream x to y zone z address 1.2.3.4:5 slots many")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Edit(&pb.Configuration{}, declaration.Change{})
	g.Expect(err).To(MatchError(command.ErrBadNumber))
}
