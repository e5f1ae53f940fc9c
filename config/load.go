package config

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/textproto"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/policy"
)

// What stands in a file. Values are kept as expressions, so that a mistake in
// one can name its place.
type (
	file struct {
		Node       *nodeBlock       `hcl:"node,block"`
		Log        *logBlock        `hcl:"log,block"`
		Listeners  []listenerBlock  `hcl:"listener,block"`
		Clients    *clientsBlock    `hcl:"clients,block"`
		Classes    []classBlock     `hcl:"class,block"`
		Plans      []planBlock      `hcl:"plan,block"`
		Customers  []customerBlock  `hcl:"customer,block"`
		Peers      *peersBlock      `hcl:"peers,block"`
		Servers    *serversBlock    `hcl:"servers,block"`
		Authoriser *authoriserBlock `hcl:"authoriser,block"`
		Counter    *counterBlock    `hcl:"counter,block"`
		Limits     *limitsBlock     `hcl:"limits,block"`
	}
	nodeBlock struct {
		Number   hcl.Expression `hcl:"number,optional"`
		Name     hcl.Expression `hcl:"name,optional"`
		Zone     hcl.Expression `hcl:"zone,optional"`
		StateDir hcl.Expression `hcl:"state_dir,optional"`
	}
	logBlock struct {
		Level  hcl.Expression `hcl:"level,optional"`
		Format hcl.Expression `hcl:"format,optional"`
	}
	listenerBlock struct {
		Kind      string         `hcl:"kind,label"`
		Name      string         `hcl:"name,label"`
		KindRange hcl.Range      `hcl:"kind,label_range"`
		NameRange hcl.Range      `hcl:"name,label_range"`
		Address   hcl.Expression `hcl:"address"`
		Cert      hcl.Expression `hcl:"cert_file,optional"`
		Key       hcl.Expression `hcl:"key_file,optional"`
	}
	clientsBlock struct {
		KeyHeader      hcl.Expression `hcl:"key_header,optional"`
		PatienceHeader hcl.Expression `hcl:"patience_header,optional"`
		MaxRetryAfter  hcl.Expression `hcl:"max_retry_after,optional"`
	}
	classBlock struct {
		Name          string         `hcl:"name,label"`
		NameRange     hcl.Range      `hcl:"name,label_range"`
		Effect        hcl.Expression `hcl:"effect"`
		Group         hcl.Expression `hcl:"group,optional"`
		Window        hcl.Expression `hcl:"window,optional"`
		Aim           hcl.Expression `hcl:"aim"`
		Deadline      hcl.Expression `hcl:"deadline"`
		Units         hcl.Expression `hcl:"units,optional"`
		Worth         hcl.Expression `hcl:"worth,optional"`
		Authorisation hcl.Expression `hcl:"authorisation,optional"`
		Remember      hcl.Expression `hcl:"remember,optional"`
		Routes        []routeBlock   `hcl:"route,block"`
	}
	routeBlock struct {
		Method hcl.Expression `hcl:"method"`
		Path   hcl.Expression `hcl:"path"`
	}
	planBlock struct {
		Name        string         `hcl:"name,label"`
		NameRange   hcl.Range      `hcl:"name,label_range"`
		Rate        hcl.Expression `hcl:"rate,optional"`
		Burst       hcl.Expression `hcl:"burst,optional"`
		Open        hcl.Expression `hcl:"open,optional"`
		BeyondEarns hcl.Expression `hcl:"beyond_earns,optional"`
		BeyondCosts hcl.Expression `hcl:"beyond_costs,optional"`
		HardRate    hcl.Expression `hcl:"hard_rate,optional"`
		HardBurst   hcl.Expression `hcl:"hard_burst,optional"`
	}
	customerBlock struct {
		Name      string         `hcl:"name,label"`
		NameRange hcl.Range      `hcl:"name,label_range"`
		Plan      hcl.Expression `hcl:"plan"`
		Keys      hcl.Expression `hcl:"keys"`
		First     hcl.Expression `hcl:"first_node,optional"`
		Nodes     hcl.Expression `hcl:"nodes,optional"`
	}
	peersBlock struct {
		Listen        hcl.Expression `hcl:"listen"`
		Key           hcl.Expression `hcl:"key,optional"`
		KeyFile       hcl.Expression `hcl:"key_file,optional"`
		Roster        hcl.Expression `hcl:"roster,optional"`
		MailPerSecond hcl.Expression `hcl:"mail_per_second,optional"`
		Freshness     hcl.Expression `hcl:"freshness,optional"`
		Peers         []peerBlock    `hcl:"peer,block"`
		DefRange      hcl.Range      `hcl:",def_range"`
	}
	peerBlock struct {
		Number      string         `hcl:"number,label"`
		NumberRange hcl.Range      `hcl:"number,label_range"`
		Address     hcl.Expression `hcl:"address"`
	}
	serversBlock struct {
		Static       []serverBlock    `hcl:"server,block"`
		EDS          *edsBlock        `hcl:"eds,block"`
		TurnedAway   *turnedAwayBlock `hcl:"turned_away,block"`
		Protocol     hcl.Expression   `hcl:"protocol,optional"`
		ColdShare    hcl.Expression   `hcl:"cold_share,optional"`
		WarmWithin   hcl.Expression   `hcl:"warm_within,optional"`
		FallMultiple hcl.Expression   `hcl:"fall_multiple,optional"`
		FallTime     hcl.Expression   `hcl:"fall_time,optional"`
		DefRange     hcl.Range        `hcl:",def_range"`
	}
	serverBlock struct {
		Name      string         `hcl:"name,label"`
		NameRange hcl.Range      `hcl:"name,label_range"`
		Address   hcl.Expression `hcl:"address"`
		Zone      hcl.Expression `hcl:"zone,optional"`
		Cell      hcl.Expression `hcl:"cell,optional"`
		Weight    hcl.Expression `hcl:"weight,optional"`
	}
	edsBlock struct {
		Address hcl.Expression `hcl:"address"`
		Cluster hcl.Expression `hcl:"cluster"`
	}
	turnedAwayBlock struct {
		Status hcl.Expression `hcl:"status"`
		Header hcl.Expression `hcl:"header"`
	}
	authoriserBlock struct {
		Address   hcl.Expression `hcl:"address,optional"`
		Addresses hcl.Expression `hcl:"addresses,optional"`
		DefRange  hcl.Range      `hcl:",def_range"`
		Timeout   hcl.Expression `hcl:"timeout,optional"`
		MostOut   hcl.Expression `hcl:"most_out,optional"`
		Body      hcl.Expression `hcl:"body,optional"`
		Allowed   hcl.Expression `hcl:"allowed_headers,optional"`
		Forbidden hcl.Expression `hcl:"disallowed_headers,optional"`
	}
	counterBlock struct {
		Addresses hcl.Expression `hcl:"addresses"`
		Calls     hcl.Expression `hcl:"calls_per_second,optional"`
		Limit     hcl.Expression `hcl:"limit,optional"`
		Window    hcl.Expression `hcl:"window,optional"`
		Keep      hcl.Expression `hcl:"keep,optional"`
	}
	limitsBlock struct {
		Line         hcl.Expression `hcl:"line,optional"`
		Fields       hcl.Expression `hcl:"fields,optional"`
		Header       hcl.Expression `hcl:"header,optional"`
		Body         hcl.Expression `hcl:"body,optional"`
		AnswerBody   hcl.Expression `hcl:"answer_body,optional"`
		HeaderTime   hcl.Expression `hcl:"header_time,optional"`
		BodyTime     hcl.Expression `hcl:"body_time,optional"`
		IdleTime     hcl.Expression `hcl:"idle_time,optional"`
		WriteTime    hcl.Expression `hcl:"write_time,optional"`
		Connections  hcl.Expression `hcl:"connections,optional"`
		Streams      hcl.Expression `hcl:"streams,optional"`
		Abuse        hcl.Expression `hcl:"abuse,optional"`
		Requests     hcl.Expression `hcl:"requests,optional"`
		AnswerMargin hcl.Expression `hcl:"answer_margin,optional"`
		ConnectTime  hcl.Expression `hcl:"connect_time,optional"`
		IdleUpstream hcl.Expression `hcl:"idle_upstream,optional"`
		MaxAttempts  hcl.Expression `hcl:"max_attempts,optional"`
	}
)

// Mistakes is every mistake found in a file. Its text has a paragraph for
// each, with the lines of the file.
type Mistakes struct {
	Diagnostics hcl.Diagnostics
	files       map[string]*hcl.File
}

func (m *Mistakes) Error() string {
	var b bytes.Buffer
	w := hcl.NewDiagnosticTextWriter(&b, m.files, 100, false)
	if err := w.WriteDiagnostics(m.Diagnostics); err != nil {
		return m.Diagnostics.Error()
	}
	return strings.TrimSpace(b.String())
}

// Load reads and checks a file. The error is *Mistakes where the file could be
// read.
func Load(path string) (*Config, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(src, path)
}

// Parse checks the text of a file; the name is for messages.
func Parse(src []byte, name string) (*Config, error) {
	p := hclparse.NewParser()
	f, diags := p.ParseHCL(src, name)
	l := &loader{cfg: &Config{}}
	if !diags.HasErrors() {
		var in file
		diags = append(diags, gohcl.DecodeBody(f.Body, nil, &in)...)
		l.whole = f.Body.MissingItemRange()
		l.file(&in)
	}
	diags = append(diags, l.diags...)
	if diags.HasErrors() {
		slices.SortStableFunc(diags, func(a, b *hcl.Diagnostic) int {
			if a.Subject == nil || b.Subject == nil {
				return 0
			}
			return a.Subject.Start.Byte - b.Subject.Start.Byte
		})
		return nil, &Mistakes{diags, p.Files()}
	}
	return l.cfg, nil
}

// loader checks values and gathers mistakes.
type loader struct {
	cfg   *Config
	diags hcl.Diagnostics
	whole hcl.Range
}

func (l *loader) wrong(at hcl.Range, summary, right string, args ...any) {
	l.diags = append(l.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary,
		Detail: fmt.Sprintf(right, args...), Subject: &at})
}

// value evaluates an expression as a type; false where it is not set or wrong.
func (l *loader) value(e hcl.Expression, t cty.Type, what string) (cty.Value, bool) {
	if e == nil {
		return cty.NilVal, false // a missing argument was reported by the decoder
	}
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		l.diags = append(l.diags, diags...)
		return v, false
	}
	if v.IsNull() {
		return v, false
	}
	v, err := convert.Convert(v, t)
	if err != nil || !v.IsWhollyKnown() {
		l.wrong(e.Range(), "Wrong type", "%s is needed here.", what)
		return v, false
	}
	return v, true
}

func (l *loader) text(e hcl.Expression, def string) string {
	if v, ok := l.value(e, cty.String, "A text"); ok {
		return v.AsString()
	}
	return def
}

// name is a text that is not empty.
func (l *loader) name(e hcl.Expression, def string) string {
	s := l.text(e, def)
	if s == "" && e != nil && def == "" {
		if v, _ := e.Value(nil); !v.IsNull() {
			l.wrong(e.Range(), "Empty text", "A text of at least one character is needed here.")
		}
	}
	return s
}

func (l *loader) number(e hcl.Expression, def, low, high float64) float64 {
	v, ok := l.value(e, cty.Number, "A number")
	if !ok {
		return def
	}
	f, _ := v.AsBigFloat().Float64()
	if f < low || f > high {
		l.wrong(e.Range(), "Number out of range", "A number from %v to %v is needed here.", low, high)
		return def
	}
	return f
}

func (l *loader) whole0(e hcl.Expression, def, low, high int) int {
	f := l.number(e, float64(def), float64(low), float64(high))
	if f != float64(int(f)) {
		l.wrong(e.Range(), "Not a whole number", "A whole number from %d to %d is needed here.", low, high)
	}
	return int(f)
}

func (l *loader) duration(e hcl.Expression, def, low, high time.Duration) time.Duration {
	v, ok := l.value(e, cty.String, `A duration such as "250ms"`)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil {
		l.wrong(e.Range(), "Not a duration", `A number with a unit is needed here, such as "250ms", "1.5s" or "2m".`)
		return def
	}
	if d < low || d > high {
		l.wrong(e.Range(), "Duration out of range", "A duration from %v to %v is needed here.", low, high)
		return def
	}
	return d
}

func (l *loader) address(e hcl.Expression) string {
	s := l.text(e, "")
	if s == "" {
		l.name(e, "")
		return ""
	}
	if l.badAddress(s) {
		l.wrong(e.Range(), "Not an address", `An address is a host and a port, such as "127.0.0.1:8080" or "[::1]:8080".`)
	}
	return s
}

func (l *loader) badAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	n, perr := strconv.Atoi(port)
	return err != nil || perr != nil || n < 0 || n > 65535
}

func oneOf[T ~string](l *loader, e hcl.Expression, def T, all ...T) T {
	s := T(l.text(e, string(def)))
	if !slices.Contains(all, s) {
		l.wrong(e.Range(), "Unknown name", "One of these is needed here: %s.", quoted(all))
		return def
	}
	return s
}

func quoted[T ~string](all []T) string {
	var q []string
	for _, s := range all {
		q = append(q, strconv.Quote(string(s)))
	}
	return strings.Join(q, ", ")
}

// unique reports a name used twice.
func (l *loader) unique(seen map[string]hcl.Range, what, name string, at hcl.Range) {
	if name == "" {
		l.wrong(at, "Empty name", "A %s needs a name.", what)
	} else if first, twice := seen[name]; twice {
		l.wrong(at, "Name used twice", "There is a %s %q already, at %s.", what, name, first)
	}
	seen[name] = at
}

func (l *loader) file(in *file) {
	l.node(in)
	l.listeners(in.Listeners)
	l.clients(in.Clients)
	l.classes(in.Classes)
	l.plans(in.Plans)
	l.peers(in.Peers)
	l.customers(in.Customers)
	l.servers(in.Servers)
	l.authoriser(in)
	l.counter(in.Counter)
	l.limits(in.Limits)
}

func (l *loader) node(in *file) {
	n := in.Node
	if n == nil {
		n = &nodeBlock{}
	}
	l.cfg.Number = l.whole0(n.Number, 0, 0, 65535)
	l.cfg.Name = l.text(n.Name, "")
	l.cfg.Zone, l.cfg.StateDir = l.text(n.Zone, ""), l.text(n.StateDir, "")
	g := in.Log
	if g == nil {
		g = &logBlock{}
	}
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
		"error": slog.LevelError}
	l.cfg.LogLevel = levels[oneOf(l, g.Level, "info", "debug", "info", "warn", "error")]
	l.cfg.LogJSON = oneOf(l, g.Format, "text", "text", "json") == "json"
}

func (l *loader) listeners(in []listenerBlock) {
	if len(in) == 0 {
		l.wrong(l.whole, "No listener", `At least one block is needed such as: listener "http" "desks" { address = "127.0.0.1:8080" }.`)
	}
	seen := map[string]hcl.Range{}
	for _, b := range in {
		kind := ListenerKind(b.Kind)
		if all := []ListenerKind{HTTP, HTTP2, HTTPS, ExtAuthz}; !slices.Contains(all, kind) {
			l.wrong(b.KindRange, "Unknown kind of listener", "One of these is needed here: %s.", quoted(all))
		}
		l.unique(seen, "listener", b.Name, b.NameRange)
		in := Listener{kind, b.Name, l.address(b.Address), l.name(b.Cert, ""), l.name(b.Key, "")}
		if tls := kind == HTTPS; tls != (in.CertFile != "") || tls != (in.KeyFile != "") {
			l.wrong(b.NameRange, "Certificate", "A listener of kind \"https\" needs cert_file and key_file, and no other kind takes them.")
		}
		l.cfg.Listeners = append(l.cfg.Listeners, in)
	}
}

var fieldName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

func (l *loader) header(e hcl.Expression, def string) string {
	s := l.text(e, def)
	if s != "" && !fieldName.MatchString(s) {
		l.wrong(e.Range(), "Not a field name", "The name of an HTTP header field is needed here.")
	}
	return textproto.CanonicalMIMEHeaderKey(s)
}

func (l *loader) clients(in *clientsBlock) {
	if in == nil {
		in = &clientsBlock{}
	}
	l.cfg.Clients = Clients{
		KeyHeader:           l.header(in.KeyHeader, "X-Api-Key"),
		ClientTimeoutHeader: l.header(in.PatienceHeader, "X-Envoy-Expected-Rq-Timeout-Ms"),
		MaxRetryAfter:       l.duration(in.MaxRetryAfter, time.Second, 0, time.Hour),
	}
}

func (l *loader) classes(in []classBlock) {
	if len(in) == 0 {
		l.wrong(l.whole, "No class", `At least one block is needed such as: class "lookup" { … }.`)
	}
	names, routes := map[string]hcl.Range{}, map[string]hcl.Range{}
	for _, b := range in {
		l.unique(names, "class", b.Name, b.NameRange)
		c := Class{Class: policy.Class{Name: b.Name}}
		effects := map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentWithKey, "unsafe": policy.NonIdempotent}
		c.Idempotency = effects[oneOf(l, b.Effect, "unsafe", "safe", "keyed", "unsafe")]
		groups := map[string]policy.DedupScope{"all": policy.DedupAllServers, "zone": policy.DedupZone, "cell": policy.DedupCell}
		c.DedupScope = groups[oneOf(l, b.Group, "all", "all", "zone", "cell")]
		c.DedupWindow = l.duration(b.Window, 0, 0, 24*time.Hour)
		if c.Idempotency == policy.IdempotentWithKey && c.DedupWindow == 0 {
			l.wrong(b.NameRange, "No window", `A keyed class needs the time for which servers drop repeats, such as: window = "2s".`)
		}
		c.LatencyObjective = l.duration(b.Aim, time.Second, time.Millisecond, time.Hour)
		c.Deadline = l.duration(b.Deadline, time.Hour, time.Millisecond, time.Hour)
		if c.Deadline < c.LatencyObjective {
			l.wrong(b.Deadline.Range(), "Deadline before aim", "The deadline must be at least the aim, %v.", c.LatencyObjective)
		}
		c.Units = l.number(b.Units, 1, 1, 1000)
		c.PriorityWeight = l.number(b.Worth, 1, 0, 1e6)
		c.AuthorizationCacheTTL = l.duration(b.Remember, 0, 0, 24*time.Hour)
		c.Authorization = oneOf(l, b.Authorisation, SkipAuthorization, SkipAuthorization, FailClosed, FailOpen)
		if len(b.Routes) == 0 {
			l.wrong(b.NameRange, "No route", `A class needs at least one route, such as: route { method = "GET", path = "/records/{id}" }.`)
		}
		for _, r := range b.Routes {
			c.Routes = append(c.Routes, l.route(r, routes))
		}
		l.cfg.Classes = append(l.cfg.Classes, c)
	}
}

func (l *loader) route(r routeBlock, seen map[string]hcl.Range) Route {
	out := Route{l.name(r.Method, ""), l.name(r.Path, "")}
	if out.Method != "" && !regexp.MustCompile("^[A-Z]+$").MatchString(out.Method) {
		l.wrong(r.Method.Range(), "Not a method", `An HTTP method in capitals is needed here, such as "GET".`)
	}
	if out.Path == "" {
		return out
	}
	segments := strings.Split(out.Path, "/")
	if segments[0] != "" {
		l.wrong(r.Path.Range(), "Not a path", `A path starts with "/".`)
	}
	for i, s := range segments {
		open := strings.ContainsAny(s, "{}")
		if open && !regexp.MustCompile(`^\{[a-z_]+(\.\.\.)?\}$`).MatchString(s) {
			l.wrong(r.Path.Range(), "Malformed path", "A segment is either plain or wholly {name} or {name...}.")
		}
		if strings.HasSuffix(s, "...}") && i < len(segments)-1 {
			l.wrong(r.Path.Range(), "Malformed path", "{name...} can only be the last segment.")
		}
		if open {
			segments[i] = "{}"
			if strings.HasSuffix(s, "...}") {
				segments[i] = "{...}"
			}
		}
	}
	key := out.Method + " " + strings.Join(segments, "/")
	if first, twice := seen[key]; twice {
		l.wrong(r.Path.Range(), "Route used twice", "The same requests are routed at %s already.", first)
	}
	seen[key] = r.Path.Range()
	return out
}

func (l *loader) plans(in []planBlock) {
	if len(in) == 0 {
		l.wrong(l.whole, "No plan", `At least one block is needed such as: plan "basic" { rate = 1, burst = 5 }.`)
	}
	const most = 1e9
	seen := map[string]hcl.Range{}
	for _, b := range in {
		l.unique(seen, "plan", b.Name, b.NameRange)
		p := policy.Plan{Name: b.Name,
			Rate: l.number(b.Rate, 0, 0, most), Burst: l.number(b.Burst, 0, 0, most),
			MaxInFlight:    l.whole0(b.Open, 0, 0, 1e6),
			OverQuotaValue: l.number(b.BeyondEarns, 0, 0, 1), OverQuotaCost: l.number(b.BeyondCosts, 0, 0, 10),
			HardRate: l.number(b.HardRate, 0, 0, most), HardBurst: l.number(b.HardBurst, 0, 0, most)}
		if (p.Rate > 0) != (p.Burst > 0) {
			l.wrong(b.NameRange, "Rate without burst", "Give both rate (units a second) and burst (units that may be used at once), or neither.")
		}
		if (p.HardRate > 0) != (p.HardBurst > 0) {
			l.wrong(b.NameRange, "Ceiling without burst", "Give both hard_rate and hard_burst, or neither.")
		}
		if p.HardRate > 0 && p.HardRate < p.Rate {
			l.wrong(b.HardRate.Range(), "Ceiling below the quota", "hard_rate must be at least rate, %v.", p.Rate)
		}
		l.cfg.Plans = append(l.cfg.Plans, p)
	}
}

func (l *loader) customers(in []customerBlock) {
	most := len(l.cfg.Peers.Addresses) + 1
	if l.cfg.Roster != nil {
		most = 65535 // the fleet may grow
	}
	names, keys := map[string]hcl.Range{}, map[string]hcl.Range{}
	for _, b := range in {
		l.unique(names, "customer", b.Name, b.NameRange)
		c := Customer{Name: b.Name, Plan: l.name(b.Plan, ""),
			FirstGateway: l.whole0(b.First, 0, 0, most-1), GatewaySpread: l.whole0(b.Nodes, most, 1, most)}
		if c.Plan != "" && !slices.ContainsFunc(l.cfg.Plans, func(p policy.Plan) bool { return p.Name == c.Plan }) {
			var all []string
			for _, p := range l.cfg.Plans {
				all = append(all, p.Name)
			}
			l.wrong(b.Plan.Range(), "Unknown plan", "The plans are %s.", quoted(all))
		}
		if v, ok := l.value(b.Keys, cty.List(cty.String), "A list of texts"); ok {
			for _, k := range v.AsValueSlice() {
				if k.IsNull() || k.AsString() == "" {
					l.wrong(b.Keys.Range(), "Empty key", "A key is a text of at least one character.")
					continue
				}
				if first, twice := keys[k.AsString()]; twice {
					l.wrong(b.Keys.Range(), "Key used twice", "One of these keys is in use at %s already.", first)
				}
				keys[k.AsString()] = b.Keys.Range()
				c.Keys = append(c.Keys, k.AsString())
			}
		}
		l.cfg.Customers = append(l.cfg.Customers, c)
	}
}

func (l *loader) peers(in *peersBlock) {
	l.cfg.Peers.Addresses = map[int]string{}
	if in == nil {
		return
	}
	p := &l.cfg.Peers
	p.Listen = l.address(in.Listen)
	p.MessagesPerSecond = l.number(in.MailPerSecond, 60, 1, 1e6)
	p.MaxMessageAge = l.duration(in.Freshness, 10*time.Second, 100*time.Millisecond, time.Hour)
	p.Keys = l.keys(in)
	if path := l.text(in.Roster, ""); path != "" {
		l.roster(in, path)
		return
	}
	for _, b := range in.Peers {
		n, err := strconv.Atoi(b.Number)
		switch {
		case err != nil || n < 0 || n > 65535:
			l.wrong(b.NumberRange, "Not a node number", `A peer is named by its number, such as: peer "1" { address = … }.`)
			continue
		case n == l.cfg.Number:
			l.wrong(b.NumberRange, "Peer with this node's number", "This node is number %d; list only the others.", n)
			continue
		case p.Addresses[n] != "":
			l.wrong(b.NumberRange, "Number used twice", "There is a peer %d already.", n)
		}
		p.Addresses[n] = l.address(b.Address)
	}
	for _, n := range slices.Sorted(maps.Keys(p.Addresses)) {
		if n > len(p.Addresses) {
			l.wrong(in.DefRange, "Numbers with gaps", "Nodes are numbered from 0 to %d, this one (%d) included; there is a %d.",
				len(p.Addresses), l.cfg.Number, n)
			break
		}
	}
	if l.cfg.Number > len(p.Addresses) {
		l.wrong(in.DefRange, "Numbers with gaps", "This node's number, %d, is above the number of its peers, %d.",
			l.cfg.Number, len(p.Addresses))
	}
}

// roster takes the fleet from a roster's file.
func (l *loader) roster(in *peersBlock, path string) {
	if len(in.Peers) > 0 {
		l.wrong(in.DefRange, "Roster and peers", "Give either a roster or peer blocks.")
	}
	r, err := LoadRoster(path)
	if err != nil {
		l.wrong(in.Roster.Range(), "Roster not usable", "%v", err)
		return
	}
	l.cfg.Number = slices.IndexFunc(r.Nodes, func(n membership.Node) bool { return n.Name == l.cfg.Name })
	if l.cfg.Number < 0 {
		l.wrong(in.Roster.Range(), "Not in the roster", "The roster of epoch %d has no node %q; it is known by name in the block node.",
			r.Epoch, l.cfg.Name)
		l.cfg.Number = 0
	}
	l.cfg.Roster, l.cfg.Peers.RosterFile = r, path
	for i, n := range r.Nodes {
		if i != l.cfg.Number {
			l.cfg.Peers.Addresses[i] = n.Address
		}
	}
}

const keySize = 32

func (l *loader) keys(in *peersBlock) [][]byte {
	text, at := l.text(in.Key, ""), in.DefRange
	if path := l.text(in.KeyFile, ""); path != "" {
		at = in.KeyFile.Range()
		if text != "" {
			l.wrong(at, "Two keys", "Give either key or key_file.")
		}
		b, err := os.ReadFile(path)
		if err != nil {
			var pe *os.PathError
			errors.As(err, &pe)
			l.wrong(at, "Key not readable", "The file %q can't be read: %v.", path, pe.Err)
			return nil
		}
		l.cfg.Peers.KeyFile, text = path, string(b)
	}
	keys, err := ParseKeys(text)
	if err != nil {
		l.wrong(at, "Not a key", "The fleet's key is %d bytes in hex, %d digits, in key or, one a line, in the file named by key_file.",
			keySize, 2*keySize)
	}
	return keys
}

// ParseKeys reads the fleet's keys, one a line in hex.
func ParseKeys(text string) (keys [][]byte, err error) {
	for line := range strings.FieldsSeq(text) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != keySize {
			return nil, fmt.Errorf("key %d is not of %d bytes in hex", len(keys)+1, keySize)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("no key")
	}
	return keys, nil
}

func (l *loader) servers(in *serversBlock) {
	if in == nil {
		l.wrong(l.whole, "No servers", `A block is needed such as: servers { server "a" { address = "127.0.0.1:9001" } }.`)
		return
	}
	s := &l.cfg.Servers
	seen := map[string]hcl.Range{}
	for _, b := range in.Static {
		l.unique(seen, "server", b.Name, b.NameRange)
		s.Static = append(s.Static, Server{Name: b.Name, Address: l.address(b.Address), Zone: l.text(b.Zone, ""),
			Cell: l.whole0(b.Cell, 0, 0, 1e9), Weight: l.number(b.Weight, 1, 0.001, 1e6)})
	}
	if in.EDS != nil {
		s.EDSAddress, s.EDSCluster = l.address(in.EDS.Address), l.name(in.EDS.Cluster, "")
	}
	if (in.EDS != nil) == (len(in.Static) > 0) {
		l.wrong(in.DefRange, "No source of servers, or two", "Give either server blocks or one eds block.")
	}
	s.HTTP2 = oneOf(l, in.Protocol, "http1", "http1", "http2") == "http2"
	s.InitialCapacity = l.number(in.ColdShare, 0.2, 0.001, 1)
	s.WarmupTime = l.duration(in.WarmWithin, 0, 0, time.Hour)
	s.ColdOverloadFactor = l.number(in.FallMultiple, 2, 1, 1000)
	s.ColdOverloadTime = l.duration(in.FallTime, time.Second, time.Millisecond, time.Minute)
	if b := in.TurnedAway; b != nil {
		s.RejectionStatus = l.whole0(b.Status, 503, 400, 599)
		s.RejectionHeader = l.header(b.Header, "")
	}
}

func (l *loader) authoriser(in *file) {
	asked := slices.ContainsFunc(l.cfg.Classes, func(c Class) bool { return c.Authorization != SkipAuthorization })
	b := in.Authoriser
	if b == nil {
		if asked {
			l.wrong(l.whole, "No authoriser", `A class is to be authorised; a block is needed such as: authoriser { address = "127.0.0.1:9200" }.`)
		}
		return
	}
	a := &Authorizer{Addresses: l.addresses(b.Addresses)}
	if one := l.address(b.Address); one != "" {
		a.Addresses = append(a.Addresses, one)
	}
	if len(a.Addresses) == 0 {
		l.wrong(b.DefRange, "No address", "Give address, or addresses for several of one service.")
	}
	a.Timeout, a.MaxInFlight = l.duration(b.Timeout, 200*time.Millisecond, time.Millisecond, time.Minute), l.whole0(b.MostOut, 1000, 1, 1e6)
	a.MaxRequestBody = l.whole0(b.Body, 0, 0, 1<<20)
	a.AllowedHeaders, a.DisallowedHeaders = l.fieldNames(b.Allowed), l.fieldNames(b.Forbidden)
	l.cfg.Authorizer = a
}

// fieldNames is a list of header field names.
func (l *loader) fieldNames(e hcl.Expression) (list []string) {
	v, ok := l.value(e, cty.List(cty.String), "A list of texts")
	if !ok {
		return nil
	}
	for _, n := range v.AsValueSlice() {
		if n.IsNull() || !fieldName.MatchString(n.AsString()) {
			l.wrong(e.Range(), "Not a field name", "The names of HTTP header fields are needed here.")
			continue
		}
		list = append(list, textproto.CanonicalMIMEHeaderKey(n.AsString()))
	}
	return list
}

// addresses is a list of addresses.
func (l *loader) addresses(e hcl.Expression) (list []string) {
	v, ok := l.value(e, cty.List(cty.String), "A list of addresses")
	if !ok {
		return nil
	}
	for _, a := range v.AsValueSlice() {
		if a.IsNull() || l.badAddress(a.AsString()) {
			l.wrong(e.Range(), "Not an address", `An address is a host and a port, such as "127.0.0.1:6379".`)
			continue
		}
		list = append(list, a.AsString())
	}
	return list
}

func (l *loader) counter(in *counterBlock) {
	if in == nil {
		return
	}
	c := &Counter{CallsPerSecond: l.number(in.Calls, 500, 1, 1e6), Timeout: l.duration(in.Limit, 80*time.Millisecond, time.Millisecond, time.Minute),
		Window: l.duration(in.Window, time.Minute, time.Second, 24*time.Hour), Retention: l.duration(in.Keep, time.Hour, time.Second, 30*24*time.Hour)}
	if c.Addresses = l.addresses(in.Addresses); len(c.Addresses) == 0 {
		l.wrong(in.Addresses.Range(), "No address", "At least one part of the counter is needed.")
	}
	if c.Retention < 2*c.Window {
		l.wrong(l.rangeOf(in.Keep, in.Addresses), "Kept too shortly", "Totals must be kept for at least two windows, %v.", 2*c.Window)
	}
	l.cfg.Counter = c
}

// rangeOf is the place of a value that may not stand in the file.
func (l *loader) rangeOf(e, other hcl.Expression) hcl.Range {
	if v, _ := e.Value(nil); v.IsNull() {
		return other.Range()
	}
	return e.Range()
}

func (l *loader) limits(in *limitsBlock) {
	if in == nil {
		in = &limitsBlock{}
	}
	l.cfg.Limits = Limits{
		MaxLineBytes:    l.whole0(in.Line, 8<<10, 256, 1<<20),
		MaxHeaderFields: l.whole0(in.Fields, 100, 8, 10000),
		MaxHeaderBytes:  l.whole0(in.Header, 32<<10, 1024, 16<<20),
		MaxRequestBody:  int64(l.whole0(in.Body, 1<<20, 0, 1<<30)),
		MaxResponseBody: int64(l.whole0(in.AnswerBody, 8<<20, 0, 1<<30)),
		HeaderTimeout:   l.duration(in.HeaderTime, 5*time.Second, time.Millisecond, time.Hour),
		BodyTimeout:     l.duration(in.BodyTime, 10*time.Second, time.Millisecond, time.Hour),
		IdleTimeout:     l.duration(in.IdleTime, 5*time.Minute, time.Millisecond, 24*time.Hour),
		WriteTimeout:    l.duration(in.WriteTime, 10*time.Second, time.Millisecond, time.Hour),
		MaxConnections:  l.whole0(in.Connections, 20000, 1, 1e6),
		MaxStreams:      l.whole0(in.Streams, 100, 1, 1e5),
		FrameBudget:     l.whole0(in.Abuse, 200, 10, 1e6),
		MaxUnanswered:   l.whole0(in.Requests, 20000, 1, 1e6),
		ResponseMargin:  l.duration(in.AnswerMargin, 10*time.Millisecond, 0, time.Minute),
		ConnectTimeout:  l.duration(in.ConnectTime, 250*time.Millisecond, time.Millisecond, time.Minute),
		MaxIdleUpstream: l.whole0(in.IdleUpstream, 64, 0, 1e5),
		MaxAttempts:     l.whole0(in.MaxAttempts, 3, 1, 100),
	}
}
