package edgenode

import (
	"encoding/json"
	"strconv"
	"strings"
)

// flattenSettings converts the platform's nested settings to the flat ones that package wire
// parses, so that settings mean the same on the platform and in the simulator.
func flattenSettings(nested json.RawMessage) (map[string]string, error) {
	var settings any
	if err := json.Unmarshal(nested, &settings); err != nil {
		return nil, err
	}
	flat := map[string]string{}
	return flat, flatten(flat, "", settings)
}

// flatten adds the value at a path to flat. The keys of an object are appended to the path
// with a dot. For a list, path.count has its length, path.0, path.1 and so on have its
// objects, and path has its plain values, joined by commas.
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
			return keyErrorf(path, "a list within a list is not supported")
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

// plainText returns the text of a JSON value, or false if the value is an object or a list.
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
