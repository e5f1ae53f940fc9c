package rediscounter

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/usage"
)

// levelField is the field of a total that holds the customer's level.
const levelField = "level"

// incarnationBase is the base of the incarnation in a field's name.
const incarnationBase = 36

// MalformedFieldError says that a total has a field that no gateway wrote.
type MalformedFieldError struct {
	Key, Field, Value string
}

func (e *MalformedFieldError) Error() string {
	return fmt.Sprintf("counter: %s has malformed field %q = %q", e.Key, e.Field, e.Value)
}

// writerField is the name of a writer's field.
func writerField(writer usage.WriterID) string {
	return strconv.Itoa(writer.Node) + "." + strconv.FormatUint(writer.Incarnation, incarnationBase)
}

// parseWriterField reads the name of a writer's field.
func parseWriterField(name string) (usage.WriterID, error) {
	nodeText, incarnationText, _ := strings.Cut(name, ".")
	node, err := strconv.Atoi(nodeText)
	if err != nil {
		return usage.WriterID{}, err
	}
	incarnation, err := strconv.ParseUint(incarnationText, incarnationBase, 64)
	return usage.WriterID{Node: node, Incarnation: incarnation}, err
}

// decodeTotal reads the fields of a total. The error is a MalformedFieldError.
func decodeTotal(key usage.TotalKey, fields map[string]string) (response usage.CounterResponse, err error) {
	for name, value := range fields {
		if name == levelField {
			response.Level = parseLevel(value)
			continue
		}
		writer, writerErr := parseWriterField(name)
		units, unitsErr := strconv.ParseInt(value, 10, 64)
		if writerErr != nil || unitsErr != nil || units < 0 {
			return usage.CounterResponse{}, &MalformedFieldError{totalKey(key), name, value}
		}
		entry := usage.CounterEntry{Key: key, Writer: writer, Units: usage.MilliUnits(units)}
		response.Entries = append(response.Entries, entry)
	}
	return response, nil
}

// encodeLevel writes a level as "units@milliseconds since the Unix epoch".
func encodeLevel(level usage.Level) string {
	return fmt.Sprintf("%.3f@%d", level.Units, level.At.UnixMilli())
}

// parseLevel reads what encodeLevel wrote. A malformed level counts as none: the total is
// valid without it.
func parseLevel(text string) usage.Level {
	unitsText, atText, _ := strings.Cut(text, "@")
	units, err := strconv.ParseFloat(unitsText, 64)
	if err != nil {
		return usage.Level{}
	}
	milliseconds, err := strconv.ParseInt(atText, 10, 64)
	if err != nil {
		return usage.Level{}
	}
	return usage.Level{Units: units, At: time.UnixMilli(milliseconds)}
}
