package process_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/standin/process"
)

type options struct {
	Slots int `long:"slots" env:"FULMAR_TEST_SLOTS" default:"2" description:"requests that run at a time"`
}

func (o *options) check() error {
	if o.Slots < 1 {
		return process.BadSetting("slots", o.Slots, "1 or more")
	}
	return nil
}

// Guards against a refused setting whose message does not name the flag, its value and the allowed
// values.
func TestBadSettingIsNamed(t *testing.T) {
	g := NewWithT(t)
	var o options
	err := process.ParseSettings(&o, []string{"--slots", "0"}, o.check)
	g.Expect(err).To(MatchError(process.ErrSetting))
	g.Expect(err.Error()).To(And(ContainSubstring("--slots 0"), ContainSubstring("allowed: 1 or more")))
	g.Expect(process.ParseSettings(&o, []string{"extra"}, o.check)).To(MatchError(process.ErrSetting))
	t.Setenv("FULMAR_TEST_SLOTS", "7")
	o = options{}
	g.Expect(process.ParseSettings(&o, nil, o.check)).To(Succeed())
	g.Expect(o.Slots).To(Equal(7))
}
