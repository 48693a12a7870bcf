package hingemetrics

// Kind is the type of a metric.
type Kind uint8

// Kinds of metrics. The value of a gauge is read at each scrape.
const (
	CounterKind Kind = iota
	GaugeKind
	HistogramKind
)

// String returns the kind as written in docs/METRICS.md.
func (k Kind) String() string {
	switch k {
	case GaugeKind:
		return "gauge"
	case HistogramKind:
		return "histogram"
	default:
		return "counter"
	}
}

// Definition documents one metric.
type Definition struct {
	Name string
	Kind Kind
	// Labels are the label names, in the order in which callers pass the values.
	Labels []string
	// Description says what the metric measures, with its unit if the name has none.
	Description string
}

// Definitions of all metrics.
var (
	Requests = Definition{
		Name:        "swifthinge_requests_total",
		Kind:        CounterKind,
		Labels:      []string{"class", "outcome"},
		Description: "Requests that got their final answer. The outcome is answered, refused, failed or cancelled.",
	}
	Refusals = Definition{
		Name:        "swifthinge_refusals_total",
		Kind:        CounterKind,
		Labels:      []string{"code", "verdict"},
		Description: "Answers other than a success, by verdict code.",
	}
	WithinTargets = Definition{
		Name:        "swifthinge_within_targets_total",
		Kind:        CounterKind,
		Labels:      []string{"class"},
		Description: "Requests that met both latency targets; its rate is the goodput.",
	}
	InProgress = Definition{
		Name:        "swifthinge_requests_in_progress",
		Kind:        GaugeKind,
		Description: "Requests without their final answer.",
	}
	Queued = Definition{
		Name:        "swifthinge_requests_queued",
		Kind:        GaugeKind,
		Description: "Requests that wait to be placed.",
	}
	FirstToken = Definition{
		Name:        "swifthinge_first_token_seconds",
		Kind:        HistogramKind,
		Labels:      []string{"class"},
		Description: "Time from the arrival of a request to its first token, or to the answer of a plain service.",
	}
	TokenGap = Definition{
		Name:        "swifthinge_token_gap_seconds",
		Kind:        HistogramKind,
		Labels:      []string{"class"},
		Description: "Mean time between the tokens of a request.",
	}
	TokensRelayed = Definition{
		Name:        "swifthinge_tokens_relayed_total",
		Kind:        CounterKind,
		Description: "Tokens forwarded to callers.",
	}
	PrefillTokens = Definition{
		Name:        "swifthinge_prefill_tokens_total",
		Kind:        CounterKind,
		Description: "Prompt tokens sent to prefill.",
	}
	WastedPrefillTokens = Definition{
		Name:        "swifthinge_prefill_wasted_tokens_total",
		Kind:        CounterKind,
		Labels:      []string{"reason"},
		Description: "Prompt tokens whose prefill was not used: evicted, cancelled or failed before decode.",
	}
	Retries = Definition{
		Name:        "swifthinge_retries_total",
		Kind:        CounterKind,
		Labels:      []string{"reason"},
		Description: "Attempts after the first of a request.",
	}
	CallerDisconnects = Definition{
		Name:        "swifthinge_callers_gone_total",
		Kind:        CounterKind,
		Description: "Requests whose caller disconnected before the final answer.",
	}
	SlotsHeld = Definition{
		Name:        "swifthinge_slots_held",
		Kind:        GaugeKind,
		Description: "Decode slots that requests of this process hold.",
	}
	CancelsPending = Definition{
		Name:        "swifthinge_cancels_pending",
		Kind:        GaugeKind,
		Description: "Cancels that a backend server has not answered yet. A value above 0 for minutes means that engine memory is held by cancelled requests.",
	}
	KeysClaimed = Definition{
		Name:        "swifthinge_keys_claimed_total",
		Kind:        CounterKind,
		Labels:      []string{"kind", "outcome"},
		Description: "Claims of idempotency keys, free or issued: claimed, replayed or refused.",
	}
	Revision = Definition{
		Name:        "swifthinge_revision",
		Kind:        GaugeKind,
		Description: "Revision of the configuration in force in this process.",
	}
	RevisionKnown = Definition{
		Name:        "swifthinge_revision_known",
		Kind:        GaugeKind,
		Description: "Newest accepted revision that this process knows of. If it is above swifthinge_revision, the process lags behind.",
	}
	HostsAlive = Definition{
		Name:        "swifthinge_hosts_alive",
		Kind:        GaugeKind,
		Description: "Entry hosts that this process considers alive.",
	}
	ServersUsable = Definition{
		Name:        "swifthinge_servers_usable",
		Kind:        GaugeKind,
		Description: "Backend servers that are alive, in the inventory and not leaving.",
	}
	Ready = Definition{
		Name:        "swifthinge_ready",
		Kind:        GaugeKind,
		Description: "1 if the process accepts requests, else 0.",
	}
	Events = Definition{
		Name:        "swifthinge_events_total",
		Kind:        CounterKind,
		Labels:      []string{"number", "name", "severity"},
		Description: "Events recorded, by number; docs/EVENTS.md lists them.",
	}
)

// Table lists the definitions of all metrics, in the order of docs/METRICS.md.
var Table = []Definition{
	Requests,
	Refusals,
	WithinTargets,
	InProgress,
	Queued,
	FirstToken,
	TokenGap,
	TokensRelayed,
	PrefillTokens,
	WastedPrefillTokens,
	Retries,
	CallerDisconnects,
	SlotsHeld,
	CancelsPending,
	KeysClaimed,
	Revision,
	RevisionKnown,
	HostsAlive,
	ServersUsable,
	Ready,
	Events,
}
