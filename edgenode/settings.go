package edgenode

import (
	"encoding/json"
	"strconv"
	"strings"
)

// flattenSettings turns the platform's nested settings into the paths that package wire
// reads, so that the simulator's settings and the platform's can't differ in meaning.
func flattenSettings(nested json.RawMessage) (map[string]string, error) {
	var settings any
	if err := json.Unmarshal(nested, &settings); err != nil {
		return nil, err
	}
	flat := map[string]string{}
	return flat, flatten(flat, "", settings)
}

// flatten adds a value to flat under a path. An object's keys are appended to the path with
// a dot. A list has its length under NAME.count, its objects under NAME.0 and on, and its
// plain values under NAME, joined by commas.
func flatten(flat map[string]string, path string, value any) error {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			if err := flatten(flat, joinPath(path, key), element); err != nil {
				return err
			}
		}
		return nil
	case []any:
		return flattenList(flat, path, value)
	}
	flat[path], _ = plainText(value)
	return nil
}

func flattenList(flat map[string]string, path string, list []any) error {
	var plain []string
	for i, element := range list {
		if _, isObject := element.(map[string]any); isObject {
			if err := flatten(flat, joinPath(path, strconv.Itoa(i)), element); err != nil {
				return err
			}
			continue
		}
		text, ok := plainText(element)
		if !ok {
			return keyErrorf(path, "a list of lists")
		}
		plain = append(plain, text)
	}
	flat[joinPath(path, "count")] = strconv.Itoa(len(list))
	if len(plain) > 0 || len(list) == 0 {
		flat[path] = strings.Join(plain, ",")
	}
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// plainText is the text of a JSON value that is neither an object nor a list.
func plainText(value any) (text string, ok bool) {
	switch value := value.(type) {
	case nil:
		return "", true
	case string:
		return value, true
	case bool:
		return strconv.FormatBool(value), true
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64), true
	}
	return "", false
}
