package experiment

import "reflect"

// with returns the settings with every field that o sets.
func (s Settings) with(o Settings) Settings {
	target, source := reflect.ValueOf(&s).Elem(), reflect.ValueOf(o)
	for i := range source.NumField() {
		if f := source.Field(i); !f.IsZero() {
			target.Field(i).Set(f)
		}
	}
	return s
}
