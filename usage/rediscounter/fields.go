package rediscounter

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/usage"
)

// levelField is the name of the field that holds the customer's level in a total.
const levelField = "level"

// incarnationBase is the number base of the incarnation in a field name.
const incarnationBase = 36

// MalformedFieldError reports a field of a total that no gateway can have written.
type MalformedFieldError struct {
	Key, Field, Value string
}

func (e *MalformedFieldError) Error() string {
	return fmt.Sprintf("counter: %s has malformed field %q = %q", e.Key, e.Field, e.Value)
}

// writerField returns the name of a writer's field.
func writerField(writer usage.WriterID) string {
	return strconv.Itoa(writer.Node) + "." + strconv.FormatUint(writer.Incarnation, incarnationBase)
}

// parseWriterField parses the name of a writer's field.
func parseWriterField(name string) (usage.WriterID, error) {
	nodeText, incarnationText, _ := strings.Cut(name, ".")
	node, err := strconv.Atoi(nodeText)
	if err != nil {
		return usage.WriterID{}, err
	}
	incarnation, err := strconv.ParseUint(incarnationText, incarnationBase, 64)
	return usage.WriterID{Node: node, Incarnation: incarnation}, err
}

// decodeTotal decodes the fields of a total. The error is a *MalformedFieldError.
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

// encodeLevel encodes a level as "units@milliseconds since the Unix epoch".
func encodeLevel(level usage.Level) string {
	return fmt.Sprintf("%.3f@%d", level.Units, level.At.UnixMilli())
}

// parseLevel decodes the output of encodeLevel. A malformed level is treated as missing, because
// the total is valid without one.
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
