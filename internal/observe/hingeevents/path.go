package hingeevents

// Events of the request path.
const (
	RequestArrived      Number = 100
	RequestPlaced       Number = 101
	RequestPrefilled    Number = 102
	RequestFirstToken   Number = 103
	RequestAnswered     Number = 104
	RequestGivenUp      Number = 105
	ServerFailedRequest Number = 106
	StreamBroke         Number = 107
	StreamResumed       Number = 108
	CancelUnanswered    Number = 109
	CallerGone          Number = 110
	ServiceCalled       Number = 111
	ServiceFailed       Number = 112
	SlotMissed          Number = 113
	HandlerPanicked     Number = 114
	PromptWasted        Number = 115
	RequestDenied       Number = 116
	RequestOverQuota    Number = 117
	ServerEnded         Number = 118
	PoisonRefused       Number = 119
)

var pathEntries = []Entry{
	{
		Number:   RequestArrived,
		Name:     "requestArrived",
		Severity: Info,
		Text:     "A request was received from a caller; count is its prompt tokens, detail its class.",
	},
	{
		Number:   RequestPlaced,
		Name:     "requestPlaced",
		Severity: Info,
		Text:     "Engines were chosen for a request; server is the decode engine.",
	},
	{
		Number:   RequestPrefilled,
		Name:     "requestPrefilled",
		Severity: Info,
		Text:     "A prefill engine completed the prefill of a prompt; count is the tokens that were not cached.",
	},
	{
		Number:   RequestFirstToken,
		Name:     "requestFirstToken",
		Severity: Info,
		Text:     "The first token of a request, or of its continuation, was received; count is the index of the token.",
	},
	{
		Number:   RequestAnswered,
		Name:     "requestAnswered",
		Severity: Info,
		Text:     "A request got its whole answer; count is its tokens.",
	},
	{
		Number:   RequestGivenUp,
		Name:     "requestGivenUp",
		Severity: Warning,
		Text:     "A request ended without a complete answer; detail has the verdict.",
	},
	{
		Number:   ServerFailedRequest,
		Name:     "serverFailedRequest",
		Severity: Warning,
		Text:     "A request failed at a backend server, and is not sent to this server again.",
	},
	{
		Number:   StreamBroke,
		Name:     "streamBroke",
		Severity: Warning,
		Text:     "The stream of a decode engine broke or stalled; count is the index of the next expected token.",
	},
	{
		Number:   StreamResumed,
		Name:     "streamResumed",
		Severity: Info,
		Text:     "A broken stream was resumed at the same engine over a new connection.",
	},
	{
		Number:   CancelUnanswered,
		Name:     "cancelUnanswered",
		Severity: Warning,
		Text:     "An engine did not answer a cancel, which is retried.",
		Do:       "If it persists, check the engine: its slots stay occupied.",
	},
	{
		Number:   CallerGone,
		Name:     "callerGone",
		Severity: Info,
		Text:     "A caller disconnected before its answer was complete.",
	},
	{
		Number:   ServiceCalled,
		Name:     "serviceCalled",
		Severity: Info,
		Text:     "A call to a plain service was answered.",
	},
	{
		Number:   ServiceFailed,
		Name:     "serviceFailed",
		Severity: Warning,
		Text:     "A call to a plain service failed; detail has the verdict.",
	},
	{
		Number:   SlotMissed,
		Name:     "slotMissed",
		Severity: Info,
		Text:     "The chosen decode engine granted no slot; another engine is chosen.",
	},
	{
		Number:   HandlerPanicked,
		Name:     "handlerPanicked",
		Severity: Failure,
		Text:     "The handler of a caller's request panicked, and the request failed; detail has the cause.",
		Do:       "Report it with the request's events, and prevent the request from being resent.",
	},
	{
		Number:   PromptWasted,
		Name:     "promptWasted",
		Severity: Info,
		Text:     "The prefill of a prompt was not used; count is its tokens, detail says what happened to its KV cache or stream.",
	},
	{
		Number:   RequestDenied,
		Name:     "requestDenied",
		Severity: Info,
		Text:     "A request was denied because it had no route or no valid key of a customer; count is the number of requests that this event stands for, since its rate is limited.",
	},
	{
		Number:   RequestOverQuota,
		Name:     "requestOverQuota",
		Severity: Info,
		Text:     "A request was refused because it exceeded its customer's quota; count is the number of requests that this event stands for, took the retry time that was returned.",
	},
	{
		Number:   ServerEnded,
		Name:     "serverEnded",
		Severity: Warning,
		Text:     "A backend server crashed while it ran a request: the connection broke, and its address accepts no new one; took is how long it had run the request.",
		Do:       "Count these events by the field print: a request that was running during several crashes is likely their cause.",
	},
	{
		Number:   PoisonRefused,
		Name:     "poisonRefused",
		Severity: Info,
		Text:     "A poison request, which crashes servers, was refused; count is the number of requests that this event stands for, took the time until a retry may be accepted.",
	},
}
