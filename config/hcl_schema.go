package config

import "github.com/hashicorp/hcl/v2"

// The types below are the blocks of a configuration file as HCL decodes them. Values stay
// expressions so that errors can be reported with their position. The tags are the keys in
// users' configuration files, so changing one is a breaking change.

type configFile struct {
	Node       *nodeBlock       `hcl:"node,block"`
	Log        *logBlock        `hcl:"log,block"`
	Listeners  []listenerBlock  `hcl:"listener,block"`
	Clients    *clientsBlock    `hcl:"clients,block"`
	Classes    []classBlock     `hcl:"class,block"`
	Plans      []planBlock      `hcl:"plan,block"`
	Customers  []customerBlock  `hcl:"customer,block"`
	Peers      *peersBlock      `hcl:"peers,block"`
	Servers    *serversBlock    `hcl:"servers,block"`
	Authorizer *authorizerBlock `hcl:"authoriser,block"`
	Counter    *counterBlock    `hcl:"counter,block"`
	Limits     *limitsBlock     `hcl:"limits,block"`
}

type nodeBlock struct {
	Number   hcl.Expression `hcl:"number,optional"`
	Name     hcl.Expression `hcl:"name,optional"`
	Zone     hcl.Expression `hcl:"zone,optional"`
	StateDir hcl.Expression `hcl:"state_dir,optional"`
}

type logBlock struct {
	Level  hcl.Expression `hcl:"level,optional"`
	Format hcl.Expression `hcl:"format,optional"`
}

type listenerBlock struct {
	Kind      string         `hcl:"kind,label"`
	Name      string         `hcl:"name,label"`
	KindRange hcl.Range      `hcl:"kind,label_range"`
	NameRange hcl.Range      `hcl:"name,label_range"`
	Address   hcl.Expression `hcl:"address"`
	CertFile  hcl.Expression `hcl:"cert_file,optional"`
	KeyFile   hcl.Expression `hcl:"key_file,optional"`
}

type clientsBlock struct {
	KeyHeader           hcl.Expression `hcl:"key_header,optional"`
	ClientTimeoutHeader hcl.Expression `hcl:"patience_header,optional"`
	MaxRetryAfter       hcl.Expression `hcl:"max_retry_after,optional"`
}

type classBlock struct {
	Name                  string         `hcl:"name,label"`
	NameRange             hcl.Range      `hcl:"name,label_range"`
	Idempotency           hcl.Expression `hcl:"effect"`
	DedupScope            hcl.Expression `hcl:"group,optional"`
	DedupWindow           hcl.Expression `hcl:"window,optional"`
	LatencyObjective      hcl.Expression `hcl:"aim"`
	Deadline              hcl.Expression `hcl:"deadline"`
	Units                 hcl.Expression `hcl:"units,optional"`
	PriorityWeight        hcl.Expression `hcl:"worth,optional"`
	Authorization         hcl.Expression `hcl:"authorisation,optional"`
	AuthorizationCacheTTL hcl.Expression `hcl:"remember,optional"`
	Routes                []routeBlock   `hcl:"route,block"`
}

type routeBlock struct {
	Method   hcl.Expression `hcl:"method"`
	Path     hcl.Expression `hcl:"path"`
	DefRange hcl.Range      `hcl:",def_range"`
}

type planBlock struct {
	Name           string         `hcl:"name,label"`
	NameRange      hcl.Range      `hcl:"name,label_range"`
	Rate           hcl.Expression `hcl:"rate,optional"`
	Burst          hcl.Expression `hcl:"burst,optional"`
	MaxInFlight    hcl.Expression `hcl:"open,optional"`
	OverQuotaValue hcl.Expression `hcl:"beyond_earns,optional"`
	OverQuotaCost  hcl.Expression `hcl:"beyond_costs,optional"`
	HardRate       hcl.Expression `hcl:"hard_rate,optional"`
	HardBurst      hcl.Expression `hcl:"hard_burst,optional"`
}

type customerBlock struct {
	Name          string         `hcl:"name,label"`
	NameRange     hcl.Range      `hcl:"name,label_range"`
	Plan          hcl.Expression `hcl:"plan"`
	Keys          hcl.Expression `hcl:"keys"`
	FirstGateway  hcl.Expression `hcl:"first_node,optional"`
	GatewaySpread hcl.Expression `hcl:"nodes,optional"`
}

type peersBlock struct {
	Listen            hcl.Expression `hcl:"listen"`
	Key               hcl.Expression `hcl:"key,optional"`
	KeyFile           hcl.Expression `hcl:"key_file,optional"`
	RosterFile        hcl.Expression `hcl:"roster,optional"`
	MessagesPerSecond hcl.Expression `hcl:"mail_per_second,optional"`
	MaxMessageAge     hcl.Expression `hcl:"freshness,optional"`
	Peers             []peerBlock    `hcl:"peer,block"`
	DefRange          hcl.Range      `hcl:",def_range"`
}

type peerBlock struct {
	Number      string         `hcl:"number,label"`
	NumberRange hcl.Range      `hcl:"number,label_range"`
	Address     hcl.Expression `hcl:"address"`
}

type serversBlock struct {
	Static             []serverBlock   `hcl:"server,block"`
	EDS                *edsBlock       `hcl:"eds,block"`
	Rejection          *rejectionBlock `hcl:"turned_away,block"`
	Protocol           hcl.Expression  `hcl:"protocol,optional"`
	InitialCapacity    hcl.Expression  `hcl:"cold_share,optional"`
	WarmupTime         hcl.Expression  `hcl:"warm_within,optional"`
	ColdOverloadFactor hcl.Expression  `hcl:"fall_multiple,optional"`
	ColdOverloadTime   hcl.Expression  `hcl:"fall_time,optional"`
	DefRange           hcl.Range       `hcl:",def_range"`
}

type serverBlock struct {
	Name      string         `hcl:"name,label"`
	NameRange hcl.Range      `hcl:"name,label_range"`
	Address   hcl.Expression `hcl:"address"`
	Zone      hcl.Expression `hcl:"zone,optional"`
	Cell      hcl.Expression `hcl:"cell,optional"`
	Weight    hcl.Expression `hcl:"weight,optional"`
}

type edsBlock struct {
	Address  hcl.Expression `hcl:"address"`
	Cluster  hcl.Expression `hcl:"cluster"`
	DefRange hcl.Range      `hcl:",def_range"`
}

type rejectionBlock struct {
	Status   hcl.Expression `hcl:"status"`
	Header   hcl.Expression `hcl:"header"`
	DefRange hcl.Range      `hcl:",def_range"`
}

type authorizerBlock struct {
	Address           hcl.Expression `hcl:"address,optional"`
	Addresses         hcl.Expression `hcl:"addresses,optional"`
	DefRange          hcl.Range      `hcl:",def_range"`
	Timeout           hcl.Expression `hcl:"timeout,optional"`
	MaxInFlight       hcl.Expression `hcl:"most_out,optional"`
	MaxRequestBody    hcl.Expression `hcl:"body,optional"`
	AllowedHeaders    hcl.Expression `hcl:"allowed_headers,optional"`
	DisallowedHeaders hcl.Expression `hcl:"disallowed_headers,optional"`
}

type counterBlock struct {
	Addresses         hcl.Expression `hcl:"addresses"`
	CommandsPerSecond hcl.Expression `hcl:"calls_per_second,optional"`
	Timeout           hcl.Expression `hcl:"limit,optional"`
	Window            hcl.Expression `hcl:"window,optional"`
	Retention         hcl.Expression `hcl:"keep,optional"`
	DefRange          hcl.Range      `hcl:",def_range"`
}

type limitsBlock struct {
	MaxLineBytes    hcl.Expression `hcl:"line,optional"`
	MaxHeaderFields hcl.Expression `hcl:"fields,optional"`
	MaxHeaderBytes  hcl.Expression `hcl:"header,optional"`
	MaxRequestBody  hcl.Expression `hcl:"body,optional"`
	MaxResponseBody hcl.Expression `hcl:"answer_body,optional"`
	HeaderTimeout   hcl.Expression `hcl:"header_time,optional"`
	BodyTimeout     hcl.Expression `hcl:"body_time,optional"`
	IdleTimeout     hcl.Expression `hcl:"idle_time,optional"`
	WriteTimeout    hcl.Expression `hcl:"write_time,optional"`
	MaxConnections  hcl.Expression `hcl:"connections,optional"`
	MaxStreams      hcl.Expression `hcl:"streams,optional"`
	FrameBudget     hcl.Expression `hcl:"abuse,optional"`
	MaxUnanswered   hcl.Expression `hcl:"requests,optional"`
	ResponseMargin  hcl.Expression `hcl:"answer_margin,optional"`
	ConnectTimeout  hcl.Expression `hcl:"connect_time,optional"`
	MaxIdleUpstream hcl.Expression `hcl:"idle_upstream,optional"`
	MaxAttempts     hcl.Expression `hcl:"max_attempts,optional"`
	MaxMemory       hcl.Expression `hcl:"memory,optional"`
}
