package policy

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// The error of New contains the path of the invalid setting.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"Resolution":                  func(s *Settings) { s.Resolution = 0 },
		"Plans":                       func(s *Settings) { s.Plans = nil },
		"Plans[1].Name":               func(s *Settings) { s.Plans[1].Name = "" },
		"Plans[1].Rate":               func(s *Settings) { s.Plans[1].Rate = -1 },
		"Classes[0].LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"SelfIndex":                   func(s *Settings) { s.SelfIndex = 2 },
	} {
		s := baseSettings()
		invalidate(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
		var setting *SettingError
		if !errors.As(err, &setting) || setting.Field != key || setting.Problem == "" {
			t.Errorf("%s: want a SettingError for it, got %#v", key, err)
		}
	}
}

// Messages contain the index of a plan and of a class in one byte each, so New rejects settings with more than 256.
func TestNewBoundsPlansAndClasses(t *testing.T) {
	for _, excess := range []int{0, 1} {
		for field, fill := range map[string]func(*Settings){
			"Plans":   func(s *Settings) { s.Plans = slices.Repeat(s.Plans[:1], 256+excess) },
			"Classes": func(s *Settings) { s.Classes = slices.Repeat(s.Classes[:1], 256+excess) },
		} {
			s := baseSettings()
			fill(&s)
			_, err := New(s, 1)
			var setting *SettingError
			if isRejected := errors.As(err, &setting) && setting.Field == field; isRejected != (excess > 0) {
				t.Errorf("%d %s: %v", 256+excess, field, err)
			}
		}
	}
}
