package experiment

import "reflect"

// withOverrides returns the settings, with each field replaced that is not zero in o.
func (s Settings) withOverrides(o Settings) Settings {
	target, source := reflect.ValueOf(&s).Elem(), reflect.ValueOf(o)
	for i := range source.NumField() {
		if f := source.Field(i); !f.IsZero() {
			target.Field(i).Set(f)
		}
	}
	return s
}
