package config

import (
	"fmt"
	"reflect"
)

// Setting is the value of one setting, named by its flag. Secrets are masked.
type Setting struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Describe returns the settings in force, with their units.
func (s *Serve) Describe() []Setting {
	value := reflect.ValueOf(*s)
	out := make([]Setting, 0, value.NumField())
	for i := range value.NumField() {
		out = append(out, Setting{
			Name:  value.Type().Field(i).Tag.Get("flag"),
			Value: fmt.Sprint(value.Field(i).Interface()),
		})
	}
	return out
}
