package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readExample(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "deploy", "example.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestExampleIsValid(t *testing.T) {
	cfg, err := Parse([]byte(readExample(t)), "example.hcl")
	if err != nil {
		t.Fatal(err)
	}
	s := cfg.Settings()
	if s.Gateways != 2 || len(s.Classes) != 2 || len(s.Plans) != 2 || s.Plans[1].HardRate != 10 || !s.CanMessagePeers {
		t.Errorf("%+v", s)
	}
}

// Every error contains its line and describes a valid value.
func TestErrorDescribesValidValue(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`effect        = "safe"`, `effect = "saef"`, `One of these is needed here: "safe", "keyed", "unsafe"`},
		{`effect        = "safe"`, `efect = "safe"`, `Did you mean "effect"?`},
		{`aim           = "800ms"`, `aim = "800"`, `A number with a unit is needed here, such as "250ms"`},
		{`aim           = "800ms"`, `aim = 800`, `A number with a unit`},
		{`aim           = "800ms"`, `aim = "-1s"`, `A duration from`},
		{`deadline      = "3s"`, `deadline = "100ms"`, `The deadline must be at least the aim`},
		{`window        = "2s"`, ``, `A keyed class needs the time for which servers drop repeats`},
		{`path   = "/records/{id}"`, `path = "records"`, `A path starts with "/"`},
		{`path   = "/records/{id}"`, `path = "/a{id}"`, `A segment is either plain or wholly {name}`},
		{`path   = "/records/{id}"`, `path = "/{a...}/b"`, `{name...} can only be the last segment`},
		{`method = "GET"`, `method = "get"`, `An HTTP method in capitals`},
		{`method = "GET"
    path   = "/records/{id}"`, `method = "POST"
    path = "/loans/{other}"`, `The same requests are routed at`},
		{`rate  = 1`, `rate  = -1`, `A number from 0`},
		{`rate  = 1`, ``, `Give both rate (units a second) and burst`},
		{`hard_burst = 20`, ``, `Give both hard_rate and hard_burst`},
		{`hard_rate  = 10`, `hard_rate = 4`, `hard_rate must be at least rate, 5`},
		{`plan "basic"`, `plan "extended"`, `There is a plan "extended" already`},
		{`plan = "basic"`, `plan = "basics"`, `The plans are "basic", "extended"`},
		{`"newer-key-of-town-1"`, `"key-of-school-1"`, `One of these keys is in use at`},
		{`"newer-key-of-town-1"`, `""`, `A key is a text of at least one character`},
		{`keys = ["key-of-school-1"]`, `keys = 7`, `A list of texts is needed here`},
		{`address = "127.0.0.1:8080"`, `address = "127.0.0.1"`, `An address is a host and a port`},
		{`address = "127.0.0.1:8080"`, `address = "127.0.0.1:99999"`, `An address is a host and a port`},
		{`listener "http" "desks"`, `listener "htttp" "desks"`, `"http", "http2", "https", "ext_authz"`},
		{`listener "http" "desks" {`, `listener "https" "desks" {`, `needs cert_file and key_file`},
		{`listener "ext_authz" "proxies"`, `listener "ext_authz" "desks"`, `There is a listener "desks" already`},
		{`peer "1"`, `peer "0"`, `This node is number 0; list only the others`},
		{`peer "1"`, `peer "2"`, `Nodes are numbered from 0 to 1`},
		{`peer "1"`, `peer "one"`, `A peer is named by its number`},
		{`key             = "0001`, `key = "zz01`, `32 bytes in hex`},
		{`key             = "0001`, `key_file = "/nowhere/key" #`, `can't be read: no such file`},
		{`server "catalogue-2"`, `server "catalogue-1"`, `There is a server "catalogue-1" already`},
		{`cold_share  = 0.21`, `cold_share = 2`, `A number from 0.001 to 1`},
		{`status = 503`, `status = 200`, `A number from 400 to 599`},
		{`header = "x-not-run"`, `header = "x not run"`, `The name of an HTTP header field`},
		{`format = "json"`, `format = "xml"`, `"text", "json"`},
		{`zone   = "room-a"`, `zones = "room-a"`, `Unsupported argument`},
		{`authoriser {`, `authorizer {`, `Did you mean "authoriser"?`},
	} {
		t.Run(c.new, func(t *testing.T) {
			src := readExample(t)
			at := strings.Index(src, c.old)
			if at < 0 {
				t.Fatalf("%q does not occur in the example", c.old)
			}
			src = src[:at] + c.new + src[at+len(c.old):]
			_, err := Parse([]byte(src), "node.hcl")
			if err == nil {
				t.Fatal("invalid configuration accepted")
			}
			if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "on node.hcl line ") {
				t.Errorf("%v\nwant: %s", err, c.want)
			}
		})
	}
}

func TestErrorContainsLine(t *testing.T) {
	src := readExample(t)
	for _, old := range []string{`aim           = "800ms"`, `burst = 5`, `plan = "basic"`} {
		at := strings.Index(src, old)
		_, err := Parse([]byte(src[:at]+"wrong = 1 # "+src[at:]), "node.hcl")
		if want := fmt.Sprintf("on node.hcl line %d", 1+strings.Count(src[:at], "\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte("plan \"a\" { rate = 1 }\nnode { number = \"x\" }\nwhat {}\n"), "node.hcl")
	var validation *ValidationError
	if !errors.As(err, &validation) || len(validation.Diagnostics) < 6 { // of burst, number, what, listener, class and servers
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`listener "http" "a" { address = "127.0.0.1:1" }`))
	b, _ := os.ReadFile(filepath.Join("..", "deploy", "example.hcl"))
	f.Add(b)
	f.Fuzz(func(t *testing.T, src []byte) {
		if cfg, err := Parse(src, "f.hcl"); (cfg == nil) == (err == nil) {
			t.Errorf("%v, %v", cfg, err)
		}
	})
}

// A missing required key is reported; no default replaces it.
func TestMissingKeyIsReported(t *testing.T) {
	src := readExample(t)
	for _, c := range []struct{ line, key string }{
		{`{ address = "127.0.0.1:8080" }`, "address"},
		{`  effect        = "safe"` + "\n", "effect"},
		{`  aim           = "800ms"` + "\n", "aim"},
		{`  deadline      = "3s"` + "\n", "deadline"},
		{`    method = "GET"` + "\n", "method"},
		{`    path   = "/records/{id}"` + "\n", "path"},
		{`  keys = ["key-of-school-1"]` + "\n", "keys"},
		{`  listen          = "127.0.0.1:8090"` + "\n", "listen"},
		{`{ address = "127.0.0.1:8190" }`, "address"},
		{`    address = "127.0.0.1:9001"` + "\n", "address"},
		{`    status = 503` + "\n", "status"},
		{`    header = "x-not-run"` + "\n", "header"},
	} {
		if strings.Count(src, c.line) != 1 {
			t.Fatalf("%q occurs %d times in the example", c.line, strings.Count(src, c.line))
		}
		replacement := ""
		if strings.HasPrefix(c.line, "{") {
			replacement = "{}"
		}
		_, err := Parse([]byte(strings.Replace(src, c.line, replacement, 1)), "node.hcl")
		if want := "The key \"" + c.key + "\" is needed in this block"; err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("without %q: %v", c.line, err)
		}
	}
}
